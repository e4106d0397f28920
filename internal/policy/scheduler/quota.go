package scheduler

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// quotaBurst is the time whose requests may be granted at once, if these are
	// more than one.
	quotaBurst = 100 * time.Millisecond
	// quotaMargin absorbs rounding errors, as a part of a request.
	quotaMargin = 1e-6
	// maxQuotaWait is the longest retry time that callers are told, since the limit
	// may have changed by then.
	maxQuotaWait = 10 * time.Minute
	// undecidedWait is the time assumed until an owner of the cell has the whole
	// limit, while this scheduler has a small share of it or none.
	undecidedWait = 500 * time.Millisecond
)

// quota is a token bucket for the share of a limit that this scheduler may use. It
// begins empty, since other schedulers may have used the limit up to now.
//
// A share that allows less than one request in quotaBurst does not save up a token:
// many hosts with one token each would send at the same moment. Instead, such a
// bucket alternates between filling and being open for a request. It is open for
// the time that the whole limit takes for one request, and starts to fill again
// when none comes.
type quota struct {
	// limit is the whole limit and rate this scheduler's share of it, both in
	// requests per second.
	limit, rate float64
	tokens      float64
	// openFor is the number of seconds for which a small quota has been open.
	openFor float64
	at      time.Time
}

// size returns the number of requests that may be granted at once.
func (q *quota) size() float64 { return max(1, q.rate*quotaBurst.Seconds()) }

// small reports whether the quota does not save up tokens. Only one scheduler can
// have more than half of the limit, and that one always saves them.
func (q *quota) small() bool { return q.rate <= q.limit/2 && q.rate*quotaBurst.Seconds() < 1 }

// set changes the limit and the share. A small quota whose rate was 0 begins at a
// random point, so that hosts that lost their owner at the same time do not send at
// the same time.
func (q *quota) set(now time.Time, limit, part float64, random *rand.Rand) {
	if limit == q.limit && limit*part == q.rate {
		return
	}
	q.refill(now)
	none := q.rate == 0
	q.limit, q.rate, q.openFor = limit, limit*part, 0
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
	point := math.Mod(q.tokens*fill+q.openFor+passed, fill+1/q.limit)
	q.tokens, q.openFor = min(point/fill, 1), max(point-fill, 0)
}

func (q *quota) allows(now time.Time) bool {
	q.refill(now)
	return q.tokens >= 1-quotaMargin
}

func (q *quota) spend(now time.Time) {
	q.refill(now)
	q.tokens, q.openFor = q.tokens-1, 0
}

// exhausted reports whether the upstream's limit allows no request at present.
func (u *upstream) exhausted(now time.Time) bool { return u.quota != nil && !u.quota.allows(now) }

// spend takes one request from the upstream's quota, if it has one.
func (u *upstream) spend(now time.Time) {
	if u.quota != nil {
		u.quota.spend(now)
	}
}

// rate returns the number of requests per second that the upstream can run when
// each holds its slot for hold seconds.
func (u *upstream) rate(hold float64) float64 {
	most := float64(u.Slots) / hold
	switch q := u.quota; {
	case q == nil:
		return most
	case q.small():
		// A cell gets an owner again that has the whole limit.
		return min(most, q.limit)
	default:
		return min(most, q.rate)
	}
}

// quotaWait returns how long the upstreams' limits delay the start of a request of
// a tier that has the given number of requests ahead of it. It returns 0 when an
// upstream without a limit accepts work, or when none accepts work.
func (p *pool) quotaWait(now time.Time, level validator.Tier, ahead int) time.Duration {
	tokens, rate, limit := 0.0, 0.0, 0.0
	for _, u := range p.upstreams {
		if !u.acceptsWork() {
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
	// The request starts with this scheduler's quota, or with that of an owner of
	// the cell that has the whole limit again, whichever comes first.
	own := missing / p.leftFor(now, level, rate)
	owners := undecidedWait.Seconds() + float64(ahead+1)/p.leftFor(now, level, limit)
	return time.Duration(min(own, owners, maxQuotaWait.Seconds()) * float64(time.Second))
}

// leftFor returns the part of a rate that the tiers above leave to a tier at
// present. It is never less than the part that overdue requests get whatever the
// other tiers do.
func (p *pool) leftFor(now time.Time, level validator.Tier, rate float64) float64 {
	left := rate
	for i := range level {
		left -= p.rates[i].decayed(now)
	}
	return max(left, rate/(overdueSpacing+1))
}

// lastStart returns the latest start that is still of use to the request.
func (r *request) lastStart() time.Time {
	last := r.queued.Add(r.class.wait)
	if !r.class.late && r.due.Before(last) {
		return r.due
	}
	return last
}

// beyondQuota reports whether the upstreams' limits delay the request beyond its
// last start, with the given number of requests ahead of it.
func (s *Scheduler) beyondQuota(now time.Time, r *request, ahead int) bool {
	if len(s.limits) == 0 {
		return false
	}
	wait := r.pool.quotaWait(now, r.class.tier, ahead)
	return wait > 0 && now.Add(wait).After(r.lastStart())
}

// refuseBeyondQuota refuses the waiting requests of a pool that cannot begin in
// time within the limits of its upstreams, the least urgent first. A request whose
// caller already has tokens is kept.
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

// mostUrgent lists the waiting requests of a pool by tier and then by the time
// left.
func (s *Scheduler) mostUrgent(p *pool) []*request {
	list := s.waitingIn(p)
	slices.SortFunc(list, byUrgency)
	return list
}

// obstacle returns what keeps requests from the upstreams of a pool in which none
// is free.
func (p *pool) obstacle(now time.Time) Obstacle {
	for _, u := range p.upstreams {
		if u.free() && u.exhausted(now) {
			return RateLimited
		}
	}
	return FullSlots
}

// refuseLimited refuses a request because of the upstreams' limits.
func (s *Scheduler) refuseLimited(now time.Time, r *request, ahead int) {
	wait := r.pool.quotaWait(now, r.class.tier, ahead)
	r.obstacle = RateLimited
	s.actions = append(s.actions, Refuse{ID: r.ID, Reason: Overloaded, RetryAfter: s.spread(wait), Predicted: wait, Ahead: ahead, Obstacle: r.obstacle})
}

// Allow takes a request that needs no slot from the quota of an upstream. It
// returns false, and takes nothing, when the limit does not allow the request; an
// unknown upstream has no limit.
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
