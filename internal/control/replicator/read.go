package replicator

import "slices"

// pendingRead waits until a quorum has confirmed in its round, or a later one,
// that this replica is still the leader, and until the entry at index is
// applied.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// read starts a read. A read that arrives while a round is in progress waits
// for the next round, because followers may have answered the current one
// before the read.
func (r *Replicator) read(token uint64) {
	if !r.ready() {
		r.emit(ReadFailed{Token: token})
		return
	}
	idle := len(r.reads) == 0
	r.reads = append(r.reads, pendingRead{token: token, index: r.commit, round: r.round + 1})
	if idle {
		r.round++
		r.broadcast()
	}
	r.finishReads()
}

// roundNeeded reports whether a read waits for a round that hasn't started.
func (r *Replicator) roundNeeded() bool {
	return len(r.reads) > 0 && r.reads[len(r.reads)-1].round > r.round
}

// finishReads answers the reads whose round a quorum has acknowledged, and
// starts the next round when reads wait for it.
func (r *Replicator) finishReads() {
	if len(r.reads) == 0 || r.role != Leader {
		return
	}
	confirmed := r.confirmedRound()
	done := 0
	for done < len(r.reads) && r.reads[done].round <= confirmed {
		if r.reads[done].index > r.applied {
			break
		}
		r.emit(ReadReady{Token: r.reads[done].token, Index: r.reads[done].index})
		done++
	}
	r.reads = r.reads[done:]
	if confirmed >= r.round && r.roundNeeded() {
		r.round++
		r.broadcast()
		if r.quorum() == 1 && r.isVoter(r.id) {
			r.finishReads()
		}
	}
}

// confirmedRound returns the latest round that a quorum has acknowledged, this
// replica included if it has a vote.
func (r *Replicator) confirmedRound() uint64 {
	var rounds []uint64
	for _, m := range r.membership().Members {
		switch {
		case !m.Voter:
		case ID(m.Id) == r.id:
			rounds = append(rounds, r.round)
		default:
			rounds = append(rounds, r.progress[ID(m.Id)].round)
		}
	}
	if len(rounds) == 0 {
		return 0
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-r.quorum()]
}

// acknowledgeRound records the latest round that a member has acknowledged.
func (r *Replicator) acknowledgeRound(p *progress, round uint64) {
	if round > p.round {
		p.round = round
		r.finishReads()
	}
}

// failReads fails all reads of a leader that steps down.
func (r *Replicator) failReads() {
	for _, p := range r.reads {
		r.emit(ReadFailed{Token: p.token})
	}
	r.reads = nil
}
