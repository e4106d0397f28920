package main_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// link is one direction between two processes, whoever opened the connection.
type link struct{ from, to string }

// network is a set of TCP relays in front of the processes of a deployment.
// Each process announces the address of its relay, and the relay finds out
// which process has opened a connection, so that a fault can hit any pair.
//
// Bytes that are held arrive when the fault heals, as after lost packets have
// been sent again. The end of a connection is held like its bytes.
type network struct {
	t     testing.TB
	group conc.WaitGroup

	mu          sync.Mutex
	closed      bool
	changed     chan struct{}
	held        map[link]bool
	refused     map[link]bool
	delays      map[link]time.Duration
	listeners   []net.Listener
	connections map[*connection]struct{}
}

// connection is one relayed connection.
type connection struct {
	from, to string
	in, out  *net.TCPConn
	// silent holds the bytes of both directions for good.
	silent bool
}

func newNetwork(t testing.TB) *network {
	n := &network{
		t: t, changed: make(chan struct{}), held: map[link]bool{}, refused: map[link]bool{},
		delays: map[link]time.Duration{}, connections: map[*connection]struct{}{},
	}
	t.Cleanup(n.close)
	return n
}

// relay opens the relay of a process and returns its address.
func (n *network) relay(name, target string) string {
	n.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(n.t, err)
	n.listeners = append(n.listeners, l)
	n.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.group.Go(func() { n.connect(c.(*net.TCPConn), name, target) })
		}
	})
	return l.Addr().String()
}

func (n *network) connect(in *net.TCPConn, name, target string) {
	c := &connection{from: opener(in), to: name, in: in}
	n.mu.Lock()
	refused := n.closed || n.refused[link{c.from, name}]
	n.mu.Unlock()
	out, err := net.DialTimeout("tcp", target, time.Second)
	if err == nil {
		c.out = out.(*net.TCPConn)
	}
	if refused || err != nil {
		c.reset()
		return
	}
	n.mu.Lock()
	n.connections[c] = struct{}{}
	n.mu.Unlock()
	var group conc.WaitGroup
	group.Go(func() { n.pass(c, c.in, c.out, link{c.from, c.to}) })
	group.Go(func() { n.pass(c, c.out, c.in, link{c.to, c.from}) })
	group.Wait()
	n.mu.Lock()
	delete(n.connections, c)
	n.mu.Unlock()
	_, _ = c.in.Close(), c.out.Close()
}

// reset closes both sides at once, as a host does that has lost the connection.
func (c *connection) reset() {
	for _, s := range []*net.TCPConn{c.in, c.out} {
		if s != nil {
			_ = s.SetLinger(0)
			_ = s.Close()
		}
	}
}

// pass copies one direction of a connection.
func (n *network) pass(c *connection, from, to *net.TCPConn, l link) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if !n.await(c, l) {
			c.reset()
			return
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				c.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			c.reset()
			return
		}
	}
}

