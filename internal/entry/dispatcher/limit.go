package dispatcher

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// fleetMemory is how long a larger number of hosts counts after some were lost: they
	// may be cut off from this one and still send to upstreams.
	fleetMemory = time.Minute
	// fleetRise is how long a larger number has to last: a host that changes the one that
	// it watches is counted twice for a moment.
	fleetRise = 3 * time.Second
	// maxAge bounds the age of another host's report, so that it fits a duration, and
	// maxRate what it says, in requests a second, beyond any load.
	maxAge  = 24 * time.Hour
	maxRate = 1e6
	// aloneShare is the part of its share of a limit that a host uses without an owner: by
	// chance the turns of several hosts may come together.
	aloneShare = 0.5
)

// fleetSize is the largest number of hosts in the time of fleetMemory.
type fleetSize struct {
	hosts int
	until time.Time
	// rising is the least number since it exceeds hosts, and since is when that began.
	rising int
	since  time.Time
}

// observe takes the present number.
func (f *fleetSize) observe(now time.Time, hosts int) {
	switch {
	case hosts <= f.hosts:
		f.rising = 0
	case f.rising == 0:
		f.rising, f.since = hosts, now
	default:
		f.rising = min(f.rising, hosts)
	}
	switch {
	case f.rising > 0 && now.Sub(f.since) >= fleetRise:
		f.hosts, f.rising = f.rising, 0
		f.until = now.Add(fleetMemory)
	case hosts >= f.hosts:
		f.until = now.Add(fleetMemory)
	case !now.Before(f.until):
		f.hosts, f.until = hosts, now.Add(fleetMemory)
	}
}

// count returns the largest number; while none is known for long enough, the present one.
func (f *fleetSize) count() int {
	if f.hosts > 0 {
		return f.hosts
	}
	return max(f.rising, 1)
}

// apportion sets the part of the upstreams' rate limits that this host's scheduler may
// use. Each host of the cell has an equal part, which goes to the owner with its link;
// so the parts in use never add up to more than the limit, whoever takes whom for the
// owner. A host that doesn't know how many there are has none.
func (f *follower) apportion() {
	s := f.cell.settings
	fleet := float64(f.fleet.count())
	switch {
	case f.owning:
		s.Local.apportion(min(float64(1+s.Local.links.Load())/fleet, 1))
	case s.Membership.Counted():
		s.Local.apportion(aloneShare / fleet)
	default:
		s.Local.apportion(0)
	}
}

// apportion sets the part of the limits that the scheduler may use.
func (l *Local) apportion(part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(scheduler.Portion{Part: part})
}

// onLimitChanged sets what takes limits that change. It is called with the lock held.
func (l *Local) onLimitChanged(f func(scheduler.Limit)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limitChanged = f
}

// learnLimit takes a report on the limit of an upstream and returns what is known then.
func (l *Local) learnLimit(e scheduler.Limit) (known scheduler.Limit, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(e)
	l.limits.Store(int64(len(l.scheduler.Limits())))
	return l.scheduler.LimitOf(e.Upstream)
}

// knownLimits lists what this host knows of the limits.
func (l *Local) knownLimits() []scheduler.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Limits()
}

// spend takes a request that needs no slot off the limit of an upstream and reports
// whether it allows one.
func (l *Local) spend(id registrar.UpstreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Allow(l.clock.Now(), id)
}

// limit is what an answer that came now says of its upstream's limit, if anything.
func (n Notice) limit(now time.Time) (scheduler.Limit, bool) {
	if n.Rate > 0 {
		return scheduler.LimitReport(n.Upstream, n.Rate, now), true
	}
	return scheduler.NoLimitReport(n.Upstream, n.SentAt), n.Unlimited
}

// noticeLimit takes what an answer says of its upstream's limit. The owner of the cell
// is told, unless this host knew as much.
func (c *Cell) noticeLimit(now time.Time, n Notice) {
	e, ok := n.limit(now)
	if !ok || e.Rate == 0 && c.settings.Local.limits.Load() == 0 {
		return
	}
	if known, ok := c.settings.Local.learnLimit(e); !ok || known.Rate != e.Rate || !known.At.Equal(e.At) {
		return
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	if l, ok := c.route.(*link); ok {
		l.limit(e)
	}
}

// countLinks counts the linked hosts of the cell. The caller holds mu.
func (s *Server) countLinks() {
	n := 0
	for _, o := range s.sessions {
		if !o.foreign {
			n++
		}
	}
	s.settings.Local.links.Store(int64(n))
}

// tellLimit tells the linked hosts of the cell of a limit that has changed, so that they
// keep it without the owner, too, and bring it to the next one.
func (s *Server) tellLimit(e scheduler.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.sessions {
		if !n.foreign {
			n.tellLimits(e)
		}
	}
}

// tellLimits tells the host of limits.
func (n *session) tellLimits(list ...scheduler.Limit) {
	if len(list) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limits = append(n.limits, list...)
	n.signal()
}

// learnLimits takes the host's reports. It is told where another one is later.
func (n *session) learnLimits(list []*wire.SlotLimit, now time.Time) {
	for _, e := range decodeLimits(list, now) {
		if known, ok := n.server.settings.Local.learnLimit(e); ok && known.Rate != e.Rate {
			n.tellLimits(known)
		}
	}
}

func encodeLimits(list []scheduler.Limit, now time.Time) []*wire.SlotLimit {
	all := make([]*wire.SlotLimit, 0, len(list))
	for _, e := range list {
		all = append(all, &wire.SlotLimit{
			Upstream: string(e.Upstream), Incarnation: uint64(e.Incarnation),
			Rate: float64(e.Rate), Age: now.Sub(e.At).Milliseconds(),
		})
	}
	return all
}

// decodeLimits returns the reports of another host.
func decodeLimits(list []*wire.SlotLimit, now time.Time) []scheduler.Limit {
	all := make([]scheduler.Limit, 0, len(list))
	for _, m := range list {
		if !(m.Rate >= 0) {
			continue
		}
		age := min(max(m.Age, 0), maxAge.Milliseconds())
		all = append(all, scheduler.Limit{
			Upstream: registrar.UpstreamID(m.Upstream), Incarnation: registrar.Incarnation(m.Incarnation),
			Rate: scheduler.Rate(min(m.Rate, maxRate)), At: now.Add(-time.Duration(age) * time.Millisecond),
		})
	}
	return all
}
