package scheduler

import (
	"fmt"
	"testing"
)

// BenchmarkTick measures a tick during a crest in the largest cell: what the owner
// of the cell computes for requests that no engine has room for yet.
func BenchmarkTick(b *testing.B) {
	for _, waiting := range []int{0, 100, 400} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			f, _ := crestFleet(320, 5, waiting)
			b.ReportMetric(float64(f.s.pools["m"].waiting), "waiting")
			for b.Loop() {
				f.s.Step(f.now, Tick{})
			}
		})
	}
}