// await waits until the direction carries bytes. It reports false once the
// network is closed.
func (n *network) await(c *connection, l link) bool {
	for {
		n.mu.Lock()
		closed, held, delay, changed := n.closed, n.held[l] || c.silent, n.delays[l], n.changed
		n.mu.Unlock()
		if closed {
			return false
		}
		if !held {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

// change makes a change and wakes the relays.
func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// hold holds the bytes from one process to another, on old connections and on
// new ones.
func (n *network) hold(from, to string) { n.change(func() { n.held[link{from, to}] = true }) }

// part holds both directions between two groups of processes.
func (n *network) part(a, b []string) {
	n.change(func() {
		for _, x := range a {
			for _, y := range b {
				n.held[link{x, y}], n.held[link{y, x}] = true, true
			}
		}
	})
}

// cut closes the connections that one process has opened to another, and
// refuses new ones.
func (n *network) cut(from, to string) {
	n.change(func() {
		n.refused[link{from, to}] = true
		for c := range n.connections {
			if c.from == from && c.to == to {
				c.reset()
			}
		}
	})
}

// silence makes the connections that are open between two processes go silent
// for good; new ones work. It returns their number.
func (n *network) silence(from, to string) int {
	count := 0
	n.change(func() {
		for c := range n.connections {
			if c.from == from && c.to == to {
				c.silent = true
				count++
			}
		}
	})
	return count
}

// open counts the connections that one process has open to another.
func (n *network) open(from, to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.connections {
		if c.from == from && c.to == to {
			count++
		}
	}
	return count
}

// delay delays the bytes from one process to another.
func (n *network) delay(from, to string, d time.Duration) {
	n.change(func() { n.delays[link{from, to}] = d })
}

// heal ends all faults but the silent connections.
func (n *network) heal() {
	n.change(func() {
		clear(n.held)
		clear(n.refused)
		clear(n.delays)
	})
}

func (n *network) close() {
	n.change(func() {
		n.closed = true
		for _, l := range n.listeners {
			_ = l.Close()
		}
		for c := range n.connections {
			c.reset()
		}
	})
	n.group.Wait()
}

// openers knows which child process has opened a connection. One look at all
// processes serves every connection that was accepted before it.
var openers struct {
	mu     sync.Mutex
	looked time.Time
	// names are the processes by the local and the remote address of a socket.
	names map[[2]string]string
	pids  map[string]string
}

// opener names the child process that holds the other end of a connection: by
// its settings file or by its flag --name. It is empty for the test itself.
func opener(c net.Conn) string {
	accepted := time.Now()
	openers.mu.Lock()
	defer openers.mu.Unlock()
	if openers.looked.Before(accepted) {
		openers.looked = time.Now()
		openers.names = lookAtSockets(lookAtProcesses())
	}
	return openers.names[[2]string{hexAddress(c.RemoteAddr()), hexAddress(c.LocalAddr())}]
}

func hexAddress(a net.Addr) string { return fmt.Sprintf("0100007F:%04X", a.(*net.TCPAddr).Port) }

// lookAtProcesses returns the child processes by the inodes of their sockets.
func lookAtProcesses() map[string]string {
	inodes, pids := map[string]string{}, map[string]string{}
	lists, _ := filepath.Glob("/proc/self/task/*/children")
	for _, list := range lists {
		children, _ := os.ReadFile(list)
		for _, pid := range strings.Fields(string(children)) {
			name, known := openers.pids[pid]
			if !known {
				name = processName(pid)
			}
			// Until it runs its program, a child has the test's command line.
			if name != filepath.Base(os.Args[0]) {
				pids[pid] = name
			}
			folder := "/proc/" + pid + "/fd/"
			files, _ := os.ReadDir(folder)
			for _, f := range files {
				target, _ := os.Readlink(folder + f.Name())
				if inode, ok := strings.CutPrefix(target, "socket:["); ok {
					inodes[strings.TrimSuffix(inode, "]")] = name
				}
			}
		}
	}
	openers.pids = pids
	return inodes
}

// lookAtSockets returns the processes by the addresses of their sockets.
func lookAtSockets(inodes map[string]string) map[[2]string]string {
	names := map[[2]string]string{}
	table, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.SplitSeq(string(table), "\n") {
		if f := strings.Fields(line); len(f) > 9 && inodes[f[9]] != "" {
			names[[2]string{f[1], f[2]}] = inodes[f[9]]
		}
	}
	return names
}

func processName(pid string) string {
	data, _ := os.ReadFile("/proc/" + pid + "/cmdline")
	args := strings.Split(string(data), "\x00")
	for i, a := range args[:len(args)-1] {
		switch a {
		case "--settings":
			return strings.TrimSuffix(filepath.Base(args[i+1]), ".json")
		case "--name":
			return args[i+1]
		}
	}
	return filepath.Base(args[0])
}
