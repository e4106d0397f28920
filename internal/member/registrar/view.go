package registrar

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is a live upstream and the end of its lease.
type Entry struct {
	Upstream Upstream
	Until    time.Time
}

// entryRef holds the latest entry of one upstream. Renewals replace only its content; a new
// view is published when an upstream is added or removed.
type entryRef struct {
	entry atomic.Pointer[Entry]
}

func (s *entryRef) load() *Entry   { return s.entry.Load() }
func (s *entryRef) store(e *Entry) { s.entry.Store(e) }

// View is what an entry host knows. Readers share it without locks. Its set of upstreams
// and its hosts are fixed; the content of each upstream and its lease are the latest.
type View struct {
	self    HostName
	entries map[UpstreamID]*entryRef
	hosts   []Host
	// watchers is the number of hosts that only follow a view.
	watchers int
	// known counts the hosts that have not left, alive or not, and term is the highest
	// term among them, which holders of them have.
	known   int
	term    uint64
	holders int
	// leaseEnd is when all leases of a mirror end; nil where each upstream has its own.
	leaseEnd *sharedTime
}

// sharedTime is a time that is updated while readers share it.
type sharedTime struct{ at atomic.Pointer[time.Time] }

func (h *sharedTime) set(t time.Time) { h.at.Store(&t) }

func (h *sharedTime) get() time.Time { return *h.at.Load() }

// Snapshot returns the current view.
func (r *Registrar) Snapshot() *View { return r.view.Load() }

// publish publishes a new view if upstreams or hosts changed.
func (r *Registrar) publish() {
	if !r.dirty {
		return
	}
	r.dirty = false
	v := &View{self: r.self.Name, entries: make(map[UpstreamID]*entryRef, len(r.upstreams))}
	for id, u := range r.upstreams {
		if u.removedAt.IsZero() {
			v.entries[id] = u.ref
		}
	}
	if !r.self.Left {
		v.hosts = append(v.hosts, r.self)
		v.known++
	}
	v.countTerm(r.self.Term)
	for _, h := range r.hosts {
		v.countTerm(h.Term)
		if !h.Left {
			v.known++
		}
		if h.up {
			v.hosts = append(v.hosts, h.Host)
		}
	}
	v.finishHosts()
	r.view.Store(v)
}

// countTerm counts the term of a host.
func (v *View) countTerm(term uint64) {
	switch {
	case term > v.term:
		v.term, v.holders = term, 1
	case term == v.term:
		v.holders++
	}
}

// finishHosts sorts the hosts by name and sums up the watchers that they report.
func (v *View) finishHosts() {
	slices.SortFunc(v.hosts, byHostName)
	v.watchers = 0
	for _, h := range v.hosts {
		v.watchers += h.Watchers
	}
}

func byHostName(a, b Host) int { return strings.Compare(string(a.Name), string(b.Name)) }

// load returns the latest entry with the end of its lease.
func (v *View) load(s *entryRef) Entry {
	e := *s.load()
	if v.leaseEnd != nil {
		e.Until = v.leaseEnd.get()
	}
	return e
}

// Upstream returns the upstream with the name id and whether it is live at now.
func (v *View) Upstream(now time.Time, id UpstreamID) (Upstream, bool) {
	s := v.entries[id]
	if s == nil {
		return Upstream{}, false
	}
	e := v.load(s)
	return e.Upstream, e.live(now)
}

// Upstreams returns the upstreams that are live at now, in no particular order.
func (v *View) Upstreams(now time.Time) []Upstream {
	list := make([]Upstream, 0, len(v.entries))
	for _, s := range v.entries {
		if e := v.load(s); e.live(now) {
			list = append(list, e.Upstream)
		}
	}
	return list
}

// Entries returns the upstreams that are live at now with the ends of their leases.
func (v *View) Entries(now time.Time) []Entry {
	list := make([]Entry, 0, len(v.entries))
	for _, s := range v.entries {
		if e := v.load(s); e.live(now) {
			list = append(list, e)
		}
	}
	return list
}

func (e *Entry) live(now time.Time) bool {
	return now.Before(e.Until) && !e.Upstream.Leaving
}

// Hosts returns the live entry hosts of the view, sorted by name. This host is included
// unless it has left.
func (v *View) Hosts() []Host { return slices.Clone(v.hosts) }

