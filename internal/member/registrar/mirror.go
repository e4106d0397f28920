package registrar

import (
	"slices"
	"sync/atomic"
	"time"
)

// Departure is the end of an upstream in the view of another host.
type Departure struct {
	UpstreamID  UpstreamID
	Incarnation Incarnation
	// Leaving is false when the lease expired.
	Leaving bool
	// Age is the time since it was heard first, so that it is forgotten whoever tells it
	// again.
	Age time.Duration
}

// Copy is what an exchange tells of the view of another host.
type Copy struct {
	// Began is when the exchange started on this host. The lease of all upstreams is
	// counted from it, so that time spent on the way never extends it.
	Began time.Time
	// Full tells that Changed holds all live upstreams.
	Full       bool
	Changed    []Upstream
	Departures []Departure
	// Hosts are all live hosts that may own a cell; nil while they have not changed.
	Hosts []Host
	// Known is the time up to which all acknowledged departures are in the copy and those
	// before it; zero when the other host can't tell.
	Known time.Time
}

// fleetTime is how long a mirror goes on with a larger number of watching hosts than it
// is told. Hosts that start count from 0, and hosts that schedule on their own divide
// upstreams and retries by this number.
const fleetTime = 10 * time.Second

// Mirror is the view of a host that takes no part in the exchange of news: a copy of
// the view of one host that does. Its upstreams have one lease, which each exchange
// renews. Step-like methods are for one goroutine at a time; Snapshot may be used by
// any.
type Mirror struct {
	self      Host
	lease     time.Duration
	upstreams map[UpstreamID]*slot
	hosts     map[HostName]Host
	horizon   *horizon
	// known is the time up to which all acknowledged departures are known.
	known time.Time
	// departed holds the upstreams that have left, whichever host has told so.
	departed map[UpstreamID]departed
	// watchers is the largest number of watching hosts that was told lately, and told
	// when that was last.
	watchers int
	told     time.Time
	// ended is set once the lease has ended.
	ended   bool
	view    atomic.Pointer[View]
	actions []Action
}

// departed is the last process of an upstream that is known to leave, and when that was
// heard here.
type departed struct {
	incarnation Incarnation
	at          time.Time
}

// NewMirror makes the mirror of the host self.
func NewMirror(now time.Time, self Host, lease time.Duration) *Mirror {
	m := &Mirror{
		self: self, lease: lease, upstreams: map[UpstreamID]*slot{}, hosts: map[HostName]Host{},
		horizon: &horizon{}, departed: map[UpstreamID]departed{}, ended: true,
	}
	m.horizon.set(now)
	m.publish(now)
	return m
}

// Snapshot returns the current view.
func (m *Mirror) Snapshot() *View { return m.view.Load() }

// Take applies a copy and returns what follows from it.
func (m *Mirror) Take(now time.Time, c Copy) []Action {
	m.actions = nil
	until := c.Began.Add(m.lease)
	if !now.Before(until) {
		return m.Expire(now)
	}
	if until.After(m.horizon.get()) {
		m.horizon.set(until)
	}
	m.ended = false
	if c.Known.After(m.known) {
		m.known = c.Known
	}
	changed := m.departAll(now, c.Departures)
	for _, u := range c.Changed {
		changed = m.change(u, until, c.Full) || changed
	}
	if c.Full {
		changed = m.retain(now, c.Changed) || changed
	}
	if c.Hosts != nil {
		changed = m.replaceHosts(c.Hosts) || changed
	}
	if changed || m.overstated(now) {
		m.publish(now)
	}
	return m.actions
}

// TakeHosts applies the hosts of an exchange that tells nothing of upstreams; nil while
// they have not changed.
func (m *Mirror) TakeHosts(now time.Time, list []Host) []Action {
	m.actions = nil
	if list != nil && m.replaceHosts(list) {
		m.publish(now)
	}
	return m.actions
}

// Expire ends the lease of all upstreams when its time has come.
func (m *Mirror) Expire(now time.Time) []Action {
	m.actions = nil
	if m.ended || now.Before(m.horizon.get()) {
		return nil
	}
	m.ended = true
	m.retain(now, nil)
	m.publish(now)
	return m.actions
}

// KnownUntil returns the time up to which every departure that any host acknowledged is
// known, or the zero time.
func (m *Mirror) KnownUntil() time.Time { return m.known }

// Depart takes departures that another way than the followed host has brought.
func (m *Mirror) Depart(now time.Time, list []Departure) []Action {
	m.actions = nil
	if m.departAll(now, list) {
		m.publish(now)
	}
	return m.actions
}

// Departures lists the upstreams that are known to leave.
func (m *Mirror) Departures(now time.Time) []Departure {
	m.forget(now)
	list := make([]Departure, 0, len(m.departed))
	for id, d := range m.departed {
		list = append(list, Departure{UpstreamID: id, Incarnation: d.incarnation, Leaving: true, Age: now.Sub(d.at)})
	}
	return list
}

