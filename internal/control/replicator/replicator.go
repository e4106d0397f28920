// Package replicator is the state machine of the replicated log: a Raft
// implementation that does no input or output.
//
// # Identities
//
// A replica is identified by a random number made once and kept in its data
// folder. Votes, acknowledgements and membership refer to identities, never to
// host names, so that a host that lost its disk can't vote under the identity
// whose votes and entries it has forgotten. It comes back with a new identity
// and introduces itself with a hello under its host name. The leader then
//
//  1. adds the new identity as a learner, which has no vote,
//  2. removes the old identity once the learner has caught up, and
//  3. promotes the learner to a voter.
//
// Each step is a single membership change that is committed before the next
// one starts. Removal comes before promotion so that the group never needs a
// quorum of an even number of voters that includes the lost one. The leader
// takes a step only while the old identity is silent and a quorum of the other
// voters answers. Removed identities stay in the membership as retired and are
// never accepted again: an old copy of a data folder may have forgotten votes.
// For the same reason a copy must never be put in the place of the folder of a
// replica that is still a member; clear the folder instead.
//
// # Formation
//
// The settings name the initial voters, the founders. A blank replica belongs
// to no group. The first founder in name order forms the group only when every
// other founder has told it, within a short time, that it is blank and has the
// same list of founders. It then writes the initial membership with the
// identities it was told, and the others join when they receive a message of
// that group that is addressed to their identity. A blank founder of an
// existing group finds a founder that belongs to the group (entries were
// acknowledged by a quorum, and all of a quorum would have to be blank again)
// and therefore forms nothing but waits to be added. A group in which every
// disk is lost forms a new, empty group; a group that lost the disks of a
// quorum, but not all, stays down and needs an operator. So does a group whose
// first founder loses its disk before the initial membership has reached
// another host: the others have joined a group that nobody can lead. Nothing
// was accepted yet, and clearing the data folders starts it again.
//
// # Durability
//
// Save actions are carried out in order. Messages with Durable set are sent
// after every Save that was emitted before them is durable; Saved events
// report progress. A leader sends entries to its followers without waiting for
// its own disk and counts itself only when Saved says so.
//
// # Usage
//
//	r := replicator.New(now, options, stored)
//	for _, a := range r.Step(now, replicator.Propose{Commands: commands}) {
//		switch a := a.(type) {
//		case replicator.Save:
//			// queue for the disk
//		case replicator.Send:
//			// send to a.Name, after the disk queue when a.Durable
//		case replicator.Apply:
//			// apply committed entries
//		}
//	}
//
// Step must be called with Tick at least every TickInterval.
package replicator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

// ID identifies a replica.
type ID uint64

// Role is what a replica does at the moment.
type Role int

// Roles of a replica.
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
	// TickInterval is the longest time between two Tick events.
	TickInterval = 10 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats of the leader.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeout is the shortest silence after which a follower starts an
	// election; the longest is twice as much. A lost leader is replaced within
	// two seconds with room for one split vote.
	ElectionTimeout = 500 * time.Millisecond
	// StartTimeout takes its place in a process that has heard no leader yet, for
	// startPeriod: after all replicas were down nobody serves until one is elected.
	// It leaves a leader that lives time for one heartbeat; others refuse their
	// votes while they hear it.
	StartTimeout = 120 * time.Millisecond
	startPeriod  = 2 * time.Second
	// helloInterval is the time between introductions of a replica without a
	// leader.
	helloInterval = 200 * time.Millisecond
	// introductionAge is how long a hello reply counts for forming a group.
	introductionAge = time.Second

	// maximumAppend is the size of the entries in one message, unless a single
	// entry is larger.
	maximumAppend = 512 << 10
	// maximumInflight is the number of unacknowledged appends to a follower.
	maximumInflight = 64
	defaultChunk    = 512 << 10
	defaultKeep     = 512
	// keptBytes bounds the size of the entries kept behind a snapshot.
	keptBytes = 4 << 20
	// maximumUncommitted bounds the size of entries that wait for a quorum.
	// More proposals are refused.
	maximumUncommitted = 64 << 20
	// keptRetired bounds the identities that are remembered as removed.
	keptRetired = 1024
	// catchUpLag is how far behind a learner may be when it is promoted.
	catchUpLag = 64
)

// Options describe the replica.
type Options struct {
	Name    string
	Address string
	Centre  string
	// Founders are the names of the initial voters.
	Founders []string
	// Contacts are names of hosts that a replica without a leader introduces
	// itself to, beside the founders and the members that it knows.
	Contacts []string
	// Voters is the number of voters that the group grows to by admitting hosts
	// under names that it doesn't know; 0 admits none.
	Voters int
	// Seed randomises election timeouts and the group number.
	Seed uint64
	// Keep is the number of entries that stay in memory behind a snapshot, so
	// that a follower that is a little behind needs no snapshot; 0 takes the
	// default.
	Keep int
	// Chunk is the size of a part of a snapshot; 0 takes the default.
	Chunk int
}

// Replicator is one replica of the log.
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
	// applied is the last entry passed out in an Apply.
	applied     uint64
	memberships []placedMembership

	electionAt time.Time
	startedAt  time.Time
	heardAt    time.Time
	helloAt    time.Time
	// assembly collects the parts of a snapshot from the leader.
	assembly assembly

	// introductions are replies of blank founders.
	introductions map[string]introduction
	// known are members that the answers to hellos named.
	known map[string]bool

	// State of a candidate.
	votes map[ID]bool
	// savedTerm is the last term and vote known to be durable.
	savedTerm uint64

	// State of a leader.
	progress      map[ID]*progress
	uncommitted   int
	newcomers     map[string]newcomer
	heartbeatAt   time.Time
	quorumAt      time.Time
	notifyCommit  bool
	transferee    ID
	transferUntil time.Time
	// leadingAt is when this replica last became leader.
	leadingAt time.Time
	round     uint64
	reads     []pendingRead
}

