package registrar

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of the membership protocol.
const (
	// Lease is how long an announcement is valid after its receipt by the first entry host.
	Lease = 3 * time.Second
	// RenewalInterval is how often an upstream announces itself. Two announcements
	// may be lost or late before its lease ends.
	RenewalInterval = time.Second
	// HostTimeout is the time without version growth after which an entry host counts as dead.
	HostTimeout = 1500 * time.Millisecond
	// Heartbeat is how often a host's version grows if it receives no announcements.
	// Every exchange carries the versions anyway, so a short interval costs nothing and
	// leaves nearly all of HostTimeout for the propagation to the other hosts.
	Heartbeat = 100 * time.Millisecond
	// TombstoneRetention is how long a removed upstream's last incarnation and sequence are
	// kept. Relayed announcements are at most a lease old, so it only covers transit delays.
	TombstoneRetention = 10 * time.Minute
	// DepartureRelayTime is how long departures are relayed to every host. After that they
	// are only sent to hosts that ask for everything, have no version of this host yet, or
	// have an older version of the host that received the departure.
	DepartureRelayTime = 10 * time.Second
	// HostRetention is how long a dead entry host stays in the version vector.
	HostRetention = time.Minute
	// StallThreshold is the longest gap between steps after which announcements are still
	// accepted at once. A process that was frozen for longer finds old announcements in
	// its socket buffers, which would otherwise get a new lease. It also bounds the
	// duration of an exchange whose response is taken as complete.
	StallThreshold = time.Second
	// StallRecovery is how long announcements are rejected after a longer gap, which
	// is ample for reading what was buffered.
	StallRecovery = 500 * time.Millisecond
)

// Limits of the registrar.
const (
	// MaxUpstreams is the largest number of upstreams that are remembered, including
	// removed ones. It bounds the memory that announcements can take.
	MaxUpstreams = 20_000
)

// Registrar merges announcements of upstreams and updates from other entry hosts. Its
// methods must not be called concurrently, except for Snapshot.
type Registrar struct {
	self    Host
	key     HostKey
	version uint64
	// descriptionVersion is the version at which the description of this host last changed.
	descriptionVersion uint64
	// lastHeartbeat is when the version last grew as a heartbeat.
	lastHeartbeat time.Time
	// lastStep is the time of the latest step.
	lastStep time.Time
	// nextExpiry is when leases and hosts have to be checked next.
	nextExpiry time.Time
	// rejectUntil is the end of the recovery after a stall.
	rejectUntil time.Time
	// needsRepair is set when announcements were missed.
	needsRepair bool
	// unsent is set when announcements arrived that no host has asked for yet.
	unsent bool
	// scoped limits the registrar to its own cell.
	scoped bool
	lease  time.Duration

	hosts     map[HostName]*host
	keys      map[HostKey]*host
	upstreams map[UpstreamID]*upstream
	renewable map[UpstreamKey]*upstream
	view      atomic.Pointer[View]
	dirty     bool
	faults    Faults
	actions   []Action
}

// Faults disables single rules, so that tests can show that their checks detect the absence.
type Faults struct {
	ForgetTombstones bool
	ExtendLeases     bool
	AcceptOlder      bool
	TrustStalled     bool
}

// Option configures a new registrar.
type Option func(*Registrar)

// WithScope limits the registrar to the hosts and upstreams of its own cell or without a cell.
// What a host sends and stores then grows with the cell and not with the fleet.
func WithScope() Option {
	return func(r *Registrar) { r.scoped = true }
}

// WithLease sets how long an announcement is valid; the default is Lease. All hosts of a
// deployment must use the same duration.
func WithLease(d time.Duration) Option {
	return func(r *Registrar) { r.lease = d }
}

// WithFaults disables rules of the registrar, for tests that show that their checks can fail.
func WithFaults(f Faults) Option {
	return func(r *Registrar) { r.faults = f }
}

// host is what the registrar knows of another entry host.
type host struct {
	Host
	key                HostKey
	descriptionVersion uint64
	// heard is the highest version of the host that is known to exist. merged is the
	// version up to which its announcements have been merged.
	heard, merged uint64
	// lastSeen is when its version was last known to grow.
	lastSeen time.Time
	up       bool
}

