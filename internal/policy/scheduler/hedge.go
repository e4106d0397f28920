package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

const (
	// hedgeQuantile is the quantile of the time from a grant to the first token
	// after which a top-tier request counts as late.
	hedgeQuantile = 0.95
	// hedgeCost is the number of first submissions that pay for one hedge.
	hedgeCost = 50
	// hedgeBurst is the largest number of hedges that a pool can save up, so that a
	// quiet hour does not allow a wave of hedges.
	hedgeBurst = 8
	// hedgeReserve is the part of a pool's slots that must stay free after a hedge.
	// A hedge during a crest delays the requests that arrive next.
	hedgeReserve = 0.1
	// hedgeCrowd is the number of attempts without a token, per upstream of the
	// pool, above which a delay is taken to be general. Upstreams with a late
	// attempt are left out of the count of attempts. During a crest the prefill of
	// hedges delays the answers that run beside them.
	hedgeCrowd = 0.5
)

// hedgeBudget limits hedges to a fiftieth of the first submissions. Its unit is one
// first submission.
type hedgeBudget struct{ saved int }

// addFirst counts a first submission.
func (b *hedgeBudget) addFirst() { b.saved = min(b.saved+1, hedgeBurst*hedgeCost) }

func (b *hedgeBudget) left() bool { return b.saved >= hedgeCost }

func (b *hedgeBudget) take() { b.saved -= hedgeCost }

// hedge starts second attempts of the top-tier requests whose first token takes
// unusually long, the longest-running first.
func (s *Scheduler) hedge(now time.Time, p *pool) {
	if s.unsettled || p.queued[0] > 0 || !p.hedges.left() {
		return
	}
	late := s.lateAttempts(now, p)
	if len(late) == 0 || p.crowded(late) {
		return
	}
	for _, a := range late {
		if !p.hedges.left() {
			return
		}
		u := s.hedgeTarget(now, a.request)
		if u == nil || !p.retries.take() {
			continue
		}
		p.hedges.take()
		s.start(now, a.request, u)
		u.spend(now)
		s.actions = append(s.actions, Hedge{ID: a.request.ID, Upstream: u.Name, Priority: a.request.class.priority})
	}
}

// lateAttempts returns the attempts in the pool that may be hedged and have taken
// longer than usual to their first token, the oldest first.
func (s *Scheduler) lateAttempts(now time.Time, p *pool) []*attempt {
	var list []*attempt
	for _, u := range p.upstreams {
		if !slices.Contains(u.Models, p.name) {
			continue
		}
		for _, a := range u.attempts {
			if a.request.pool == p && s.hedgeable(now, a) {
				list = append(list, a)
			}
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		if d := a.granted.Compare(b.granted); d != 0 {
			return d
		}
		return strings.Compare(string(a.request.ID), string(b.request.ID))
	})
	return list
}

// crowded reports whether the upstreams without a late attempt have many attempts
// without a token, which means that the delay is general.
func (p *pool) crowded(late []*attempt) bool {
	n := 0
	for _, u := range p.upstreams {
		if !slices.ContainsFunc(late, func(a *attempt) bool { return a.upstream == u }) {
			n += u.starting()
		}
	}
	return n > max(1, int(hedgeCrowd*float64(len(p.upstreams))))
}

// starting returns the number of attempts that have no token yet.
func (u *upstream) starting() int {
	n := 0
	for _, a := range u.attempts {
		if a.firstTokenAt.IsZero() {
			n++
		}
	}
	return n
}

func (s *Scheduler) hedgeable(now time.Time, a *attempt) bool {
	r := a.request
	if !a.firstTokenAt.IsZero() || a.preempted || !r.Repeatable || r.Whole || r.class.tier > 0 || len(r.attempts) > 1 || r.waiting {
		return false
	}
	usual := s.estimator.Start(r.class.name, hedgeQuantile)
	return usual > 0 && now.Sub(a.granted) > usual && !s.suspect(now, r)
}

// hedgeTarget returns the least loaded upstream for a hedge, or nil when there is
// none. Upstreams for which another top-tier request waits are not used.
func (s *Scheduler) hedgeTarget(now time.Time, r *request) *upstream {
	p := r.pool
	var best *upstream
	least, free, slots := 0.0, 0, 0
	for _, u := range p.upstreams {
		slots += u.Slots
		if !u.free() || !u.replaceable(now, p, r.class) {
			continue
		}
		free += u.Slots - len(u.attempts)
		if r.attempt(u.Name) != nil || r.avoids(u.Name) || s.barred(now, u, r) || u.starting() > 0 || s.topTierWaits(u) ||
			!s.permits(now, u, r, true) {
			continue
		}
		if load := u.load(now, p.typicalGap); best == nil || load < least {
			best, least = u, load
		}
	}
	if float64(free-1) < hedgeReserve*float64(slots) {
		return nil
	}
	return best
}

// topTierWaits reports whether a top-tier request waits in a pool that the upstream
// serves.
func (s *Scheduler) topTierWaits(u *upstream) bool {
	waits := func(n validator.PoolName) bool { return s.pools[n] != nil && s.pools[n].queued[0] > 0 }
	return slices.ContainsFunc(u.Models, waits) || slices.ContainsFunc(u.Services, waits)
}
