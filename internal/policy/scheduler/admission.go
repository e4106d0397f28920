package scheduler

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

const (
	// startQuantile is the quantile of the time from a grant to the first token by
	// which a request has to be granted before its target.
	startQuantile = 0.9
	// assumedGap is the time between tokens that is assumed for classes that only
	// have a target for the whole answer.
	assumedGap = 40 * time.Millisecond
	// overduePart is the part of a class's maximum wait after which a request may
	// take slots out of order. The rest is left for a slot to become free.
	overduePart = 0.8
	// meterTime is the time constant of rate measurements.
	meterTime = 3 * time.Second
	// crowdFactor is how many times the predicted wait must exceed what the target
	// allows before a request is refused on arrival. The prediction assumes that
	// the queue drains at a constant rate and is often too high at the beginning of
	// a burst.
	crowdFactor = 1.5
	// crowdMinimum is the queue length below which no request is refused on arrival
	// because of the queue of its tier. Pools whose engines have a configured
	// memory predict reading times instead (crest.go).
	crowdMinimum = 8
	// holdWeight is the weight of a new observation in the mean hold time.
	holdWeight = 0.02
	// minRate is the lowest predicted rate, in grants per second. It keeps
	// predicted waits finite.
	minRate = 0.1
	// minHold is the lowest hold time of a slot, in seconds. It keeps predicted
	// rates finite.
	minHold = 0.001
)

// meter measures events per second with exponential decay.
type meter struct {
	value float64
	last  time.Time
}

func (m *meter) add(now time.Time) {
	m.value = m.decayed(now) + 1/meterTime.Seconds()
	m.last = now
}

func (m *meter) decayed(now time.Time) float64 {
	return m.value * math.Exp(-now.Sub(m.last).Seconds()/meterTime.Seconds())
}

// overdue returns the waiting time after which a request of the class may take
// slots out of order.
func (c *class) overdue() time.Duration { return time.Duration(overduePart * float64(c.wait)) }

// due returns the latest grant time that can still meet the target of the request's
// class. At most half of the target is reserved for the expected time to the first
// token or to the end of the answer.
func (s *Scheduler) due(r *request) time.Time {
	c := r.class
	switch {
	case c.first > 0:
		return r.Arrived.Add(c.first - min(s.estimator.Start(c.name, startQuantile), c.first/2))
	case c.total > 0:
		left := s.estimator.Remaining(c.name, r.Request.Organisation, r.Emitted)
		return r.Arrived.Add(c.total - min(time.Duration(left)*assumedGap, c.total/2))
	default:
		return r.Arrived.Add(c.wait)
	}
}

// ahead returns the number of waiting requests of a tier that compete for the next
// slots. Suspects are not counted: each waits for an upstream without another
// suspect, and the slots that become free go to the requests behind it.
func (p *pool) ahead(level validator.Tier) int { return p.queued[level] - p.suspects[level] }

// recordHold adds the time for which a request held its slot to the mean.
func (p *pool) recordHold(d time.Duration) {
	if p.meanHold == 0 {
		p.meanHold = d.Seconds()
	}
	p.meanHold += (d.Seconds() - p.meanHold) * holdWeight
}

