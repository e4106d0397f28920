// Package replicator implements Raft as a pure state machine: it takes events,
// returns actions, and does no input or output itself.
//
// # Identities
//
// A replica is identified by a random number that is generated once and kept in
// its data folder. Votes, acknowledgements and membership refer to this
// identity, never to the host name. A host that lost its disk has forgotten its
// votes and entries, and therefore must not vote under the identity that it had
// before. It restarts with a new identity and sends a hello with its host name.
// The leader then
//
//  1. adds the new identity as a learner, which has no vote,
//  2. removes the old identity once the learner has caught up, and
//  3. promotes the learner to a voter.
//
// Each step is a single membership change that is committed before the next
// one starts. The old identity is removed before the learner is promoted, so
// that the group never needs a quorum of an even number of voters that includes
// the lost one. The leader takes a step only while the old identity is silent
// and a quorum of the other voters answers. Removed identities stay in the
// membership as retired and are never accepted again, because an old copy of a
// data folder may lack votes that the identity has given. For the same reason a
// copy must never replace the data folder of a replica that is still a member;
// clear the folder instead.
//
// # Formation
//
// The settings name the initial voters, the founders. A blank replica belongs
// to no group. The first founder by name forms the group once every other
// founder has replied, within introductionLifetime, that it is blank and has
// the same list of founders. It writes the initial membership with the
// identities from these replies. The others join when they receive a message of
// that group addressed to their identity.
//
// With Options.Voters set, a host that has lost its disk is no founder any more
// (the caller leaves Founders empty), so that a majority of the founders can
// agree on the group without the others; see formation.go. The next paragraph is
// about groups without it.
//
// A blank founder of an existing group doesn't form a second one. A quorum has
// acknowledged the entries of the group, so that at least one founder belongs to
// it unless that whole quorum is blank again. The blank founder waits to be
// added. A group in which every disk is lost forms a new, empty group. A group
// that lost the disks of a quorum, but not all, stays down and needs an
// operator. So does a group whose first founder loses its disk before the
// initial membership has reached another host: the others have joined a group
// that nobody can lead. Nothing was accepted yet in this case, and clearing the
// data folders starts the formation again.
//
// # Durability
//
// The caller carries out Save actions in order. It sends a message with Durable
// set only after every Save that was emitted before it is durable, and reports
// completed Saves with Saved events. A leader sends entries to its followers
// without waiting for its own disk, and counts itself towards the quorum only
// after the Saved event.
//
// # Usage
//
//	r := replicator.New(now, options, stored)
//	for _, a := range r.Step(now, replicator.Propose{Commands: commands}) {
//		switch a := a.(type) {
//		case replicator.Save:
//			// add to the disk queue
//		case replicator.Send:
//			// send to a.Name; when a.Durable, after the Saves before it
//		case replicator.Apply:
//			// apply committed entries
//		}
//	}
//
// Call Step with Tick at least every TickInterval. A Replicator isn't safe for
// concurrent use.
package replicator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

// ID identifies a replica. It is random and never 0.
type ID uint64

// Role is the Raft role of a replica.
type Role int

// The roles of a replica. A PreCandidate asks whether it would win an election
// before it starts one.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "precandidate", "candidate", "leader"}[r]
}

