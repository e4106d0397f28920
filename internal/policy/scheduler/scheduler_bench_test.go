package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

func fleet(n int) *Scheduler {
	s := New()
	s.Step(start, Configure{Document: document()})
	for i := range n {
		s.Step(start, Observe{engine(fmt.Sprintf("engine-%04d", i), 32)})
	}
	return s
}

// BenchmarkDecision measures the end of an attempt and a submission with its grant,
// at half load.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{55, 100, 1100} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			s := fleet(n)
			running := make([]Finished, 0, n*16)
			submit := func(i int) {
				e := ask(fmt.Sprintf("request-%09d", i), "top", "small")
				e.Request.Prefix = []uint64{uint64(i % 7), 8, 9, 10}
				g := s.Step(start, e)[0].(Grant)
				running = append(running, Finished{ID: g.ID, Upstream: g.Upstream, Outcome: Completed, Tokens: 100})
			}
			for i := range n * 16 {
				submit(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k := i % len(running)
				s.Step(start, running[k])
				running[k] = running[len(running)-1]
				running = running[:len(running)-1]
				submit(n*16 + i)
			}
		})
	}
}

// TestMemory logs the scheduler's heap per upstream, queued request and
// organisation. It guards against growth that is not linear.
func TestMemory(t *testing.T) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	grow := func(name string, counts []int, fill func(n int) *Scheduler) {
		var first, last float64
		for i, n := range counts {
			before := heap()
			s := fill(n)
			used := (heap() - before) / float64(n)
			runtime.KeepAlive(s)
			t.Logf("%s: %d use %.0f bytes each", name, n, used)
			if i == 0 {
				first = used
			}
			last = used
		}
		if last > 2*first+512 {
			t.Errorf("%s: %.0f bytes each grew to %.0f", name, first, last)
		}
	}
	prefix := func(i int) []uint64 {
		return []uint64{4 * uint64(i), 4*uint64(i) + 1, 4*uint64(i) + 2, 4*uint64(i) + 3}
	}
	grow("upstreams with one prefix", []int{100, 300, 600, 1100}, func(n int) *Scheduler {
		s := fleet(n)
		for i := range n {
			e := ask(fmt.Sprintf("request-%06d", i), "top", "small")
			e.Request.Prefix = prefix(i)
			s.Step(start, e)
		}
		return s
	})
	grow("queued requests", []int{1000, 3000, 6000, 10000}, func(n int) *Scheduler {
		s := New()
		s.Step(start, Configure{Document: document()})
		s.Step(start, Observe{engine("a", 0)})
		for i := range n {
			e := ask(fmt.Sprintf("request-%06d", i), "top", "small")
			e.Request.Prefix = prefix(i)
			s.Step(start, e)
		}
		return s
	})
	grow("organisations with one class", []int{50, 150, 300, 430}, func(n int) *Scheduler {
		s, d := fleet(1), document()
		for i := range n {
			d.Organisations = append(d.Organisations, validator.Organisation{Name: validator.OrganisationName(fmt.Sprint("o", i)), Share: 1})
		}
		s.Step(start, Configure{Document: d})
		for i := range n {
			id := RequestID(fmt.Sprint("r", i))
			e := ask(string(id), "top", fmt.Sprint("o", i))
			s.Step(start, e)
			s.Step(start.Add(time.Second), Finished{ID: id, Upstream: registrar.UpstreamID("engine-0000"), Outcome: Completed, Tokens: 100})
		}
		return s
	})
}
