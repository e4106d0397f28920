package replicator

import (
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

// campaign starts a pre-vote or an election. A pre-vote changes no durable
// state, so that a replica that was cut off doesn't depose a working leader
// when it returns. With transfer set, voters grant their vote although they
// hear the current leader.
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
	r.emit(LeadershipChanged{Role: r.role, Leader: r.leader, Term: r.term})
	// All requests wait for the disk: a vote request because it starts a new
	// term, and the first pre-vote of a new group because it makes the others
	// join a group that the founder must not forget.
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

// countVotes moves on to the next role with a quorum of votes. The candidate's
// own vote counts only when it is durable.
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
		r.becomeLeader()
	}
}

// hasCurrentLeader reports whether this replica leads or heard from a leader
// within ElectionTimeout. Votes are then refused, so that a replica with a bad
// network can't depose that leader.
func (r *Replicator) hasCurrentLeader() bool {
	return r.role == Leader || r.leader != 0 && r.now.Sub(r.leaderHeardAt) < ElectionTimeout
}

// receivePreVote answers whether this replica would grant its vote.
func (r *Replicator) receivePreVote(m *record.Message) {
	granted := m.Term > r.term && !r.hasCurrentLeader() && r.log.upToDate(m.Previous, m.Index)
	term := r.term
	if granted {
		term = m.Term
	}
	r.reply(m, &record.Message{Kind: record.Message_KIND_PREVOTE_REPLY, Term: term, Reject: !granted})
}

// receiveVote grants at most one vote per term, and only to a candidate whose
// log is at least as complete as this one.
func (r *Replicator) receiveVote(m *record.Message) {
	granted := m.Term == r.term && (r.vote == 0 || r.vote == ID(m.From)) &&
		r.log.upToDate(m.Previous, m.Index)
	if granted {
		r.vote = ID(m.From)
		r.saveVote()
		r.resetElection()
	}
	r.reply(m, &record.Message{Kind: record.Message_KIND_VOTE_REPLY, Term: r.term, Reject: !granted})
}

// receiveVoteReply counts a vote or pre-vote of the current campaign.
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

// receiveCampaign starts an election because the leader hands over its
// leadership.
func (r *Replicator) receiveCampaign(m *record.Message) {
	if r.isVoter(r.id) && m.Term == r.term && r.role == Follower {
		r.campaign(Candidate, true)
	}
}

// becomeLeader makes this replica the leader. The empty entry that it appends
// commits the entries of earlier terms.
func (r *Replicator) becomeLeader() {
	r.role, r.leader = Leader, r.id
	r.votes = nil
	r.leadingAt = r.now
	r.progress = map[ID]*progress{}
	r.newcomers = map[string]newcomer{}
	r.syncProgress()
	for _, p := range r.progress {
		p.lastReplyAt = r.now
	}
	r.nextQuorumCheckAt = r.now.Add(ElectionTimeout)
	r.round, r.reads = 0, nil
	r.transferee = 0
	r.uncommittedBytes = 0
	for _, e := range r.log.slice(r.commit+1, r.log.last()+1) {
		r.uncommittedBytes += entrySize(e)
	}
	r.emit(LeadershipChanged{Role: r.role, Leader: r.leader, Term: r.term})
	r.appendEntries([]*record.Entry{{Kind: record.Entry_KIND_NOTHING, Time: r.now.UnixNano()}})
	r.nextHeartbeatAt = r.now.Add(HeartbeatInterval)
}

// tickLeader checks the quorum, sends heartbeats and takes the next membership
// step.
func (r *Replicator) tickLeader() {
	if !r.now.Before(r.nextQuorumCheckAt) {
		if r.countActive(0) < r.quorum() {
			r.emit(Note{Text: "lost contact with a quorum; stepping down"})
			r.becomeFollower(r.term, 0)
			return
		}
		r.nextQuorumCheckAt = r.now.Add(ElectionTimeout / 4)
	}
	if r.transferee != 0 && r.now.After(r.transferDeadline) {
		r.transferee = 0
	}
	switch {
	case !r.now.Before(r.nextHeartbeatAt):
		r.heartbeat()
	case r.notifyCommit:
		r.broadcast()
	}
	r.notifyCommit = false
	r.advanceMembership()
}

// heartbeat sends an append to every member, with or without entries.
func (r *Replicator) heartbeat() {
	r.nextHeartbeatAt = r.now.Add(HeartbeatInterval)
	if r.roundNeeded() {
		r.round++
	}
	for _, m := range r.membership().Members {
		if p := r.progress[ID(m.Id)]; p != nil {
			p.resume()
			r.sendAppend(m, p, true)
		}
	}
}

// broadcast sends the commit index and the read round to every member that
// isn't receiving a snapshot.
func (r *Replicator) broadcast() {
	for _, m := range r.membership().Members {
		if p := r.progress[ID(m.Id)]; p != nil && p.transfer == nil {
			r.sendAppend(m, p, true)
		}
	}
}

// countActive returns the number of voters other than except that answered
// within ElectionTimeout, this replica included.
func (r *Replicator) countActive(except ID) int {
	count := 0
	for _, m := range r.membership().Members {
		id := ID(m.Id)
		if !m.Voter || id == except {
			continue
		}
		if id == r.id || r.now.Sub(r.progress[id].lastReplyAt) < ElectionTimeout {
			count++
		}
	}
	return count
}

// startLeadershipTransfer chooses the active voter with the most complete log
// as the next leader. No proposals are accepted until it takes over or
// ElectionTimeout passes.
func (r *Replicator) startLeadershipTransfer() {
	if r.role != Leader {
		return
	}
	var best ID
	for _, m := range r.membership().Members {
		p := r.progress[ID(m.Id)]
		if !m.Voter || p == nil || r.now.Sub(p.lastReplyAt) >= ElectionTimeout {
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
	r.transferDeadline = r.now.Add(ElectionTimeout)
	r.continueLeadershipTransfer()
}

// continueLeadershipTransfer tells the transferee to campaign once it has the
// whole log.
func (r *Replicator) continueLeadershipTransfer() {
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
