package replicator

import (
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

// send addresses a message to a member.
func (r *Replicator) send(to *record.Member, m *record.Message, durable bool) {
	m.Group, m.From, m.To = r.group, uint64(r.id), to.Id
	m.Name = r.options.Name
	r.emit(Send{Name: to.Name, Address: to.Address, Message: m, Durable: durable})
}

// reply answers a message. Replies wait for the disk: they promise that a vote
// or entries will be remembered.
func (r *Replicator) reply(request, m *record.Message) {
	r.send(&record.Member{Id: request.From, Name: request.Name}, m, true)
}

// receive handles a message.
func (r *Replicator) receive(m *record.Message) {
	switch m.Kind {
	case record.Message_KIND_HELLO, record.Message_KIND_HELLO_REPLY:
		r.receiveHello(m)
		return
	case record.Message_KIND_RETIRED:
		r.receiveRetired(m)
		return
	}
	if ID(m.To) != r.id {
		return
	}
	if !r.join(m) {
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
		r.hear(m)
		r.receiveAppend(m)
	case record.Message_KIND_SNAPSHOT:
		r.hear(m)
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

// receiveNewerTerm adopts a newer term where the message calls for it, and
// reports whether to go on with the message.
func (r *Replicator) receiveNewerTerm(m *record.Message) bool {
	switch m.Kind {
	case record.Message_KIND_PREVOTE:
		return true
	case record.Message_KIND_PREVOTE_REPLY:
		if !m.Reject {
			return true
		}
	case record.Message_KIND_VOTE:
		if r.leased() && !m.Transfer {
			return false
		}
	}
	r.follow(m.Term, 0)
	return true
}

// receiveOlderTerm tells a deposed leader or a late candidate the term.
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

// hear notes contact with the leader of the term.
func (r *Replicator) hear(m *record.Message) {
	r.heardAt = r.now
	r.resetElection()
	if r.role != Follower || r.leader != ID(m.From) {
		r.follow(r.term, ID(m.From))
	}
}

// receiveAppend adds the leader's entries after the last common one.
func (r *Replicator) receiveAppend(m *record.Message) {
	answer := &record.Message{
		Kind: record.Message_KIND_APPEND_REPLY, Term: r.term, Round: m.Round,
	}
	switch {
	case m.Index < r.commit:
		answer.Index = r.commit
	case !r.log.holds(m.Index) || r.log.term(m.Index) != m.Previous:
		answer.Reject = true
		answer.Index = m.Index
		answer.Hint = r.hint(m)
	default:
		r.addEntries(m.Entries)
		answer.Index = m.Index + uint64(len(m.Entries))
		r.commit = max(r.commit, min(m.Commit, answer.Index))
	}
	r.reply(m, answer)
	if len(m.Entries) == 0 {
		r.confirmHeard(m)
	}
}

// confirmHeard answers a heartbeat without waiting for the disk: a follower
// that writes a large snapshot must not look lost, and a confirmation round
// asks only whether this replica knows of a newer leader.
func (r *Replicator) confirmHeard(m *record.Message) {
	to := &record.Member{Id: m.From, Name: m.Name}
	r.send(to, &record.Message{Kind: record.Message_KIND_HEARD, Term: r.term, Round: m.Round}, false)
}

// receiveHeard notes that a member follows this leader.
func (r *Replicator) receiveHeard(m *record.Message) {
	if p := r.progress[ID(m.From)]; r.role == Leader && p != nil {
		p.activeAt = r.now
		r.acknowledgeRound(p, m.Round)
	}
}

// hint returns the last index that can be common with the leader's log.
func (r *Replicator) hint(m *record.Message) uint64 {
	i := min(m.Index, r.log.last())
	for i > r.commit && r.log.term(i) > m.Previous {
		i--
	}
	return i
}

// addEntries appends what is new and replaces what conflicts.
func (r *Replicator) addEntries(entries []*record.Entry) {
	for i, e := range entries {
		if r.log.holds(e.Index) && r.log.term(e.Index) == e.Term {
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

// assembly is a snapshot that is being received.
type assembly struct {
	from  ID
	term  uint64
	index uint64
	data  []byte
}

// receiveSnapshot collects the parts of a snapshot.
func (r *Replicator) receiveSnapshot(m *record.Message) {
	if m.Index <= r.commit {
		r.reply(m, &record.Message{
			Kind: record.Message_KIND_APPEND_REPLY, Term: r.term, Index: r.commit, Round: m.Round,
		})
		return
	}
	a := &r.assembly
	if a.from != ID(m.From) || a.term != m.Term || a.index != m.Index {
		*a = assembly{from: ID(m.From), term: m.Term, index: m.Index}
	}
	if m.Offset == uint64(len(a.data)) {
		a.data = append(a.data, m.Chunk...)
	}
	if uint64(len(a.data)) < m.Size {
		r.reply(m, &record.Message{
			Kind: record.Message_KIND_SNAPSHOT_REPLY, Term: r.term,
			Index: m.Index, Offset: uint64(len(a.data)), Round: m.Round,
		})
		return
	}
	s, err := decodeSnapshot(a.data)
	*a = assembly{}
	if err != nil {
		r.emit(Note{Text: "received a snapshot that can't be decoded", Name: m.Name, ID: ID(m.From)})
		return
	}
	r.install(s)
	r.reply(m, &record.Message{
		Kind: record.Message_KIND_APPEND_REPLY, Term: r.term, Index: r.commit, Round: m.Round,
	})
}

// install replaces the state with a snapshot, or keeps the log where it agrees.
func (r *Replicator) install(s *record.Snapshot) {
	if r.log.holds(s.Index) && r.log.term(s.Index) == s.Term {
		r.commit = s.Index
		return
	}
	r.log.reset(s.Index, s.Term)
	r.log.snapshot = s
	r.commit, r.applied = s.Index, s.Index
	r.memberships = []placedMembership{{index: s.Index, membership: s.Membership}}
	r.emit(Save{Snapshot: s, Reset: true, Term: r.term})
	r.emit(Restore{Snapshot: s})
}
