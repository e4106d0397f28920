package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func document() *validator.Document {
	return &validator.Document{
		Classes: []validator.Class{
			{Name: "top", Tier: 0, First: validator.Duration(time.Second), Wait: validator.Duration(10 * time.Second)},
			{Name: "slow", Tier: 0, First: validator.Duration(5 * time.Second), Wait: validator.Duration(10 * time.Second)},
			{Name: "low", Tier: 3, Total: validator.Duration(60 * time.Second), Wait: validator.Duration(20 * time.Second)},
		},
		Organisations: []validator.Organisation{
			{Name: "large", Share: 1}, {Name: "small", Share: 1},
			{Name: "capped", Share: 1, Limit: 1}, {Name: "rated", Share: 1, Rate: 1},
		},
	}
}

func engine(name string, slots int) registrar.Upstream {
	return registrar.Upstream{Name: registrar.UpstreamID(name), Slots: slots, Models: []validator.PoolName{"m"}, Incarnation: 1, Sequence: 1}
}

func ask(id, class, organisation string) Submit {
	return Submit{Request: Request{ID: RequestID(id), Pool: "m", Class: validator.ClassName(class), Organisation: validator.OrganisationName(organisation), Repeatable: true}}
}

func done(id, upstream string, o Outcome) Finished {
	return Finished{ID: RequestID(id), Upstream: registrar.UpstreamID(upstream), Outcome: o, Tokens: 10}
}

// formatActions writes the actions of a step in a short form: ">" for a grant, "!"
// for a refusal, "<" for a preemption and "+" for a hedge.
func formatActions(actions []Action) string {
	var words []string
	for _, a := range actions {
		switch a := a.(type) {
		case Grant:
			words = append(words, fmt.Sprintf("%s>%s", a.ID, a.Upstream))
		case Refuse:
			words = append(words, fmt.Sprintf("%s!%s", a.ID, a.Reason))
		case Preempt:
			words = append(words, fmt.Sprintf("%s<%s", a.ID, a.Upstream))
		case Hedge:
			words = append(words, fmt.Sprintf("%s+%s", a.ID, a.Upstream))
		}
	}
	return strings.Join(words, " ")
}

