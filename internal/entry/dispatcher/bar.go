package dispatcher

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// maxBarTime bounds how long an upstream can keep a host from sending it requests. An
	// upstream that asks for longer gets a request after this time and can ask again.
	maxBarTime = 10 * time.Minute
	// maxDeclined bounds the slots at barred upstreams that one request declines. The
	// owner of the cell grants such a slot only until it has heard of the bar.
	maxDeclined = 3
)

// Notice is what an upstream said in a response about further requests.
type Notice struct {
	Upstream registrar.Upstream
	// Leaving means that the process takes no new requests from any host.
	Leaving bool
	// Attributed is set when the response certainly comes from the upstream and answers
	// this host's request, so that other hosts may rely on it.
	Attributed bool
	// Pause is how long this host must send no new requests.
	Pause time.Duration
	// Rate is the number of requests a second that the process takes from all hosts
	// together; 0 when it names no limit. Unlimited is set when it says that it has no
	// limit.
	Rate      scheduler.Rate
	Unlimited bool
	// SentAt is when the request of this response was sent.
	SentAt time.Time
}

// forbidsWork reports whether the upstream asks for no new requests.
func (n Notice) forbidsWork() bool { return n.Leaving || n.Pause > 0 }

// bars lists the upstreams that this host sends no new requests to, whatever the owner of
// the cell grants. The owner is told, so that it grants none of their slots.
type bars struct {
	// count lets requests skip the lock in the usual case of no bars.
	count atomic.Int64
	mu    sync.Mutex
	list  map[registrar.UpstreamID]barEntry
}

// barEntry is the bar of one upstream.
type barEntry struct {
	incarnation registrar.Incarnation
	leaving     bool
	// ownerKnows is set when this host heard of the bar from the membership, from which
	// the owner of the cell hears of it too.
	ownerKnows bool
	until      time.Time
}

// bar returns the entry as an event for the scheduler.
func (b barEntry) bar(now time.Time, id registrar.UpstreamID) scheduler.Bar {
	return scheduler.Bar{Upstream: id, Incarnation: b.incarnation, Leaving: b.leaving, For: b.until.Sub(now)}
}

// remaining is how much longer the bar holds for a process of the upstream. A process
// whose incarnation this host doesn't know counts as the barred one.
func (b barEntry) remaining(now time.Time, i registrar.Incarnation) time.Duration {
	if i > b.incarnation && b.incarnation != 0 {
		return 0
	}
	return max(b.until.Sub(now), 0)
}

// add records the bar of a notice and reports whether it is new or longer.
func (b *bars) add(now time.Time, n Notice) bool {
	e := barEntry{incarnation: n.Upstream.Incarnation, leaving: n.Leaving, until: now.Add(min(n.Pause, maxBarTime))}
	if n.Leaving {
		e.until = now.Add(maxBarTime)
	}
	return b.put(now, n.Upstream.Name, e)
}

// put records an entry and reports true, unless a bar in force for a later process, or a
// longer one for the same process, is known.
func (b *bars) put(now time.Time, id registrar.UpstreamID, e barEntry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.list[id]; ok && now.Before(known.until) && !e.supersedes(known) {
		return false
	}
	if b.list == nil {
		b.list = map[registrar.UpstreamID]barEntry{}
	}
	b.list[id] = e
	b.prune(now)
	return true
}

// prune removes the bars that have ended. The caller holds mu.
func (b *bars) prune(now time.Time) {
	for id, e := range b.list {
		if !now.Before(e.until) {
			delete(b.list, id)
		}
	}
	b.count.Store(int64(len(b.list)))
}

// supersedes reports whether the entry replaces a known one that is in force: it concerns
// a later process, or the same one and holds longer.
func (b barEntry) supersedes(known barEntry) bool {
	switch {
	case b.incarnation != known.incarnation:
		return b.incarnation > known.incarnation
	case b.leaving != known.leaving:
		return b.leaving
	case b.leaving:
		return false
	}
	return b.until.After(known.until)
}

// remaining is how much longer this host sends no requests to the upstream; 0 when it
// may.
func (b *bars) remaining(now time.Time, u registrar.Upstream) time.Duration {
	if b.count.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.list[u.Name]
	if !ok {
		return 0
	}
	return e.remaining(now, u.Incarnation)
}

