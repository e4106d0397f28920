package replicator

import "slices"

// pendingRead waits for a quorum to confirm that this is still the leader.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// read starts a read. Reads that arrive while a round is on its way wait for
// the next one, because followers may have answered this one already.
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

// waitingReads reports whether a read waits for a round that wasn't started.
func (r *Replicator) waitingReads() bool {
	return len(r.reads) > 0 && r.reads[len(r.reads)-1].round > r.round
}

// finishReads answers the reads whose round a quorum has acknowledged.
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
	if confirmed >= r.round && r.waitingReads() {
		r.round++
		r.broadcast()
		if r.quorum() == 1 && r.isVoter(r.id) {
			r.finishReads()
		}
	}
}

// confirmedRound returns the last round that a quorum has acknowledged.
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

// acknowledgeRound notes the round that a member has answered.
func (r *Replicator) acknowledgeRound(p *progress, round uint64) {
	if round > p.round {
		p.round = round
		r.finishReads()
	}
}

// failReads answers all reads of a leader that steps down.
func (r *Replicator) failReads() {
	for _, p := range r.reads {
		r.emit(ReadFailed{Token: p.token})
	}
	r.reads = nil
}
