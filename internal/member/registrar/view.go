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

// slot holds the latest entry of one upstream. Renewals replace only its
// content; the maps of a view change when an upstream comes or goes.
type slot struct {
	entry atomic.Pointer[Entry]
}

func (s *slot) load() *Entry   { return s.entry.Load() }
func (s *slot) store(e *Entry) { s.entry.Store(e) }

// View is what an entry host knows. Readers share it without locks. The set
// of upstreams and hosts is fixed; loads and leases are the latest.
type View struct {
	self  HostName
	slots map[UpstreamID]*slot
	hosts []Host
	// watchers counts the hosts that only follow a view.
	watchers int
	// horizon ends all leases of a mirror; nil where each upstream has its own.
	horizon *horizon
}

// horizon is a time that moves while readers share it.
type horizon struct{ at atomic.Pointer[time.Time] }

func (h *horizon) set(t time.Time) { h.at.Store(&t) }

func (h *horizon) get() time.Time { return *h.at.Load() }

// Snapshot returns the current view.
func (r *Registrar) Snapshot() *View { return r.view.Load() }

func (r *Registrar) publish() {
	if !r.dirty {
		return
	}
	r.dirty = false
	v := &View{self: r.self.Name, slots: make(map[UpstreamID]*slot, len(r.upstreams))}
	for id, u := range r.upstreams {
		if u.gone.IsZero() {
			v.slots[id] = u.slot
		}
	}
	if !r.self.Left {
		v.hosts = append(v.hosts, r.self)
	}
	for _, h := range r.hosts {
		if h.up {
			v.hosts = append(v.hosts, h.Host)
		}
	}
	v.arrange()
	r.view.Store(v)
}

// arrange sorts the hosts and counts those that follow them.
func (v *View) arrange() {
	slices.SortFunc(v.hosts, byHostName)
	v.watchers = 0
	for _, h := range v.hosts {
		v.watchers += h.Watchers
	}
}

func byHostName(a, b Host) int { return strings.Compare(string(a.Name), string(b.Name)) }

// load returns an entry with the end of its lease.
func (v *View) load(s *slot) Entry {
	e := *s.load()
	if v.horizon != nil {
		e.Until = v.horizon.get()
	}
	return e
}

// Upstream returns a live upstream.
func (v *View) Upstream(now time.Time, id UpstreamID) (Upstream, bool) {
	s := v.slots[id]
	if s == nil {
		return Upstream{}, false
	}
	e := v.load(s)
	return e.Upstream, e.live(now)
}

// Upstreams returns the upstreams whose lease runs at the time.
func (v *View) Upstreams(now time.Time) []Upstream {
	list := make([]Upstream, 0, len(v.slots))
	for _, s := range v.slots {
		if e := v.load(s); e.live(now) {
			list = append(list, e.Upstream)
		}
	}
	return list
}

// Entries returns the live upstreams with the ends of their leases.
func (v *View) Entries(now time.Time) []Entry {
	list := make([]Entry, 0, len(v.slots))
	for _, s := range v.slots {
		if e := v.load(s); e.live(now) {
			list = append(list, e)
		}
	}
	return list
}

func (e *Entry) live(now time.Time) bool {
	return now.Before(e.Until) && !e.Upstream.Leaving
}

// Hosts returns the live entry hosts, this one included, sorted by name.
func (v *View) Hosts() []Host { return slices.Clone(v.hosts) }

// FleetSize counts the entry hosts, with those that only follow a view.
func (v *View) FleetSize() int { return len(v.hosts) + v.watchers }

// Host returns a live entry host.
func (v *View) Host(n HostName) (Host, bool) {
	for _, h := range v.hosts {
		if h.Name == n {
			return h, true
		}
	}
	return Host{}, false
}

// Owner returns the entry host that dispatches the cell: the highest rendezvous
// hash among the live hosts that are not draining. Hosts of the cell itself and
// hosts without a cell come first, other hosts only where there is none.
func (v *View) Owner(c CellName) HostName {
	if n := v.owner(c, func(h Host) bool { return h.Cell == c || h.Cell == "" }); n != "" {
		return n
	}
	return v.owner(c, func(Host) bool { return true })
}

func (v *View) owner(c CellName, eligible func(Host) bool) HostName {
	var best HostName
	var highest uint64
	b := make([]byte, 0, 64)
	for _, h := range v.hosts {
		if h.Draining || !eligible(h) {
			continue
		}
		if s := rendezvous(b, c, h.Name); best == "" || s > highest {
			best, highest = h.Name, s
		}
	}
	return best
}

// Successors lists the hosts of the cell that would own it after the owner, the
// next one first.
func (v *View) Successors(c CellName) []Host {
	var list []Host
	weight := map[HostName]uint64{}
	owner := v.Owner(c)
	for _, h := range v.hosts {
		if h.Draining || h.Name == owner || h.Cell != c && h.Cell != "" {
			continue
		}
		weight[h.Name] = rendezvous(nil, c, h.Name)
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(weight[b.Name], weight[a.Name]) })
	return list
}

// rendezvous is the weight of a host for a cell; b is used as scratch space.
func rendezvous(b []byte, c CellName, h HostName) uint64 {
	b = append(b[:0], c...)
	b = append(b, 0)
	b = append(b, h...)
	return xxhash.Sum64(b)
}

// Rank returns the place of this host in an order of the live hosts of its cell
// on which they all agree, and their number.
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

// Digest folds the live upstreams and hosts into one number: hosts with equal
// digests see the same fleet.
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

// Size returns the number of upstreams.
func (v *View) Size() int { return len(v.slots) }