// unreported returns the bars in force that the owner of the cell hears of only from this
// host, as events for the scheduler. It removes the bars that have ended.
func (b *bars) unreported(now time.Time) []scheduler.Bar {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	var list []scheduler.Bar
	for id, e := range b.list {
		if !e.ownerKnows {
			list = append(list, e.bar(now, id))
		}
	}
	return list
}

// markUnreported makes this host report the bar of an upstream to the owner of the cell,
// which granted a slot there and so doesn't know of the bar.
func (b *bars) markUnreported(id registrar.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, ok := b.list[id]; ok {
		e.ownerKnows = false
		b.list[id] = e
	}
}

// Notice handles what an upstream said about further requests. If it asks for none, this
// host sends it none and reports the bar to the scheduler.
func (c *Cell) Notice(n Notice) {
	now := c.settings.Clock.Now()
	c.recordNoticedLimit(now, n)
	if !n.forbidsWork() || !c.bars.add(now, n) {
		return
	}
	c.settings.Logger.Info("an upstream asked for no new requests",
		zap.String("upstream", string(n.Upstream.Name)), zap.Uint64("incarnation", uint64(n.Upstream.Incarnation)),
		zap.Bool("leaving", n.Leaving), zap.Duration("pause", n.Pause))
	c.reportBars()
	if n.Leaving && n.Attributed && c.settings.ReportDeparture != nil {
		c.settings.ReportDeparture(registrar.Departure{UpstreamID: n.Upstream.Name, Incarnation: n.Upstream.Incarnation, Leaving: true})
	}
}

// ObserveDeparture records that, according to the membership, a process of an upstream is
// leaving. This host sends it no new requests, whatever the owner of the cell grants.
func (c *Cell) ObserveDeparture(d registrar.Departure) {
	now := c.settings.Clock.Now()
	e := barEntry{incarnation: d.Incarnation, leaving: true, ownerKnows: true, until: now.Add(maxBarTime)}
	noted := c.bars.put(now, d.UpstreamID, e)
	c.settings.Logger.Info("an upstream is leaving", zap.String("upstream", string(d.UpstreamID)),
		zap.Uint64("incarnation", uint64(d.Incarnation)), zap.Bool("news", noted))
	c.settings.Local.setBars([]scheduler.Bar{e.bar(now, d.UpstreamID)})
}

// isBarred reports whether this host sends the upstream no new requests.
func (c *Cell) isBarred(u registrar.Upstream) bool {
	return c.bars.remaining(c.settings.Clock.Now(), u) > 0
}

// decline releases a slot at a barred upstream and reports the bars to the owner of the
// cell.
func (c *Cell) decline(s Slot, left time.Duration) {
	u := s.Upstream()
	c.settings.Logger.Info("declined a granted slot: the upstream is barred on this host",
		zap.String("upstream", string(u.Name)), zap.Uint64("incarnation", uint64(u.Incarnation)), zap.Duration("left", left))
	s.Release(scheduler.Abandoned, 0)
	c.bars.markUnreported(u.Name)
	c.reportBars()
}

// reportBars sends the bars in force to the current route.
func (c *Cell) reportBars() {
	c.mu.RLock()
	defer c.mu.RUnlock()
	c.sendBars(c.route)
}

// sendBars sends all bars in force to a route, and to this host's scheduler for the slots
// that it grants beside another route. They are few, so they are not sent one by one.
func (c *Cell) sendBars(to route) {
	list := c.bars.unreported(c.settings.Clock.Now())
	if len(list) == 0 {
		return
	}
	to.setBars(list)
	if to != route(c.settings.Local) {
		c.settings.Local.setBars(list)
	}
}

func encodeBars(list []scheduler.Bar) []*wire.SlotBar {
	var all []*wire.SlotBar
	for _, b := range list {
		all = append(all, &wire.SlotBar{Upstream: string(b.Upstream), Incarnation: uint64(b.Incarnation), Leaving: b.Leaving, Remaining: b.For.Milliseconds()})
	}
	return all
}

// decodeBars returns the bars reported by host h. Their times are limited to 0 and
// maxBarTime.
func decodeBars(h registrar.HostName, list []*wire.SlotBar) []scheduler.Bar {
	var all []scheduler.Bar
	for _, m := range list {
		remaining := min(max(m.Remaining, 0), maxBarTime.Milliseconds())
		all = append(all, scheduler.Bar{
			Host: h, Upstream: registrar.UpstreamID(m.Upstream), Incarnation: registrar.Incarnation(m.Incarnation),
			Leaving: m.Leaving, For: time.Duration(remaining) * time.Millisecond,
		})
	}
	return all
}
