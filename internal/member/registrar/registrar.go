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
	// Lease is how long an announcement is good for, from its receipt by the
	// first entry host.
	Lease = 3 * time.Second
	// Renewal is how often an upstream announces itself. Two announcements
	// may be lost or late before its lease ends.
	RenewalInterval = time.Second
	// Silence is how long the version of an entry host may stand still before
	// the host is taken for dead.
	Silence = 1500 * time.Millisecond
	// Heartbeat is how often a host's version grows without news. Versions
	// travel in every exchange anyway, so a short time costs nothing and leaves
	// nearly all of the silence for the way to the other hosts.
	Heartbeat = 100 * time.Millisecond
	// TombstoneRetention is how long the last incarnation and sequence of a removed
	// upstream are remembered. Relayed news is never older than a lease, so
	// this bounds only announcements that were delayed on their way.
	TombstoneRetention = 10 * time.Minute
	// Relay is how long departures are passed on, other than to hosts that ask
	// for everything, have no news of this one yet or lack what their first host
	// has told since.
	Relay = 10 * time.Second
	// HostRetention is how long a dead entry host stays in the vector.
	HostRetention = time.Minute
	// Stall is the longest gap between steps after which announcements may
	// still be trusted. A process that was frozen finds old ones in its
	// socket buffers, which would otherwise get a new lease.
	Stall = time.Second
	// Settle is how long announcements are turned away after a stall, which
	// is ample for reading what was buffered.
	Settle = 500 * time.Millisecond
)

// Limits.
const (
	// MaxUpstreams bounds the memory that announcements can take.
	MaxUpstreams = 20_000
)

// Registrar merges announcements and news from other entry hosts. Step and
// Update are for one goroutine at a time; Snapshot may be used by any.
type Registrar struct {
	self       Host
	key        HostKey
	version    uint64
	described  uint64
	beaten     time.Time
	last       time.Time
	next       time.Time
	settled    time.Time
	incomplete bool
	fresh      bool
	scoped     bool
	lease      time.Duration

	hosts     map[HostName]*host
	keys      map[HostKey]*host
	upstreams map[UpstreamID]*upstream
	renewable map[UpstreamKey]*upstream
	view      atomic.Pointer[View]
	dirty     bool
	faults    Faults
	actions   []Action
}

// Faults switches off single rules, so that tests can show that the checks
// detect a registrar without them.
type Faults struct {
	ForgetTombstones bool
	ExtendLeases     bool
	AcceptOlder      bool
	TrustStalled     bool
}

// Option changes a new registrar.
type Option func(*Registrar)

// WithScope keeps only the hosts and upstreams of this host's own cell, and those
// without a cell. What a host sends and holds then grows with the cell and not
// with the fleet.
func WithScope() Option {
	return func(r *Registrar) { r.scoped = true }
}

// WithLease sets how long an announcement is good for; Lease when it is not
// given. All hosts of a deployment must use the same time.
func WithLease(d time.Duration) Option {
	return func(r *Registrar) { r.lease = d }
}

// WithFaults is for tests that show that the checks can fail.
func WithFaults(f Faults) Option {
	return func(r *Registrar) { r.faults = f }
}

type host struct {
	Host
	key       HostKey
	described uint64
	// heard is the highest version known to exist, have the version up to
	// which its news has been merged.
	heard, have uint64
	at          time.Time
	up          bool
}

type upstream struct {
	slot      *slot
	key       UpstreamKey
	stamp     Stamp
	described Stamp
	gone      time.Time
}