const (
	// TickInterval is the longest time allowed between two Tick events.
	TickInterval = 10 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats of the leader.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeout is the minimum time without contact from a leader after
	// which a follower starts an election; the maximum is twice as long. A lost
	// leader is replaced within two seconds, which leaves time for one split
	// vote.
	ElectionTimeout = 500 * time.Millisecond
	// StartTimeout replaces ElectionTimeout during the first startPeriod of a
	// process that has not heard from a leader yet: when all replicas were
	// down, nobody serves until a leader is elected. It leaves a running leader
	// enough time for one heartbeat, and replicas that hear that leader refuse
	// their votes.
	StartTimeout = 120 * time.Millisecond
	startPeriod  = 2 * time.Second
	// helloInterval is the time between two hellos of a replica without a
	// leader.
	helloInterval = 200 * time.Millisecond
	// introductionLifetime is how long a received hello or hello reply stays
	// valid for forming a group or adding a member.
	introductionLifetime = time.Second

	// maximumAppendBytes limits the size of the entries in one append message,
	// unless a single entry is larger.
	maximumAppendBytes = 512 << 10
	// maximumInflight limits the unacknowledged appends to one follower, and
	// maximumInflightBytes the size of their entries, unless there is only one
	// append. A follower whose disk is slow holds this much beside its log.
	maximumInflight      = 64
	maximumInflightBytes = 4 << 20
	defaultChunkBytes    = 512 << 10
	defaultKeepEntries   = 512
	// maximumKeptBytes limits the size of the entries kept in memory that a
	// snapshot covers.
	maximumKeptBytes = 2 << 20
	// maximumUncommittedBytes limits the size of the entries that wait for a
	// quorum, unless there is only one. Further proposals are refused.
	maximumUncommittedBytes = 4 << 20
	// maximumSnapshotBytes limits the memory allocated for a snapshot whose size
	// a message names. A full claim table takes less.
	maximumSnapshotBytes = 1 << 30
	// maximumRetired limits the removed identities that the membership
	// remembers.
	maximumRetired = 1024
	// catchUpLag is the number of entries by which a learner may lag behind
	// when it is promoted.
	catchUpLag = 64
)

// MaximumPendingBytes bounds the entries that a leader holds beside those that wait for
// the next snapshot: the uncommitted ones and those that a snapshot covers, each with one
// entry more, of the given size.
func MaximumPendingBytes(largest int) int {
	return maximumUncommittedBytes + maximumKeptBytes + 2*largest
}

// Options configure a replica.
type Options struct {
	// Name is the host name, Address the host and port at which other replicas
	// reach it, and Centre its data centre.
	Name    string
	Address string
	Centre  string
	// Founders are the names of the initial voters. Order doesn't matter.
	Founders []string
	// Contacts are names of hosts to which a replica without a leader sends
	// hellos, in addition to the founders and the members that it knows.
	Contacts []string
	// Voters is the number of voters up to which the group admits hosts whose
	// names are not in the membership; 0 admits none.
	Voters int
	// Seed seeds the random election timeouts and the random group number.
	Seed uint64
	// KeepEntries is the number of entries covered by a snapshot that stay in
	// memory, so that a follower slightly behind needs no snapshot; 0 selects
	// the default.
	KeepEntries int
	// ChunkBytes is the size in bytes of one part of a snapshot that is sent to
	// a follower; 0 selects the default.
	ChunkBytes int
}

// Replicator is one replica of the log. It isn't safe for concurrent use.
type Replicator struct {
	options Options
	random  *rand.Rand
	now     time.Time
	actions []Action

	id    ID
	group uint64
	term  uint64
	vote  ID

	role   Role
	leader ID
	log    entryLog
	commit uint64
	// applied is the index of the last entry passed out in an Apply.
	applied     uint64
	memberships []indexedMembership

	electionDeadline time.Time
	startedAt        time.Time
	leaderHeardAt    time.Time
	nextHelloAt      time.Time
	// incoming is the snapshot being received from the leader.
	incoming partialSnapshot

	// introductions are the hello replies of blank founders, by host name.
	introductions map[string]introduction
	// formation is the durable state of a founder, nil before its first promise.
	formation *record.Formation
	ballot    ballot
	// knownNames are the members that hello replies named.
	knownNames map[string]bool

	// State of a candidate: votes holds the replicas that granted their vote.
	votes map[ID]bool
	// savedTerm is the latest term known to be durable together with its vote.
	savedTerm uint64

	// State of a leader.
	progress          map[ID]*progress
	uncommittedBytes  int
	newcomers         map[string]newcomer
	nextHeartbeatAt   time.Time
	nextQuorumCheckAt time.Time
	notifyCommit      bool
	transferee        ID
	transferDeadline  time.Time
	// leadingAt is when this replica last became the leader.
	leadingAt time.Time
	round     uint64
	reads     []pendingRead
}

