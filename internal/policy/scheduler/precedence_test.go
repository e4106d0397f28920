package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// TestTopTierTakesPrecedence guards against top-tier requests that are refused or
// preempted while lower-tier requests hold slots that they could use. There are
// never more open top-tier requests than slots, and when they arrive all slots are
// taken by long low-tier requests, which need up to 1.5 s to give way.
func TestTopTierTakesPrecedence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(), start
		s.Step(now, Configure{Document: document()})
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		running := map[RequestID]registrar.UpstreamID{}
		ends, yields := map[RequestID]time.Time{}, map[RequestID]bool{}
		open, serial := map[RequestID]Request{}, 0
		var act func([]Action)
		step := func(e Event) { act(append([]Action(nil), s.Step(now, e)...)) }
		submit := func(class string) {
			r := ask(fmt.Sprint(class, serial), class, "large").Request
			r.Arrived = now
			serial++
			open[r.ID] = r
			step(Submit{r})
		}
		act = func(list []Action) {
			for _, a := range list {
				switch a := a.(type) {
				case Grant:
					running[a.ID] = a.Upstream
					length := time.Duration(rapid.IntRange(50, 2000).Draw(t, "length")) * time.Millisecond
					if open[a.ID].Class == "low" {
						length = time.Hour
					}
					ends[a.ID] = now.Add(length)
				case Refuse:
					assert.Assert(t, open[a.ID].Class == "low", "%s was refused: %s", a.ID, a.Reason)
					delete(open, a.ID)
				case Preempt:
					assert.Assert(t, open[a.ID].Class == "low", "%s was preempted", a.ID)
					delay := time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond
					yields[a.ID], ends[a.ID] = true, now.Add(delay)
				}
			}
		}
		top := func() int {
			n := 0
			for _, r := range open {
				if r.Class != "low" {
					n++
				}
			}
			return n
		}
		for _, id := range []string{"a", "b"} {
			step(Observe{engine(id, slots)})
		}
		for range 2*slots + 2 {
			submit("low")
		}
		end := func(id RequestID) {
			u, r := running[id], open[id]
			delete(running, id)
			if !yields[id] {
				delete(open, id)
				step(Finished{ID: id, Upstream: u, Outcome: Completed, Tokens: 20})
				return
			}
			delete(yields, id)
			step(Finished{ID: id, Upstream: u, Outcome: Preempted, Tokens: 5})
			r.Emitted += 5
			open[id] = r
			step(Submit{r})
		}
		tick := func() {
			now = now.Add(TickInterval)
			for _, id := range slices.Sorted(maps.Keys(running)) {
				if !now.Before(ends[id]) {
					end(id)
				}
			}
			step(Tick{})
		}
		for range rapid.IntRange(10, 400).Draw(t, "ticks") {
			for range rapid.IntRange(0, 2).Draw(t, "arrivals") {
				if top() < 2*slots {
					submit("top")
				}
			}
			tick()
		}
		for range 15 * time.Second / TickInterval {
			tick()
		}
		assert.Equal(t, top(), 0, "top-tier work is still waiting")
	})
}

// TestGivesWayBeforeAnyHasEnded guards against urgent requests that get a slot only
// after their target has passed because long requests of the lowest tier hold all
// slots and none has ended yet, as after a start. The running requests have held
// their slots for long already.
func TestGivesWayBeforeAnyHasEnded(t *testing.T) {
	s := New()
	s.Step(start, Configure{Document: document()})
	s.Step(start, Observe{engine("a", 2)})
	for _, id := range []string{"l1", "l2"} {
		s.Step(start, ask(id, "low", "large"))
	}
	arrived := start.Add(time.Second)
	s.Step(arrived, ask("t", "top", "small"))
	for now := arrived; now.Before(arrived.Add(800 * time.Millisecond)); now = now.Add(TickInterval) {
		for _, a := range s.Step(now, Tick{}) {
			if _, ok := a.(Preempt); ok {
				return
			}
		}
	}
	t.Fatal("no long request was preempted in time")
}