// New makes the registrar of the entry host self.
func New(now time.Time, self Host, options ...Option) *Registrar {
	r := &Registrar{
		self:      self,
		key:       keyOf(self.Name, self.Incarnation),
		version:   1,
		lease:     Lease,
		described: 1,
		beaten:    now,
		last:      now,
		hosts:     map[HostName]*host{},
		keys:      map[HostKey]*host{},
		upstreams: map[UpstreamID]*upstream{},
		renewable: map[UpstreamKey]*upstream{},
		dirty:     true,
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

// Step takes an event and returns what follows from it.
func (r *Registrar) Step(now time.Time, e Event) []Action {
	r.actions = nil
	r.observeTime(now)
	switch e := e.(type) {
	case Announce:
		r.announce(now, e.Upstream)
	case Merge:
		r.merge(now, e)
	case Hear:
		if now.Before(r.settled) {
			// The request may be as old as the stall.
			break
		}
		r.mergeHosts(now, now, e.Hosts)
		r.hear(now, e.Heard)
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

func (r *Registrar) act(a Action) {
	r.actions = append(r.actions, a)
}

// observeTime ends leases before the event is looked at, so that a host that
// was frozen never acts on what it knew before.
func (r *Registrar) observeTime(now time.Time) {
	if now.Sub(r.last) > Stall && !r.faults.TrustStalled {
		r.settled = now.Add(Settle)
	}
	r.last = now
	if now.Sub(r.beaten) >= Heartbeat {
		r.beaten = now
		r.version++
	}
	if now.Before(r.next) {
		return
	}
	r.next = now.Add(Silence)
	for id, u := range r.upstreams {
		r.expire(now, id, u)
	}
	for n, h := range r.hosts {
		r.expireHost(now, n, h)
	}
}

// expectEnd makes sure that leases are looked at when the time has come. The
// scan costs in proportion to all upstreams, so it runs only then.
func (r *Registrar) expectEnd(t time.Time) {
	if t.Before(r.next) {
		r.next = t
	}
}

func (r *Registrar) expire(now time.Time, id UpstreamID, u *upstream) {
	e := u.slot.load()
	switch {
	case !u.gone.IsZero():
		if now.Sub(u.gone) > TombstoneRetention || r.faults.ForgetTombstones {
			delete(r.upstreams, id)
			delete(r.renewable, u.key)
		}
	case !now.Before(e.Until):
		r.remove(now, u, e.Upstream, 0)
	default:
		r.expectEnd(e.Until)
	}
}

func (r *Registrar) remove(now time.Time, u *upstream, news Upstream, age time.Duration) {
	r.dirty = r.dirty || u.gone.IsZero()
	u.gone = now.Add(-age)
	r.act(Removed{UpstreamID: news.Name, Incarnation: news.Incarnation, Leaving: news.Leaving, Age: age})
}

func (r *Registrar) announce(now time.Time, u Upstream) {
	ignore := func(why Reason) {
		var known Incarnation
		if c := r.upstreams[u.Name]; c != nil {
			known = c.slot.load().Upstream.Incarnation
		}
		r.act(Ignored{UpstreamID: u.Name, Reason: why, Known: known})
	}
	if u.Name == "" || u.Incarnation == 0 {
		ignore(Malformed)
		return
	}
	if now.Before(r.settled) && !u.Leaving {
		ignore(Stalled)
		return
	}
	if r.foreign(u.Cell) {
		ignore(Foreign)
		return
	}
	r.version++
	stamp := Stamp{Origin: r.key, Version: r.version}
	described := stamp
	if c := r.upstreams[u.Name]; c != nil && SameDescription(c.slot.load().Upstream, u) && r.serves(c.described.Origin) {
		described = c.described
	}
	if why := r.apply(now, News{Upstream: u, Stamp: stamp, Described: described}, now.Add(r.lease)); why != "" {
		ignore(why)
		return
	}
	r.fresh = true
}

// restore takes upstreams from a host that knew them before. Announcements of them
// may have arrived since; those are newer. That host doesn't know how old the last
// announcement of each is, so that they get a part of a lease, in which a live one
// announces itself.
func (r *Registrar) restore(now time.Time, e Restore) {
	if now.Before(r.settled) || now.Sub(e.Began) > Stall {
		return
	}
	for _, u := range e.Upstreams {
		if u.Name == "" || u.Incarnation == 0 || u.Leaving {
			continue
		}
		r.version++
		stamp := Stamp{Origin: r.key, Version: r.version}
		r.apply(now, News{Upstream: u, Stamp: stamp, Described: stamp}, r.until(now, e.Began, min(e.Remaining, r.lease/2)))
	}
	r.fresh = true
}

// depart takes departures from where they were heard. They are final whatever else is
// under way, and go to the other hosts as announcements do.
func (r *Registrar) depart(now time.Time, list []Departure) {
	for _, d := range list {
		if d.UpstreamID == "" || d.Incarnation == 0 || !d.Leaving || d.Age > TombstoneRetention {
			continue
		}
		r.version++
		stamp := Stamp{Origin: r.key, Version: r.version}
		gone := Upstream{Name: d.UpstreamID, Incarnation: d.Incarnation, Leaving: true}
		if why := r.apply(now, News{Upstream: gone, Stamp: stamp, Described: stamp, Age: d.Age}, now); why == "" {
			r.fresh = true
		}
	}
}

// serves tells whether the host still counts in vectors. The description of an
// upstream gets a new stamp once the old origin is dead, since hosts that don't
// list the origin would be sent the description in every exchange.
func (r *Registrar) serves(k HostKey) bool {
	h := r.keys[k]
	return k == r.key || h != nil && h.up
}

// Excludes reports whether a scoped registrar has nothing to share with the host.
func (r *Registrar) Excludes(h Host) bool {
	return r.foreign(h.Cell)
}

func (r *Registrar) foreign(c CellName) bool {
	return r.scoped && c != "" && c != r.self.Cell
}

// apply merges news of an upstream and returns why it was ignored.
func (r *Registrar) apply(now time.Time, n News, until time.Time) Reason {
	if r.foreign(n.Upstream.Cell) {
		return Foreign
	}
	u := r.upstreams[n.Upstream.Name]
	if u == nil {
		if !n.Upstream.Leaving && !now.Before(until) {
			return Older
		}
		if len(r.upstreams) >= MaxUpstreams && !r.evict() {
			return Overfull
		}
		u = &upstream{slot: &slot{}, gone: now}
		r.upstreams[n.Upstream.Name] = u
	} else if why := r.compare(u, n.Upstream); why != "" {
		return why
	}
	if !n.Upstream.Leaving && !now.Before(until) {
		return Older
	}
	live := u.gone.IsZero()
	if key := UpstreamKey(hash(string(n.Upstream.Name), n.Upstream.Incarnation)); key != u.key {
		delete(r.renewable, u.key)
		u.key = key
		r.renewable[key] = u
	}
	u.stamp, u.described = n.Stamp, n.Described
	u.slot.store(&Entry{Upstream: n.Upstream, Until: until})
	switch {
	case n.Upstream.Leaving:
		r.remove(now, u, n.Upstream, n.Age)
	default:
		r.dirty = r.dirty || !live
		u.gone = time.Time{}
		r.expectEnd(until)
		r.act(Changed{Upstream: n.Upstream, Until: until})
	}
	return ""
}

// evict forgets the upstream that has been gone for longest and reports whether there was
// one.
func (r *Registrar) evict() bool {
	var oldest UpstreamID
	var since time.Time
	for id, u := range r.upstreams {
		if !u.gone.IsZero() && (since.IsZero() || u.gone.Before(since)) {
			oldest, since = id, u.gone
		}
	}
	if since.IsZero() {
		return false
	}
	delete(r.renewable, r.upstreams[oldest].key)
	delete(r.upstreams, oldest)
	return true
}

func (r *Registrar) compare(u *upstream, n Upstream) Reason {
	c := u.slot.load().Upstream
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
		return Final
	case n.Leaving:
		// Final whatever its sequence, so that the order of arrival does
		// not matter.
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
	return a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && a.Address == b.Address &&
		a.Centre == b.Centre && a.Cell == b.Cell && a.Slots == b.Slots &&
		slices.Equal(a.Services, b.Services) && slices.Equal(a.Models, b.Models) &&
		slices.Equal(a.Adapters, b.Adapters) && slices.Equal(a.Versions, b.Versions)
}

func (r *Registrar) merge(now time.Time, m Merge) {
	began := m.Began
	if began.After(now) {
		began = now
	}
	r.mergeHosts(now, began, m.Update.Hosts)
	complete := true
	for _, n := range m.Update.News {
		r.apply(now, n, r.until(now, began, n.Remaining))
	}
	for _, n := range m.Update.Renewals {
		u := r.renewable[n.Key]
		if u == nil {
			complete = false
			continue
		}
		next := u.slot.load().Upstream
		next.Sequence, next.Load = n.Sequence, n.Load
		if next.Leaving {
			continue
		}
		r.apply(now, News{Upstream: next, Stamp: n.Stamp, Described: u.described}, r.until(now, began, n.Remaining))
	}
	r.hear(began, m.Update.Heard)
	if !complete || now.Sub(began) > Stall {
		// Leases in an answer that took so long may have ended on the way. A renewal of an unknown upstream means that its description was
		// missed: ask for everything next.
		r.incomplete = true
		return
	}
	for k, v := range m.Update.Vector {
		if h := r.keys[k]; h != nil {
			h.have = max(h.have, v)
		}
	}
	r.act(Merged{From: m.From, Began: began})
}

func (r *Registrar) until(now, began time.Time, remaining time.Duration) time.Time {
	if r.faults.ExtendLeases {
		return now.Add(r.lease)
	}
	return began.Add(min(remaining, r.lease))
}

func (r *Registrar) describe(e Describe) {
	next := r.self
	next.Draining, next.Left, next.Revision, next.Watchers = e.Draining, e.Left, e.Revision, e.Watchers
	if next == r.self {
		return
	}
	r.self = next
	r.version++
	r.described = r.version
	r.dirty = true
}

// Update returns what a host with the vector lacks. A nil vector asks for
// everything.
func (r *Registrar) Update(now time.Time, known Vector) Update {
	r.fresh = false
	met := known[r.key] > 0
	u := Update{Vector: r.Vector(), Heard: r.Heard()}
	if known[r.key] < r.described {
		u.Hosts = append(u.Hosts, HostNews{Host: r.self, Described: r.described})
	}
	for _, h := range r.hosts {
		relayed := h.up || h.Left && now.Sub(h.at) < Relay
		if v, ok := known[h.key]; relayed && (!ok || v < h.described) {
			u.Hosts = append(u.Hosts, HostNews{Host: h.Host, Described: h.described, Age: now.Sub(h.at)})
		}
	}
	for _, c := range r.upstreams {
		e := c.slot.load()
		remaining := e.Until.Sub(now)
		switch {
		case e.Upstream.Leaving:
			version, listed := known[c.described.Origin]
			lacks := listed && version < c.described.Version
			if met && !lacks && now.Sub(c.gone) > Relay {
				continue
			}
		case remaining <= 0 || !c.gone.IsZero():
			continue
		}
		switch {
		case known[c.described.Origin] < c.described.Version:
			u.News = append(u.News, News{Upstream: e.Upstream, Stamp: c.stamp, Described: c.described, Remaining: max(remaining, 0)})
		case known[c.stamp.Origin] < c.stamp.Version && !e.Upstream.Leaving:
			u.Renewals = append(u.Renewals, Renewal{Key: c.key, Sequence: e.Upstream.Sequence, Load: e.Upstream.Load, Stamp: c.stamp, Remaining: remaining})
		}
	}
	return u
}

// Self returns the description of this host as other hosts get it.
func (r *Registrar) Self() HostNews {
	return HostNews{Host: r.self, Described: r.described}
}

// Knows reports whether the description of the host, which may be abbreviated to
// name, incarnation and version, is known.
func (r *Registrar) Knows(n HostNews) bool {
	h := r.hosts[n.Host.Name]
	return h != nil && h.Incarnation == n.Host.Incarnation && h.described >= n.Described
}

// Key returns the key of this host in version vectors.
func (r *Registrar) Key() HostKey { return r.key }

// Vector returns the version vector of this host.
func (r *Registrar) Vector() Vector {
	v := make(Vector, len(r.hosts)+1)
	v[r.key] = r.version
	for _, h := range r.hosts {
		v[h.key] = h.have
	}
	return v
}

// Heard returns the versions that this host knows to exist. They run ahead of
// the vector, since requests prove that hosts are alive but carry no news.
func (r *Registrar) Heard() Vector {
	v := make(Vector, len(r.hosts)+1)
	v[r.key] = r.version
	for _, h := range r.hosts {
		v[h.key] = max(h.heard, h.have)
	}
	return v
}

// Fresh reports whether announcements arrived that no host has asked for yet.
// The next host that this one asks is told to ask back at once: the first step
// of spreading is otherwise the one that takes longest.
func (r *Registrar) Fresh() bool { return r.fresh }

// Repair reports, once, that news was missed and everything must be asked for.
func (r *Registrar) Repair() bool {
	i := r.incomplete
	r.incomplete = false
	return i
}

// String lists the names of the live hosts, for logs.
func (r *Registrar) String() string {
	var b strings.Builder
	for _, h := range r.Snapshot().Hosts() {
		b.WriteString(string(h.Name))
		b.WriteByte(' ')
	}
	return strings.TrimSpace(b.String())
}
