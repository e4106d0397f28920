package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// again submits a further attempt of a request and reports whether it was granted.
func again(s *Scheduler, now time.Time, id string, change func(*Request)) bool {
	e := ask(id, "top", "small")
	e.Request.Retry = true
	change(&e.Request)
	for _, a := range s.Step(now, e) {
		if g, ok := a.(Grant); ok && g.ID == e.Request.ID {
			return true
		}
	}
	return false
}

// TestEveryRepeatCountsWhateverItsReason guards against repeats that no budget counts:
// those after a crash, a preemption or a move to another scheduler came without a bound.
func TestEveryRepeatCountsWhateverItsReason(t *testing.T) {
	cases := map[string]struct {
		outcome Outcome
		change  func(*Request)
	}{
		"failed":                           {Failed, func(*Request) {}},
		"crashed":                          {Crashed, func(*Request) {}},
		"preempted":                        {Preempted, func(*Request) {}},
		"silent":                           {Silent, func(*Request) {}},
		"moved":                            {Failed, func(r *Request) { r.Moved = true }},
		"spilled":                          {Failed, func(r *Request) { r.Moved, r.Spilled = true, "other" }},
		"resumed":                          {Preempted, func(r *Request) { r.Retry, r.Emitted = false, 3 }},
		"preempted before the first token": {Preempted, func(r *Request) { r.Retry = false }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, granted := New(), 0
			s.Step(start, Configure{Document: document()})
			s.Step(start, Observe{engine("a", 100)})
			s.Step(start, Observe{engine("b", 1000)})
			for i := range 40 {
				id := fmt.Sprint("r", i)
				s.Step(start, Adopt{Request: ask(id, "top", "small").Request, Upstream: "a"})
				s.Step(start, done(id, "a", c.outcome))
				if again(s, start, id, c.change) {
					granted++
				}
			}
			assert.Equal(t, granted, DefaultRetryBurst)
		})
	}
}

// TestMovedRepeatWaitsForTheBudget guards against a repeat that another scheduler has
// admitted and that is refused at the next one, and against one that is sent although
// the budget is spent.
func TestMovedRepeatWaitsForTheBudget(t *testing.T) {
	s := New()
	s.Step(start, Configure{Document: document()})
	s.Step(start, Observe{engine("a", 100)})
	s.TakeRepeats()
	e := ask("r", "top", "small")
	e.Request.Retry, e.Request.Moved = true, true
	assert.Equal(t, len(s.Step(start, e)), 0)
	var granted bool
	for i := range 10 {
		for _, a := range s.Step(start, ask(fmt.Sprint("f", i), "top", "small")) {
			g, ok := a.(Grant)
			granted = granted || ok && g.ID == "r"
		}
		assert.Equal(t, granted, i == 9, "after %d first submissions", i+1)
	}
}

// TestUnsentAttemptIsNoRepeat guards against a budget that is used up by attempts of
// which no upstream has seen anything.
func TestUnsentAttemptIsNoRepeat(t *testing.T) {
	s := New()
	s.Step(start, Configure{Document: document()})
	s.Step(start, Observe{engine("a", 100)})
	s.TakeRepeats()
	assert.Assert(t, again(s, start, "r", func(r *Request) { r.Unsent = true }))
	assert.Assert(t, !again(s, start, "q", func(*Request) {}))
	s.Step(start, Deposit{Pool: "m", Repeats: 1})
	assert.Assert(t, again(s, start, "q", func(*Request) {}))
	s.Step(start, done("q", "a", ConnectTimeout))
	assert.Assert(t, again(s, start, "q", func(*Request) {}), "the repeat that was not sent is paid for")
	assert.Assert(t, !again(s, start, "p", func(*Request) {}))
}

// TestRescueNeedsTheBudget guards against live attempts that are ended in one blow when
// engines are taken for silent: each of them is sent once more.
func TestRescueNeedsTheBudget(t *testing.T) {
	f := newEngineFleet(t, 3)
	var running []RequestID
	for range 40 {
		id := f.hint()
		f.first(id)
		running = append(running, id)
	}
	f.pass(2 * silenceTimeout)
	asked := 0
	for _, id := range running {
		asked += f.preempts[id]
	}
	assert.Assert(t, asked > 0, "a silent engine has to be left")
	assert.Assert(t, asked <= DefaultRetryBurst+4, "%d attempts were ended", asked)
}

