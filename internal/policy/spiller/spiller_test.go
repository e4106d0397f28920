package spiller_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/policy/spiller"
)

const ms = time.Millisecond

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

type option func(*summarizer.Cell)

func cell(name string, live, free int, delay time.Duration, options ...option) summarizer.Cell {
	p := summarizer.Pool{Name: "story", Live: live, Free: free}
	for i := range p.Delay {
		p.Delay[i] = delay
	}
	c := summarizer.Cell{Made: start, RoundTrip: 10 * ms}
	c.Cell, c.Pools = registrar.CellName(name), []summarizer.Pool{p}
	for _, o := range options {
		o(&c)
	}
	return c
}

func leaving(c *summarizer.Cell) { c.Leaving = true }
func stale(c *summarizer.Cell)   { c.Made = start.Add(-summarizer.Lifetime) }
func far(c *summarizer.Cell)     { c.RoundTrip = 300 * ms }
func unmeasured(c *summarizer.Cell) {
	c.RoundTrip, c.Region = 0, "south"
}
func near(c *summarizer.Cell) { c.RoundTrip, c.Region = 0, "north" }

func ask(live int, delay, allowed time.Duration, others ...summarizer.Cell) spiller.Ask {
	return spiller.Ask{
		Pool:   "story",
		Region: "north",
		Own:    scheduler.Forecast{Live: live, Delay: delay, Allowed: allowed},
		Others: others,
	}
}

// settled returns a spiller that has seen the tier miss its target for long enough,
// and the current time.
func settled(e spiller.Ask) (*spiller.Spiller, time.Time) {
	s := spiller.New()
	e.Others = nil
	s.Step(start.Add(-500*ms), e)
	s.Step(start.Add(-100*ms), e)
	return s, start
}

// TestDecision guards against requests that leave their cell although it can serve
// them, or that stay although only another cell can.
func TestDecision(t *testing.T) {
	tried := ask(0, 0, 300*ms, cell("east", 2, 4, 0))
	tried.Spilled = true
	final := ask(0, 0, 300*ms, cell("east", 2, 4, 0))
	final.Own.Final = true
	other := ask(0, 0, 300*ms, cell("east", 2, 4, 0))
	other.Pool = "shop"
	cases := map[string]struct {
		ask  spiller.Ask
		want string
	}{
		"own cell serves":             {ask(1, 0, 300*ms, cell("east", 2, 4, 0)), ""},
		"own cell waits but meets":    {ask(1, 299*ms, 300*ms, cell("east", 2, 4, 0)), ""},
		"no upstream here":            {ask(0, 0, 300*ms, cell("east", 2, 4, 0)), "east"},
		"no upstream anywhere":        {ask(0, 0, 300*ms, cell("east", 0, 0, 0)), ""},
		"no other cell":               {ask(0, 0, 300*ms), ""},
		"another model":               {other, ""},
		"no upstream here, all slow":  {ask(0, 0, 300*ms, cell("east", 2, 0, time.Second)), "east"},
		"no upstream, one meets":      {ask(0, 0, 300*ms, cell("east", 2, 0, time.Second), cell("south", 1, 1, 0)), "south"},
		"target missed, other meets":  {ask(1, 400*ms, 300*ms, cell("east", 2, 4, 0)), "east"},
		"target missed, other too":    {ask(1, 400*ms, 300*ms, cell("east", 2, 0, 350*ms)), ""},
		"round trip too long":         {ask(1, 400*ms, 300*ms, cell("east", 2, 4, 0, far)), ""},
		"round trip by region":        {ask(1, 400*ms, 100*ms, cell("east", 2, 4, 0, unmeasured), cell("south", 2, 4, 0, near)), "south"},
		"stale summary":               {ask(0, 0, 300*ms, cell("east", 2, 4, 0, stale)), ""},
		"cell is leaving":             {ask(0, 0, 300*ms, cell("east", 2, 4, 0, leaving)), ""},
		"sent to another cell before": {tried, ""},
		"crashed upstreams before":    {final, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := settled(c.ask)
			got := s.Step(now, c.ask)
			if c.want == "" {
				assert.Equal(t, got, spiller.Keep{})
				return
			}
			assert.Equal(t, got, spiller.Spill{Cell: registrar.CellName(c.want)})
		})
	}
}