// upstream is what the registrar knows of a live or removed upstream.
type upstream struct {
	ref              *entryRef
	key              UpstreamKey
	stamp            Stamp
	descriptionStamp Stamp
	// removedAt is when the upstream was removed; zero while it is live.
	removedAt time.Time
}

// New returns the registrar of the entry host self.
func New(now time.Time, self Host, options ...Option) *Registrar {
	r := &Registrar{
		self:               self,
		key:                keyOf(self.Name, self.Incarnation),
		version:            1,
		lease:              Lease,
		descriptionVersion: 1,
		lastHeartbeat:      now,
		lastStep:           now,
		hosts:              map[HostName]*host{},
		keys:               map[HostKey]*host{},
		upstreams:          map[UpstreamID]*upstream{},
		renewable:          map[UpstreamKey]*upstream{},
		dirty:              true,
	}
	for _, o := range options {
		o(r)
	}
	r.publish()
	return r
}

func keyOf(n HostName, i Incarnation) HostKey {
	return HostKey(hash(string(n), i))
}

func hash(name string, i Incarnation) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, name...)
	b = append(b, 0)
	b = binary.LittleEndian.AppendUint64(b, uint64(i))
	return xxhash.Sum64(b)
}

// Step applies an event at the given time and returns the resulting actions.
func (r *Registrar) Step(now time.Time, e Event) []Action {
	r.actions = nil
	r.observeTime(now)
	switch e := e.(type) {
	case Announce:
		r.announce(now, e.Upstream)
	case Merge:
		r.merge(now, e)
	case ObservePeer:
		if now.Before(r.rejectUntil) {
			// The request may have been buffered during the stall.
			break
		}
		r.mergeHosts(now, now, e.Hosts)
		r.observeVersions(now, e.Heard)
	case Restore:
		r.restore(now, e)
	case Depart:
		r.depart(now, e.Departures)
	case Describe:
		r.describe(e)
	case Tick:
	}
	r.publish()
	return r.actions
}

func (r *Registrar) emit(a Action) {
	r.actions = append(r.actions, a)
}

// observeTime starts the recovery after a stall, increments the version for a heartbeat
// and removes what has expired. It runs before the event is applied, so that a host that
// was frozen never acts on what it knew before.
func (r *Registrar) observeTime(now time.Time) {
	if now.Sub(r.lastStep) > StallThreshold && !r.faults.TrustStalled {
		r.rejectUntil = now.Add(StallRecovery)
	}
	r.lastStep = now
	if now.Sub(r.lastHeartbeat) >= Heartbeat {
		r.lastHeartbeat = now
		r.version++
	}
	if now.Before(r.nextExpiry) {
		return
	}
	r.nextExpiry = now.Add(HostTimeout)
	for id, u := range r.upstreams {
		r.expire(now, id, u)
	}
	for n, h := range r.hosts {
		r.expireHost(now, n, h)
	}
}

// scheduleExpiry makes sure that leases and hosts are checked at time t. The check scans
// all upstreams, so it runs only when something may have ended.
func (r *Registrar) scheduleExpiry(t time.Time) {
	if t.Before(r.nextExpiry) {
		r.nextExpiry = t
	}
}

// expire removes an upstream whose lease has ended and forgets it after TombstoneRetention.
func (r *Registrar) expire(now time.Time, id UpstreamID, u *upstream) {
	e := u.ref.load()
	switch {
	case !u.removedAt.IsZero():
		if now.Sub(u.removedAt) > TombstoneRetention || r.faults.ForgetTombstones {
			delete(r.upstreams, id)
			delete(r.renewable, u.key)
		}
	case !now.Before(e.Until):
		r.remove(now, u, e.Upstream, 0)
	default:
		r.scheduleExpiry(e.Until)
	}
}

// remove marks u as removed at now-age and reports the removal of the announced incarnation.
func (r *Registrar) remove(now time.Time, u *upstream, announced Upstream, age time.Duration) {
	r.dirty = r.dirty || u.removedAt.IsZero()
	u.removedAt = now.Add(-age)
	r.emit(Removed{UpstreamID: announced.Name, Incarnation: announced.Incarnation, Leaving: announced.Leaving, Age: age})
}

