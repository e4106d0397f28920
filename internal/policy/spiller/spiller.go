// Package spiller decides whether a request runs in its own cell or is sent to
// another one.
//
// # Usage
//
// A Spiller is a pure state machine, run by the dispatcher of a cell:
//
//	s := spiller.New(spiller.WithSeed(1))
//	switch a := s.Step(now, spiller.Ask{Pool: "story", Own: prospect, Others: cells}).(type) {
//	case spiller.Spill:
//		// ask the dispatcher of a.Cell for the slot
//	case spiller.Keep:
//	}
//	s.Step(now, spiller.Refused{Cell: "east", Pool: "story"}) // it did not serve the request
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
	// onset is how long the predicted wait of a tier must miss its target
	// before work of the tier leaves. A burst of a few requests is over sooner.
	onset = 300 * time.Millisecond
	// calm is the part of the allowed wait under which a tier has to miss its
	// target for the onset once more. Between calm and the whole, work stays
	// but a new miss acts at once.
	calm = 0.8
	// sampleGap is the longest time between two requests of a tier over which
	// a miss counts as lasting.
	sampleGap = time.Second
	// margin is the part of the allowed wait that another cell has to meet: its
	// summary is seconds old.
	margin = 0.8
	// band is how much later than the best another cell may be and still get
	// a part of the work, so that it spreads over cells of about equal use.
	band = 20 * time.Millisecond
	// part is the part of another cell's free slots that this cell may take at
	// once and then each second. Other cells see the same summary.
	part = 0.25
	// backoff is how long a cell that refused is not asked for the pool.
	backoff = 2 * time.Second
	// assumed round trips, for cells that were not measured.
	assumedNear = 5 * time.Millisecond
	assumedFar  = 150 * time.Millisecond
)

// Event is an input of the spiller.
type Event interface{ event() }

// Ask wants a decision on a request that has no slot yet.
type Ask struct {
	Pool validator.PoolName
	// Own is what the own cell can do for the request.
	Own scheduler.Forecast
	// Region is the region of the own cell.
	Region summarizer.Region
	// Others are the summaries of the other cells. Expired ones don't count.
	Others []summarizer.Cell
	// Spilled is set when the request was sent to another cell before.
	Spilled bool
}

// Refused reports that a cell did not serve a request that was sent to it.
type Refused struct {
	Cell registrar.CellName
	Pool validator.PoolName
	// Busy is set when the cell refused for want of time. It then stays a
	// choice for work that has no upstream in its own cell.
	Busy bool
}

func (Ask) event()     {}
func (Refused) event() {}

// Action is the answer of the spiller.
type Action interface{ action() }

// Keep leaves the request in its own cell.
type Keep struct{}

// Spill sends the request to another cell.
type Spill struct{ Cell registrar.CellName }

func (Keep) action()  {}
func (Spill) action() {}

// Spiller keeps what it needs for hysteresis and spread. It performs no I/O,
// reads no clock and is not safe for concurrent use.
type Spiller struct {
	random  *rand.Rand
	misses  map[level]miss
	budgets map[target]*budget
	resting map[target]time.Time
	// busy is the same for work that has upstreams in its own cell.
	busy map[target]time.Time
}

type level struct {
	pool validator.PoolName
	tier validator.Tier
}

type target struct {
	cell registrar.CellName
	pool validator.PoolName
}

// miss is a time in which a tier has missed its target.
type miss struct{ since, last time.Time }

// budget counts what may still be sent to a cell because of overload.
type budget struct {
	left float64
	at   time.Time
}

// Option changes a new Spiller.
type Option func(*Spiller)

// WithSeed sets the seed of the spread over cells. Dispatchers of different
// cells need different ones.
func WithSeed(seed uint64) Option {
	return func(s *Spiller) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a Spiller.
func New(options ...Option) *Spiller {
	s := &Spiller{
		random:  rand.New(rand.NewPCG(1, 1)),
		misses:  map[level]miss{},
		budgets: map[target]*budget{},
		resting: map[target]time.Time{},
		busy:    map[target]time.Time{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Step takes an event and returns the decision.
func (s *Spiller) Step(now time.Time, e Event) Action {
	switch e := e.(type) {
	case Refused:
		s.rest(now, e)
	case Ask:
		if cell, ok := s.decide(now, e); ok {
			return Spill{Cell: cell}
		}
	}
	return Keep{}
}

// rest notes a refusal and drops what no longer counts.
func (s *Spiller) rest(now time.Time, e Refused) {
	over := func(_ target, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(s.resting, over)
	maps.DeleteFunc(s.busy, over)
	for k, b := range s.budgets {
		if now.Sub(b.at) > summarizer.Lifetime {
			delete(s.budgets, k)
		}
	}
	list := s.resting
	if e.Busy {
		list = s.busy
	}
	list[target{e.Cell, e.Pool}] = now.Add(backoff)
}

func (s *Spiller) decide(now time.Time, e Ask) (registrar.CellName, bool) {
	lasting := s.missing(now, e)
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
	for _, c := range within(s.candidates(now, e), time.Duration(margin*float64(e.Own.Allowed))) {
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

// missing reports whether the tier has missed its target for long enough.
func (s *Spiller) missing(now time.Time, e Ask) bool {
	k := level{e.Pool, e.Own.Tier}
	m, known := s.misses[k]
	switch {
	case e.Own.Delay > e.Own.Allowed:
		if !known || now.Sub(m.last) > sampleGap {
			m.since = now
		}
		m.last = now
		s.misses[k] = m
		return now.Sub(m.since) >= onset
	case float64(e.Own.Delay) <= calm*float64(e.Own.Allowed):
		delete(s.misses, k)
	}
	return false
}

// candidate is a cell that may take the request.
type candidate struct {
	cell registrar.CellName
	pool summarizer.Pool
	// wait is the predicted wait there with the round trip.
	wait time.Duration
}

func (s *Spiller) candidates(now time.Time, e Ask) []candidate {
	var list []candidate
	for _, c := range e.Others {
		p, ok := c.Pool(e.Pool)
		k := target{c.Cell, e.Pool}
		if !ok || p.Live == 0 || c.Leaving || !c.Live(now) || now.Before(s.resting[k]) || e.Own.Live > 0 && now.Before(s.busy[k]) {
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

// budget returns what may be sent to the cell, refilled for the time passed.
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

// capacity is what may be sent at once and then each second. A cell without free
// slots that still predicts a short wait takes one.
func capacity(p summarizer.Pool) float64 { return max(part*float64(p.Free), 1) }

// reserve is the part of the budget that is kept for the tiers above.
func reserve(t validator.Tier, p summarizer.Pool) float64 {
	return capacity(p) * float64(t) / float64(validator.LowestTier+1)
}

// choose draws one of the cells that are about as good as the best, by their
// free slots.
func (s *Spiller) choose(list []candidate) (registrar.CellName, bool) {
	if len(list) == 0 {
		return "", false
	}
	best := list[0].wait
	for _, c := range list {
		best = min(best, c.wait)
	}
	near := within(list, best+band)
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

// weight is never zero: a cell without free slots has upstreams that free them.
func (c candidate) weight() int { return max(c.pool.Free, 0) + max(c.pool.Live, 1) }
