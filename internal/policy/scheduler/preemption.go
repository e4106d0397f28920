package scheduler

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

const (
	// preemptMargin is set aside for the round trip of a preemption and for
	// the error of the predicted start.
	preemptMargin = 100 * time.Millisecond
	// nearlyDone is the number of expected tokens below which an attempt is
	// left to finish: its slot is free soon anyway.
	nearlyDone = 32
	// protectedPart is the part of a pool's slots that overdue work keeps
	// once it has them, so that it is not preempted again at once.
	protectedPart = 0.05
)

// preempt cancels lower-tier attempts for the waiting requests that would
// otherwise miss their target, at most one for each of them.
func (s *Scheduler) preempt(now time.Time, p *pool) {
	for level := range validator.LowestTier {
		if p.queued[level] == 0 || p.repeatable == 0 {
			continue
		}
		urgent := p.urgent(now, level)
		for _, r := range urgent[min(p.preempting, len(urgent)):] {
			a := s.victim(now, r)
			if a == nil {
				continue
			}
			a.preempted = true
			p.preempting++
			s.actions = append(s.actions, Preempt{ID: a.request.ID, Upstream: a.upstream.Name, Cause: Precedence, Urgent: r.ID})
		}
	}
}

// protect keeps an overdue attempt from preemption while few others are.
func (p *pool) protect(a *attempt) {
	slots := 0
	for _, u := range p.upstreams {
		slots += u.Slots
	}
	if p.protected < max(1, int(protectedPart*float64(slots))) {
		a.protected = true
		p.protected++
	}
}

// interruption is what is kept of a request that was preempted or lost in a
// crash until it is submitted again. It does not count as a retry, because the
// caller and the request are not the cause and the slots bound the number.
type interruption struct{ queued, until time.Time }

// interrupt keeps the start of the wait of a request without a token, so that
// preemption does not prolong its wait beyond the bound.
func (s *Scheduler) interrupt(now time.Time, a *attempt, o Outcome) {
	switch o {
	case Preempted, Crashed, ConnectionRefused, ConnectTimeout:
	default:
		if !a.preempted {
			return
		}
	}
	r := a.request
	i := interruption{until: now.Add(leaseTime)}
	if o != Crashed && a.tokens+r.Emitted == 0 {
		i.queued = r.queued
	}
	s.interrupted[r.origin()] = i
}

func (s *Scheduler) expireInterruptions(now time.Time) {
	for id, i := range s.interrupted {
		if now.After(i.until) {
			delete(s.interrupted, id)
		}
	}
}

// urgent returns the waiting requests of a tier that the slots which free by
// themselves come too late for.
func (p *pool) urgent(now time.Time, level validator.Tier) []*request {
	waiting := make([]*request, 0, p.queued[level])
	for _, l := range p.tiers[level].lanes {
		waiting = append(waiting, l.requests...)
	}
	for _, r := range p.parked {
		if r.class.tier == level {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return a.due.Compare(b.due) })
	each := time.Duration(float64(time.Second) / p.rate(now, level))
	start := now.Add(preemptMargin)
	var urgent []*request
	for _, r := range waiting {
		if start.Add(each).After(r.due) {
			urgent = append(urgent, r)
			continue
		}
		start = start.Add(each)
	}
	return urgent
}

// yields reports whether the attempt may be preempted for a request of a tier.
func (a *attempt) yields(level validator.Tier) bool {
	return a.request.class.tier > level && a.request.Repeatable && !a.preempted && !a.protected
}

// yielding counts the attempts that may be preempted for a tier.
func (p *pool) yielding(now time.Time, c *class) int {
	if p.repeatable == 0 {
		return 0
	}
	n := 0
	for _, u := range p.upstreams {
		if !u.replaceable(now, p, c) {
			continue
		}
		for _, a := range u.attempts {
			if a.yields(c.tier) {
				n++
			}
		}
	}
	return n
}

// replaceable reports whether a slot that is taken back on the upstream is of
// use to a class. Otherwise it would go to lower-tier work again at once.
func (u *upstream) replaceable(now time.Time, p *pool, c *class) bool {
	return !u.Leaving && !u.down && !u.exhausted(now) && u.suits(now, c, p.typical) && u.pace.ratio(now, p.typical) <= slowRatio
}

// victim returns the attempt to preempt: of the lowest tier, and there the one
// that is cheapest to continue elsewhere.
func (s *Scheduler) victim(now time.Time, urgent *request) *attempt {
	p, c := urgent.pool, urgent.class
	var best *attempt
	least := 0
	for _, u := range p.upstreams {
		if !u.replaceable(now, p, c) || s.barred(now, u, urgent) || !s.detector.Permits(now, urgent.Fingerprint, u.process(), false) {
			continue
		}
		for _, a := range u.attempts {
			if !a.yields(c.tier) {
				continue
			}
			r := a.request
			cost := r.Prompt + r.Emitted + a.tokens
			if s.estimator.Remaining(r.Class, r.Request.Organisation, r.Emitted+a.tokens) < nearlyDone {
				cost += 1 << 20
			}
			if best == nil || r.class.tier > best.request.class.tier ||
				r.class.tier == best.request.class.tier && cost < least {
				best, least = a, cost
			}
		}
	}
	return best
}
