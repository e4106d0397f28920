package registrar

import (
	"time"
)

// Event is an input of the registrar.
type Event interface{ event() }

// Announce is an announcement received from the upstream itself.
type Announce struct {
	Upstream Upstream
}

// Merge is the answer of another entry host in an exchange of news.
type Merge struct {
	From HostName
	// Began is when the exchange started on this host. Leases and ages are
	// counted from it, so time spent on the way never extends them.
	Began  time.Time
	Update Update
}

// Hear is what the request of another entry host tells: its own description
// and the versions that it heard of. It proves that hosts are alive and carries
// no news.
type Hear struct {
	Hosts []HostNews
	Heard Vector
}

// Describe changes what this host tells about itself.
type Describe struct {
	Draining bool
	Left     bool
	Revision uint64
	// Watchers is the number of hosts that follow this host's view.
	Watchers int
}

// Restore brings the upstreams that a host knew before this one started, from an
// exchange that began at the time.
type Restore struct {
	Upstreams []Upstream
	Began     time.Time
	// Remaining is what is left of their leases.
	Remaining time.Duration
}

// Depart brings departures that were not announced to this host: what an upstream said
// of itself in an answer, or what another host knew before this one started.
type Depart struct {
	Departures []Departure
}

// Tick lets time pass.
type Tick struct{}

func (Restore) event()  {}
func (Depart) event()   {}
func (Announce) event() {}
func (Merge) event()    {}
func (Hear) event()     {}
func (Describe) event() {}
func (Tick) event()     {}

// Action is an output of the registrar.
type Action interface{ action() }

// Changed tells that an upstream is new or has newer news.
type Changed struct {
	Upstream Upstream
	// Until is the end of its lease.
	Until time.Time
}

// Removed tells that an upstream takes no new work. One that leaves is also told of when
// it was not live here: another host may take it for live.
type Removed struct {
	UpstreamID  UpstreamID
	Incarnation Incarnation
	// Leaving is false when the lease expired.
	Leaving bool
	// Age is the time since a departure was heard first, by any host.
	Age time.Duration
}

// Ignored tells why an announcement had no effect.
type Ignored struct {
	UpstreamID UpstreamID
	Reason     Reason
	// Known is the newest incarnation known.
	Known Incarnation
}

// HostUp tells that an entry host is alive.
type HostUp struct{ Host Host }

// HostDown tells that an entry host is silent or has left.
type HostDown struct{ Host Host }

// HostChanged tells that a live entry host has another description.
type HostChanged struct{ Host Host }

// Outbid tells that another process uses the name of this host with a higher
// incarnation, and that this host now uses one above it.
type Outbid struct{ Incarnation Incarnation }

// Merged tells that all that another host knew when the exchange began is known now.
type Merged struct {
	From  HostName
	Began time.Time
}

func (Outbid) action()      {}
func (Merged) action()      {}
func (Changed) action()     {}
func (Removed) action()     {}
func (Ignored) action()     {}
func (HostUp) action()      {}
func (HostDown) action()    {}
func (HostChanged) action() {}

// Reason tells why an announcement had no effect.
type Reason string

// Reasons.
const (
	Repeated  Reason = "repeated"
	Older     Reason = "older"
	Final     Reason = "left"
	Stalled   Reason = "stalled"
	Overfull  Reason = "full"
	Malformed Reason = "malformed"
	Foreign   Reason = "other cell"
)

// Host is an entry host.
type Host struct {
	Name        HostName
	Address     string
	Centre      DataCentre
	Cell        CellName
	Incarnation Incarnation
	Draining    bool
	// Left is set by a host that has stopped.
	Left bool
	// Control is set by a host that keeps the durable state.
	Control bool
	// Revision is the configuration in force on the host when it last
	// described itself.
	Revision uint64
	// Watchers is the number of hosts without a part in the exchange that follow the
	// view of this one.
	Watchers int
}

// HostKey identifies one incarnation of an entry host in a version vector.
type HostKey uint64

// Vector states, for each entry host, the version up to which news is known.
type Vector map[HostKey]uint64

// Stamp is the place of an announcement in the news of the entry host that
// received it.
type Stamp struct {
	Origin  HostKey
	Version uint64
}

// Update is what one entry host sends to another: everything that the asking
// host's version vector lacks.
type Update struct {
	// Vector is the sender's version vector, up to which the receiver knows
	// everything after the update.
	Vector Vector
	// Heard are the versions that prove hosts alive.
	Heard    Vector
	Hosts    []HostNews
	News     []News
	Renewals []Renewal
}

// HostNews describes an entry host.
type HostNews struct {
	Host Host
	// Described is the host's version at its last change of description.
	Described uint64
	// Age is the time since its version was seen to grow.
	Age time.Duration
}

// News is a whole announcement as relayed.
type News struct {
	Upstream  Upstream
	Stamp     Stamp
	Described Stamp
	// Remaining is what is left of the lease.
	Remaining time.Duration
	// Age is the time since a departure was heard first, where that is known.
	Age time.Duration
}

// UpstreamKey identifies one incarnation of an upstream in renewals.
type UpstreamKey uint64

// Renewal is an announcement that changes only the sequence and the load.
type Renewal struct {
	Key       UpstreamKey
	Sequence  uint64
	Load      Load
	Stamp     Stamp
	Remaining time.Duration
}
