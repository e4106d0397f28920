package scheduler

import (
	"time"
)

const (
	// moveGain is the least time that a move must save in addition to the expected
	// time to the first token on the other upstream.
	moveGain = 500 * time.Millisecond
	// moveReserve is the part of the slots that must stay free after a move.
	moveReserve = 0.1
	// moveFresh is the greatest age at which an observed time between tokens may
	// justify a move.
	moveFresh = time.Second
)

// move takes top-tier streams off upstreams that have become slow, one at each
// call.
func (s *Scheduler) move(now time.Time, p *pool) {
	if s.unsettled || p.queued[0] > 0 || p.typicalGap == 0 {
		return
	}
	free, slots := 0, 0
	for _, u := range p.upstreams {
		slots += u.Slots
		if u.free() && !u.exhausted(now) && u.pace.ratio(now, p.typicalGap) <= slowRatio {
			free += u.Slots - len(u.attempts)
		}
	}
	if float64(free-1) < moveReserve*float64(slots) {
		return
	}
	for _, u := range p.upstreams {
		if u.pace.ratio(now, p.typicalGap) <= slowRatio || now.Sub(u.pace.observed) > moveFresh {
			continue
		}
		for _, a := range u.attempts {
			if a.request.pool == p && s.movable(now, a) && s.ask(a, SlowUpstream, "") {
				a.moving = true
				return
			}
		}
	}
}

func (s *Scheduler) movable(now time.Time, a *attempt) bool {
	r := a.request
	if a.firstTokenAt.IsZero() || a.moving || !r.Repeatable || r.Whole || r.class.tier > 0 || len(r.attempts) > 1 {
		return false
	}
	if s.suspect(now, r) {
		return false
	}
	left := s.estimator.Remaining(r.class.name, r.Request.Organisation, r.Emitted+a.tokens)
	saved := time.Duration(left) * (a.upstream.pace.at(now, r.pool.typicalGap) - r.pool.typicalGap)
	return saved > s.estimator.Start(r.class.name, startQuantile)+moveGain
}
