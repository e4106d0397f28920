package bencher

import (
	"testing"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"gotest.tools/v3/assert"
)

// TestRunRepeats guards against measurements that depend on map order or the
// machine, and against calls or tokens that get lost.
func TestRunRepeats(t *testing.T) {
	w := bidline()
	w.Name, w.Duration, w.Scale = "test", 8*time.Second, 3
	w.Crashes = []time.Duration{3 * time.Second}
	for _, p := range Policies() {
		t.Run(p.Name, func(t *testing.T) {
			s := newSystem(w, 7, p.build)
			s.run(w.Duration + drainTime)
			useful := 0
			for _, c := range s.calls {
				assert.Assert(t, c.ended(), "call %s has no end", c.id)
				assert.Equal(t, len(c.runs), 0)
				if c.doneAt > 0 {
					useful += c.output
				}
			}
			assert.Assert(t, useful <= s.generatedTokens(), "%d tokens used of %d made", useful, s.generatedTokens())
			assert.DeepEqual(t, Run(w, p, 7), Run(w, p, 7))
		})
	}
}

// TestCrashRepeats guards against refusals that follow map order: with crashes and
// overload, two runs of the same seed differed by 0.007 in attainment.
func TestCrashRepeats(t *testing.T) {
	for _, w := range Workloads() {
		if w.Name != "kovac/swing-crash" {
			continue
		}
		for _, p := range Policies() {
			if p.Name == "amaranthcart" {
				assert.DeepEqual(t, Run(w, p, 11), Run(w, p, 11))
				return
			}
		}
	}
	t.Fatal("the workload or the policy is missing")
}

// TestEngine guards against a simulated engine that ignores priorities, the prefix
// cache, the batch size or slowdowns.
func TestEngine(t *testing.T) {
	d := &Demand{}
	first := func(e *engine, c *clock, prefix []uint64, priority, outputs int) *time.Duration {
		at := new(time.Duration)
		r := &run{call: &call{demand: d, prompt: 1280, output: outputs, prefix: prefix}, priority: priority}
		r.onEnd = func(scheduler.Outcome) {}
		r.onToken = func(n int) {
			if n == 1 {
				*at = c.now
			}
		}
		e.add(r)
		return at
	}
	fresh := func(factor float64) (*engine, *clock) {
		c := &clock{}
		return &engine{clock: c, slots: 1, speed: factor, up: true}, c
	}
	e, c := fresh(1)
	first(e, c, nil, 0, 5)
	low, high := first(e, c, nil, 3, 1), first(e, c, nil, 0, 1)
	c.run(time.Minute)
	assert.Assert(t, *high < *low, "priority ignored: %v, %v", *high, *low)

	blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	e, c = fresh(1)
	cold := first(e, c, blocks, 0, 1)
	c.run(time.Second)
	warm := first(e, c, blocks, 0, 1)
	c.run(2 * time.Second)
	assert.Assert(t, *warm-time.Second < *cold/4, "cache ignored: %v, %v", *cold, *warm)

	e, c = fresh(5)
	slow := first(e, c, nil, 0, 1)
	c.run(time.Minute)
	assert.Equal(t, *slow, 5**cold)
}