// New restores a replica from the state in its data folder.
func New(now time.Time, o Options, s Stored) *Replicator {
	o.Founders = slices.Sorted(slices.Values(o.Founders))
	o.KeepEntries = cmp.Or(o.KeepEntries, defaultKeepEntries)
	o.ChunkBytes = cmp.Or(o.ChunkBytes, defaultChunkBytes)
	r := &Replicator{
		options:       o,
		random:        rand.New(rand.NewPCG(o.Seed, s.Vote.Id)),
		now:           now,
		startedAt:     now,
		id:            ID(s.Vote.Id),
		group:         s.Vote.Group,
		term:          s.Vote.Term,
		vote:          ID(s.Vote.Vote),
		savedTerm:     s.Vote.Term,
		introductions: map[string]introduction{},
		formation:     s.Vote.Formation,
	}
	r.ballot.next = now.Add(formationPatience)
	r.memberships = []indexedMembership{{membership: &record.Membership{}}}
	if snapshot := s.Snapshot; snapshot != nil {
		r.log.reset(snapshot.Index, snapshot.Term)
		r.log.setSnapshot(snapshot)
		r.commit, r.applied = snapshot.Index, snapshot.Index
		r.memberships[0] = indexedMembership{index: snapshot.Index, membership: snapshot.Membership}
	}
	r.log.append(s.Entries)
	r.log.durable = r.log.last()
	r.addMemberships(s.Entries)
	r.term = max(r.term, r.log.lastTerm())
	r.resetElection()
	if r.isVoter(r.id) && r.quorum() == 1 {
		r.electionDeadline = now
	}
	return r
}

// Stored is the durable state that New starts from. Snapshot is nil when none
// was taken.
type Stored struct {
	Vote     *record.Vote
	Snapshot *record.Snapshot
	Entries  []*record.Entry
}

// Step handles one event and returns the actions that the caller must carry
// out, in order. Time that goes backwards is ignored.
func (r *Replicator) Step(now time.Time, e Event) []Action {
	if now.After(r.now) {
		r.now = now
	}
	r.actions = nil
	switch e := e.(type) {
	case Tick:
		r.tick()
	case Receive:
		r.receive(e.Message)
	case Propose:
		r.propose(e)
	case ChangeMembership:
		r.changeMembership(e.Membership)
	case Read:
		r.read(e.Token)
	case Saved:
		r.saved(e)
	case Compact:
		r.compact(e)
	case TransferLeadership:
		r.startLeadershipTransfer()
	case SetContacts:
		r.options.Contacts = e.Names
	}
	r.emitCommitted()
	return r.actions
}

// Status describes the state of a replica.
type Status struct {
	ID     ID
	Group  uint64
	Term   uint64
	Role   Role
	Leader ID
	// Commit, Applied and Last are the indexes of the last entry that is
	// committed, passed out in an Apply, and in the log.
	Commit     uint64
	Applied    uint64
	Last       uint64
	Membership *record.Membership
	// Matched holds, on a leader, the last index known to be durable at each
	// other member; nil on other replicas.
	Matched map[ID]uint64
	// Ready is true for a leader that has committed an entry of its term.
	Ready bool
	// Voter is true when the replica has a vote.
	Voter bool
	// Heard is when a follower last heard from the leader.
	Heard time.Time
	// LogBytes is the approximate size of the log entries in memory.
	LogBytes int
	// SnapshotBytes is the size of the applied state in the snapshot that is in
	// memory.
	SnapshotBytes int
}

// Status returns the current status. The caller must not modify its Membership.
func (r *Replicator) Status() Status {
	status := Status{
		ID: r.id, Group: r.group, Term: r.term, Role: r.role, Leader: r.leader,
		Commit: r.commit, Applied: r.applied, Last: r.log.last(),
		Membership: r.membership(),
		Ready:      r.ready(), Voter: r.isVoter(r.id), Heard: r.leaderHeardAt, LogBytes: r.log.bytes(),
	}
	if r.log.snapshot != nil {
		status.SnapshotBytes = len(r.log.snapshot.Data)
	}
	if r.role == Leader {
		status.Matched = make(map[ID]uint64, len(r.progress))
	}
	for id, p := range r.progress {
		status.Matched[id] = p.match
	}
	return status
}

