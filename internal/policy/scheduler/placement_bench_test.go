package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// BenchmarkPlacement places, starts and ends one long prompt among engines that run
// ten requests each. It is what the owner of a cell does for each request.
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

func longPrompt(id RequestID, subject, own uint64, now time.Time) Request {
	return Request{
		ID: id, Pool: "m", Class: "summary", Prompt: sharedPart + ownPart, Limit: 150, Arrived: now,
		Prefix: []uint64{subject + 1, own + 1_000_000}, Ends: []int{sharedPart, sharedPart + ownPart},
	}
}

func benchFleet(engines int) *engineFleet {
	f := &engineFleet{
		s: New(WithSeed(1)), now: time.Unix(1_700_000_000, 0),
		running: map[RequestID]registrar.UpstreamID{}, refused: map[RequestID]Refuse{}, asked: map[RequestID]int{},
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
