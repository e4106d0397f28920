package coordinator

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// documentBytes is the expected size of the configuration in two years: 430
// organisations with two keys each.
const documentBytes = 73 << 10

// BenchmarkSpread measures, with three control hosts, the time from the
// submission of a change until an increasing number of watching entry hosts
// have received it, and the processor time per change, watchers included.
func BenchmarkSpread(b *testing.B) {
	for _, watchers := range []int{9, 50, 200, 410} {
		b.Run(fmt.Sprint("watchers=", watchers), func(b *testing.B) { benchmarkSpread(b, watchers) })
	}
}

// arrivals counts the watchers that have received each revision, and reports a
// revision on all when want watchers have it.
type arrivals struct {
	mu    sync.Mutex
	count map[uint64]int
	want  int
	all   chan uint64
}

func (a *arrivals) record(revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count[revision]++
	if a.count[revision] == a.want {
		a.all <- revision
	}
}

func benchmarkSpread(b *testing.B, watchers int) {
	c := newCluster(b, 3)
	document := fmt.Sprintf(`{"text":%q}`, slices.Repeat([]byte{'x'}, documentBytes))
	revision := apply(b, c.hosts[0], "first", 0, document).Revision
	a := &arrivals{count: map[uint64]int{}, want: watchers, all: make(chan uint64, 1024)}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	before := liveHeap()
	for i := range watchers {
		address := c.hosts[i%len(c.hosts)].settings.Address
		group.Go(func() { receiveRevisions(ctx, address, fmt.Sprint("entry-", i), a) })
	}
	assert.Equal(b, <-a.all, revision)
	grown := liveHeap() - before
	var times []time.Duration
	cpu := processorTime()
	b.ResetTimer()
	for range b.N {
		began := time.Now()
		revision = apply(b, c.hosts[0], fmt.Sprint("change-", revision), revision, document).Revision
		for <-a.all != revision {
		}
		times = append(times, time.Since(began))
	}
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "slowest-ms")
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/1000/float64(b.N), "cpu-ms/change")
	b.ReportMetric(float64(grown)/1024/float64(watchers), "heap-KiB/watcher")
}

func receiveRevisions(ctx context.Context, address, host string, a *arrivals) {
	client := dialer.New()
	defer client.Close()
	s, err := wireconnect.NewControlClient(client, dialer.URL(address)).Watch(ctx, connect.NewRequest(&wire.WatchRequest{Host: host}))
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	for s.Receive() {
		if r := s.Msg().Revision; r != nil {
			a.record(r.Number)
		}
	}
}

func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