// TestStep guards against requests that are granted out of order, beyond the slots,
// twice, or to upstreams that accept no new work.
func TestStep(t *testing.T) {
	type step struct {
		after time.Duration
		event Event
		want  string
	}
	leaving := engine("a", 1)
	leaving.Leaving, leaving.Sequence = true, 2
	back := engine("a", 1)
	back.Sequence = 3
	alive := engine("a", 1)
	alive.Sequence = 1 + staleAnnouncements
	restarted := engine("a", 1)
	restarted.Incarnation = 2
	avoid := ask("r", "top", "small")
	avoid.Request.Avoid = []registrar.UpstreamID{"a"}
	begun := ask("l", "low", "small")
	begun.Request.Emitted = 5
	one := step{0, Observe{engine("a", 1)}, ""}
	for name, steps := range map[string][]step{
		"no upstream": {{0, ask("r", "top", "small"), "r!unavailable"}},
		"slots bound the grants": {one,
			{0, ask("r", "top", "small"), "r>a"}, {0, ask("s", "top", "small"), ""},
			{0, ask("s", "top", "small"), ""},
			{0, done("r", "a", Completed), "s>a"}, {0, done("r", "a", Completed), ""}},
		"tier then slack": {one,
			{0, ask("r", "top", "small"), "r>a"}, {0, ask("l", "low", "small"), ""},
			{0, ask("s", "slow", "small"), ""}, {0, ask("t", "top", "small"), ""},
			{0, done("r", "a", Completed), "t>a"}, {0, done("t", "a", Completed), "s>a"},
			{0, done("s", "a", Completed), "l>a"}},
		"least loaded": {one, {0, Observe{engine("b", 2)}, ""},
			{0, ask("r", "top", "small"), "r>b"}, {0, ask("s", "top", "small"), "s>a"},
			{0, ask("t", "top", "small"), "t>b"}},
		"leaving is final for its incarnation": {one, {0, Observe{engine("b", 1)}, ""},
			{0, Observe{leaving}, ""}, {0, Observe{back}, ""}, {0, ask("r", "top", "small"), "r>b"},
			{0, ask("s", "top", "small"), ""}, {0, Observe{restarted}, "s>a"}},
		"last upstream leaves": {one, {0, ask("r", "top", "small"), "r>a"},
			{0, ask("s", "top", "small"), ""}, {0, Observe{leaving}, "s!unavailable"}},
		"forgotten takes nothing and frees nothing": {one, {0, ask("r", "top", "small"), "r>a"},
			{0, ask("s", "top", "small"), ""}, {0, Forget{"a"}, "s!unavailable"},
			{0, Observe{engine("a", 1)}, ""}, {0, ask("t", "top", "small"), ""},
			{0, done("r", "a", Completed), "t>a"}},
		"crashed takes nothing until it announces": {one, {0, ask("r", "top", "small"), "r>a"},
			{0, done("r", "a", Crashed), ""}, {0, ask("s", "top", "small"), ""},
			{0, Observe{engine("a", 1)}, ""}, {0, Observe{back}, ""}, {0, Observe{restarted}, "s>a"}},
		"connection lost but announces on": {one, {0, ask("r", "top", "small"), "r>a"},
			{0, done("r", "a", Crashed), ""}, {0, ask("s", "top", "small"), ""},
			{0, Observe{back}, ""}, {0, Observe{alive}, "s>a"}},
		"adopted slots count": {{0, Adopt{Request: ask("r", "top", "small").Request, Upstream: "a"}, ""}, one,
			{0, ask("s", "top", "small"), ""}, {0, done("r", "a", Completed), "s>a"}},
		"cancel frees the slot": {one, {0, ask("r", "top", "small"), "r>a"},
			{0, ask("s", "top", "small"), ""}, {0, ask("t", "top", "small"), ""},
			{0, Cancel{"s"}, ""}, {0, Cancel{"r"}, "t>a"}},
		"organisation limit": {one, {0, ask("r", "top", "capped"), "r>a"},
			{0, ask("s", "top", "capped"), "s!limited"}, {0, done("r", "a", Completed), ""},
			{0, ask("t", "top", "capped"), "t>a"}},
		"organisation rate": {one, {0, ask("r", "top", "rated"), "r>a"},
			{0, ask("s", "top", "rated"), "s!limited"}, {time.Second, ask("t", "top", "rated"), ""}},
		"avoided only when there is no other": {one, {0, avoid, "r>a"}, {0, done("r", "a", Completed), ""},
			{0, Observe{engine("b", 1)}, ""}, {0, ask("s", "top", "small"), "s>a"}, {0, done("s", "a", Completed), ""},
			{0, avoid, "r>b"}},
		"parked lets others pass": {one, {0, Observe{engine("b", 1)}, ""}, {0, ask("s", "top", "small"), "s>a"},
			{0, ask("t", "top", "small"), "t>b"}, {0, avoid, ""}, {0, ask("u", "low", "small"), ""},
			{0, done("s", "a", Completed), "u>a"}, {0, done("t", "b", Completed), "r>b"}},
		"lower tier gives way and top tier is not refused meanwhile": {one, {0, ask("l", "low", "small"), "l>a"},
			{0, ask("t", "top", "small"), ""}, {950 * time.Millisecond, Tick{}, "l<a"},
			{200 * time.Millisecond, Tick{}, ""}, {0, done("l", "a", Preempted), "t>a"},
			{0, ask("l", "low", "small"), ""}, {0, ask("u", "top", "large"), ""},
			{950 * time.Millisecond, Tick{}, ""}, {100 * time.Millisecond, Tick{}, "u!overloaded"},
			{0, done("t", "a", Completed), "l>a"}},
		"an answer that has begun is not cut off": {one, {0, ask("r", "top", "small"), "r>a"},
			{0, begun, ""}, {0, ask("m", "low", "small"), ""}, {21 * time.Second, Tick{}, "m!overloaded"},
			{0, done("r", "a", Completed), "l>a"}},
		"reconfigured": {one, {0, ask("r", "top", "small"), "r>a"}, {0, ask("s", "slow", "small"), ""},
			{0, ask("t", "top", "small"), ""}, {0, Configure{&validator.Document{Classes: document().Classes[1:]}}, ""},
			{0, done("r", "a", Completed), "s>a"}},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := New(), start
			s.Step(now, Configure{Document: document()})
			for i, p := range steps {
				now = now.Add(p.after)
				assert.Equal(t, formatActions(s.Step(now, p.event)), p.want, "step %d", i)
			}
		})
	}
}

// TestFairShare guards against an organisation that takes more than its share with
// a burst, or that saves up share by pausing.
func TestFairShare(t *testing.T) {
	s := New()
	s.Step(start, Configure{Document: document()})
	s.Step(start, Observe{engine("a", 1)})
	for i := range 200 {
		s.Step(start, ask(fmt.Sprintf("large-%03d", i), "top", "large"))
	}
	for i := range 50 {
		s.Step(start.Add(time.Millisecond), ask(fmt.Sprintf("small-%03d", i), "top", "small"))
	}
	running, small := "large-000", 0
	for range 100 {
		got := s.Step(start.Add(time.Second), Finished{ID: RequestID(running), Upstream: "a", Tokens: 256})
		running = string(got[0].(Grant).ID)
		if strings.HasPrefix(running, "small") {
			small++
		}
	}
	assert.Assert(t, small >= 40, "the small organisation got %d of 100 slots", small)
}

