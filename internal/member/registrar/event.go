package registrar

import (
	"time"
)

// Event is an input of the registrar's state machine.
type Event interface{ event() }

// Announce is an announcement that this host received from the upstream itself.
type Announce struct {
	Upstream Upstream
}

// Merge is the response of another entry host in a gossip exchange.
type Merge struct {
	From HostName
	// Began is when the exchange started on this host. Leases and ages are
	// counted from it, so transit time never extends them.
	Began  time.Time
	Update Update
}

// ObservePeer is the content of another entry host's gossip request: its own description
// and the versions that it knows to exist. It proves that hosts are alive but carries no
// announcements.
type ObservePeer struct {
	Hosts []HostDescription
	Heard Vector
}

// Describe replaces the variable part of this host's own description.
type Describe struct {
	Draining bool
	Left     bool
	Revision uint64
	// Watchers is the number of hosts that follow this host's view.
	Watchers int
	// Term is the term of this host as the owner of its cell; 0 if it never owned it.
	Term uint64
}

// Restore carries the upstreams that another host knew before this one started.
type Restore struct {
	Upstreams []Upstream
	// Began is when the exchange that brought the upstreams started.
	Began time.Time
	// Remaining is the time until the upstreams' leases end, counted from Began.
	Remaining time.Duration
}

// Depart carries departures that were not announced to this host: an upstream stated one
// in a response, or another host knew of it before this one started.
type Depart struct {
	Departures []Departure
}

// Tick only advances the time.
type Tick struct{}

func (Restore) event()     {}
func (Depart) event()      {}
func (Announce) event()    {}
func (Merge) event()       {}
func (ObservePeer) event() {}
func (Describe) event()    {}
func (Tick) event()        {}

// Action is an output of the registrar's state machine.
type Action interface{ action() }

// Changed reports that an upstream is new or that a newer announcement of it was accepted.
type Changed struct {
	Upstream Upstream
	// Until is the end of its lease.
	Until time.Time
}

// Removed reports that an upstream takes no new work. The removal of an upstream that
// leaves is reported even if it was not live here, because another host may still consider
// it live.
type Removed struct {
	UpstreamID  UpstreamID
	Incarnation Incarnation
	// Leaving is true when the upstream announced its departure and false when its lease
	// expired.
	Leaving bool
	// Age is the time since any host first learned of the departure.
	Age time.Duration
}

// Ignored reports that an announcement had no effect, and why.
type Ignored struct {
	UpstreamID UpstreamID
	Reason     Reason
	// Known is the newest known incarnation of the upstream, or 0.
	Known Incarnation
}

// HostUp reports that an entry host is alive.
type HostUp struct{ Host Host }

// HostDown reports that an entry host has timed out or has left.
type HostDown struct{ Host Host }

// HostChanged reports that the description of a live entry host changed.
type HostChanged struct{ Host Host }

// NameConflict reports that another process used the name of this host with a higher
// incarnation. Incarnation is the one above it that this host uses from now on.
type NameConflict struct{ Incarnation Incarnation }

// Merged reports that this host now knows everything that the host From knew when the
// exchange began.
type Merged struct {
	From  HostName
	Began time.Time
}

func (NameConflict) action() {}
func (Merged) action()       {}
func (Changed) action()      {}
func (Removed) action()      {}
func (Ignored) action()      {}
func (HostUp) action()       {}
func (HostDown) action()     {}
func (HostChanged) action()  {}

// Reason is why an announcement had no effect.
type Reason string

// Reasons for which an announcement is ignored.
const (
	Repeated    Reason = "repeated"
	Older       Reason = "older"
	AlreadyLeft Reason = "left"
	Stalled     Reason = "stalled"
	TableFull   Reason = "full"
	Malformed   Reason = "malformed"
	OtherCell   Reason = "other cell"
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
	// Revision is the configuration revision in force on the host when it last
	// described itself.
	Revision uint64
	// Watchers is the number of hosts that don't take part in the gossip exchange and
	// follow the view of this one.
	Watchers int
	// Term is the term in which the host took over its cell; 0 if it never did. It is
	// higher than that of each owner before.
	Term uint64
}

// HostKey identifies one incarnation of an entry host in a version vector.
type HostKey uint64

// Vector is a version vector: for each entry host, the version up to which its
// announcements are known.
type Vector map[HostKey]uint64

// Stamp identifies an announcement by the entry host that received it and that host's
// version at the time.
type Stamp struct {
	Origin  HostKey
	Version uint64
}

// Update is what one entry host sends to another: everything that the requesting
// host's version vector lacks.
type Update struct {
	// Vector is the sender's version vector. The receiver knows everything up to it
	// once it has merged the update.
	Vector Vector
	// Heard holds the latest versions that the sender knows to exist. A version that
	// grew proves that its host is alive.
	Heard         Vector
	Hosts         []HostDescription
	Announcements []RelayedAnnouncement
	Renewals      []Renewal
}

// HostDescription is a description of an entry host as relayed by hosts.
type HostDescription struct {
	Host Host
	// DescriptionVersion is the host's version when its description last changed.
	DescriptionVersion uint64
	// Age is the time since its version was last seen to grow.
	Age time.Duration
}

// RelayedAnnouncement is a whole announcement as relayed by hosts.
type RelayedAnnouncement struct {
	Upstream Upstream
	Stamp    Stamp
	// DescriptionStamp is the stamp of the announcement that last changed more than
	// the sequence and the load.
	DescriptionStamp Stamp
	// Remaining is the time until the lease ends.
	Remaining time.Duration
	// Age is the time since any host first learned of a departure, where that is known.
	Age time.Duration
}

// UpstreamKey identifies one incarnation of an upstream in renewals.
type UpstreamKey uint64

// Renewal is a relayed announcement that changes only the sequence and the load.
type Renewal struct {
	Key      UpstreamKey
	Sequence uint64
	Load     Load
	Stamp    Stamp
	// Remaining is the time until the lease ends.
	Remaining time.Duration
}
