package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

// Forecast is what the cell can do for a request that has no slot yet.
type Forecast struct {
	Tier validator.Tier
	// Live counts the upstreams that take new work.
	Live int
	// Delay is the predicted wait, and Allowed the longest one that meets the
	// target of the class.
	Delay, Allowed time.Duration
	// Final is set when the request is refused whatever the load is.
	Final bool
}

// Loads describes each pool for the other cells, by name.
func (s *Scheduler) Loads(now time.Time) []summarizer.Pool {
	list := make([]summarizer.Pool, 0, len(s.pools))
	for name, p := range s.pools {
		l := summarizer.Pool{Name: name, Live: p.usable()}
		for _, u := range p.upstreams {
			if u.takes() && !u.exhausted(now) {
				l.Free += max(u.Slots-len(u.attempts), 0)
			}
		}
		for level := range p.tiers {
			l.Delay[level] = p.delay(now, validator.Tier(level))
		}
		list = append(list, l)
	}
	for _, u := range s.upstreams {
		if u.takes() || len(u.attempts) == 0 {
			continue
		}
		for i := range list {
			if u.Serves(list[i].Name) {
				list[i].Leaving++
			}
		}
	}
	slices.SortFunc(list, func(a, b summarizer.Pool) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// takes reports whether the upstream takes new work once it has a free slot.
func (u *upstream) takes() bool { return !u.gone && !u.down && !u.Leaving }

// usable counts the upstreams that take new work.
func (p *pool) usable() int {
	n := 0
	for _, u := range p.upstreams {
		if u.takes() {
			n++
		}
	}
	return n
}

// delay predicts the wait of a new request of a tier.
func (p *pool) delay(now time.Time, level validator.Tier) time.Duration {
	waiting := 0
	for i := range level + 1 {
		waiting += p.queued[i]
	}
	if waiting == 0 && p.free(now) {
		return 0
	}
	return p.drainTime(now, level)
}

// Forecast tells what the cell can do for a request, without submitting it.
func (s *Scheduler) Forecast(now time.Time, sent Request) Forecast {
	r := &request{Request: sent, class: s.class(sent.Class), organisation: s.organisations[sent.Organisation]}
	if r.Arrived.IsZero() || r.Arrived.After(now) {
		r.Arrived = now
	}
	x := Forecast{
		Tier:    r.class.tier,
		Allowed: min(s.due(r).Sub(now), r.class.wait),
		Final:   s.detector.Verdict(now, sent.Fingerprint) == detector.Poisonous,
	}
	if p := s.pools[sent.Pool]; p != nil {
		x.Live = p.usable()
		x.Delay = p.delay(now, x.Tier)
		if p.yielding(now, r.class) > p.ahead(x.Tier) {
			// Lower work gives way to it.
			x.Delay = 0
		}
	}
	return x
}

// Stranded lists the requests that wait in pools without an upstream that takes
// new work. They wait because one may come back within its lease.
func (s *Scheduler) Stranded() []Request {
	var list []Request
	for _, p := range s.pools {
		if p.waiting == 0 || p.usable() > 0 {
			continue
		}
		for _, r := range s.waitingIn(p) {
			list = append(list, r.Request)
		}
	}
	return list
}
