package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMove guards against a top-tier stream that stays on an upstream which has
// become slow, and against moves of requests that must not be repeated or belong to
// a lower tier, or when no slot is free elsewhere.
func TestMove(t *testing.T) {
	const tokens = 20
	for name, c := range map[string]struct {
		change func(*Request)
		gap    time.Duration
		full   bool
		want   string
	}{
		"slow":           {nil, 150 * time.Millisecond, false, "r<a"},
		"not slow":       {nil, 35 * time.Millisecond, false, ""},
		"not repeatable": {func(r *Request) { r.Repeatable = false }, 150 * time.Millisecond, false, ""},
		"in one piece":   {func(r *Request) { r.Whole = true }, 150 * time.Millisecond, false, ""},
		"lower tier":     {func(r *Request) { r.Class = "low" }, 150 * time.Millisecond, false, ""},
		"no slot":        {nil, 150 * time.Millisecond, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := newHedgeScheduler(0)
			r := ask("r", "top", "small")
			if c.change != nil {
				c.change(&r.Request)
			}
			assert.Equal(t, formatActions(s.Step(now, r)), "r>a")
			for _, id := range []string{"b", "c"} {
				for i := range 2 {
					if i == 0 || c.full {
						x := Request{ID: RequestID(id + string(rune('0'+i))), Pool: "m", Class: "low"}
						s.Step(now, Adopt{Request: x, Upstream: s.upstreams[engine(id, 2).Name].Name})
						s.Step(now, FirstToken{ID: x.ID, Upstream: engine(id, 2).Name})
					}
				}
			}
			s.Step(now, FirstToken{ID: "r", Upstream: "a"})
			now = now.Add(tokens * c.gap)
			s.Step(now, Progress{ID: "r", Upstream: "a", Tokens: tokens + 1})
			for _, id := range []string{"b", "c"} {
				s.Step(now, Progress{ID: RequestID(id + "0"), Upstream: engine(id, 2).Name, Tokens: int(tokens*c.gap/(30*time.Millisecond)) + 1})
			}
			assert.Equal(t, formatActions(s.Step(now, Tick{})), c.want)
			assert.Equal(t, formatActions(s.Step(now.Add(TickInterval), Tick{})), "", "moved twice")
		})
	}
}
