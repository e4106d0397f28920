package dispatcher

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// countedListener counts the bytes of all its connections.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes}, nil
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkAcquire measures a slot from its request to its release: at the owner itself
// and over links from a growing number of hosts.
func BenchmarkAcquire(b *testing.B) {
	for _, hosts := range []int{1, 2, 5, 9, 20} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) { benchmarkAcquire(b, hosts) })
	}
}

func benchmarkAcquire(b *testing.B, hosts int) {
	var names []registrar.HostName
	for i := range hosts {
		names = append(names, registrar.HostName(fmt.Sprint("host-", i)))
	}
	var bytes atomic.Int64
	_, all := startMembers(b, 10_000, func(l net.Listener) net.Listener { return countedListener{l, &bytes} }, names...)
	var cells []*Cell
	for _, n := range names {
		if hosts > 1 && n == names[0] {
			continue
		}
		waitFor(b, "links", func() bool { return hosts == 1 || all[n].linked() })
		cells = append(cells, all[n].cell)
	}
	waitFor(b, "collected", func() bool { return all[names[0]].usesAllSlots() })
	began := time.Now()
	idle := bytes.Load()
	time.Sleep(time.Second)
	quiet := float64(bytes.Load()-idle) / time.Since(began).Seconds()
	before := bytes.Load()
	b.ReportAllocs()
	b.ResetTimer()
	var group conc.WaitGroup
	var serial atomic.Int64
	for worker := range 64 {
		group.Go(func() {
			for {
				n := serial.Add(1)
				if n > int64(b.N) {
					return
				}
				s, err := cells[worker%len(cells)].Acquire(b.Context(), request(fmt.Sprint("r", n)))
				assert.Check(b, err == nil, "%v", err)
				if err == nil {
					s.FirstToken()
					s.Progress(100)
					s.Release(scheduler.Completed, 100)
				}
			}
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "bytes/request")
	b.ReportMetric(quiet/float64(len(cells)), "idle-bytes/s/link")
}