// TestOverdue guards against low-tier requests that are never served under constant
// top-tier load, and against a backlog of them that starves the top tier.
func TestOverdue(t *testing.T) {
	s, now := New(), start
	s.Step(now, Configure{Document: document()})
	s.Step(now, Observe{engine("a", 1)})
	s.Step(now, ask("first", "top", "small"))
	for i := range 50 {
		s.Step(now, ask(fmt.Sprintf("low-%d", i), "low", "small"))
	}
	running, low := RequestID("first"), 0
	for i := range 200 {
		now = now.Add(200 * time.Millisecond)
		s.Step(now, ask(fmt.Sprintf("top-%03d", i), "top", "small"))
		running = s.Step(now, Finished{ID: running, Upstream: "a"})[0].(Grant).ID
		if strings.HasPrefix(string(running), "low") {
			low++
		}
	}
	assert.Assert(t, low >= 5 && low <= 15, "low-tier work got %d of 200 slots", low)
}

// TestRetryBudget guards against retries that multiply a failure, whatever ended the
// attempts before.
func TestRetryBudget(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		fresh   int
		want    int
	}{{Failed, 0, 10}, {Failed, 50, 15}, {Crashed, 0, 10}, {Crashed, 50, 15}, {Preempted, 0, 10}, {Preempted, 50, 15}} {
		s, granted := New(), 0
		s.Step(start, Configure{Document: document()})
		s.Step(start, Observe{engine("a", 100)})
		for i := range 40 {
			id := fmt.Sprint("r", i)
			s.Step(start, Adopt{Request: ask(id, "top", "small").Request, Upstream: "a"})
			s.Step(start, done(id, "a", c.outcome))
		}
		back := engine("a", 100)
		back.Sequence = 1 + staleAnnouncements
		s.Step(start, Observe{back})
		retry := func(i int) {
			again := ask(fmt.Sprint("r", i), "top", "small")
			again.Request.Retry = true
			if _, ok := s.Step(start, again)[0].(Grant); ok {
				granted++
			}
		}
		for i := range 20 {
			retry(i)
		}
		for i := range c.fresh {
			s.Step(start, ask(fmt.Sprint("f", i), "top", "small"))
		}
		for i := 20; i < 40; i++ {
			retry(i)
		}
		assert.Equal(t, granted, c.want, "outcome %d with %d fresh requests", c.outcome, c.fresh)
	}
}

// TestNextOwnersShareTheRetryBudget guards against successive owners of a cell that
// each allow as many retries as if there had been none. Together they may allow no
// more than the configured number beyond the share of first submissions.
func TestNextOwnersShareTheRetryBudget(t *testing.T) {
	const extra, share, owners = 60, 0.6, 3
	granted := 0
	for owner := range owners {
		s := New(WithRetryBudget(0.1, share*extra))
		s.Step(start, Configure{Document: document()})
		s.Step(start, Observe{engine("a", 1000)})
		if owner > 0 {
			s.Step(start, Portion{})
			s.Step(start, Divide{Hosts: 9})
			s.Step(start, Portion{1})
			s.Step(start, Divide{Hosts: 1})
		}
		for i := range extra {
			again := ask(fmt.Sprint("r", i), "top", "small")
			again.Request.Retry = true
			if _, ok := s.Step(start, again)[0].(Grant); ok {
				granted++
			}
		}
	}
	assert.Assert(t, granted <= extra, "%d retries of %d", granted, extra)
	assert.Assert(t, granted > extra/2, "%d retries of %d", granted, extra)
}

// TestFloor guards against a class whose floor is accepted but not kept, and
// against a floor that takes slots from the top tier.
func TestFloor(t *testing.T) {
	d := document()
	d.Classes = []validator.Class{
		{Name: "top", Tier: 0, First: validator.Duration(time.Hour), Wait: validator.Duration(time.Hour)},
		{Name: "middle", Tier: 1, First: validator.Duration(time.Hour), Wait: validator.Duration(time.Hour)},
		{Name: "low", Tier: 3, First: validator.Duration(time.Hour), Wait: validator.Duration(time.Hour), Floor: 0.25},
	}
	for _, c := range []struct {
		busy string
		want int
	}{{"middle", 25}, {"top", 0}} {
		s := New()
		s.Step(start, Configure{Document: d})
		s.Step(start, Observe{engine("a", 1)})
		running := ask("first", c.busy, "large")
		s.Step(start, running)
		for i := range 200 {
			s.Step(start, ask(fmt.Sprint(c.busy, i), c.busy, "large"))
			s.Step(start, ask(fmt.Sprint("low", i), "low", "large"))
		}
		id, low := "first", 0
		for range 100 {
			granted := s.Step(start, done(id, "a", Completed))
			assert.Equal(t, len(granted), 1)
			id = string(granted[0].(Grant).ID)
			if strings.HasPrefix(id, "low") {
				low++
			}
		}
		assert.Assert(t, low >= c.want-1 && low <= c.want+1, "%d of 100 grants went to the class with a floor beside %s", low, c.busy)
	}
}
