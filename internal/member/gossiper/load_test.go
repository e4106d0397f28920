package gossiper_test

import (
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// meter counts the bytes of the connections that a listener accepts.
type meter struct {
	net.Listener
	bytes *atomic.Int64
}

type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (m meter) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	return meteredConn{c, m.bytes}, err
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

const (
	warmUp   = 6 * time.Second
	measured = 10 * time.Second
)

// BenchmarkEntryHost measures the bytes, processor time and memory that the exchange costs
// each entry host, over loopback, with one announcement a second for each upstream:
//
//	go test -run '^$' -bench EntryHost -benchtime 1x ./internal/member/gossiper
func BenchmarkEntryHost(b *testing.B) {
	for _, c := range []struct{ upstreams, hosts int }{
		{9, 9}, {50, 9}, {200, 9}, {1100, 9},
		{55, 3}, {55, 9}, {55, 20}, {55, 55},
	} {
		b.Run(fmt.Sprintf("upstreams=%d/hosts=%d", c.upstreams, c.hosts), func(b *testing.B) {
			for range b.N {
				measure(b, c.upstreams, c.hosts)
			}
		})
	}
}

func measure(b *testing.B, upstreams, hosts int) {
	heap := heapInUse()
	var bytes atomic.Int64
	var group conc.WaitGroup
	var nodes []node
	var seeds []string
	for i := range hosts {
		l := listen(b, func(l net.Listener) net.Listener { return meter{l, &bytes} })
		nodes = append(nodes, startNode(b, i, l, seeds...))
		if len(seeds) < 3 {
			seeds = append(seeds, l.Addr().String())
		}
	}
	stop := make(chan struct{})
	group.Go(func() { announceAll(nodes, upstreams, stop) })
	time.Sleep(warmUp)
	bytesBefore, cpuBefore, began := bytes.Load(), processorTime(b), time.Now()
	time.Sleep(measured)
	seconds := time.Since(began).Seconds() * float64(hosts)
	b.ReportMetric(float64(bytes.Load()-bytesBefore)/seconds, "sentB/s/host")
	b.ReportMetric(100*(processorTime(b)-cpuBefore).Seconds()/seconds, "cpu%/host")
	b.ReportMetric(float64(heapInUse()-heap)/float64(hosts)/1e6, "heapMB/host")
	var exchanges uint64
	seen := upstreams
	for _, n := range nodes {
		exchanges += n.Traffic().Exchanges
		seen = min(seen, len(n.Snapshot().Upstreams(time.Now())))
	}
	b.ReportMetric(float64(exchanges)/(seconds/measured.Seconds()*(warmUp+measured).Seconds()), "exchanges/s/host")
	b.ReportMetric(float64(seen), "upstreams_seen")
	close(stop)
	for _, n := range nodes {
		group.Go(n.stop)
	}
	group.Wait()
}

// announceAll sends one announcement for each upstream in each second, spread over the
// second and over the hosts as a load balancer does.
func announceAll(nodes []node, upstreams int, stop <-chan struct{}) {
	t := time.NewTicker(registrar.RenewalInterval / time.Duration(upstreams))
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		body := fmt.Sprintf(`{"name":"engine-%04d.patan","address":"10.20.%d.%d:9000","centre":"patan","cell":"patan","models":["appraisal-70b","summary-8b"],`+
			`"adapters":["goats","hay"],"versions":["2026-11"],"incarnation":1796300000000000000,"sequence":%d,"slots":32,"load":{"running":%d,"waiting":%d,"cache":0.%02d}}`,
			i%upstreams, i%upstreams/256, i%upstreams%256, i/upstreams+1, i%32, i%7, i%97)
		post(nodes[(i/upstreams+i*7)%len(nodes)].Gossiper, body)
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
