package replicator

import (
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

// campaign starts a pre-vote or an election. A pre-vote changes no state, so a
// replica that was cut off doesn't depose a working leader when it returns.
func (r *Replicator) campaign(role Role, transfer bool) {
	r.role, r.leader = role, 0
	r.votes = map[ID]bool{r.id: true}
	term := r.term + 1
	kind := record.Message_KIND_PREVOTE
	if role == Candidate {
		r.term, r.vote = term, r.id
		r.saveVote()
		r.resetElection()
		kind = record.Message_KIND_VOTE
	}
	r.emit(Changed{Role: r.role, Leader: r.leader, Term: r.term})
	// All requests wait for the disk: a vote because it names a new term, and
	// the first pre-vote of a new group because it makes the others join a
	// group that the founder must not forget.
	for _, m := range r.membership().Members {
		if !m.Voter || ID(m.Id) == r.id {
			continue
		}
		r.send(m, &record.Message{
			Kind: kind, Term: term, Index: r.log.last(), Previous: r.log.lastTerm(),
			Transfer: transfer,
		}, true)
	}
	r.countVotes()
}

// countVotes moves on with a quorum of votes. The candidate's own vote counts
// when it is durable.
func (r *Replicator) countVotes() {
	count := 0
	for _, m := range r.membership().Members {
		if m.Voter && r.votes[ID(m.Id)] {
			count++
		}
	}
	if count < r.quorum() {
		return
	}
	switch {
	case r.role == PreCandidate:
		r.campaign(Candidate, false)
	case r.role == Candidate && r.savedTerm >= r.term:
		r.lead()
	}
}

// leased reports whether a leader was heard recently; votes are then refused
// so that a replica with a bad network can't depose it.
func (r *Replicator) leased() bool {
	return r.role == Leader || r.leader != 0 && r.now.Sub(r.heardAt) < ElectionTimeout
}

// receivePreVote answers whether a vote would be granted.
func (r *Replicator) receivePreVote(m *record.Message) {
	granted := m.Term > r.term && !r.leased() && r.log.atLeast(m.Previous, m.Index)
	term := r.term
	if granted {
		term = m.Term
	}
	r.reply(m, &record.Message{Kind: record.Message_KIND_PREVOTE_REPLY, Term: term, Reject: !granted})
}

// receiveVote grants one vote in each term.
func (r *Replicator) receiveVote(m *record.Message) {
	granted := m.Term == r.term && (r.vote == 0 || r.vote == ID(m.From)) &&
		r.log.atLeast(m.Previous, m.Index)
	if granted {
		r.vote = ID(m.From)
		r.saveVote()
		r.resetElection()
	}
	r.reply(m, &record.Message{Kind: record.Message_KIND_VOTE_REPLY, Term: r.term, Reject: !granted})
}

// receiveVoteReply counts a vote or pre-vote.
func (r *Replicator) receiveVoteReply(m *record.Message) {
	switch m.Kind {
	case record.Message_KIND_PREVOTE_REPLY:
		if r.role != PreCandidate || m.Term != r.term+1 {
			return
		}
	default:
		if r.role != Candidate || m.Term != r.term {
			return
		}
	}
	if !m.Reject {
		r.votes[ID(m.From)] = true
		r.countVotes()
	}
}

// receiveCampaign starts an election on behalf of the leader.
func (r *Replicator) receiveCampaign(m *record.Message) {
	if r.isVoter(r.id) && m.Term == r.term && r.role == Follower {
		r.campaign(Candidate, true)
	}
}

// lead becomes the leader.
func (r *Replicator) lead() {
	r.role, r.leader = Leader, r.id
	r.votes = nil
	r.leadingAt = r.now
	r.progress = map[ID]*progress{}
	r.newcomers = map[string]newcomer{}
	r.syncProgress()
	for _, p := range r.progress {
		p.activeAt = r.now
	}
	r.quorumAt = r.now.Add(ElectionTimeout)
	r.round, r.reads = 0, nil
	r.transferee = 0
	r.uncommitted = 0
	for _, e := range r.log.slice(r.commit+1, r.log.last()+1) {
		r.uncommitted += entrySize(e)
	}
	r.emit(Changed{Role: r.role, Leader: r.leader, Term: r.term})
	r.appendEntries([]*record.Entry{{Kind: record.Entry_KIND_NOTHING, Time: r.now.UnixNano()}})
	r.heartbeatAt = r.now.Add(HeartbeatInterval)
}

// tickLeader sends heartbeats, checks the quorum and drives replacements.
func (r *Replicator) tickLeader() {
	if !r.now.Before(r.quorumAt) {
		if r.countActive(0) < r.quorum() {
			r.emit(Note{Text: "lost contact with a quorum; stepping down"})
			r.follow(r.term, 0)
			return
		}
		r.quorumAt = r.now.Add(ElectionTimeout / 4)
	}
	if r.transferee != 0 && r.now.After(r.transferUntil) {
		r.transferee = 0
	}
	switch {
	case !r.now.Before(r.heartbeatAt):
		r.heartbeat()
	case r.notifyCommit:
		r.broadcast()
	}
	r.notifyCommit = false
	r.replaceLost()
}

// heartbeat sends an append to everyone, with or without entries.
func (r *Replicator) heartbeat() {
	r.heartbeatAt = r.now.Add(HeartbeatInterval)
	if r.waitingReads() {
		r.round++
	}
	for _, m := range r.membership().Members {
		if p := r.progress[ID(m.Id)]; p != nil {
			p.heartbeat()
			r.sendAppend(m, p, true)
		}
	}
}

// broadcast tells everyone the commit index and the round, apart from members
// that are receiving a snapshot.
func (r *Replicator) broadcast() {
	for _, m := range r.membership().Members {
		if p := r.progress[ID(m.Id)]; p != nil && p.transfer == nil {
			r.sendAppend(m, p, true)
		}
	}
}

// countActive counts the voters, apart from one, that answered recently.
func (r *Replicator) countActive(apart ID) int {
	count := 0
	for _, m := range r.membership().Members {
		id := ID(m.Id)
		if !m.Voter || id == apart {
			continue
		}
		if id == r.id || r.now.Sub(r.progress[id].activeAt) < ElectionTimeout {
			count++
		}
	}
	return count
}

// startTransfer hands leadership to the most complete active voter.
func (r *Replicator) startTransfer() {
	if r.role != Leader {
		return
	}
	var best ID
	for _, m := range r.membership().Members {
		p := r.progress[ID(m.Id)]
		if !m.Voter || p == nil || r.now.Sub(p.activeAt) >= ElectionTimeout {
			continue
		}
		if best == 0 || p.match > r.progress[best].match {
			best = ID(m.Id)
		}
	}
	if best == 0 {
		return
	}
	r.transferee = best
	r.transferUntil = r.now.Add(ElectionTimeout)
	r.continueTransfer()
}

// continueTransfer lets the transferee campaign when it has the whole log.
func (r *Replicator) continueTransfer() {
	if r.transferee == 0 {
		return
	}
	p := r.progress[r.transferee]
	m := r.member(r.transferee)
	if p == nil || m == nil || p.match != r.log.last() {
		return
	}
	r.send(m, &record.Message{Kind: record.Message_KIND_CAMPAIGN, Term: r.term}, false)
}
