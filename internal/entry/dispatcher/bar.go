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
	// maxBar bounds how long an upstream can keep a host away. One that asks for
	// more is asked again after it.
	maxBar = 10 * time.Minute
	// maxDeclined bounds the slots at barred upstreams that one request declines: an
	// owner grants such a slot only until it has heard of the bar.
	maxDeclined = 3
)

// Notice is what an upstream said about new work in an answer.
type Notice struct {
	Upstream registrar.Upstream
	// Leaving means that the process takes no new work from any host.
	Leaving bool
	// Attributed is set when the answer is certainly the upstream's to this host's request, so
	// that other hosts may rely on it.
	Attributed bool
	// Pause is how long this host is to stay away.
	Pause time.Duration
	// Rate is the requests a second that the process takes from all hosts together; 0
	// when it names no limit, and Unlimited is set when it says that it has none.
	Rate      scheduler.Rate
	Unlimited bool
	// SentAt is when the request was sent whose answer this is.
	SentAt time.Time
}

// bars reports whether the upstream asks for no new work.
func (n Notice) bars() bool { return n.Leaving || n.Pause > 0 }

// bars lists the upstreams that this host stays away from, whatever the owner of
// the cell grants. The owner is told, so that it grants none of their slots.
type bars struct {
	// count spares requests the lock in the usual case.
	count atomic.Int64
	mu    sync.Mutex
	list  map[registrar.UpstreamID]barEntry
}

type barEntry struct {
	incarnation registrar.Incarnation
	leaving     bool
	// known is set when the membership has told of it: the owner of the cell hears it
	// there, too.
	known bool
	until time.Time
}

// bar returns the entry as the scheduler takes it.
func (b barEntry) bar(now time.Time, id registrar.UpstreamID) scheduler.Bar {
	return scheduler.Bar{Upstream: id, Incarnation: b.incarnation, Leaving: b.leaving, For: b.until.Sub(now)}
}

// left is how long the bar holds for a process of the upstream. A process of which
// this host knows no incarnation counts as the barred one.
func (b barEntry) left(now time.Time, i registrar.Incarnation) time.Duration {
	if i > b.incarnation && b.incarnation != 0 {
		return 0
	}
	return max(b.until.Sub(now), 0)
}

// add notes a bar and reports whether it tells anything new.
func (b *bars) add(now time.Time, n Notice) bool {
	e := barEntry{incarnation: n.Upstream.Incarnation, leaving: n.Leaving, until: now.Add(min(n.Pause, maxBar))}
	if n.Leaving {
		e.until = now.Add(maxBar)
	}
	return b.put(now, n.Upstream.Name, e)
}

// put notes an entry unless a later process or a longer bar of the same one is known, and
// reports whether it was noted.
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
	b.forget(now)
	return true
}

// forget drops the bars that have ended. The caller holds mu.
func (b *bars) forget(now time.Time) {
	for id, e := range b.list {
		if !now.Before(e.until) {
			delete(b.list, id)
		}
	}
	b.count.Store(int64(len(b.list)))
}

// supersedes reports whether the entry tells more than a known one that is in force.
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

// left is how long this host has to stay away from the upstream.
func (b *bars) left(now time.Time, u registrar.Upstream) time.Duration {
	if b.count.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.list[u.Name]
	if !ok {
		return 0
	}
	return e.left(now, u.Incarnation)
}

// all returns the bars in force that the owner of the cell hears from this host only, as
// the scheduler takes them, and drops those that have ended.
func (b *bars) all(now time.Time) []scheduler.Bar {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	var list []scheduler.Bar
	for id, e := range b.list {
		if !e.known {
			list = append(list, e.bar(now, id))
		}
	}
	return list
}

// tell lets the owner of the cell hear a bar from this host, after it has granted a slot
// at the upstream.
func (b *bars) tell(id registrar.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, ok := b.list[id]; ok {
		e.known = false
		b.list[id] = e
	}
}

// Notice takes what an upstream said about new work. This host sends it nothing
// more, and the scheduler is told.
func (c *Cell) Notice(n Notice) {
	now := c.settings.Clock.Now()
	c.noticeLimit(now, n)
	if !n.bars() || !c.bars.add(now, n) {
		return
	}
	c.settings.Logger.Info("an upstream asks for no new work",
		zap.String("upstream", string(n.Upstream.Name)), zap.Uint64("incarnation", uint64(n.Upstream.Incarnation)),
		zap.Bool("leaving", n.Leaving), zap.Duration("pause", n.Pause))
	c.retellBars()
	if n.Leaving && n.Attributed && c.settings.ReportDeparture != nil {
		c.settings.ReportDeparture(registrar.Departure{UpstreamID: n.Upstream.Name, Incarnation: n.Upstream.Incarnation, Leaving: true})
	}
}

// ObserveDeparture takes from the membership that a process of an upstream leaves. This host sends it
// nothing more, whatever the owner of the cell grants.
func (c *Cell) ObserveDeparture(d registrar.Departure) {
	now := c.settings.Clock.Now()
	e := barEntry{incarnation: d.Incarnation, leaving: true, known: true, until: now.Add(maxBar)}
	noted := c.bars.put(now, d.UpstreamID, e)
	c.settings.Logger.Info("an upstream leaves", zap.String("upstream", string(d.UpstreamID)),
		zap.Uint64("incarnation", uint64(d.Incarnation)), zap.Bool("news", noted))
	c.settings.Local.bar([]scheduler.Bar{e.bar(now, d.UpstreamID)})
}

// staysAway reports whether this host stays away from the upstream.
func (c *Cell) staysAway(u registrar.Upstream) bool {
	return c.bars.left(c.settings.Clock.Now(), u) > 0
}

// decline gives back a slot at an upstream that this host stays away from, and tells the
// owner why.
func (c *Cell) decline(s Slot, left time.Duration) {
	u := s.Upstream()
	c.settings.Logger.Info("a granted slot is declined: this host stays away from the upstream",
		zap.String("upstream", string(u.Name)), zap.Uint64("incarnation", uint64(u.Incarnation)), zap.Duration("left", left))
	s.Release(scheduler.Abandoned, 0)
	c.bars.tell(u.Name)
	c.retellBars()
}

// retellBars reports the bars in force to the present route.
func (c *Cell) retellBars() {
	c.mu.RLock()
	defer c.mu.RUnlock()
	c.tellBars(c.route)
}

// tellBars reports the bars in force to a route. They are few, so that none is told
// by itself.
func (c *Cell) tellBars(to route) {
	if list := c.bars.all(c.settings.Clock.Now()); len(list) > 0 {
		to.bar(list)
	}
}

func encodeBars(list []scheduler.Bar) []*wire.SlotBar {
	var all []*wire.SlotBar
	for _, b := range list {
		all = append(all, &wire.SlotBar{Upstream: string(b.Upstream), Incarnation: uint64(b.Incarnation), Leaving: b.Leaving, Remaining: b.For.Milliseconds()})
	}
	return all
}

// decodeBars returns the bars of another host.
func decodeBars(h registrar.HostName, list []*wire.SlotBar) []scheduler.Bar {
	var all []scheduler.Bar
	for _, m := range list {
		remaining := min(max(m.Remaining, 0), maxBar.Milliseconds())
		all = append(all, scheduler.Bar{
			Host: h, Upstream: registrar.UpstreamID(m.Upstream), Incarnation: registrar.Incarnation(m.Incarnation),
			Leaving: m.Leaving, For: time.Duration(remaining) * time.Millisecond,
		})
	}
	return all
}
