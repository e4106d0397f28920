package scheduler

import (
	"slices"
	"time"
)

// Offers reports whether the request would get a slot of a service at once, from the part
// of the slots that this scheduler may use. It offers none to a request of an organisation
// with limits, which one scheduler has to count, and none while others wait.
func (s *Scheduler) Offers(now time.Time, r Request) bool {
	p := s.pools[r.Pool]
	if p == nil || p.waiting > 0 || !p.service() || s.memory[r.Pool] > 0 {
		return false
	}
	if o := s.organisations[r.Organisation]; o != nil && (o.limit > 0 || o.limiter != nil) {
		return false
	}
	ramps := p.ramps()
	for _, u := range p.upstreams {
		if u.usable(ramps) && u.quota == nil && !u.isSilent(now) && !slices.Contains(r.Avoid, u.Name) {
			return true
		}
	}
	return false
}

// service reports whether the upstreams of the pool serve it as a service, not as a model.
func (p *pool) service() bool {
	return slices.ContainsFunc(p.upstreams, func(u *upstream) bool { return slices.Contains(u.Services, p.name) })
}