// holdTime returns the mean time in seconds for which a request holds its slot.
// Until a request has ended it returns the mean age of the running attempts, which
// is a lower bound.
func (p *pool) holdTime(now time.Time) float64 {
	if p.meanHold > 0 {
		return p.meanHold
	}
	sum, n := 0.0, 0
	for _, u := range p.upstreams {
		for _, a := range u.attempts {
			sum += now.Sub(a.granted).Seconds()
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// rate predicts the grants per second to a tier: the rate that it receives at
// present, or what the slots allow once the tiers above it have theirs, whichever
// is higher.
func (p *pool) rate(now time.Time, level validator.Tier) float64 {
	left, hold := 0.0, max(p.holdTime(now), minHold)
	for _, u := range p.upstreams {
		if !u.Leaving && !u.down {
			left += u.rate(hold)
		}
	}
	for i := range level {
		left -= p.rates[i].decayed(now)
	}
	return max(p.rates[level].decayed(now), left, minRate)
}

// drainTime predicts how long the queue of a tier takes at its present rate, up to
// one minute. It returns leaseTime while no hold time is known.
func (p *pool) drainTime(now time.Time, level validator.Tier) time.Duration {
	if p.meanHold == 0 {
		return leaseTime
	}
	seconds := float64(p.ahead(level)+1) / p.rate(now, level)
	return min(time.Duration(seconds*float64(time.Second)), time.Minute)
}

// drainTime returns the time after which a refused request should be sent again.
func (s *Scheduler) drainTime(now time.Time, r *request) time.Duration {
	limited := r.pool.quotaWait(now, r.class.tier, r.pool.waitingUpTo(r.class.tier))
	if s.memory[r.pool.name] > 0 {
		return max(limited, s.predictedWait(now, r.pool, r))
	}
	return max(limited, r.pool.drainTime(now, r.class.tier))
}

// crowded predicts whether the request cannot be granted in time because of the
// queue of its tier.
func (s *Scheduler) crowded(now time.Time, r *request) bool {
	p, level := r.pool, r.class.tier
	if s.memory[p.name] > 0 {
		return s.crowdedEngines(now, r)
	}
	// Slots are held longer while this scheduler reads the reports of their ends late.
	n := p.ahead(level)
	if n < crowdMinimum || p.meanHold == 0 || s.wasLate(now) {
		return false
	}
	allowed := min(r.due.Sub(now), r.class.wait)
	predicted := time.Duration(float64(n) / p.rate(now, level) * float64(time.Second))
	return predicted > time.Duration(crowdFactor*float64(allowed)) && p.countPreemptible(now, r.class) <= n
}

// expire refuses the waiting requests that can no longer meet their target or have
// reached the maximum wait of their class.
func (s *Scheduler) expire(now time.Time) {
	for _, p := range s.pools {
		s.unpark(p)
		for level := len(p.tiers) - 1; level >= 0; level-- {
			s.expireTier(now, p, validator.Tier(level))
		}
		s.expireWaits(now, p)
	}
}

func (s *Scheduler) expireTier(now time.Time, p *pool, level validator.Tier) {
	preemptible := -1
	for i := len(p.tiers[level].queues) - 1; i >= 0; i-- {
		for _, r := range p.tiers[level].queues[i].pastDue(now) {
			if preemptible < 0 {
				preemptible = p.countPreemptible(now, r.class)
			}
			if preemptible+p.preempting >= p.ahead(level) {
				return
			}
			s.targetMissed(now, r)
		}
	}
}

// targetMissed handles a waiting request that can no longer meet its target.
func (s *Scheduler) targetMissed(now time.Time, r *request) {
	if !r.class.late || s.memory[r.pool.name] > 0 && s.crowdedEngines(now, r) {
		s.refuseWaiting(now, r)
		return
	}
	// Serve it after the requests that can still meet their target.
	s.dequeue(r)
	r.due = r.queued.Add(r.class.wait)
	s.enqueue(r)
}

// pastDue lists the requests that can no longer meet their target, least slack
// first. It leaves out requests whose callers already have tokens, since these are
// worth continuing. Such a request stays at the head of its queue and must not hide
// the requests behind it, which would then be granted too late to be of use.
func (l *organisationQueue) pastDue(now time.Time) []*request {
	var list []*request
	for heads := []int{0}; len(heads) > 0; heads = heads[1:] {
		i := heads[0]
		if i >= len(l.requests) || !now.After(l.requests[i].due) {
			continue
		}
		if l.requests[i].Emitted == 0 {
			list = append(list, l.requests[i])
		}
		heads = append(heads, 2*i+1, 2*i+2)
	}
	slices.SortFunc(list, func(a, b *request) int {
		if earlier(a, b) {
			return -1
		}
		return 1
	})
	return list
}

// expireWaits refuses requests that have reached the maximum wait of their class,
// so that the bound holds for every arrival pattern. A request whose caller already
// has tokens is kept, because refusing it would cut its answer off.
func (s *Scheduler) expireWaits(now time.Time, p *pool) {
	// The fixed order keeps benchmark runs reproducible: each refusal draws a
	// random retry time.
	for _, c := range slices.SortedFunc(maps.Keys(p.waits), byName) {
		for _, r := range slices.Clone(p.waits[c]) {
			if now.Sub(r.queued) < c.wait {
				break
			}
			if r.Emitted == 0 {
				s.refuseWaiting(now, r)
			}
		}
	}
}

func byName(a, b *class) int { return strings.Compare(string(a.name), string(b.name)) }

// refuseWaiting refuses a waiting request that has waited too long.
func (s *Scheduler) refuseWaiting(now time.Time, r *request) {
	s.dequeue(r)
	if r.pool.live() {
		s.refuseOverloaded(now, r)
	} else {
		s.refuse(r.ID, NoUpstream, leaseTime)
	}
	s.settle(r)
}