// announce applies an announcement from the upstream itself.
func (r *Registrar) announce(now time.Time, u Upstream) {
	ignore := func(why Reason) {
		var known Incarnation
		if c := r.upstreams[u.Name]; c != nil {
			known = c.ref.load().Upstream.Incarnation
		}
		r.emit(Ignored{UpstreamID: u.Name, Reason: why, Known: known})
	}
	if u.Name == "" || u.Incarnation == 0 {
		ignore(Malformed)
		return
	}
	if now.Before(r.rejectUntil) && !u.Leaving {
		ignore(Stalled)
		return
	}
	if r.inOtherCell(u.Cell) {
		ignore(OtherCell)
		return
	}
	r.version++
	stamp := Stamp{Origin: r.key, Version: r.version}
	described := stamp
	if c := r.upstreams[u.Name]; c != nil && SameDescription(c.ref.load().Upstream, u) && r.originAlive(c.descriptionStamp.Origin) {
		described = c.descriptionStamp
	}
	if why := r.apply(now, RelayedAnnouncement{Upstream: u, Stamp: stamp, DescriptionStamp: described}, now.Add(r.lease)); why != "" {
		ignore(why)
		return
	}
	r.unsent = true
}

// restore adds upstreams that another host knew before this one started. Announcements of
// them that have arrived since are newer and take precedence. The other host doesn't know
// the age of each upstream's last announcement, so they get at most half a lease, in which
// a live upstream announces itself. Nothing is restored during the recovery after a stall,
// nor from an exchange that began more than StallThreshold ago.
func (r *Registrar) restore(now time.Time, e Restore) {
	if now.Before(r.rejectUntil) || now.Sub(e.Began) > StallThreshold {
		return
	}
	for _, u := range e.Upstreams {
		if u.Name == "" || u.Incarnation == 0 || u.Leaving {
			continue
		}
		r.version++
		stamp := Stamp{Origin: r.key, Version: r.version}
		r.apply(now, RelayedAnnouncement{Upstream: u, Stamp: stamp, DescriptionStamp: stamp}, r.leaseEnd(now, e.Began, min(e.Remaining, r.lease/2)))
	}
	r.unsent = true
}

// depart applies announced departures. They are final, whatever else is in transit, and
// spread to the other hosts like announcements. Departures without a name or incarnation,
// ended leases, and departures older than TombstoneRetention are skipped.
func (r *Registrar) depart(now time.Time, list []Departure) {
	for _, d := range list {
		if d.UpstreamID == "" || d.Incarnation == 0 || !d.Leaving || d.Age > TombstoneRetention {
			continue
		}
		r.version++
		stamp := Stamp{Origin: r.key, Version: r.version}
		gone := Upstream{Name: d.UpstreamID, Incarnation: d.Incarnation, Leaving: true}
		if why := r.apply(now, RelayedAnnouncement{Upstream: gone, Stamp: stamp, DescriptionStamp: stamp, Age: d.Age}, now); why == "" {
			r.unsent = true
		}
	}
}

// originAlive reports whether the host is alive and therefore listed in version vectors. The
// description of an upstream gets a new stamp once its old origin is dead, because hosts
// that don't list the origin would be sent the description in every exchange.
func (r *Registrar) originAlive(k HostKey) bool {
	h := r.keys[k]
	return k == r.key || h != nil && h.up
}

// Excludes reports whether a scoped registrar has nothing to share with the host.
func (r *Registrar) Excludes(h Host) bool {
	return r.inOtherCell(h.Cell)
}

// inOtherCell reports whether a scoped registrar ignores the cell.
func (r *Registrar) inOtherCell(c CellName) bool {
	return r.scoped && c != "" && c != r.self.Cell
}

// apply merges an announcement whose lease ends at until. It returns why the announcement
// was ignored, or "" if it was applied.
func (r *Registrar) apply(now time.Time, n RelayedAnnouncement, until time.Time) Reason {
	if r.inOtherCell(n.Upstream.Cell) {
		return OtherCell
	}
	u := r.upstreams[n.Upstream.Name]
	if u == nil {
		if !n.Upstream.Leaving && !now.Before(until) {
			return Older
		}
		if len(r.upstreams) >= MaxUpstreams && !r.evict() {
			return TableFull
		}
		u = &upstream{ref: &entryRef{}, removedAt: now}
		r.upstreams[n.Upstream.Name] = u
	} else if why := r.compare(u, n.Upstream); why != "" {
		return why
	}
	if !n.Upstream.Leaving && !now.Before(until) {
		return Older
	}
	live := u.removedAt.IsZero()
	if key := UpstreamKey(hash(string(n.Upstream.Name), n.Upstream.Incarnation)); key != u.key {
		delete(r.renewable, u.key)
		u.key = key
		r.renewable[key] = u
	}
	u.stamp, u.descriptionStamp = n.Stamp, n.DescriptionStamp
	u.ref.store(&Entry{Upstream: n.Upstream, Until: until})
	switch {
	case n.Upstream.Leaving:
		r.remove(now, u, n.Upstream, n.Age)
	default:
		r.dirty = r.dirty || !live
		u.removedAt = time.Time{}
		r.scheduleExpiry(until)
		r.emit(Changed{Upstream: n.Upstream, Until: until})
	}
	return ""
}

