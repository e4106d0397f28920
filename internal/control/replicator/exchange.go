package replicator

import (
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

// send emits a message to a member.
func (r *Replicator) send(to *record.Member, m *record.Message, durable bool) {
	m.Group, m.From, m.To = r.group, uint64(r.id), to.Id
	m.Name = r.options.Name
	r.emit(Send{Name: to.Name, Address: to.Address, Message: m, Durable: durable})
}

// reply answers a message. Replies wait for the disk, because they promise that
// a vote or entries will be remembered.
func (r *Replicator) reply(request, m *record.Message) {
	r.send(&record.Member{Id: request.From, Name: request.Name}, m, true)
}

// receive handles a message. Messages for another identity or another group are
// dropped.
func (r *Replicator) receive(m *record.Message) {
	switch m.Kind {
	case record.Message_KIND_HELLO, record.Message_KIND_HELLO_REPLY:
		r.receiveHello(m)
		return
	case record.Message_KIND_RETIRED:
		r.receiveRetired(m)
		return
	case record.Message_KIND_PREPARE, record.Message_KIND_PROMISE, record.Message_KIND_ACCEPT, record.Message_KIND_ACCEPTED:
		r.receiveBallot(m)
		return
	}
	if ID(m.To) != r.id {
		return
	}
	if !r.joinGroup(m) {
		return
	}
	if m.Term > r.term && !r.receiveNewerTerm(m) {
		return
	}
	if m.Term < r.term {
		r.receiveOlderTerm(m)
		return
	}
	switch m.Kind {
	case record.Message_KIND_PREVOTE:
		r.receivePreVote(m)
	case record.Message_KIND_VOTE:
		r.receiveVote(m)
	case record.Message_KIND_PREVOTE_REPLY, record.Message_KIND_VOTE_REPLY:
		r.receiveVoteReply(m)
	case record.Message_KIND_APPEND:
		r.noteLeader(m)
		r.receiveAppend(m)
	case record.Message_KIND_SNAPSHOT:
		r.noteLeader(m)
		r.receiveSnapshot(m)
	case record.Message_KIND_APPEND_REPLY:
		r.receiveAppendReply(m)
	case record.Message_KIND_SNAPSHOT_REPLY:
		r.receiveSnapshotReply(m)
	case record.Message_KIND_HEARD:
		r.receiveHeard(m)
	case record.Message_KIND_CAMPAIGN:
		r.receiveCampaign(m)
	}
}

// receiveNewerTerm handles a message of a newer term. It adopts that term where
// the kind of message requires it, and reports whether to process the message
// further. A vote request doesn't count while a leader is heard, unless that
// leader hands over.
func (r *Replicator) receiveNewerTerm(m *record.Message) bool {
	switch m.Kind {
	case record.Message_KIND_PREVOTE:
		return true
	case record.Message_KIND_PREVOTE_REPLY:
		if !m.Reject {
			return true
		}
	case record.Message_KIND_VOTE:
		if r.hasCurrentLeader() && !m.Transfer {
			return false
		}
	}
	r.becomeFollower(m.Term, 0)
	return true
}

// receiveOlderTerm rejects a message of a deposed leader or a late candidate by
// telling it the current term.
func (r *Replicator) receiveOlderTerm(m *record.Message) {
	switch m.Kind {
	case record.Message_KIND_APPEND, record.Message_KIND_SNAPSHOT:
		r.reply(m, &record.Message{
			Kind: record.Message_KIND_APPEND_REPLY, Term: r.term, Reject: true,
		})
	case record.Message_KIND_PREVOTE:
		r.reply(m, &record.Message{
			Kind: record.Message_KIND_PREVOTE_REPLY, Term: r.term, Reject: true,
		})
	}
}

// noteLeader records contact with the leader of the current term.
func (r *Replicator) noteLeader(m *record.Message) {
	r.leaderHeardAt = r.now
	r.resetElection()
	if r.role != Follower || r.leader != ID(m.From) {
		r.becomeFollower(r.term, ID(m.From))
	}
}

// receiveAppend merges the leader's entries into the log when the entry before
// them matches, and rejects them otherwise.
func (r *Replicator) receiveAppend(m *record.Message) {
	answer := &record.Message{
		Kind: record.Message_KIND_APPEND_REPLY, Term: r.term, Round: m.Round,
	}
	switch {
	case m.Index < r.commit:
		answer.Index = r.commit
	case !r.log.knowsTerm(m.Index) || r.log.term(m.Index) != m.Previous:
		answer.Reject = true
		answer.Index = m.Index
		answer.Hint = r.lastPossibleMatch(m)
	default:
		r.mergeEntries(m.Entries)
		answer.Index = m.Index + uint64(len(m.Entries))
		r.commit = max(r.commit, min(m.Commit, answer.Index))
	}
	r.reply(m, answer)
	if len(m.Entries) == 0 {
		r.confirmHeartbeat(m)
	}
}

// confirmHeartbeat answers a heartbeat without waiting for the disk: a follower
// that writes a large snapshot must not look lost, and a read round only asks
// whether this replica knows of a newer leader.
func (r *Replicator) confirmHeartbeat(m *record.Message) {
	to := &record.Member{Id: m.From, Name: m.Name}
	r.send(to, &record.Message{Kind: record.Message_KIND_HEARD, Term: r.term, Round: m.Round}, false)
}

// receiveHeard records that a member follows this leader.
func (r *Replicator) receiveHeard(m *record.Message) {
	if p := r.progress[ID(m.From)]; r.role == Leader && p != nil {
		p.lastReplyAt = r.now
		r.acknowledgeRound(p, m.Round)
	}
}

// lastPossibleMatch returns the last index at which this log can match that of
// the leader, given the entry that it didn't accept.
func (r *Replicator) lastPossibleMatch(m *record.Message) uint64 {
	i := min(m.Index, r.log.last())
	for i > r.commit && r.log.term(i) > m.Previous {
		i--
	}
	return i
}

// mergeEntries appends new entries and replaces conflicting ones. It panics
// when a committed entry would be replaced.
func (r *Replicator) mergeEntries(entries []*record.Entry) {
	for i, e := range entries {
		if r.log.knowsTerm(e.Index) && r.log.term(e.Index) == e.Term {
			continue
		}
		if e.Index <= r.commit {
			panic("replicator: a committed entry would be replaced")
		}
		if e.Index <= r.log.last() {
			r.log.truncate(e.Index)
			r.dropMemberships(e.Index)
		}
		r.log.append(entries[i:])
		r.addMemberships(entries[i:])
		r.saveEntries(entries[i:])
		return
	}
}

// partialSnapshot holds the parts of a snapshot received so far.
type partialSnapshot struct {
	from  ID
	term  uint64
	index uint64
	data  []byte
}

// receiveSnapshot collects the parts of a snapshot and installs it when it is
// complete. A part out of order is ignored; the reply tells the leader the
// offset to continue from.
func (r *Replicator) receiveSnapshot(m *record.Message) {
	if m.Index <= r.commit {
		r.reply(m, &record.Message{
			Kind: record.Message_KIND_APPEND_REPLY, Term: r.term, Index: r.commit, Round: m.Round,
		})
		return
	}
	partial := &r.incoming
	if partial.from != ID(m.From) || partial.term != m.Term || partial.index != m.Index {
		*partial = partialSnapshot{from: ID(m.From), term: m.Term, index: m.Index}
		// Growing the slice part by part would take up to twice the size.
		partial.data = make([]byte, 0, min(m.Size, maximumSnapshotBytes))
	}
	if m.Offset == uint64(len(partial.data)) {
		partial.data = append(partial.data, m.Chunk...)
	}
	if uint64(len(partial.data)) < m.Size {
		r.reply(m, &record.Message{
			Kind: record.Message_KIND_SNAPSHOT_REPLY, Term: r.term,
			Index: m.Index, Offset: uint64(len(partial.data)), Round: m.Round,
		})
		return
	}
	snapshot, err := decodeSnapshot(partial.data)
	*partial = partialSnapshot{}
	if err != nil {
		r.emit(Note{Text: "received a snapshot that can't be decoded", Name: m.Name, ID: ID(m.From)})
		return
	}
	r.install(snapshot)
	r.reply(m, &record.Message{
		Kind: record.Message_KIND_APPEND_REPLY, Term: r.term, Index: r.commit, Round: m.Round,
	})
}

// install replaces the log and the applied state with a snapshot. It keeps both
// when the log contains the last entry of the snapshot, and only advances the
// commit index.
func (r *Replicator) install(s *record.Snapshot) {
	if r.log.knowsTerm(s.Index) && r.log.term(s.Index) == s.Term {
		r.commit = s.Index
		return
	}
	r.log.reset(s.Index, s.Term)
	r.log.setSnapshot(s)
	r.commit, r.applied = s.Index, s.Index
	r.memberships = []indexedMembership{{index: s.Index, membership: s.Membership}}
	r.emit(Save{Snapshot: s, Reset: true, Term: r.term})
	r.emit(Restore{Snapshot: s})
}
