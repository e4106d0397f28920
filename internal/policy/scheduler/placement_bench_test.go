package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// BenchmarkPlacement places, starts and ends one long prompt among engines that run
// ten requests each, which is what the owner of a cell does for each request.
func BenchmarkPlacement(b *testing.B) {
	for _, engines := range []int{9, 55, 90} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			f := benchFleet(engines)
			for i := range b.N {
				id := RequestID(fmt.Sprint("b", i))
				f.now = f.now.Add(time.Millisecond)
				f.step(Submit{longPrompt(id, uint64(i%500), uint64(i), f.now)})
				f.first(id)
				f.finish(id)
				delete(f.running, id)
			}
		})
	}
}

// longPrompt returns a request with a long prompt, whose first part all requests of
// the subject share.
func longPrompt(id RequestID, subject, own uint64, now time.Time) Request {
	return Request{
		ID: id, Pool: "m", Class: "summary", Prompt: sharedPart + ownPart, Limit: 150, Arrived: now,
		Prefix: []uint64{subject + 1, own + 1_000_000}, Ends: []int{sharedPart, sharedPart + ownPart},
	}
}

// benchFleet returns engines to which ten long prompts each were submitted.
func benchFleet(engines int) *engineFleet {
	f := &engineFleet{
		s: New(WithSeed(1)), now: time.Unix(1_700_000_000, 0),
		running: map[RequestID]registrar.UpstreamID{}, refused: map[RequestID]Refuse{}, preempts: map[RequestID]int{},
	}
	second := validator.Duration(time.Second)
	f.step(Configure{&validator.Document{
		Classes: []validator.Class{{Name: "summary", Tier: 2, First: 3 * second / 2, Gap: second / 2, Wait: 4 * second, Late: true}},
		Models:  []validator.Model{{Name: "m", Class: "summary", Memory: engineMemory}},
	}})
	f.step(Settle{Settled: true})
	for i := range engines {
		f.step(Observe{registrar.Upstream{Name: registrar.UpstreamID(fmt.Sprintf("engine-%d", i)), Models: []validator.PoolName{"m"}, Slots: 48, Incarnation: 1, Sequence: 1}})
	}
	for i := range engines * 10 {
		id := RequestID(fmt.Sprint("a", i))
		f.step(Submit{longPrompt(id, uint64(i%500), uint64(i), f.now)})
		f.now = f.now.Add(50 * time.Millisecond)
		if f.running[id] != "" {
			f.first(id)
		}
	}
	return f
}

// BenchmarkCrest measures a crest: 90 engines run 25 requests each, of which some
// are still being read, and a number of requests wait that no engine has room for
// yet. Each iteration submits a request, reports a first token and ends a request.
func BenchmarkCrest(b *testing.B) {
	for _, waiting := range []int{0, 20, 100} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			f, running := crestFleet(90, 25, waiting)
			if n := f.s.pools["m"].waiting; n < waiting {
				b.Fatalf("%d requests wait", n)
			}
			b.ReportAllocs()
			for i := range b.N {
				id := RequestID(fmt.Sprint("c", i))
				f.step(Submit{longPrompt(id, uint64(i%900), uint64(i+1_000_000), f.now)})
				if f.running[id] != "" {
					f.first(id)
					f.finish(id)
				} else {
					f.step(Cancel{id})
				}
				old := running[i%len(running)]
				f.step(Progress{ID: old, Upstream: f.running[old], Tokens: i})
			}
		})
	}
}

// crestFleet returns engines that run some requests each, most of them generating,
// and requests that wait because each engine has enough to read. It also returns
// the requests that generate.
func crestFleet(engines, each, waiting int) (*engineFleet, []RequestID) {
	f := benchFleet(engines)
	var running []RequestID
	n := 0
	for i := 0; i < engines*each; i++ {
		id := RequestID(fmt.Sprint("run", i))
		f.step(Submit{Request{ID: id, Pool: "m", Class: "summary", Prompt: 100, Limit: 50, Arrived: f.now, Prefix: []uint64{uint64(i + 5_000_000)}, Ends: []int{100}}})
		if f.running[id] != "" {
			f.first(id)
			running = append(running, id)
		}
	}
	for f.s.pools["m"].waiting < waiting && n < 10_000 {
		n++
		f.step(Submit{longPrompt(RequestID(fmt.Sprint("wait", n)), uint64(n+10_000), uint64(n+20_000_000), f.now)})
	}
	return f, running
}

// urgentFleet returns engines whose slots are taken by repeatable requests of a lower tier
// while requests of a higher tier wait that are about to miss their target.
func urgentFleet(engines, waiting int) *engineFleet {
	f := &engineFleet{
		s: New(WithSeed(1), WithRetryBudget(0.2, 630)), now: time.Unix(1_700_000_000, 0),
		running: map[RequestID]registrar.UpstreamID{}, refused: map[RequestID]Refuse{}, preempts: map[RequestID]int{},
	}
	second := validator.Duration(time.Second)
	f.step(Configure{&validator.Document{
		Classes: []validator.Class{
			{Name: "appraisal", Tier: 1, First: 3 * second / 5, Gap: second / 2, Wait: 4 * second, Late: true},
			{Name: "summary", Tier: 2, First: 3 * second / 2, Gap: second / 2, Wait: 4 * second, Late: true},
		},
		Models: []validator.Model{{Name: "m", Class: "summary", Memory: engineMemory}},
	}})
	f.step(Settle{Settled: true})
	const slots = 3
	for i := range engines {
		f.step(Observe{registrar.Upstream{Name: registrar.UpstreamID(fmt.Sprintf("engine-%d", i)), Models: []validator.PoolName{"m"}, Slots: slots, Incarnation: 1, Sequence: 1}})
	}
	for i := 0; len(f.running) < engines*slots && i < 10*engines*slots; i++ {
		id := RequestID(fmt.Sprint("run", i))
		f.step(Submit{Request{ID: id, Pool: "m", Class: "summary", Prompt: 100, Limit: 50, Repeatable: true, Arrived: f.now}})
		if f.running[id] != "" {
			f.first(id)
		}
	}
	for i := range waiting {
		f.step(Submit{Request{ID: RequestID(fmt.Sprint("wait", i)), Pool: "m", Class: "appraisal", Prompt: 100, Limit: 50, Arrived: f.now}})
	}
	f.now = f.now.Add(400 * time.Millisecond)
	return f
}

// BenchmarkUrgentTick measures a tick of the largest cell while many requests of a higher
// tier wait for slots that lower tiers hold.
func BenchmarkUrgentTick(b *testing.B) {
	f := urgentFleet(320, 400)
	for f.s.pools["m"].retries.take() {
		// With an empty budget each tick begins with the same state.
	}
	b.ReportMetric(float64(f.s.pools["m"].waiting), "waiting")
	for b.Loop() {
		f.s.Step(f.now, Tick{})
	}
}