// evict forgets the upstream removed the longest ago and reports whether there was one.
func (r *Registrar) evict() bool {
	var oldest UpstreamID
	var since time.Time
	for id, u := range r.upstreams {
		if !u.removedAt.IsZero() && (since.IsZero() || u.removedAt.Before(since)) {
			oldest, since = id, u.removedAt
		}
	}
	if since.IsZero() {
		return false
	}
	delete(r.renewable, r.upstreams[oldest].key)
	delete(r.upstreams, oldest)
	return true
}

// compare returns why an announcement does not supersede the known one, or "" if it does.
func (r *Registrar) compare(u *upstream, n Upstream) Reason {
	c := u.ref.load().Upstream
	if r.faults.AcceptOlder {
		return ""
	}
	switch {
	case n.Incarnation < c.Incarnation:
		return Older
	case n.Incarnation > c.Incarnation:
		return ""
	case c.Leaving && n.Leaving:
		return Repeated
	case c.Leaving:
		return AlreadyLeft
	case n.Leaving:
		// A departure is final whatever its sequence, so arrival order does not matter.
		return ""
	case n.Sequence < c.Sequence:
		return Older
	case n.Sequence == c.Sequence:
		return Repeated
	}
	return ""
}

// SameDescription reports whether two announcements differ in sequence and load only.
func SameDescription(a, b Upstream) bool {
	return a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && a.Spot == b.Spot && a.Address == b.Address &&
		a.Centre == b.Centre && a.Cell == b.Cell && a.Slots == b.Slots &&
		slices.Equal(a.Services, b.Services) && slices.Equal(a.Models, b.Models) &&
		slices.Equal(a.Adapters, b.Adapters) && slices.Equal(a.Versions, b.Versions)
}

// merge applies the update of another host.
func (r *Registrar) merge(now time.Time, m Merge) {
	began := m.Began
	if began.After(now) {
		began = now
	}
	r.mergeHosts(now, began, m.Update.Hosts)
	complete := true
	for _, n := range m.Update.Announcements {
		r.apply(now, n, r.leaseEnd(now, began, n.Remaining))
	}
	for _, n := range m.Update.Renewals {
		u := r.renewable[n.Key]
		if u == nil {
			complete = false
			continue
		}
		next := u.ref.load().Upstream
		next.Sequence, next.Load = n.Sequence, n.Load
		if next.Leaving {
			continue
		}
		r.apply(now, RelayedAnnouncement{Upstream: next, Stamp: n.Stamp, DescriptionStamp: u.descriptionStamp}, r.leaseEnd(now, began, n.Remaining))
	}
	r.observeVersions(began, m.Update.Heard)
	if !complete || now.Sub(began) > StallThreshold {
		// Leases in a response that took so long may have ended in transit. A
		// renewal of an unknown upstream means that its description was missed.
		// In both cases the next request has to ask for everything.
		r.needsRepair = true
		return
	}
	for k, v := range m.Update.Vector {
		if h := r.keys[k]; h != nil {
			h.merged = max(h.merged, v)
		}
	}
	r.emit(Merged{From: m.From, Began: began})
}

// leaseEnd returns the end of a lease that had the remaining time left at began. The
// remaining time counts for at most a whole lease.
func (r *Registrar) leaseEnd(now, began time.Time, remaining time.Duration) time.Time {
	if r.faults.ExtendLeases {
		return now.Add(r.lease)
	}
	return began.Add(min(remaining, r.lease))
}