// TestHysteresis guards against requests that move between cells with each burst.
func TestHysteresis(t *testing.T) {
	type sample struct {
		at    time.Duration
		delay time.Duration
		away  bool
	}
	cases := map[string][]sample{
		"a burst is waited for": {{0, 400 * ms, false}, {200 * ms, 400 * ms, false}, {250 * ms, 100 * ms, false}, {350 * ms, 400 * ms, false}},
		"a lasting miss leaves": {{0, 400 * ms, false}, {200 * ms, 400 * ms, false}, {300 * ms, 400 * ms, true}, {400 * ms, 400 * ms, true}},
		"a dip near the target": {{0, 400 * ms, false}, {300 * ms, 400 * ms, true}, {400 * ms, 270 * ms, false}, {500 * ms, 400 * ms, true}},
		"calm starts anew":      {{0, 400 * ms, false}, {300 * ms, 400 * ms, true}, {400 * ms, 240 * ms, false}, {500 * ms, 400 * ms, false}},
		"single requests":       {{0, 400 * ms, false}, {5 * time.Second, 400 * ms, false}},
	}
	for name, samples := range cases {
		t.Run(name, func(t *testing.T) {
			s := spiller.New()
			for _, p := range samples {
				_, away := s.Step(start.Add(p.at), ask(1, p.delay, 300*ms, cell("east", 9, 40, 0))).(spiller.Spill)
				assert.Equal(t, away, p.away, "at %v", p.at)
			}
		})
	}
}

// TestSpread guards against all cells choosing the same cell at once: 19 cells that
// lost their upstreams see the same summaries.
func TestSpread(t *testing.T) {
	var others []summarizer.Cell
	for i := range 8 {
		others = append(others, cell(fmt.Sprint("cell-", i), 4, 10, time.Duration(i%2)*ms))
	}
	got := map[registrar.CellName]int{}
	const senders, requests = 19, 20
	for n := range senders {
		s := spiller.New(spiller.WithSeed(uint64(n + 1)))
		for range requests {
			a, ok := s.Step(start, ask(0, 0, 300*ms, others...)).(spiller.Spill)
			assert.Assert(t, ok)
			got[a.Cell]++
		}
	}
	even := senders * requests / len(others)
	for _, c := range others {
		assert.Assert(t, got[c.Cell] > even/2 && got[c.Cell] < 2*even, "%s got %d of %d requests", c.Cell, got[c.Cell], senders*requests)
	}
}

// TestBudget guards against an overloaded cell that floods another one on the basis
// of a single summary, and against low tiers that leave nothing of the budget to
// the tiers above.
func TestBudget(t *testing.T) {
	e := ask(1, 400*ms, 300*ms, cell("east", 9, 40, 0))
	s, now := settled(e)
	send := func(now time.Time, tier validator.Tier) int {
		n := 0
		for range 100 {
			e.Own.Tier = tier
			if _, ok := s.Step(now, e).(spiller.Spill); ok {
				n++
			}
		}
		return n
	}
	low := e
	low.Own.Tier = 3
	s.Step(now.Add(-500*ms), low)
	assert.Equal(t, send(now, 3), 3, "the lowest tier takes a quarter of the budget")
	assert.Equal(t, send(now, 0), 7, "the top tier takes the rest")
	assert.Equal(t, send(now.Add(500*ms), 0), 5, "the budget refills in a second")
}

// TestRefused guards against requests that are sent again and again to a cell whose
// dispatcher is dead, cut off or full.
func TestRefused(t *testing.T) {
	s := spiller.New()
	e := ask(0, 0, 300*ms, cell("east", 2, 4, 0))
	assert.Equal(t, s.Step(start, e), spiller.Spill{Cell: "east"})
	s.Step(start, spiller.Refused{Cell: "east", Pool: "story"})
	assert.Equal(t, s.Step(start.Add(time.Second), e), spiller.Keep{})
	assert.Equal(t, s.Step(start.Add(2*time.Second), e), spiller.Spill{Cell: "east"})
}

// TestBusy guards against a cell without upstreams whose requests are all refused
// for seconds because the other cell refused one request. This happened after a
// crash, whose suspects each wait for an upstream of their own. Requests that have
// upstreams in their own cell stay there meanwhile.
func TestBusy(t *testing.T) {
	cases := map[string]struct {
		ask  spiller.Ask
		want spiller.Action
	}{
		"no upstream here": {ask(0, 0, 300*ms, cell("east", 2, 4, 0)), spiller.Spill{Cell: "east"}},
		"target missed":    {ask(1, 400*ms, 300*ms, cell("east", 2, 4, 0)), spiller.Keep{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := settled(c.ask)
			s.Step(now, spiller.Refused{Cell: "east", Pool: "story", Busy: true})
			assert.Equal(t, s.Step(now, c.ask), c.want)
		})
	}
}