// TestAskedAttemptIsPaidForInAdvance guards against a request that is asked to leave its
// upstream and then refused for want of a retry budget, because the scheduler knew it by
// the ID of its last attempt.
func TestAskedAttemptIsPaidForInAdvance(t *testing.T) {
	f := newEngineFleet(t, 2)
	for range DefaultRetryBurst - 1 {
		assert.Assert(t, f.s.budget("m").take())
	}
	ask := Request{ID: "r/1", Origin: "r", Pool: "m", Class: "hint", Prompt: 1_200, Limit: 200, Rescue: true, Arrived: f.now}
	f.step(Submit{ask})
	f.first("r/1")
	f.pass(2 * silenceTimeout)
	assert.Equal(t, f.preempts["r/1"], 1)
	assert.Assert(t, !f.s.budget("m").left())
	f.step(Finished{ID: "r/1", Upstream: f.running["r/1"], Outcome: Preempted, Tokens: 5})
	ask.ID, ask.Retry, ask.Emitted = "r/2", true, 5
	f.step(Submit{ask})
	assert.Assert(t, f.running["r/2"] != "")
}

// TestPoolKeepsItsBudgetWithoutUpstreams guards against a pool that has the whole budget
// again once its last upstream has left and another one has come.
func TestPoolKeepsItsBudgetWithoutUpstreams(t *testing.T) {
	s, granted := New(), 0
	s.Step(start, Configure{Document: document()})
	for round := range 3 {
		u := engine("a", 1000)
		u.Incarnation = registrar.Incarnation(round + 2)
		s.Step(start, Observe{u})
		for i := range 40 {
			if again(s, start, fmt.Sprint("r", round, "-", i), func(*Request) {}) {
				granted++
			}
		}
		s.Step(start, Forget{"a"})
		s.Step(start, Tick{})
	}
	assert.Equal(t, granted, DefaultRetryBurst)
}

// TestSchedulersTogetherKeepTheRetryBudget guards against repeats beyond the sum of what
// first submissions allow and what each scheduler began with, its part of the whole, over
// schedulers that follow each other, act at the same time, lose hosts to each other and
// start anew.
func TestSchedulersTogetherKeepTheRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst, share, hosts = 30, 0.1, 6
		// brought is what the schedulers began with.
		brought := 0.0
		fresh := func() *Scheduler {
			s := New(WithRetryBudget(share, burst))
			s.Step(start, Configure{Document: document()})
			s.Step(start, Observe{engine("a", 100000)})
			s.Step(start, Divide{Hosts: hosts})
			for _, d := range s.SavedRepeats() {
				brought += d.Repeats
			}
			return s
		}
		all := make([]*Scheduler, hosts)
		for i := range all {
			all[i] = fresh()
		}
		// link holds the scheduler that each host uses.
		link := make([]int, hosts)
		for i := range link {
			link[i] = i
		}
		firsts, repeats := 0, 0
		move := func(h, to int) {
			if link[h] == to {
				return
			}
			for _, d := range all[link[h]].SavedRepeats() {
				d.Repeats /= hosts
				all[link[h]].Step(start, Withdraw(d))
				all[to].Step(start, d)
			}
			link[h] = to
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			h := rapid.IntRange(0, hosts-1).Draw(t, "host")
			s := all[link[h]]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				move(h, rapid.IntRange(0, hosts-1).Draw(t, "to"))
			case 1:
				all[h] = fresh()
			case 2:
				s.Step(start, Divide{Hosts: 1})
			case 3, 4, 5:
				firsts++
				s.Step(start, ask(fmt.Sprint("f", firsts), "top", "small"))
			default:
				if again(s, start, fmt.Sprint("r", firsts, "-", repeats, "-", rapid.IntRange(0, 1<<30).Draw(t, "id")), func(r *Request) { r.Moved = h%2 == 0 }) {
					repeats++
				}
			}
		}
		if most := brought + share*float64(firsts); float64(repeats) > most+retryMargin {
			t.Fatalf("%d repeats, %g brought, %d first submissions", repeats, brought, firsts)
		}
	})
}
