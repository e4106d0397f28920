package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// TestHopelessBehindResumed guards against requests that have missed their target
// but are kept, and granted too late to be of use, because a request that already
// has tokens is at the head of their queue.
func TestHopelessBehindResumed(t *testing.T) {
	s := New()
	s.Step(start, Configure{Document: document()})
	s.Step(start, Observe{engine("a", 1)})
	assert.Equal(t, formatActions(s.Step(start, ask("running", "top", "small"))), "running>a")
	begun := ask("begun", "top", "small")
	begun.Request.Emitted, begun.Request.Moved = 5, true
	s.Step(start, begun)
	s.Step(start.Add(time.Millisecond), ask("fresh", "top", "small"))
	now := start.Add(2 * time.Second)
	assert.Equal(t, formatActions(s.Step(now, Tick{})), "fresh!overloaded")
	assert.Equal(t, formatActions(s.Step(now, done("running", "a", Completed))), "begun>a")
}

// TestSuspectsAhead guards against requests that are refused on arrival because
// suspects wait, each for an upstream without another suspect, although the next
// slot goes to the new request.
func TestSuspectsAhead(t *testing.T) {
	s, now := New(), start
	s.Step(now, Configure{Document: document()})
	s.Step(now, Observe{engine("b", 2)})
	s.Step(now, ask("first", "top", "small"))
	now = now.Add(10 * time.Second)
	s.Step(now, done("first", "b", Completed))
	assert.Equal(t, formatActions(s.Step(now, ask("one", "top", "small"))), "one>b")
	assert.Equal(t, formatActions(s.Step(now, ask("two", "top", "small"))), "two>b")
	s.Step(now, Observe{engine("a", crowdMinimum+2)})
	s.upstreams["a"].firstTokens = crowdMinimum + 2
	var lost []Submit
	for i := range crowdMinimum + 2 {
		r := ask(fmt.Sprint("lost", i), "top", "small")
		r.Request.Fingerprint = string(r.Request.ID)
		assert.Equal(t, formatActions(s.Step(now, r)), string(r.Request.ID)+">a")
		r.Request.Retry = true
		lost = append(lost, r)
	}
	for _, r := range lost {
		s.Step(now, done(string(r.Request.ID), "a", Crashed))
	}
	for _, r := range lost {
		s.Step(now, r)
	}
	now = now.Add(time.Millisecond)
	assert.Equal(t, formatActions(s.Step(now, ask("fresh", "top", "small"))), "")
	assert.Equal(t, formatActions(s.Step(now, done("one", "b", Completed))), "lost0>b")
	assert.Equal(t, formatActions(s.Step(now, done("two", "b", Completed))), "fresh>b")
}

// TestLateSchedulerRefusesNothingAsOverloaded guards against a scheduler that takes its own
// delay for a lack of slots: it learns late of the ends of requests, so that slots seem to
// be held for longer than they are.
func TestLateSchedulerRefusesNothingAsOverloaded(t *testing.T) {
	refused := func(late time.Duration) int {
		s := New(WithSeed(1))
		s.Step(start, Configure{Document: document()})
		s.Step(start, Observe{registrar.Upstream{Name: "ledger-0", Services: []validator.PoolName{"ledger"}, Slots: 1, Incarnation: 1, Sequence: 1}})
		now, n := start, 0
		submit := func(i int) {
			r := Request{ID: RequestID(fmt.Sprint("r", i)), Pool: "ledger", Class: "top", Organisation: "small", Arrived: now}
			for _, a := range s.Step(now, Submit{r}) {
				if _, ok := a.(Refuse); ok {
					n++
				}
			}
		}
		submit(0)
		now = now.Add(time.Minute)
		s.Step(now, Finished{ID: "r0", Upstream: "ledger-0", Outcome: Completed})
		s.Step(now, Tick{Late: late})
		for i := range 4 * crowdMinimum {
			submit(i + 1)
		}
		return n
	}
	assert.Assert(t, refused(0) > 0)
	assert.Equal(t, refused(time.Second), 0)
}
