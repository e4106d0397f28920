package scheduler

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

// Decision tells what would happen to a request that is submitted now.
type Decision string

// Decisions.
const (
	Granted Decision = "grant"
	Queued  Decision = "queue"
	Refused Decision = "refuse"
)

// Explanation states a decision and why it would be made.
type Explanation struct {
	Decision Decision
	// Reason is set when the request would be refused.
	Reason Reason
	// Ahead counts the waiting requests of the same or a more urgent tier.
	Ahead      int
	Candidates []Candidate
}

// Candidate is an upstream of the request's pool.
type Candidate struct {
	Upstream registrar.UpstreamID
	Usable   bool
	State    State
	Used     int
	Slots    int
}

// State is the standing of an upstream.
type State string

// States of an upstream.
const (
	Live    State = "live"
	Full    State = "full"
	Leaving State = "leaving"
	Down    State = "down"
)

// Explain tells what Submit would do, without doing it.
func (s *Scheduler) Explain(now time.Time, sent Request) Explanation {
	var e Explanation
	if s.detector.Verdict(now, sent.Fingerprint) == detector.Poisonous {
		return Explanation{Decision: Refused, Reason: Poisonous}
	}
	p := s.pools[sent.Pool]
	if p == nil || !p.live() {
		return Explanation{Decision: Refused, Reason: NoUpstream}
	}
	c := s.class(sent.Class)
	for level := range c.tier + 1 {
		for _, l := range p.tiers[level].lanes {
			e.Ahead += len(l.requests)
		}
	}
	e.Decision = Queued
	limits := p.limits()
	for _, u := range p.upstreams {
		k := Candidate{Upstream: u.Name, State: u.state(), Used: len(u.attempts), Slots: u.Slots}
		k.Usable = k.State == Live && u.usable(limits) && !u.exhausted(now)
		e.Candidates = append(e.Candidates, k)
		if k.Usable && e.Ahead == 0 {
			e.Decision = Granted
		}
	}
	if o := s.organisations[sent.Organisation]; o != nil && o.limit > 0 && o.open >= o.limit {
		e.Decision, e.Reason = Refused, OverLimit
	}
	return e
}

// UsedSlots counts the slots in use on an upstream.
func (s *Scheduler) UsedSlots(id registrar.UpstreamID) int {
	if u := s.upstreams[id]; u != nil {
		return len(u.attempts)
	}
	return 0
}

func (u *upstream) state() State {
	switch {
	case u.Leaving:
		return Leaving
	case u.gone || u.down:
		return Down
	case u.free():
		return Live
	default:
		return Full
	}
}
