package replicator

import "github.com/amaranthcart/amaranthcart/internal/rpc/record"

// Event is an input of Step.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// Receive is a message from another replica.
type Receive struct{ Message *record.Message }

// Propose asks the leader to append commands.
type Propose struct {
	Commands [][]byte
	// Time is the leader's time in Unix nanoseconds.
	Time int64
}

// ChangeMembership asks the leader to change the group by one voter at most.
type ChangeMembership struct{ Membership *record.Membership }

// Read asks for a commit index that is current.
type Read struct{ Token uint64 }

// Saved reports that a Save and all before it are durable.
type Saved struct {
	Term      uint64
	Index     uint64
	IndexTerm uint64
}

// Compact replaces the log up to an applied index with a snapshot.
type Compact struct {
	Index uint64
	Data  []byte
}

// Transfer asks the leader to hand over leadership.
type Transfer struct{}

// Contact replaces the names in Options.Contacts.
type Contact struct{ Names []string }

func (Tick) event()             {}
func (Receive) event()          {}
func (Propose) event()          {}
func (ChangeMembership) event() {}
func (Read) event()             {}
func (Saved) event()            {}
func (Compact) event()          {}
func (Transfer) event()         {}
func (Contact) event()          {}

// Action is an output of Step.
type Action interface{ action() }

// Save makes state durable. When it is, Saved is fed back with the same Term,
// Index and IndexTerm.
type Save struct {
	Vote     *record.Vote
	Snapshot *record.Snapshot
	// Reset drops all entries saved so far in favour of Snapshot.
	Reset   bool
	Entries []*record.Entry

	Term      uint64
	Index     uint64
	IndexTerm uint64
}

// Send sends a message to a host.
type Send struct {
	Name string
	// Address is where the host is reached; empty when it is not known here.
	Address string
	Message *record.Message
	// Durable messages wait for all Saves emitted before.
	Durable bool
}

// Apply passes out committed entries in order.
type Apply struct{ Entries []*record.Entry }

// Restore replaces the applied state with a snapshot.
type Restore struct{ Snapshot *record.Snapshot }

// Appended answers Propose: the commands were given indexes from First in
// Term. They are committed when Apply passes out entries with these indexes and
// this term, and lost when it passes out others.
type Appended struct {
	First uint64
	Term  uint64
}

// Refused answers Propose or ChangeMembership: nothing was appended.
type Refused struct{}

// ReadReady answers Read: entries up to Index were current at some time after
// the Read, and have been passed out.
type ReadReady struct {
	Token uint64
	Index uint64
}

// ReadFailed answers Read on a replica that isn't the leader, or stopped being
// it.
type ReadFailed struct{ Token uint64 }

// Changed reports a change of role, leader or term.
type Changed struct {
	Role   Role
	Leader ID
	Term   uint64
}

// Retire reports that the group has removed this replica: its identity will
// never be accepted again.
type Retire struct{}

// Note is worth a line in the log.
type Note struct {
	Text string
	Name string
	ID   ID
}

func (Save) action()       {}
func (Send) action()       {}
func (Apply) action()      {}
func (Restore) action()    {}
func (Appended) action()   {}
func (Refused) action()    {}
func (ReadReady) action()  {}
func (ReadFailed) action() {}
func (Changed) action()    {}
func (Retire) action()     {}
func (Note) action()       {}
