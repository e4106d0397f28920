package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
)

// Forecast predicts what the cell can do for a request that has no slot yet.
type Forecast struct {
	Tier validator.Tier
	// Live is the number of upstreams that accept new work.
	Live int
	// Delay is the predicted wait, and Allowed the longest wait that still meets
	// the target of the class.
	Delay, Allowed time.Duration
	// Final is set when the request would be refused at any load.
	Final bool
}

// Loads returns a load summary of each pool for the other cells, ordered by name.
func (s *Scheduler) Loads(now time.Time) []summarizer.Pool {
	list := make([]summarizer.Pool, 0, len(s.pools))
	for name, p := range s.pools {
		l := summarizer.Pool{Name: name, Live: p.countAccepting()}
		for _, u := range p.upstreams {
			if u.acceptsWork() && !u.exhausted(now) {
				l.Free += max(u.Slots-len(u.attempts), 0)
			}
		}
		for level := range p.tiers {
			l.Delay[level] = p.delay(now, validator.Tier(level))
		}
		list = append(list, l)
	}
	for _, u := range s.upstreams {
		if u.acceptsWork() || len(u.attempts) == 0 {
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

// acceptsWork reports whether the upstream accepts new work once it has a free
// slot.
func (u *upstream) acceptsWork() bool { return !u.gone && !u.down && !u.Leaving }

// countAccepting returns the number of upstreams that accept new work.
func (p *pool) countAccepting() int {
	n := 0
	for _, u := range p.upstreams {
		if u.acceptsWork() {
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

// Forecast predicts what the cell can do for a request, without submitting it.
func (s *Scheduler) Forecast(now time.Time, sent Request) Forecast {
	r := &request{Request: sent, class: s.class(sent.Class), organisation: s.organisations[sent.Organisation]}
	reason, _ := s.condemned(now, &sent, partsOf(sent))
	if r.Arrived.IsZero() || r.Arrived.After(now) {
		r.Arrived = now
	}
	forecast := Forecast{
		Tier:    r.class.tier,
		Allowed: min(s.due(r).Sub(now), r.class.wait),
		Final:   reason != "",
	}
	if p := s.pools[sent.Pool]; p != nil {
		forecast.Live = p.countAccepting()
		forecast.Delay = p.delay(now, forecast.Tier)
		if p.countPreemptible(now, r.class) > p.ahead(forecast.Tier) {
			// Attempts of lower tiers can be preempted for the request.
			forecast.Delay = 0
		}
	}
	return forecast
}

// Stranded lists the requests that wait in pools where no upstream accepts new
// work. They wait because an upstream may come back before its lease ends.
func (s *Scheduler) Stranded() []Request {
	var list []Request
	for _, p := range s.pools {
		if p.waiting == 0 || p.countAccepting() > 0 {
			continue
		}
		for _, r := range s.waitingIn(p) {
			list = append(list, r.Request)
		}
	}
	return list
}