// describe changes the description of this host.
func (r *Registrar) describe(e Describe) {
	next := r.self
	next.Draining, next.Left, next.Revision, next.Watchers, next.Term = e.Draining, e.Left, e.Revision, e.Watchers, e.Term
	if next == r.self {
		return
	}
	r.self = next
	r.version++
	r.descriptionVersion = r.version
	r.dirty = true
}

// Update returns what a host with the version vector known lacks; nil asks for everything.
func (r *Registrar) Update(now time.Time, known Vector) Update {
	r.unsent = false
	knowsSelf := known[r.key] > 0
	u := Update{Vector: r.Vector(), Heard: r.Heard()}
	if known[r.key] < r.descriptionVersion {
		u.Hosts = append(u.Hosts, HostDescription{Host: r.self, DescriptionVersion: r.descriptionVersion})
	}
	for _, h := range r.hosts {
		relayed := h.up || h.Left && now.Sub(h.lastSeen) < DepartureRelayTime
		if v, ok := known[h.key]; relayed && (!ok || v < h.descriptionVersion) {
			u.Hosts = append(u.Hosts, HostDescription{Host: h.Host, DescriptionVersion: h.descriptionVersion, Age: now.Sub(h.lastSeen)})
		}
	}
	for _, c := range r.upstreams {
		e := c.ref.load()
		remaining := e.Until.Sub(now)
		switch {
		case e.Upstream.Leaving:
			version, listed := known[c.descriptionStamp.Origin]
			lacks := listed && version < c.descriptionStamp.Version
			if knowsSelf && !lacks && now.Sub(c.removedAt) > DepartureRelayTime {
				continue
			}
		case remaining <= 0 || !c.removedAt.IsZero():
			continue
		}
		switch {
		case known[c.descriptionStamp.Origin] < c.descriptionStamp.Version:
			u.Announcements = append(u.Announcements, RelayedAnnouncement{Upstream: e.Upstream, Stamp: c.stamp, DescriptionStamp: c.descriptionStamp, Remaining: max(remaining, 0)})
		case known[c.stamp.Origin] < c.stamp.Version && !e.Upstream.Leaving:
			u.Renewals = append(u.Renewals, Renewal{Key: c.key, Sequence: e.Upstream.Sequence, Load: e.Upstream.Load, Stamp: c.stamp, Remaining: remaining})
		}
	}
	return u
}

// Self returns the description of this host as it is sent to other hosts.
func (r *Registrar) Self() HostDescription {
	return HostDescription{Host: r.self, DescriptionVersion: r.descriptionVersion}
}

// Knows reports whether this or a later description of the host is known. Only name,
// incarnation and description version of the argument are used.
func (r *Registrar) Knows(n HostDescription) bool {
	h := r.hosts[n.Host.Name]
	return h != nil && h.Incarnation == n.Host.Incarnation && h.descriptionVersion >= n.DescriptionVersion
}

// Key returns the key of this host in version vectors.
func (r *Registrar) Key() HostKey { return r.key }

// Vector returns the version vector of this host.
func (r *Registrar) Vector() Vector {
	v := make(Vector, len(r.hosts)+1)
	v[r.key] = r.version
	for _, h := range r.hosts {
		v[h.key] = h.merged
	}
	return v
}

// Heard returns the versions that this host knows to exist. They run ahead of the version
// vector, because requests prove that hosts are alive but carry no announcements.
func (r *Registrar) Heard() Vector {
	v := make(Vector, len(r.hosts)+1)
	v[r.key] = r.version
	for _, h := range r.hosts {
		v[h.key] = max(h.heard, h.merged)
	}
	return v
}

// HasUnsent reports whether announcements arrived that no host has asked for yet. The next
// request then tells its receiver to ask back at once, because the first hop of the
// propagation is otherwise the slowest.
func (r *Registrar) HasUnsent() bool { return r.unsent }

// TakeRepair reports, then resets, whether missed announcements require asking for everything.
func (r *Registrar) TakeRepair() bool {
	needed := r.needsRepair
	r.needsRepair = false
	return needed
}

// String lists the names of the live hosts, separated by spaces, for logs.
func (r *Registrar) String() string {
	var b strings.Builder
	for _, h := range r.Snapshot().Hosts() {
		b.WriteString(string(h.Name))
		b.WriteByte(' ')
	}
	return strings.TrimSpace(b.String())
}
