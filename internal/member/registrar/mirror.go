package registrar

import (
	"slices"
	"sync/atomic"
	"time"
)

// Departure is the removal of an upstream from the view of another host.
type Departure struct {
	UpstreamID  UpstreamID
	Incarnation Incarnation
	// Leaving is true when the upstream announced its departure and false when its lease
	// expired.
	Leaving bool
	// Age is the time since any host first learned of the departure. It is passed on, so
	// that the departure is eventually forgotten even if hosts keep repeating it.
	Age time.Duration
}

// ViewUpdate is what a response of the followed host says about its view.
type ViewUpdate struct {
	// Began is when the exchange started on this host. The lease of all upstreams is
	// counted from it, so that transit time never extends it.
	Began time.Time
	// Full is set when Changed holds all live upstreams.
	Full       bool
	Changed    []Upstream
	Departures []Departure
	// Hosts are all live hosts that may own a cell; nil while they have not changed.
	Hosts []Host
	// KnownUntil is the time up to which all acknowledged departures are contained in
	// this and the earlier updates; zero when the other host can't tell.
	KnownUntil time.Time
}

// watcherCountTime is how long a mirror keeps a larger number of watching hosts than the
// one that is currently reported. Hosts that start count from 0, and hosts that schedule on
// their own divide upstreams and retries by this number.
const watcherCountTime = 10 * time.Second

// Mirror is the view of a host that takes no part in the gossip exchange: a copy of the
// view of one host that does. All its upstreams share one lease, which each exchange
// renews. Methods must not be called concurrently, except for Snapshot.
type Mirror struct {
	self      Host
	lease     time.Duration
	upstreams map[UpstreamID]*entryRef
	hosts     map[HostName]Host
	leaseEnd  *sharedTime
	// knownUntil is the time up to which all acknowledged departures are known.
	knownUntil time.Time
	// departed holds the upstreams that have left, whichever host reported it.
	departed map[UpstreamID]departed
	// watchers is the largest number of watching hosts that was reported within
	// watcherCountTime, and watchersAt is when it was last reported.
	watchers   int
	watchersAt time.Time
	// expired is set while no lease runs.
	expired bool
	view    atomic.Pointer[View]
	actions []Action
}

// departed is the newest incarnation of an upstream that is known to leave, and when any
// host first learned that it leaves.
type departed struct {
	incarnation Incarnation
	at          time.Time
}

// NewMirror returns the empty mirror of the host self. Upstreams stay in it for the lease
// after the start of the exchange that brought or renewed them.
func NewMirror(now time.Time, self Host, lease time.Duration) *Mirror {
	m := &Mirror{
		self: self, lease: lease, upstreams: map[UpstreamID]*entryRef{}, hosts: map[HostName]Host{},
		leaseEnd: &sharedTime{}, departed: map[UpstreamID]departed{}, expired: true,
	}
	m.leaseEnd.set(now)
	m.publish(now)
	return m
}

// Snapshot returns the current view.
func (m *Mirror) Snapshot() *View { return m.view.Load() }

// Apply applies an update and returns the resulting actions. An update whose lease has
// already ended at now is not applied.
func (m *Mirror) Apply(now time.Time, c ViewUpdate) []Action {
	m.actions = nil
	until := c.Began.Add(m.lease)
	if !now.Before(until) {
		return m.Expire(now)
	}
	if until.After(m.leaseEnd.get()) {
		m.leaseEnd.set(until)
	}
	m.expired = false
	if c.KnownUntil.After(m.knownUntil) {
		m.knownUntil = c.KnownUntil
	}
	changed := m.applyDepartures(now, c.Departures)
	for _, u := range c.Changed {
		changed = m.applyUpstream(u, until, c.Full) || changed
	}
	if c.Full {
		changed = m.retain(now, c.Changed) || changed
	}
	if c.Hosts != nil {
		changed = m.replaceHosts(c.Hosts) || changed
	}
	if changed || m.watchersOutdated(now) {
		m.publish(now)
	}
	return m.actions
}

// ApplyHosts applies the hosts of an exchange that carries no upstreams. A nil list means
// that the hosts have not changed.
func (m *Mirror) ApplyHosts(now time.Time, list []Host) []Action {
	m.actions = nil
	if list != nil && m.replaceHosts(list) {
		m.publish(now)
	}
	return m.actions
}

// Expire removes all upstreams if their lease has ended at now.
func (m *Mirror) Expire(now time.Time) []Action {
	m.actions = nil
	if m.expired || now.Before(m.leaseEnd.get()) {
		return nil
	}
	m.expired = true
	m.retain(now, nil)
	m.publish(now)
	return m.actions
}

// KnownUntil returns the time up to which every departure that any host acknowledged is
// known. It is the zero time while that is not known.
func (m *Mirror) KnownUntil() time.Time { return m.knownUntil }

// Depart applies departures that came from a source other than the followed host.
func (m *Mirror) Depart(now time.Time, list []Departure) []Action {
	m.actions = nil
	if m.applyDepartures(now, list) {
		m.publish(now)
	}
	return m.actions
}

