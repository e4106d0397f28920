// Package interposer puts TCP relays between the processes of a deployment and
// injects network faults: bytes are delayed or held back in one direction, and
// connections are reset, refused or go silent for good.
//
// Each process announces the address of its relay. The relay finds out which child
// process has opened a connection, so that a fault can affect any pair of processes.
// Bytes that are held back arrive when the fault ends, as after TCP has
// retransmitted lost packets; the end of a connection is held back like its bytes.
//
// Processes are identified through /proc, so the package works on Linux and with
// IPv4 only. The test process itself has the empty name.
//
// # Usage
//
//	n := interposer.New()
//	defer n.Close()
//	address, err := n.Relay("control-1", "127.0.0.1:0", "127.0.0.1:7101")
//	n.Partition([]string{"control-1"}, []string{"entry-1"})
//	n.Heal()
package interposer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// NameVariable is the environment variable that tells the relays the name of a child
// process.
const NameVariable = "INTERPOSER_NAME"

// link is one direction between two processes, whichever of them opened the
// connection.
type link struct{ from, to string }

// Network is a set of relays in front of the processes of a deployment.
type Network struct {
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
	// silent holds back the bytes of both directions for good.
	silent bool
}

// New returns a Network without relays.
func New() *Network {
	return &Network{
		changed: make(chan struct{}), held: map[link]bool{}, refused: map[link]bool{},
		delays: map[link]time.Duration{}, connections: map[*connection]struct{}{},
	}
}

// Relay starts a relay in front of the named process and returns its address. The
// relay listens on the address listen, whose port may be 0, and connects to the
// target. It runs until Close.
func (n *Network) Relay(name, listen, target string) (string, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return "", fmt.Errorf("relay of %s: %w", name, err)
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	n.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.group.Go(func() { n.connect(c.(*net.TCPConn), name, target) })
		}
	})
	return l.Addr().String(), nil
}

func (n *Network) connect(in *net.TCPConn, name, target string) {
	c := &connection{from: clientName(in), to: name, in: in}
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
	group.Go(func() { n.copyBytes(c, c.in, c.out, link{c.from, c.to}) })
	group.Go(func() { n.copyBytes(c, c.out, c.in, link{c.to, c.from}) })
	group.Wait()
	n.mu.Lock()
	delete(n.connections, c)
	n.mu.Unlock()
	_, _ = c.in.Close(), c.out.Close()
}

// reset closes both sides with a TCP reset, as a host does that no longer knows the
// connection.
func (c *connection) reset() {
	for _, s := range []*net.TCPConn{c.in, c.out} {
		if s != nil {
			_ = s.SetLinger(0)
			_ = s.Close()
		}
	}
}

// copyBytes copies one direction of a connection until it ends, and applies the
// faults of the link.
func (n *Network) copyBytes(c *connection, from, to *net.TCPConn, l link) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if !n.waitUntilOpen(c, l) {
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

// waitUntilOpen waits while the link holds its bytes back, and then for its delay. It
// reports false once the network is closed.
func (n *Network) waitUntilOpen(c *connection, l link) bool {
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

// change runs f under the lock and wakes the relays that wait for a change.
func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Hold holds back the bytes from one process to another, on open connections and on
// new ones.
func (n *Network) Hold(from, to string) { n.change(func() { n.held[link{from, to}] = true }) }

// Partition holds back the bytes of both directions between two groups of processes.
func (n *Network) Partition(a, b []string) {
	n.change(func() {
		for _, x := range a {
			for _, y := range b {
				n.held[link{x, y}], n.held[link{y, x}] = true, true
			}
		}
	})
}

// Cut resets the connections that one process has opened to another, and refuses
// new ones.
func (n *Network) Cut(from, to string) {
	n.change(func() {
		n.refused[link{from, to}] = true
		for c := range n.connections {
			if c.from == from && c.to == to {
				c.reset()
			}
		}
	})
}

// Silence holds back all bytes for good on the open connections that one process
// has opened to another; new connections work. It returns their number.
func (n *Network) Silence(from, to string) int {
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

// OpenConnections counts the connections that one process has open to another.
func (n *Network) OpenConnections(from, to string) int {
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

// Delay delays the bytes from one process to another by d.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.change(func() { n.delays[link{from, to}] = d })
}

// Restore ends the effects of Hold, Partition, Cut and Delay from one process to
// another. The other direction and silent connections stay as they are.
func (n *Network) Restore(from, to string) {
	n.change(func() {
		l := link{from, to}
		delete(n.held, l)
		delete(n.refused, l)
		delete(n.delays, l)
	})
}

// Reset resets the connections that one process has opened to another; new ones
// work.
func (n *Network) Reset(from, to string) {
	n.change(func() {
		for c := range n.connections {
			if c.from == from && c.to == to {
				c.reset()
			}
		}
	})
}

// Heal ends all faults except the silence of connections.
func (n *Network) Heal() {
	n.change(func() {
		clear(n.held)
		clear(n.refused)
		clear(n.delays)
	})
}

// Close resets all connections, ends all relays and waits until they have ended.
func (n *Network) Close() {
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

// socketOwners caches which child process owns a socket. One reading of all
// processes serves every connection that was accepted before it.
var socketOwners struct {
	mu     sync.Mutex
	readAt time.Time
	// names are the names of processes by the local and the remote address of a
	// socket, in the form of hexAddress.
	names map[[2]string]string
	// pids are the names of processes by process ID.
	pids map[string]string
}

// clientName returns the name of the child process that has opened an accepted
// connection. It is empty when no child process has, as for this process itself.
func clientName(c net.Conn) string {
	accepted := time.Now()
	socketOwners.mu.Lock()
	defer socketOwners.mu.Unlock()
	if socketOwners.readAt.Before(accepted) {
		socketOwners.readAt = time.Now()
		socketOwners.names = readSockets(readProcesses())
	}
	return socketOwners.names[[2]string{hexAddress(c.RemoteAddr()), hexAddress(c.LocalAddr())}]
}

// hexAddress returns an IPv4 address in the form of /proc/net/tcp.
func hexAddress(a net.Addr) string {
	t := a.(*net.TCPAddr)
	ip := t.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], t.Port)
}

// readProcesses returns the names of the child processes by the inodes of their
// sockets.
func readProcesses() map[string]string {
	inodes, pids := map[string]string{}, map[string]string{}
	lists, _ := filepath.Glob("/proc/self/task/*/children")
	for _, list := range lists {
		children, _ := os.ReadFile(list)
		for _, pid := range strings.Fields(string(children)) {
			name, known := socketOwners.pids[pid]
			if !known {
				name = processName(pid)
			}
			// Between fork and exec, a child has the command line of this process.
			// Its name is read again next time.
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
	socketOwners.pids = pids
	return inodes
}

// readSockets returns the names of the processes by the local and the remote address
// of their sockets.
func readSockets(inodes map[string]string) map[[2]string]string {
	names := map[[2]string]string{}
	table, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.SplitSeq(string(table), "\n") {
		if f := strings.Fields(line); len(f) > 9 && inodes[f[9]] != "" {
			names[[2]string{f[1], f[2]}] = inodes[f[9]]
		}
	}
	return names
}

// processName returns the name of a process: the value of NameVariable, the base name
// of its settings file, the value of its flag --name, or else its program.
func processName(pid string) string {
	environment, _ := os.ReadFile("/proc/" + pid + "/environ")
	for v := range strings.SplitSeq(string(environment), "\x00") {
		if name, ok := strings.CutPrefix(v, NameVariable+"="); ok {
			return name
		}
	}
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