// tick performs everything that is due: the work of a leader, or hellos and
// elections of the others.
func (r *Replicator) tick() {
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.now.Sub(r.leaderHeardAt) >= ElectionTimeout && !r.now.Before(r.nextHelloAt) {
		r.nextHelloAt = r.now.Add(helloInterval)
		r.hello()
	}
	if r.agrees() {
		r.tickFormation()
	}
	if r.now.Before(r.electionDeadline) {
		return
	}
	r.resetElection()
	if r.isVoter(r.id) {
		r.campaign(PreCandidate, false)
	}
}

// emitCommitted passes out the newly committed entries. A leader that has
// removed itself steps down once that membership is committed.
func (r *Replicator) emitCommitted() {
	if r.commit <= r.applied {
		return
	}
	entries := r.log.slice(r.applied+1, r.commit+1)
	r.applied = r.commit
	for _, e := range entries {
		r.uncommittedBytes -= entrySize(e)
	}
	r.emit(Apply{Entries: entries})
	r.finishReads()
	if r.role == Leader && !r.isVoter(r.id) && r.committedMembership() {
		r.becomeFollower(r.term, 0)
	}
}

func (r *Replicator) emit(a Action) { r.actions = append(r.actions, a) }

// saveVote emits a Save of the group, term and vote.
func (r *Replicator) saveVote() {
	r.emit(Save{
		Vote: &record.Vote{
			Id: uint64(r.id), Name: r.options.Name, Group: r.group,
			Term: r.term, Vote: uint64(r.vote), Formation: r.formation,
		},
		Term: r.term,
	})
}

// saveEntries emits a Save of new log entries.
func (r *Replicator) saveEntries(entries []*record.Entry) {
	last := entries[len(entries)-1]
	r.emit(Save{Entries: entries, Term: r.term, Index: last.Index, IndexTerm: last.Term})
}

// saved records what has become durable. The report of an entry that was
// replaced since is ignored.
func (r *Replicator) saved(e Saved) {
	r.savedTerm = max(r.savedTerm, e.Term)
	if e.Index > r.log.durable && r.log.term(e.Index) == e.IndexTerm {
		r.log.durable = e.Index
	}
	switch r.role {
	case Candidate:
		r.countVotes()
	case Leader:
		r.advanceCommit()
	}
}

// compact replaces applied entries with a snapshot. It ignores one that isn't
// newer than the last.
func (r *Replicator) compact(e Compact) {
	if e.Index > r.applied || r.log.snapshot != nil && e.Index <= r.log.snapshot.Index {
		return
	}
	snapshot := &record.Snapshot{
		Index: e.Index, Term: r.log.term(e.Index),
		Membership: r.membershipAt(e.Index), Data: e.Data,
	}
	r.log.setSnapshot(snapshot)
	r.log.trim(r.log.trimIndex(e.Index, r.options.KeepEntries))
	r.dropOutdatedTransfers()
	for len(r.memberships) > 1 && r.memberships[1].index <= r.log.base {
		r.memberships = r.memberships[1:]
	}
	r.emit(Save{Snapshot: snapshot, Term: r.term})
}

// resetElection draws the next election deadline.
func (r *Replicator) resetElection() {
	shortest := ElectionTimeout
	if r.leaderHeardAt.IsZero() && r.now.Sub(r.startedAt) < startPeriod {
		shortest = StartTimeout
		if r.role == Candidate {
			// A candidate waits for the disk writes of two hosts.
			shortest = ElectionTimeout / 2
		}
	}
	r.electionDeadline = r.now.Add(shortest + time.Duration(r.random.Int64N(int64(shortest))))
}

// becomeFollower makes this replica a follower in the term; leader is 0 when it
// is unknown.
func (r *Replicator) becomeFollower(term uint64, leader ID) {
	changed := r.role != Follower || r.leader != leader || r.term != term
	if term > r.term {
		r.term, r.vote = term, 0
		r.saveVote()
	}
	wasLeader := r.role == Leader
	r.role, r.leader = Follower, leader
	r.votes, r.progress, r.newcomers = nil, nil, nil
	r.transferee = 0
	if wasLeader {
		r.failReads()
		r.resetElection()
		r.leaderHeardAt = r.now
	}
	if changed {
		r.emit(LeadershipChanged{Role: r.role, Leader: r.leader, Term: r.term})
	}
}