// Departures lists the upstreams that are known to have announced that they leave.
func (m *Mirror) Departures(now time.Time) []Departure {
	m.pruneDepartures(now)
	list := make([]Departure, 0, len(m.departed))
	for id, d := range m.departed {
		list = append(list, Departure{UpstreamID: id, Incarnation: d.incarnation, Leaving: true, Age: now.Sub(d.at)})
	}
	return list
}

// LiveUpstreams lists the live upstreams and returns the remaining time of their lease.
func (m *Mirror) LiveUpstreams(now time.Time) ([]Upstream, time.Duration) {
	left := m.leaseEnd.get().Sub(now)
	if left <= 0 {
		return nil, 0
	}
	return m.Snapshot().Upstreams(now), left
}

// applyUpstream stores a live upstream and reports whether it is new. An earlier incarnation
// is accepted only as part of a full update, because later changes refer to that update. An
// incarnation that is known to leave is not listed again by a host that doesn't know so.
func (m *Mirror) applyUpstream(u Upstream, until time.Time, full bool) bool {
	if d, ok := m.departed[u.Name]; ok && u.Incarnation <= d.incarnation {
		return false
	}
	s := m.upstreams[u.Name]
	known := s != nil
	if known && !full && s.load().Upstream.Incarnation > u.Incarnation {
		return false
	}
	if !known {
		s = &entryRef{}
		m.upstreams[u.Name] = s
	}
	s.store(&Entry{Upstream: u, Until: until})
	m.actions = append(m.actions, Changed{Upstream: u, Until: until})
	return !known
}

// applyDepartures applies departures and reports whether any removed a live upstream.
func (m *Mirror) applyDepartures(now time.Time, list []Departure) bool {
	changed := false
	for _, d := range list {
		changed = m.applyDeparture(now, d) || changed
	}
	return changed
}

// applyDeparture applies a departure and reports whether it removed a live upstream. An
// announced departure that is new is reported even if the upstream was not live, because
// the owner of the cell may consider it live.
func (m *Mirror) applyDeparture(now time.Time, d Departure) bool {
	recorded := d.Leaving && m.recordDeparture(now, d)
	s := m.upstreams[d.UpstreamID]
	if s != nil && s.load().Upstream.Incarnation > d.Incarnation {
		return false
	}
	live := s != nil
	delete(m.upstreams, d.UpstreamID)
	if live || recorded {
		m.actions = append(m.actions, Removed(d))
	}
	return live
}

// recordDeparture remembers an announced departure and reports whether it is new and not
// older than TombstoneRetention.
func (m *Mirror) recordDeparture(now time.Time, d Departure) bool {
	if known, ok := m.departed[d.UpstreamID]; ok && known.incarnation >= d.Incarnation {
		return false
	}
	m.pruneDepartures(now)
	if d.Age > TombstoneRetention {
		return false
	}
	m.departed[d.UpstreamID] = departed{d.Incarnation, now.Add(-d.Age)}
	return true
}

// pruneDepartures forgets departures older than TombstoneRetention. No announcement that
// is still in transit is older than that.
func (m *Mirror) pruneDepartures(now time.Time) {
	for id, d := range m.departed {
		if now.Sub(d.at) > TombstoneRetention {
			delete(m.departed, id)
		}
	}
}

// retain removes the upstreams that are not in the list and reports whether there were
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
		dropped = m.applyDeparture(now, Departure{UpstreamID: id, Incarnation: s.load().Upstream.Incarnation}) || dropped
	}
	return dropped
}

// replaceHosts replaces the hosts that may own a cell and reports whether this or an
// earlier part of the same call produced actions.
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

// watchersOutdated reports whether the kept number of watching hosts is larger than the
// reported one and was last reported at least watcherCountTime ago.
func (m *Mirror) watchersOutdated(now time.Time) bool {
	return m.reportedWatchers() < m.watchers && now.Sub(m.watchersAt) >= watcherCountTime
}

// reportedWatchers returns the number of watching hosts that the known hosts report.
func (m *Mirror) reportedWatchers() int {
	n := 0
	for _, h := range m.hosts {
		n += h.Watchers
	}
	return n
}

// updateWatchers updates the number of watching hosts. It grows at once and shrinks only
// after watcherCountTime.
func (m *Mirror) updateWatchers(now time.Time) {
	if n := m.reportedWatchers(); n >= m.watchers || m.watchersOutdated(now) {
		m.watchers, m.watchersAt = n, now
	}
}

func (m *Mirror) publish(now time.Time) {
	m.updateWatchers(now)
	v := &View{self: m.self.Name, entries: make(map[UpstreamID]*entryRef, len(m.upstreams)), leaseEnd: m.leaseEnd}
	for id, s := range m.upstreams {
		v.entries[id] = s
	}
	v.hosts = append(v.hosts, m.self)
	for _, h := range m.hosts {
		v.hosts = append(v.hosts, h)
	}
	v.finishHosts()
	// The other hosts count this host among the watchers.
	v.watchers = max(m.watchers-1, 0)
	m.view.Store(v)
}

// Hosts lists the hosts that may own a cell, sorted by name.
func (m *Mirror) Hosts() []Host {
	list := make([]Host, 0, len(m.hosts))
	for _, h := range m.hosts {
		list = append(list, h)
	}
	slices.SortFunc(list, byHostName)
	return list
}
