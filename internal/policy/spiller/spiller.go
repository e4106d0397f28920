// Package spiller decides whether a request runs in its own cell or is sent to
// another one.
//
// # Usage
//
// A Spiller is a pure state machine, run by the dispatcher of a cell:
//
//	s := spiller.New(spiller.WithSeed(1))
//	switch a := s.Step(now, spiller.Ask{Pool: "story", Own: forecast, Others: cells}).(type) {
//	case spiller.Spill:
//		// ask the dispatcher of a.Cell for the slot
//	case spiller.Keep:
//	}
//	s.Step(now, spiller.Refused{Cell: "east", Pool: "story"}) // the cell did not serve the request
package spiller

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

const (
	// missTime is how long the predicted wait of a tier must miss its target before
	// requests of the tier are sent away. A burst of a few requests is over sooner.
	missTime = 300 * time.Millisecond
	// calmPart is the part of the allowed wait at or below which missTime starts
	// anew. Between this part and the whole allowed wait, requests stay in the
	// cell, but the next miss takes effect at once.
	calmPart = 0.8
	// maxSampleGap is the longest time between two requests of a tier over which a
	// miss counts as continuous.
	maxSampleGap = time.Second
	// otherCellPart is the part of the allowed wait that another cell has to meet,
	// because its summary is seconds old.
	otherCellPart = 0.8
	// waitBand is how much longer than the shortest one the predicted wait in
	// another cell may be for the cell to get a part of the requests. It spreads
	// the requests over cells that are about equally good.
	waitBand = 20 * time.Millisecond
	// budgetPart is the part of another cell's free slots that this cell may take
	// at once and then in each second. Other cells see the same summary.
	budgetPart = 0.25
	// backoff is how long a cell that refused a request is not asked for the same
	// pool.
	backoff = 2 * time.Second
	// assumedNear and assumedFar are the round trips assumed for cells in the same
	// and in another region that have not been measured.
	assumedNear = 5 * time.Millisecond
	assumedFar  = 150 * time.Millisecond
)

// Event is an input of the spiller.
type Event interface{ event() }

// Ask asks for a decision on a request that has no slot yet.
type Ask struct {
	Pool validator.PoolName
	// Own predicts what the own cell can do for the request.
	Own scheduler.Forecast
	// Region is the region of the own cell.
	Region summarizer.Region
	// Others holds the summaries of the other cells. Expired ones are ignored.
	Others []summarizer.Cell
	// Spilled is set when the request has already been sent to another cell.
	Spilled bool
}

// Refused reports that a cell did not serve a request that was sent to it.
type Refused struct {
	Cell registrar.CellName
	Pool validator.PoolName
	// Busy is set when the cell refused the request because it could not serve it
	// in time. The cell may then still get requests that have no upstream in their
	// own cell.
	Busy bool
}

func (Ask) event()     {}
func (Refused) event() {}

// Action is a decision of the spiller.
type Action interface{ action() }

// Keep leaves the request in its own cell.
type Keep struct{}

// Spill sends the request to another cell.
type Spill struct{ Cell registrar.CellName }

func (Keep) action()  {}
func (Spill) action() {}

// Spiller holds the state for hysteresis, budgets and backoff. It performs no I/O,
// reads no clock and is not safe for concurrent use.
type Spiller struct {
	random  *rand.Rand
	misses  map[level]miss
	budgets map[target]*budget
	// backoffs holds the times until which cells that refused a request are not
	// asked.
	backoffs map[target]time.Time
	// busyBackoffs holds the times until which cells that refused a request as Busy
	// are not asked for requests that have upstreams in their own cell.
	busyBackoffs map[target]time.Time
}

type level struct {
	pool validator.PoolName
	tier validator.Tier
}

type target struct {
	cell registrar.CellName
	pool validator.PoolName
}

// miss is a period in which a tier has missed its target.
type miss struct{ since, last time.Time }

// budget is the number of requests that may still be sent to a cell because of
// overload.
type budget struct {
	left float64
	at   time.Time
}

// Option configures a new Spiller.
type Option func(*Spiller)

