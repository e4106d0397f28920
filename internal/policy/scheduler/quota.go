package scheduler

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// quotaBurst is the time whose requests may be granted at once, where that is more
	// than one.
	quotaBurst = 100 * time.Millisecond
	// quotaMargin absorbs rounding errors, as a part of a request.
	quotaMargin = 1e-6
	// maxQuotaWait bounds what callers are told; the limit may have changed by then.
	maxQuotaWait = 10 * time.Minute
	// undecidedWait is assumed to pass until an owner of the cell has the whole limit,
	// while this scheduler has little of it or nothing.
	undecidedWait = 500 * time.Millisecond
)

// quota is a token bucket for the part of a limit that this scheduler may use. It
// begins empty, since others may have used the limit up to now.
//
// A part that allows less than one request in quotaBurst saves nothing up: many hosts
// with a token each would send at the same moment. It opens for the time that the whole
// limit takes for one request, and fills anew when none comes.
type quota struct {
	// limit is the whole one, and rate the part of it, in requests a second.
	limit, rate float64
	tokens      float64
	// opened is for how many seconds a small part has been open.
	opened float64
	at     time.Time
}

// size is the number of requests that may be granted at once.
func (q *quota) size() float64 { return max(1, q.rate*quotaBurst.Seconds()) }

// small reports whether the part saves nothing up. Only one scheduler has more than half.
func (q *quota) small() bool { return q.rate <= q.limit/2 && q.rate*quotaBurst.Seconds() < 1 }

// set changes the limit and the part. A small part that was none begins at a random
// point, so that the turns of hosts which lost their owner together are spread.
func (q *quota) set(now time.Time, limit, part float64, random *rand.Rand) {
	if limit == q.limit && limit*part == q.rate {
		return
	}
	q.refill(now)
	none := q.rate == 0
	q.limit, q.rate, q.opened = limit, limit*part, 0
	switch {
	case q.rate == 0:
		q.tokens = 0
	case none && q.small():
		q.tokens = random.Float64()
	}
	q.tokens = min(q.tokens, q.size())
}

func (q *quota) refill(now time.Time) {
	passed := now.Sub(q.at).Seconds()
	if passed <= 0 || q.rate == 0 {
		q.at = now
		return
	}
	q.at = now
	if !q.small() {
		q.tokens = min(q.tokens+passed*q.rate, q.size())
		return
	}
	fill := 1 / q.rate
	point := math.Mod(q.tokens*fill+q.opened+passed, fill+1/q.limit)
	q.tokens, q.opened = min(point/fill, 1), max(point-fill, 0)
}

func (q *quota) allows(now time.Time) bool {
	q.refill(now)
	return q.tokens >= 1-quotaMargin
}

func (q *quota) spend(now time.Time) {
	q.refill(now)
	q.tokens, q.opened = q.tokens-1, 0
}

// exhausted reports whether the limit of the upstream allows no request at present.
func (u *upstream) exhausted(now time.Time) bool { return u.quota != nil && !u.quota.allows(now) }

// spend takes a request off the limit.
func (u *upstream) spend(now time.Time) {
	if u.quota != nil {
		u.quota.spend(now)
	}
}

// capacity is the number of requests a second that the upstream can take when each
// holds its slot for the time in seconds.
func (u *upstream) capacity(hold float64) float64 {
	most := float64(u.Slots) / hold
	switch q := u.quota; {
	case q == nil:
		return most
	case q.small():
		// An owner of the cell will have the whole limit again.
		return min(most, q.limit)
	default:
		return min(most, q.rate)
	}
}

// quotaWait is how long the limits of the upstreams keep a request of a tier from its
// start, with others ahead of it; 0 when an upstream without a limit takes work, or none
// does.
func (p *pool) quotaWait(now time.Time, level validator.Tier, ahead int) time.Duration {
	tokens, rate, limit := 0.0, 0.0, 0.0
	for _, u := range p.upstreams {
		if !u.takes() {
			continue
		}
		q := u.quota
		if q == nil {
			return 0
		}
		q.refill(now)
		tokens += q.tokens
		rate += q.rate
		limit += q.limit
	}
	missing := float64(ahead+1) - tokens
	if limit == 0 || missing <= quotaMargin {
		return 0
	}
	// Its own turn, or that at an owner of the cell who has the whole limit again.
	own := missing / p.leftFor(now, level, rate)
	owners := undecidedWait.Seconds() + float64(ahead+1)/p.leftFor(now, level, limit)
	return time.Duration(min(own, owners, maxQuotaWait.Seconds()) * float64(time.Second))
}

// leftFor is the part of a rate that the tiers above leave to one at present. Overdue work
// has its turns whatever they do.
func (p *pool) leftFor(now time.Time, level validator.Tier, rate float64) float64 {
	left := rate
	for i := range level {
		left -= p.rates[i].decayed(now)
	}
	return max(left, rate/(overdueSpacing+1))
}

// lastStart is the latest start of use to the request.
func (r *request) lastStart() time.Time {
	last := r.queued.Add(r.class.wait)
	if !r.class.late && r.due.Before(last) {
		return r.due
	}
	return last
}

// beyondQuota reports whether the limits of the upstreams let the request begin too
// late, with others ahead of it.
func (s *Scheduler) beyondQuota(now time.Time, r *request, ahead int) bool {
	if len(s.limits) == 0 {
		return false
	}
	wait := r.pool.quotaWait(now, r.class.tier, ahead)
	return wait > 0 && now.Add(wait).After(r.lastStart())
}

// refuseBeyondQuota refuses what waits in a pool and can't begin in time within the
// limits of its upstreams, the least urgent first. A request whose caller has tokens
// already is kept.
func (s *Scheduler) refuseBeyondQuota(now time.Time, p *pool) {
	if len(s.limits) == 0 || p.waiting == 0 || p.quotaWait(now, validator.LowestTier, p.waiting-1) == 0 {
		return
	}
	ahead := 0
	for _, r := range s.mostUrgent(p) {
		if r.Emitted > 0 || !s.beyondQuota(now, r, ahead) {
			ahead++
			continue
		}
		s.dequeue(r)
		s.refuseLimited(now, r, ahead)
		s.settle(r)
	}
}

// mostUrgent lists the waiting requests of a pool by tier and by the time left.
func (s *Scheduler) mostUrgent(p *pool) []*request {
	list := s.waitingIn(p)
	slices.SortFunc(list, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.class.tier, b.class.tier), a.due.Compare(b.due), strings.Compare(string(a.ID), string(b.ID)))
	})
	return list
}

// obstacle tells what keeps requests from the upstreams of a pool when none is free.
func (p *pool) obstacle(now time.Time) Obstacle {
	for _, u := range p.upstreams {
		if u.free() && u.exhausted(now) {
			return RateLimited
		}
	}
	return FullSlots
}

// refuseLimited refuses a request for the limits of the upstreams.
func (s *Scheduler) refuseLimited(now time.Time, r *request, ahead int) {
	wait := r.pool.quotaWait(now, r.class.tier, ahead)
	r.obstacle = RateLimited
	s.actions = append(s.actions, Refuse{ID: r.ID, Reason: Overloaded, RetryAfter: s.spread(wait), Predicted: wait, Ahead: ahead, Obstacle: r.obstacle})
}

// Allow takes a request that no slot is needed for off the limit of an upstream. It
// reports whether the limit allows it.
func (s *Scheduler) Allow(now time.Time, id registrar.UpstreamID) bool {
	u := s.upstreams[id]
	if u == nil {
		return true
	}
	if u.exhausted(now) {
		return false
	}
	u.spend(now)
	return true
}
