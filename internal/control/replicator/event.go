package replicator

import "github.com/amaranthcart/amaranthcart/internal/rpc/record"

// Event is an input to Step.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// Receive delivers a message from another replica.
type Receive struct{ Message *record.Message }

// Propose asks the leader to append commands. The answer is Appended or
// Refused.
type Propose struct {
	Commands [][]byte
	// Time is the leader's time in Unix nanoseconds.
	Time int64
}

// ChangeMembership asks the leader to add or remove at most one voter. It is
// answered only by Refused.
type ChangeMembership struct{ Membership *record.Membership }

// Read asks for a current commit index, for a linearizable read. The answer is
// ReadReady or ReadFailed with the same token.
type Read struct{ Token uint64 }

// Saved reports that a Save and all Saves before it are durable. The fields are
// copied from that Save.
type Saved struct {
	Term      uint64
	Index     uint64
	IndexTerm uint64
}

// Compact replaces the log up to an applied index with a snapshot. Data is the
// applied state at that index.
type Compact struct {
	Index uint64
	Data  []byte
}

// TransferLeadership asks the leader to hand over its leadership. Other
// replicas ignore it.
type TransferLeadership struct{}

// SetContacts replaces the names in Options.Contacts.
type SetContacts struct{ Names []string }

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (ChangeMembership) event()   {}
func (Read) event()               {}
func (Saved) event()              {}
func (Compact) event()            {}
func (TransferLeadership) event() {}
func (SetContacts) event()        {}

// Action is an output of Step that the caller carries out.
type Action interface{ action() }

// Save asks the caller to make state durable and then to report a Saved event
// with the same Term, Index and IndexTerm.
type Save struct {
	Vote     *record.Vote
	Snapshot *record.Snapshot
	// Reset drops all entries saved so far in favour of Snapshot.
	Reset   bool
	Entries []*record.Entry

	// Term is the replica's term. Index and IndexTerm are those of the last of
	// Entries, or 0 without entries.
	Term      uint64
	Index     uint64
	IndexTerm uint64
}

// Send asks the caller to send a message to a host. Messages may be lost,
// duplicated or reordered.
type Send struct {
	Name string
	// Address is where the host can be reached; it is empty when this replica
	// doesn't know it.
	Address string
	Message *record.Message
	// Durable messages must wait for all Saves emitted before them.
	Durable bool
}

// Apply passes out committed entries in order.
type Apply struct{ Entries []*record.Entry }

// Restore replaces the applied state with a snapshot.
type Restore struct{ Snapshot *record.Snapshot }

// Appended answers Propose: the commands got consecutive indexes that start at
// First, in Term. They are committed when Apply passes out entries with these
// indexes and this term, and lost when it passes out others at these indexes.
type Appended struct {
	First uint64
	Term  uint64
}

// Refused answers Propose or ChangeMembership: nothing was appended.
type Refused struct{}

// ReadReady answers Read: Index was the commit index at some time after the
// Read, and all entries up to it have been passed out.
type ReadReady struct {
	Token uint64
	Index uint64
}

// ReadFailed answers Read on a replica that isn't the leader, or that lost its
// leadership before the read was ready.
type ReadFailed struct{ Token uint64 }

// LeadershipChanged reports a change of the role, the leader or the term.
// Leader is 0 when it is unknown.
type LeadershipChanged struct {
	Role   Role
	Leader ID
	Term   uint64
}

// Retired reports that the group has removed this replica: its identity will
// never be accepted again.
type Retired struct{}

// Note is an event that the caller should write to the program's log. Name and
// ID describe the replica concerned and may be empty.
type Note struct {
	Text string
	Name string
	ID   ID
}

func (Save) action()              {}
func (Send) action()              {}
func (Apply) action()             {}
func (Restore) action()           {}
func (Appended) action()          {}
func (Refused) action()           {}
func (ReadReady) action()         {}
func (ReadFailed) action()        {}
func (LeadershipChanged) action() {}
func (Retired) action()           {}
func (Note) action()              {}