// Roster lists the live upstreams and what is left of their lease.
func (m *Mirror) Roster(now time.Time) ([]Upstream, time.Duration) {
	left := m.horizon.get().Sub(now)
	if left <= 0 {
		return nil, 0
	}
	return m.Snapshot().Upstreams(now), left
}

// change notes a live upstream and reports whether it is new. News of an earlier process
// counts only from a host that tells everything: what follows refers to that. A process
// that is known to leave doesn't come back with a host that hasn't heard so.
func (m *Mirror) change(u Upstream, until time.Time, full bool) bool {
	if d, ok := m.departed[u.Name]; ok && u.Incarnation <= d.incarnation {
		return false
	}
	s := m.upstreams[u.Name]
	known := s != nil
	if known && !full && s.load().Upstream.Incarnation > u.Incarnation {
		return false
	}
	if !known {
		s = &slot{}
		m.upstreams[u.Name] = s
	}
	s.store(&Entry{Upstream: u, Until: until})
	m.actions = append(m.actions, Changed{Upstream: u, Until: until})
	return !known
}

// departAll notes departures and reports whether any concerned a live upstream.
func (m *Mirror) departAll(now time.Time, list []Departure) bool {
	changed := false
	for _, d := range list {
		changed = m.depart(now, d) || changed
	}
	return changed
}

// depart notes a departure and reports whether the upstream was live. One that leaves is
// told of also when it was not: the owner of the cell may take it for live.
func (m *Mirror) depart(now time.Time, d Departure) bool {
	news := d.Leaving && m.leave(now, d)
	s := m.upstreams[d.UpstreamID]
	if s != nil && s.load().Upstream.Incarnation > d.Incarnation {
		return false
	}
	live := s != nil
	delete(m.upstreams, d.UpstreamID)
	if live || news {
		m.actions = append(m.actions, Removed(d))
	}
	return live
}

// leave notes the process that leaves and reports whether that is news.
func (m *Mirror) leave(now time.Time, d Departure) bool {
	if known, ok := m.departed[d.UpstreamID]; ok && known.incarnation >= d.Incarnation {
		return false
	}
	m.forget(now)
	if d.Age > TombstoneRetention {
		return false
	}
	m.departed[d.UpstreamID] = departed{d.Incarnation, now.Add(-d.Age)}
	return true
}

// forget drops departures that nothing on its way is older than.
func (m *Mirror) forget(now time.Time) {
	for id, d := range m.departed {
		if now.Sub(d.at) > TombstoneRetention {
			delete(m.departed, id)
		}
	}
}

// retain drops the upstreams that are not in the list and reports whether there were
// any.
func (m *Mirror) retain(now time.Time, list []Upstream) bool {
	live := make(map[UpstreamID]bool, len(list))
	for _, u := range list {
		live[u.Name] = true
	}
	dropped := false
	for id, s := range m.upstreams {
		if live[id] {
			continue
		}
		dropped = m.depart(now, Departure{UpstreamID: id, Incarnation: s.load().Upstream.Incarnation}) || dropped
	}
	return dropped
}

// replaceHosts takes over the hosts that may own a cell and reports whether they
// differ from the known ones.
func (m *Mirror) replaceHosts(list []Host) bool {
	next := make(map[HostName]Host, len(list))
	for _, h := range list {
		if h.Name == m.self.Name {
			continue
		}
		next[h.Name] = h
		switch known, ok := m.hosts[h.Name]; {
		case !ok:
			m.actions = append(m.actions, HostUp{Host: h})
		case known != h:
			m.actions = append(m.actions, HostChanged{Host: h})
		}
	}
	for name, h := range m.hosts {
		if _, ok := next[name]; !ok {
			m.actions = append(m.actions, HostDown{Host: h})
		}
	}
	m.hosts = next
	return len(m.actions) > 0
}

// overstated reports whether the number of watching hosts is larger than what was told
// for long enough.
func (m *Mirror) overstated(now time.Time) bool {
	return m.toldWatchers() < m.watchers && now.Sub(m.told) >= fleetTime
}

func (m *Mirror) toldWatchers() int {
	n := 0
	for _, h := range m.hosts {
		n += h.Watchers
	}
	return n
}

// count updates the number of watching hosts.
func (m *Mirror) count(now time.Time) {
	if n := m.toldWatchers(); n >= m.watchers || m.overstated(now) {
		m.watchers, m.told = n, now
	}
}

func (m *Mirror) publish(now time.Time) {
	m.count(now)
	v := &View{self: m.self.Name, slots: make(map[UpstreamID]*slot, len(m.upstreams)), horizon: m.horizon}
	for id, s := range m.upstreams {
		v.slots[id] = s
	}
	v.hosts = append(v.hosts, m.self)
	for _, h := range m.hosts {
		v.hosts = append(v.hosts, h)
	}
	v.arrange()
	// This host is one of those that the others count.
	v.watchers = max(m.watchers-1, 0)
	m.view.Store(v)
}

// Hosts lists the hosts that may own a cell.
func (m *Mirror) Hosts() []Host {
	list := make([]Host, 0, len(m.hosts))
	for _, h := range m.hosts {
		list = append(list, h)
	}
	slices.SortFunc(list, byHostName)
	return list
}
