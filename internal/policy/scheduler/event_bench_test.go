package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkEvents measures the events of the owner of the largest cell one by one: 320
// engines with requests that run, and some that wait.
func BenchmarkEvents(b *testing.B) {
	for _, waiting := range []int{0, 3, 40, 400} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			f, running := crestFleet(320, 3, waiting)
			var took [4]time.Duration
			var n [4]int
			timed := func(kind int, e Event) {
				began := time.Now()
				f.step(e)
				took[kind] += time.Since(began)
				n[kind]++
			}
			for i := range b.N {
				f.now = f.now.Add(125 * time.Microsecond)
				id := RequestID(fmt.Sprint("c", i))
				timed(0, Submit{longPrompt(id, uint64(i%900), uint64(i+1_000_000), f.now)})
				if u := f.running[id]; u != "" {
					timed(1, FirstToken{ID: id, Upstream: u})
					timed(3, Finished{ID: id, Upstream: u, Outcome: Completed, Tokens: 50})
					delete(f.running, id)
				} else {
					f.step(Cancel{id})
				}
				old := running[i%len(running)]
				timed(2, Progress{ID: old, Upstream: f.running[old], Tokens: i})
			}
			for i, name := range []string{"submit", "first", "progress", "finished"} {
				b.ReportMetric(float64(took[i].Microseconds())/float64(max(n[i], 1)), name+"-us")
			}
			b.ReportMetric(float64(f.s.pools["m"].waiting), "waiting")
		})
	}
}
