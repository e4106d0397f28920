package scheduler

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/policy/balancer"
)

// leastLoaded returns the upstream among those that may run the request that has the least
// load, or nil without any. The scheduler of the whole cell knows what each of them runs.
// One that has a part of the cell doesn't know what the others send, so that it compares
// random ones: otherwise all of them would choose the same one.
func (s *Scheduler) leastLoaded(now time.Time, r *request, usable []*upstream) *upstream {
	if s.hosts > 1 {
		return s.leastLoadedByPart(now, r, usable)
	}
	var best *upstream
	least := 0.0
	for _, u := range usable {
		load := u.load(now, r.pool.typicalGap) + u.preference(r)
		if best == nil || load < least {
			best, least = u, load
		}
	}
	return best
}

// leastLoadedByPart is leastLoaded for a scheduler that has a part of the cell.
func (s *Scheduler) leastLoadedByPart(now time.Time, r *request, usable []*upstream) *upstream {
	if len(usable) == 0 {
		return nil
	}
	list := make([]balancer.Candidate, len(usable))
	for i, u := range usable {
		list[i] = balancer.Candidate{
			Capacity: u.capacity(now, r.pool.typicalGap),
			Since:    float64(len(u.attempts)),
			Cost:     u.preference(r),
		}
	}
	return usable[s.balancer.Choose(list)]
}

// preference returns what is added to an upstream's load for its distance, less what it
// holds of the prompt.
func (u *upstream) preference(r *request) float64 {
	return u.farLoad(r) - affinityWeight*u.prefixes.held(r.Prefix)
}

// observeSpeed records how long an upstream took for an answer in one piece.
func (u *upstream) observeSpeed(now time.Time, a *attempt) {
	p := a.request.pool
	if !a.request.Whole || a.adopted || p.meanHold == 0 {
		return
	}
	u.speed.Observe(now, now.Sub(a.granted), time.Duration(p.meanHold*float64(time.Second)))
}