// New restores a replica from its data folder.
func New(now time.Time, o Options, s Stored) *Replicator {
	o.Founders = slices.Sorted(slices.Values(o.Founders))
	o.Keep = cmp.Or(o.Keep, defaultKeep)
	o.Chunk = cmp.Or(o.Chunk, defaultChunk)
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
	}
	r.memberships = []placedMembership{{membership: &record.Membership{}}}
	if p := s.Snapshot; p != nil {
		r.log.reset(p.Index, p.Term)
		r.log.snapshot = p
		r.commit, r.applied = p.Index, p.Index
		r.memberships[0] = placedMembership{index: p.Index, membership: p.Membership}
	}
	r.log.append(s.Entries)
	r.log.durable = r.log.last()
	r.addMemberships(s.Entries)
	r.term = max(r.term, r.log.lastTerm())
	r.resetElection()
	if r.isVoter(r.id) && r.quorum() == 1 {
		r.electionAt = now
	}
	return r
}

// Stored is the durable state at the start.
type Stored struct {
	Vote     *record.Vote
	Snapshot *record.Snapshot
	Entries  []*record.Entry
}

// Step handles one event.
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
	case Transfer:
		r.startTransfer()
	case Contact:
		r.options.Contacts = e.Names
	}
	r.emitCommitted()
	return r.actions
}

// Status describes the replica.
type Status struct {
	ID         ID
	Group      uint64
	Term       uint64
	Role       Role
	Leader     ID
	Commit     uint64
	Applied    uint64
	Last       uint64
	Membership *record.Membership
	Matched    map[ID]uint64
	// Ready is true on a leader that has committed an entry of its term.
	Ready bool
	// Voter is true when the replica has a vote.
	Voter bool
	// Heard is when a follower last heard from the leader.
	Heard time.Time
	// Stored is the size of the entries in memory.
	Stored int
}

// Status returns a copy of the replica's view.
func (r *Replicator) Status() Status {
	s := Status{
		ID: r.id, Group: r.group, Term: r.term, Role: r.role, Leader: r.leader,
		Commit: r.commit, Applied: r.applied, Last: r.log.last(),
		Membership: r.membership(),
		Ready:      r.ready(), Voter: r.isVoter(r.id), Heard: r.heardAt, Stored: r.log.bytes(),
	}
	if r.role == Leader {
		s.Matched = make(map[ID]uint64, len(r.progress))
	}
	for id, p := range r.progress {
		s.Matched[id] = p.match
	}
	return s
}

// tick does what is due.
func (r *Replicator) tick() {
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.now.Sub(r.heardAt) >= ElectionTimeout && !r.now.Before(r.helloAt) {
		r.helloAt = r.now.Add(helloInterval)
		r.hello()
	}
	if r.now.Before(r.electionAt) {
		return
	}
	r.resetElection()
	if r.isVoter(r.id) {
		r.campaign(PreCandidate, false)
	}
}

// emitCommitted passes out entries that were committed by this step.
func (r *Replicator) emitCommitted() {
	if r.commit <= r.applied {
		return
	}
	entries := r.log.slice(r.applied+1, r.commit+1)
	r.applied = r.commit
	for _, e := range entries {
		r.uncommitted -= entrySize(e)
	}
	r.emit(Apply{Entries: entries})
	r.finishReads()
	if r.role == Leader && !r.isVoter(r.id) && r.committedMembership() {
		r.follow(r.term, 0)
	}
}

func (r *Replicator) emit(a Action) { r.actions = append(r.actions, a) }

// saveVote makes group, term and vote durable.
func (r *Replicator) saveVote() {
	r.emit(Save{
		Vote: &record.Vote{
			Id: uint64(r.id), Name: r.options.Name, Group: r.group,
			Term: r.term, Vote: uint64(r.vote),
		},
		Term: r.term,
	})
}

// saveEntries makes new entries of the log durable.
func (r *Replicator) saveEntries(entries []*record.Entry) {
	last := entries[len(entries)-1]
	r.emit(Save{Entries: entries, Term: r.term, Index: last.Index, IndexTerm: last.Term})
}

// saved notes what has become durable.
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

// compact replaces applied entries with a snapshot.
func (r *Replicator) compact(e Compact) {
	if e.Index > r.applied || r.log.snapshot != nil && e.Index <= r.log.snapshot.Index {
		return
	}
	s := &record.Snapshot{
		Index: e.Index, Term: r.log.term(e.Index),
		Membership: r.membershipAt(e.Index), Data: e.Data,
	}
	r.log.snapshot = s
	r.log.trim(r.log.keepFrom(e.Index, r.options.Keep))
	for len(r.memberships) > 1 && r.memberships[1].index <= r.log.base {
		r.memberships = r.memberships[1:]
	}
	r.emit(Save{Snapshot: s, Term: r.term})
}

// resetElection chooses the next time to stand for election.
func (r *Replicator) resetElection() {
	shortest := ElectionTimeout
	if r.heardAt.IsZero() && r.now.Sub(r.startedAt) < startPeriod {
		shortest = StartTimeout
		if r.role == Candidate {
			// Votes wait for the disks of two hosts.
			shortest = ElectionTimeout / 2
		}
	}
	r.electionAt = r.now.Add(shortest + time.Duration(r.random.Int64N(int64(shortest))))
}

// follow becomes a follower in the term.
func (r *Replicator) follow(term uint64, leader ID) {
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
		r.heardAt = r.now
	}
	if changed {
		r.emit(Changed{Role: r.role, Leader: r.leader, Term: r.term})
	}
}