// FleetSize returns the number of entry hosts, including those that only follow a view.
func (v *View) FleetSize() int { return len(v.hosts) + v.watchers }

// Host returns the live entry host with the name n, and false if there is none.
func (v *View) Host(n HostName) (Host, bool) {
	for _, h := range v.hosts {
		if h.Name == n {
			return h, true
		}
	}
	return Host{}, false
}

// Owner returns the entry host that dispatches the cell: the live host that took it over
// last, and while none has, the one with the highest rendezvous hash. So a host that comes
// back doesn't replace an owner that lives. Hosts that are draining are not eligible, and
// hosts of other cells only if there is no host of the cell itself and none without a
// cell. It returns "" if no host is eligible.
func (v *View) Owner(c CellName) HostName {
	if n := v.owner(c, func(h Host) bool { return h.Cell == c || h.Cell == "" }); n != "" {
		return n
	}
	return v.owner(c, func(Host) bool { return true })
}

func (v *View) owner(c CellName, eligible func(Host) bool) HostName {
	var best candidate
	b := make([]byte, 0, 64)
	for _, h := range v.hosts {
		if h.Draining || !eligible(h) {
			continue
		}
		if next := (candidate{h, rendezvous(b, c, h.Name)}); best.host.Name == "" || next.compare(best) > 0 {
			best = next
		}
	}
	return best.host.Name
}

// candidate is a host that may own a cell, with its rendezvous hash for it.
type candidate struct {
	host   Host
	weight uint64
}

// compare is greater than 0 if the cell should rather be owned by n than by o.
func (n candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(n.host.Term, o.host.Term), cmp.Compare(n.weight, o.weight))
}

// Successors lists the hosts of the cell that would own it after the owner, the next one
// first. Hosts without a cell are included.
func (v *View) Successors(c CellName) []Host {
	var all []candidate
	owner := v.Owner(c)
	for _, h := range v.hosts {
		if h.Draining || h.Name == owner || h.Cell != c && h.Cell != "" {
			continue
		}
		all = append(all, candidate{h, rendezvous(nil, c, h.Name)})
	}
	slices.SortFunc(all, func(a, b candidate) int { return b.compare(a) })
	list := make([]Host, 0, len(all))
	for _, n := range all {
		list = append(list, n.host)
	}
	return list
}

// Claim returns the term that this host has to take as the owner of the cell, and false if
// there is none to take: it isn't the owner, has its term already, or reaches only a
// minority of the hosts that it knows. A host that is cut off with a few others thus takes
// no term that would replace the owner of the rest later.
func (v *View) Claim(c CellName) (uint64, bool) {
	self, ok := v.Host(v.self)
	if !ok || v.Owner(c) != v.self || 2*len(v.hosts) <= v.known {
		return 0, false
	}
	if self.Term > 0 && self.Term == v.term && v.holders == 1 {
		return 0, false
	}
	return v.term + 1, true
}

// rendezvous returns the rendezvous hash of a host for a cell; b is used as scratch space.
func rendezvous(b []byte, c CellName, h HostName) uint64 {
	b = append(b[:0], c...)
	b = append(b, 0)
	b = append(b, h...)
	return xxhash.Sum64(b)
}

// Rank returns the position of this host, from 0, in an order of the live hosts of its cell
// on which they all agree, and the number of these hosts.
func (v *View) Rank() (place, hosts int) {
	self, _ := v.Host(v.self)
	own := xxhash.Sum64String(string(v.self))
	for _, h := range v.hosts {
		if h.Cell != self.Cell {
			continue
		}
		hosts++
		if xxhash.Sum64String(string(h.Name)) < own {
			place++
		}
	}
	return place, hosts
}

// Digest returns a hash of the live upstreams and hosts and their incarnations. Hosts with
// equal digests see the same upstreams and hosts.
func (v *View) Digest(now time.Time) uint64 {
	var sum uint64
	for _, u := range v.Upstreams(now) {
		sum += hash(string(u.Name), u.Incarnation)
	}
	for _, h := range v.hosts {
		sum += hash(string(h.Name), h.Incarnation)
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, sum))
}

// Size returns the number of upstreams, including those whose lease ended since the view
// was published.
func (v *View) Size() int { return len(v.entries) }