// WithSeed sets the seed of the random choice between cells. Dispatchers of
// different cells need different seeds.
func WithSeed(seed uint64) Option {
	return func(s *Spiller) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a Spiller without any state.
func New(options ...Option) *Spiller {
	s := &Spiller{
		random:       rand.New(rand.NewPCG(1, 1)),
		misses:       map[level]miss{},
		budgets:      map[target]*budget{},
		backoffs:     map[target]time.Time{},
		busyBackoffs: map[target]time.Time{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Step applies an event and returns the decision. The decision on a Refused event
// is always Keep.
func (s *Spiller) Step(now time.Time, e Event) Action {
	switch e := e.(type) {
	case Refused:
		s.recordRefusal(now, e)
	case Ask:
		if cell, ok := s.decide(now, e); ok {
			return Spill{Cell: cell}
		}
	}
	return Keep{}
}

// recordRefusal starts the backoff of the cell that refused, and removes expired
// state.
func (s *Spiller) recordRefusal(now time.Time, e Refused) {
	over := func(_ target, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(s.backoffs, over)
	maps.DeleteFunc(s.busyBackoffs, over)
	for k, b := range s.budgets {
		if now.Sub(b.at) > summarizer.Lifetime {
			delete(s.budgets, k)
		}
	}
	backoffs := s.backoffs
	if e.Busy {
		backoffs = s.busyBackoffs
	}
	backoffs[target{e.Cell, e.Pool}] = now.Add(backoff)
}

func (s *Spiller) decide(now time.Time, e Ask) (registrar.CellName, bool) {
	lasting := s.missesTarget(now, e)
	if e.Spilled || e.Own.Final {
		return "", false
	}
	if e.Own.Live == 0 {
		list := s.candidates(now, e)
		meeting := within(list, e.Own.Allowed)
		if len(meeting) > 0 {
			list = meeting
		}
		return s.choose(list)
	}
	if !lasting || e.Own.Delay <= e.Own.Allowed {
		return "", false
	}
	var list []candidate
	for _, c := range within(s.candidates(now, e), time.Duration(otherCellPart*float64(e.Own.Allowed))) {
		if s.budget(now, e.Pool, c).left > reserve(e.Own.Tier, c.pool) {
			list = append(list, c)
		}
	}
	cell, ok := s.choose(list)
	if ok {
		s.budgets[target{cell, e.Pool}].left--
	}
	return cell, ok
}

// missesTarget reports whether the tier has missed its target for long enough.
func (s *Spiller) missesTarget(now time.Time, e Ask) bool {
	k := level{e.Pool, e.Own.Tier}
	m, known := s.misses[k]
	switch {
	case e.Own.Delay > e.Own.Allowed:
		if !known || now.Sub(m.last) > maxSampleGap {
			m.since = now
		}
		m.last = now
		s.misses[k] = m
		return now.Sub(m.since) >= missTime
	case float64(e.Own.Delay) <= calmPart*float64(e.Own.Allowed):
		delete(s.misses, k)
	}
	return false
}

// candidate is a cell that may take the request.
type candidate struct {
	cell registrar.CellName
	pool summarizer.Pool
	// wait is the predicted wait in the cell plus the round trip.
	wait time.Duration
}

func (s *Spiller) candidates(now time.Time, e Ask) []candidate {
	var list []candidate
	for _, c := range e.Others {
		p, ok := c.Pool(e.Pool)
		k := target{c.Cell, e.Pool}
		if !ok || p.Live == 0 || c.Leaving || !c.Live(now) || now.Before(s.backoffs[k]) || e.Own.Live > 0 && now.Before(s.busyBackoffs[k]) {
			continue
		}
		tier := min(max(e.Own.Tier, 0), validator.LowestTier)
		list = append(list, candidate{cell: c.Cell, pool: p, wait: p.Delay[tier] + roundTrip(e.Region, c)})
	}
	return list
}

func roundTrip(own summarizer.Region, c summarizer.Cell) time.Duration {
	switch {
	case c.RoundTrip > 0:
		return c.RoundTrip
	case own != "" && own == c.Region:
		return assumedNear
	default:
		return assumedFar
	}
}

func within(list []candidate, limit time.Duration) []candidate {
	var meeting []candidate
	for _, c := range list {
		if c.wait <= limit {
			meeting = append(meeting, c)
		}
	}
	return meeting
}

// budget returns the budget for the cell, refilled for the time that has passed.
func (s *Spiller) budget(now time.Time, p validator.PoolName, c candidate) *budget {
	k := target{c.cell, p}
	b := s.budgets[k]
	if b == nil {
		b = &budget{left: capacity(c.pool), at: now}
		s.budgets[k] = b
	}
	b.left = min(b.left+capacity(c.pool)*now.Sub(b.at).Seconds(), capacity(c.pool))
	b.at = now
	return b
}

// capacity returns the number of requests that may be sent at once and then in each
// second. A cell without free slots that still predicts a short wait takes one.
func capacity(p summarizer.Pool) float64 { return max(budgetPart*float64(p.Free), 1) }

// reserve returns the part of the budget that is kept for the tiers above.
func reserve(t validator.Tier, p summarizer.Pool) float64 {
	return capacity(p) * float64(t) / float64(validator.LowestTier+1)
}

// choose draws one of the cells whose wait is close to the shortest one, weighted
// mainly by their free slots.
func (s *Spiller) choose(list []candidate) (registrar.CellName, bool) {
	if len(list) == 0 {
		return "", false
	}
	best := list[0].wait
	for _, c := range list {
		best = min(best, c.wait)
	}
	near := within(list, best+waitBand)
	sum := 0
	for _, c := range near {
		sum += c.weight()
	}
	n := s.random.IntN(sum)
	for _, c := range near {
		if n -= c.weight(); n < 0 {
			return c.cell, true
		}
	}
	return near[0].cell, true
}

// weight returns the weight of the cell in the draw. It is never 0: a cell without
// free slots has upstreams that will free some.
func (c candidate) weight() int { return max(c.pool.Free, 0) + max(c.pool.Live, 1) }
