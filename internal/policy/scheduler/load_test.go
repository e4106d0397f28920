package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// TestProspect guards against forecasts that send requests to other cells although
// this one can serve them, or keep them here although no upstream accepts them.
func TestProspect(t *testing.T) {
	leaving := engine("a", 1)
	leaving.Leaving, leaving.Sequence = true, 2
	busy := []Event{Observe{engine("a", 1)}, ask("1", "low", "large"), ask("2", "low", "large")}
	cases := map[string]struct {
		events   []Event
		class    string
		live     int
		free     int
		leaving  int
		waits    bool
		stranded int
	}{
		"unknown pool":                   {nil, "top", 0, 0, 0, false, 0},
		"free slot":                      {[]Event{Observe{engine("a", 2)}, ask("1", "top", "large")}, "top", 1, 1, 0, false, 0},
		"queue":                          {busy, "low", 1, 0, 0, true, 0},
		"lower work gives way":           {append(busy[:2:2], FirstToken{ID: "1", Upstream: "a"}), "top", 1, 0, 0, false, 0},
		"crashed, lease runs":            {append(busy, done("1", "a", Crashed)), "low", 0, 0, 0, true, 1},
		"leaving, finishes what it runs": {append(busy[:2:2], Observe{leaving}), "low", 0, 0, 1, true, 0},
		"gone":                           {append(busy[:2:2], Forget{"a"}), "low", 0, 0, 0, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New()
			s.Step(start, Configure{document()})
			s.Step(start, Settle{Settled: true})
			for _, e := range c.events {
				s.Step(start, e)
			}
			now := start.Add(100 * time.Millisecond)
			x := s.Forecast(now, Request{ID: "new", Pool: "m", Class: validator.ClassName(c.class), Organisation: "small", Arrived: start})
			assert.Equal(t, x.Live, c.live)
			assert.Equal(t, x.Delay > 0, c.waits, "delay %v", x.Delay)
			assert.Assert(t, x.Allowed > 0 && x.Allowed <= 20*time.Second, "allowed %v", x.Allowed)
			assert.Equal(t, len(s.Stranded()), c.stranded)
			for _, l := range s.Loads(now) {
				assert.Equal(t, l.Live, c.live)
				assert.Equal(t, l.Free, c.free)
				assert.Equal(t, l.Leaving, c.leaving)
			}
		})
	}
}
