package scheduler

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

const (
	// preemptMargin is reserved for the round trip of a preemption and for the
	// error of the predicted start.
	preemptMargin = 100 * time.Millisecond
	// nearlyDone is the number of expected remaining tokens below which an attempt
	// is preempted only if there is no other of its tier: its slot becomes free
	// soon anyway.
	nearlyDone = 32
	// protectedPart is the part of a pool's slots on which overdue requests, once
	// granted, cannot be preempted, so that they are not preempted again at once.
	protectedPart = 0.05
	// maxVictims is the number of waiting requests for which a tick looks for an attempt
	// to preempt at most: each look goes over all attempts of the pool.
	maxVictims = 8
)

// preempt asks attempts of lower tiers to free their slots for waiting requests
// that would otherwise miss their target, at most one for each of them. It looks for none
// while the retry budget allows no further attempt.
func (s *Scheduler) preempt(now time.Time, p *pool) {
	p.looks = 0
	for level := range validator.LowestTier {
		if p.queued[level] == 0 || p.repeatable == 0 {
			continue
		}
		urgent := p.urgent(now, level)
		for _, r := range urgent[min(p.preempting, len(urgent)):] {
			if p.looks == maxVictims || !p.retries.left() {
				return
			}
			p.looks++
			a := s.victim(now, r)
			if a == nil || !s.ask(a, Precedence, r.ID) {
				continue
			}
			a.preempted = true
			p.preempting++
		}
	}
}

// protect exempts an overdue attempt from preemption as long as few others are
// exempt.
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

// urgent returns the waiting requests of a tier for which the slots that become
// free by themselves come too late.
func (p *pool) urgent(now time.Time, level validator.Tier) []*request {
	waiting := make([]*request, 0, p.queued[level])
	for _, l := range p.tiers[level].queues {
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

// preemptibleFor reports whether the attempt may be preempted for a request of a
// tier.
func (a *attempt) preemptibleFor(level validator.Tier) bool {
	return a.request.class.tier > level && a.request.Repeatable && !a.preempted && !a.protected
}

// countPreemptible returns the number of attempts that may be preempted for a
// class.
func (p *pool) countPreemptible(now time.Time, c *class) int {
	if p.repeatable == 0 {
		return 0
	}
	n := 0
	for _, u := range p.upstreams {
		if !u.replaceable(now, p, c) {
			continue
		}
		for _, a := range u.attempts {
			if a.preemptibleFor(c.tier) {
				n++
			}
		}
	}
	return n
}

// replaceable reports whether a slot freed on the upstream would be of use to a
// class. A slot of no use to it would go to a lower-tier request again at once.
func (u *upstream) replaceable(now time.Time, p *pool, c *class) bool {
	return !u.Leaving && !u.down && !u.exhausted(now) && u.suits(now, c, p.typicalGap) && u.pace.ratio(now, p.typicalGap) <= slowRatio
}

// victim returns the attempt to preempt for a request, or nil when there is none:
// an attempt of the lowest tier, and among those the one that is cheapest to
// continue elsewhere.
func (s *Scheduler) victim(now time.Time, urgent *request) *attempt {
	p, c := urgent.pool, urgent.class
	var best *attempt
	least := 0
	for _, u := range p.upstreams {
		if !u.replaceable(now, p, c) || s.barred(now, u, urgent) || !s.permits(now, u, urgent, false) {
			continue
		}
		for _, a := range u.attempts {
			if !a.preemptibleFor(c.tier) {
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
