package dispatcher

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// hostCountHold is how long a larger number of hosts counts after some were lost:
	// they may be cut off from this one and still send to upstreams.
	hostCountHold = time.Minute
	// hostCountRise is how long a larger number has to last before it counts. A host that
	// switches to watching another host is counted twice for a moment.
	hostCountRise = 3 * time.Second
	// maxAge bounds the age in another host's report, so that it fits a duration. maxRate
	// bounds the rate in it, in requests a second, and is higher than any load.
	maxAge  = 24 * time.Hour
	maxRate = 1e6
	// ownerlessShare is the fraction of its share of a rate limit that a host uses
	// without an owner of the cell: several hosts may by chance send at the same time.
	ownerlessShare = 0.5
)

// hostCount is the largest number of hosts seen within hostCountHold.
type hostCount struct {
	hosts int
	until time.Time
	// rising is the smallest number seen since the numbers exceed hosts, 0 while they
	// don't, and since is when that began.
	rising int
	since  time.Time
}

// observe records the current number of hosts.
func (f *hostCount) observe(now time.Time, hosts int) {
	switch {
	case hosts <= f.hosts:
		f.rising = 0
	case f.rising == 0:
		f.rising, f.since = hosts, now
	default:
		f.rising = min(f.rising, hosts)
	}
	switch {
	case f.rising > 0 && now.Sub(f.since) >= hostCountRise:
		f.hosts, f.rising = f.rising, 0
		f.until = now.Add(hostCountHold)
	case hosts >= f.hosts:
		f.until = now.Add(hostCountHold)
	case !now.Before(f.until):
		f.hosts, f.until = hosts, now.Add(hostCountHold)
	}
}

// count returns the largest number that lasted long enough. Before there is one it
// returns the number in rising, and at least 1.
func (f *hostCount) count() int {
	if f.hosts > 0 {
		return f.hosts
	}
	return max(f.rising, 1)
}

// updateRateShare sets the fraction of the upstreams' rate limits that this host's
// scheduler may use. Each host of the cell has an equal share, which it passes to the
// owner by linking to it. So the shares in use never add up to more than the limit,
// whichever host each of them takes for the owner. A host that doesn't know the number of
// hosts has no share.
func (f *ownerTracker) updateRateShare() {
	s := f.cell.settings
	hosts := float64(f.hostCount.count())
	switch {
	case f.owning:
		s.Local.setRateShare(min(float64(1+s.Local.linkedHosts.Load())/hosts, 1))
	case s.Membership.Counted():
		s.Local.setRateShare(ownerlessShare / hosts)
	default:
		s.Local.setRateShare(0)
	}
}

// setRateShare sets the fraction of the rate limits, between 0 and 1, that the scheduler
// may use.
func (l *Local) setRateShare(part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(scheduler.Portion{Part: part})
}

// onLimitChanged sets the function that receives changed rate limits. It is called with
// the lock held.
func (l *Local) onLimitChanged(f func(scheduler.Limit)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limitChanged = f
}

// recordLimit passes a report on an upstream's rate limit to the scheduler and returns
// the limit that the scheduler knows afterwards. ok is false when it knows none.
func (l *Local) recordLimit(e scheduler.Limit) (known scheduler.Limit, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(e)
	l.limitCount.Store(int64(len(l.scheduler.Limits())))
	return l.scheduler.LimitOf(e.Upstream)
}

// knownLimits lists the rate limits that the scheduler knows.
func (l *Local) knownLimits() []scheduler.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Limits()
}

// spend counts a request that needs no slot against the rate limit of an upstream. It
// reports whether the limit allows the request.
func (l *Local) spend(id registrar.UpstreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Allow(l.clock.Now(), id)
}

// limit returns what a response that arrived now says about its upstream's rate limit; ok
// is false when it says nothing.
func (n Notice) limit(now time.Time) (scheduler.Limit, bool) {
	if n.Rate > 0 {
		return scheduler.LimitReport(n.Upstream, n.Rate, now), true
	}
	return scheduler.NoLimitReport(n.Upstream, n.SentAt), n.Unlimited
}

// recordNoticedLimit records what a response says about its upstream's rate limit. It
// reports the limit to the owner of the cell, unless this host knew it already.
func (c *Cell) recordNoticedLimit(now time.Time, n Notice) {
	e, ok := n.limit(now)
	if !ok || e.Rate == 0 && c.settings.Local.limitCount.Load() == 0 {
		return
	}
	if known, ok := c.settings.Local.recordLimit(e); !ok || known.Rate != e.Rate || !known.At.Equal(e.At) {
		return
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	if l, ok := c.route.(*link); ok {
		l.limit(e)
	}
}

// countLinks updates the number of linked hosts of the own cell. The caller holds mu.
func (s *Server) countLinks() {
	n := 0
	for _, o := range s.sessions {
		if !o.foreign {
			n++
		}
	}
	s.settings.Local.linkedHosts.Store(int64(n))
}

// broadcastLimit sends a changed rate limit to the linked hosts of the own cell, so that
// they keep to it without the owner, too, and report it to the next one.
func (s *Server) broadcastLimit(e scheduler.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.sessions {
		if !n.foreign {
			n.queueLimits(e)
		}
	}
}

// queueLimits queues rate limits to be sent to the host.
func (n *session) queueLimits(list ...scheduler.Limit) {
	if len(list) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limits = append(n.limits, list...)
	n.signal()
}

// recordLimits records the host's reports. Where this host knows a later limit, it sends
// that back.
func (n *session) recordLimits(list []*wire.SlotLimit, now time.Time) {
	for _, e := range decodeLimits(list, now) {
		if known, ok := n.server.settings.Local.recordLimit(e); ok && known.Rate != e.Rate {
			n.queueLimits(known)
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

// decodeLimits returns the reports of another host. It leaves out rates that are negative
// or not a number, and limits the others to maxRate and the ages to 0 and maxAge.
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
