package scheduler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// TestSlowStart guards against an upstream of unknown speed that gets all the
// requests of a crest, against one that never gets its full share, and against
// slots that are held back when no other upstream is known.
func TestSlowStart(t *testing.T) {
	const slots = 20
	s, serial := New(), 0
	s.Step(start, Configure{Document: document()})
	crest := func() {
		for range 2 * slots {
			s.Step(start, ask(fmt.Sprint("r", serial), "top", "small"))
			serial++
		}
	}
	tokens := func(u registrar.UpstreamID) {
		for _, a := range s.upstreams[u].attempts {
			s.Step(start, FirstToken{ID: a.request.ID, Upstream: u})
		}
		s.Step(start, Tick{})
	}
	s.Step(start, Observe{engine("a", slots)})
	crest()
	assert.Equal(t, s.UsedSlots("a"), slots, "slots held back with no other upstream")
	tokens("a")
	back := engine("b", slots)
	for i, c := range []struct {
		incarnation registrar.Incarnation
		out         bool
	}{{1, false}, {2, false}, {2, true}} {
		if c.out {
			s.Step(start, Forget{"b"})
		}
		back.Incarnation = c.incarnation
		for _, a := range append([]*attempt(nil), s.upstreams["a"].attempts...) {
			s.Step(start, Finished{ID: a.request.ID, Upstream: "a", Outcome: Completed})
		}
		s.Step(start, Observe{back})
		crest()
		assert.Equal(t, s.UsedSlots("b"), rampStart, "case %d", i)
		tokens("b")
		assert.Equal(t, s.UsedSlots("b"), 2*rampStart, "case %d", i)
		for range 3 {
			tokens("b")
		}
		assert.Equal(t, s.UsedSlots("b"), slots, "case %d", i)
		for _, a := range append([]*attempt(nil), s.upstreams["b"].attempts...) {
			s.Step(start, Cancel{a.request.ID})
		}
		for _, r := range s.waitingIn(s.pools["m"]) {
			s.Step(start, Cancel{r.ID})
		}
		for _, a := range append([]*attempt(nil), s.upstreams["b"].attempts...) {
			s.Step(start, Cancel{a.request.ID})
		}
	}
}
