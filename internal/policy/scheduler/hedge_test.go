package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// newHedgeScheduler returns a scheduler that has learned a time to the first token
// of 100 ms from the given number of requests, which count for its hedge budget,
// and the current time. Upstreams a, b and c are idle; b also serves the pool "n".
func newHedgeScheduler(fresh int) (*Scheduler, time.Time) {
	s, now := New(), start
	s.Step(now, Configure{Document: document()})
	for _, n := range []string{"a", "b", "c"} {
		u := engine(n, 2)
		if n == "b" {
			u.Models = append(u.Models, "n")
		}
		s.Step(now, Observe{u})
	}
	for i := range fresh {
		id := fmt.Sprint("fresh", i)
		u := s.Step(now, ask(id, "top", "small"))[0].(Grant).Upstream
		now = now.Add(100 * time.Millisecond)
		s.Step(now, FirstToken{ID: RequestID(id), Upstream: u})
		s.Step(now, done(id, string(u), Completed))
	}
	return s, now
}

// TestHedge guards against hedges of requests that must not run twice or may have
// crashed an upstream, against hedges on slots that other top-tier requests need,
// against more than one hedge for a request, and against a late request that gets
// none.
func TestHedge(t *testing.T) {
	late := 300 * time.Millisecond
	for name, c := range map[string]struct {
		change  func(*Request)
		prepare func(*Scheduler, time.Time)
		after   time.Duration
		want    string
	}{
		"late":           {nil, nil, late, "r+b"},
		"in time":        {nil, nil, 50 * time.Millisecond, ""},
		"not repeatable": {func(r *Request) { r.Repeatable = false }, nil, late, ""},
		"in one piece":   {func(r *Request) { r.Whole = true }, nil, late, ""},
		"lower tier":     {func(r *Request) { r.Class = "low" }, nil, late, ""},
		"suspect": {func(r *Request) { r.Fingerprint = "f" }, func(s *Scheduler, now time.Time) {
			s.Step(now, Adopt{Request: Request{ID: "x", Pool: "m", Fingerprint: "f"}, Upstream: "c"})
			s.Step(now, done("x", "c", Crashed))
		}, late, ""},
		"has a token": {nil, func(s *Scheduler, now time.Time) {
			s.Step(now, FirstToken{ID: "r", Upstream: "a"})
		}, late, ""},
		"avoided": {func(r *Request) { r.Avoid = []registrar.UpstreamID{"b"} }, nil, late, "r+c"},
		"perhaps not the only scheduler": {nil, func(s *Scheduler, now time.Time) {
			s.Step(now, Settle{})
		}, late, ""},
		"another pool needs the slot": {nil, func(s *Scheduler, now time.Time) {
			o := Request{ID: "o", Pool: "n", Class: "top", Fingerprint: "f"}
			s.Step(now, Adopt{Request: Request{ID: "x", Pool: "n", Fingerprint: "f"}, Upstream: "gone"})
			s.Step(now, Submit{o})
		}, late, "r+c"},
		"many prompts in process": {nil, func(s *Scheduler, now time.Time) {
			s.Step(now, Adopt{Request: Request{ID: "x", Pool: "m", Whole: true}, Upstream: "b"})
			s.Step(now, Adopt{Request: Request{ID: "y", Pool: "m", Whole: true}, Upstream: "c"})
		}, late, ""},
		"several stuck on one upstream": {nil, func(s *Scheduler, now time.Time) {
			for i := range 5 {
				x := Request{ID: RequestID(fmt.Sprint("x", i)), Pool: "m", Class: "top"}
				s.Step(now, Adopt{Request: x, Upstream: "a"})
			}
		}, late, "r+b"},
		"slots needed": {nil, func(s *Scheduler, now time.Time) {
			for i := range 3 {
				for _, u := range []string{"b", "c"} {
					id := RequestID(fmt.Sprint(u, i))
					s.Step(now, Adopt{Request: Request{ID: id, Pool: "m"}, Upstream: registrar.UpstreamID(u)})
					s.Step(now, FirstToken{ID: id, Upstream: registrar.UpstreamID(u)})
				}
			}
		}, late, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := newHedgeScheduler(hedgeCost)
			r := ask("r", "top", "small")
			if c.change != nil {
				c.change(&r.Request)
			}
			assert.Equal(t, formatActions(s.Step(now, r)), "r>a")
			if c.prepare != nil {
				c.prepare(s, now)
			}
			assert.Equal(t, formatActions(s.Step(now.Add(c.after), Tick{})), c.want)
			assert.Equal(t, formatActions(s.Step(now.Add(c.after+TickInterval), Tick{})), "")
		})
	}
}

// TestHedgeBudget guards, for any pattern of late requests, against more hedges
// than a fiftieth of the first submissions, against hedges while top-tier requests
// wait, and against more attempts than slots.
func TestHedgeBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newHedgeScheduler(hedgeCost / 2)
		fresh, hedges := hedgeCost/2, 0
		running := map[registrar.UpstreamID][]RequestID{}
		act := func(list []Action) {
			for _, a := range append([]Action(nil), list...) {
				switch a := a.(type) {
				case Grant:
					running[a.Upstream] = append(running[a.Upstream], a.ID)
				case Hedge:
					hedges++
					assert.Equal(t, s.pools["m"].queued[0], 0)
					running[a.Upstream] = append(running[a.Upstream], a.ID)
				}
			}
			for u, ids := range running {
				assert.Assert(t, len(ids) <= s.upstreams[u].Slots)
			}
		}
		for i := range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
			fresh++
			act(s.Step(now, ask(fmt.Sprint("r", i), rapid.SampledFrom([]string{"top", "low"}).Draw(t, "class"), "small")))
			act(s.Step(now, Tick{}))
			u := registrar.UpstreamID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream"))
			if ids := running[u]; len(ids) > 0 {
				running[u] = ids[1:]
				act(s.Step(now, Finished{ID: ids[0], Upstream: u, Outcome: Completed, Tokens: 5}))
			}
			assert.Assert(t, hedges*hedgeCost <= fresh, "%d hedges for %d fresh requests", hedges, fresh)
		}
	})
}
