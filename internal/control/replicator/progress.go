package replicator

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

// progress is what the leader knows about the log of another member.
type progress struct {
	// match is the index of the last entry known to be durable at the member.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing limits sending to one append at a time until the position at
	// which the logs match is known. paused is set after that append until a
	// reply or a heartbeat.
	probing bool
	paused  bool
	// inflight holds the unacknowledged appends.
	inflight    []inflightAppend
	lastReplyAt time.Time
	// round is the last read round that the member acknowledged.
	round uint64
	// transfer is the snapshot being sent to the member, if any.
	transfer *snapshotTransfer
}

// inflightAppend is the last index and the size of the entries of an
// unacknowledged append.
type inflightAppend struct {
	last uint64
	size int
}

// hasRoom reports whether another append may be sent to the member.
func (p *progress) hasRoom() bool {
	size := 0
	for _, a := range p.inflight {
		size += a.size
	}
	return len(p.inflight) < maximumInflight && size < maximumInflightBytes
}

// snapshotTransfer is a snapshot being sent to a member.
type snapshotTransfer struct {
	snapshot *record.Snapshot
	data     []byte
	offset   uint64
}

// resume allows another probe, because the last one may have been lost.
func (p *progress) resume() { p.paused = false }

// acknowledge records that the entries up to index are durable at the member,
// and reports whether match advanced.
func (p *progress) acknowledge(index uint64) bool {
	p.probing, p.paused = false, false
	p.next = max(p.next, index+1)
	done := 0
	for done < len(p.inflight) && p.inflight[done].last <= index {
		done++
	}
	p.inflight = p.inflight[done:]
	if index <= p.match {
		return false
	}
	p.match = index
	return true
}

// backtrack moves next back after the member rejected an append at index. hint
// is the last index at which the logs can match.
func (p *progress) backtrack(index, hint uint64) {
	if index <= p.match || p.probing && index != p.next-1 {
		return
	}
	p.next = max(min(hint, index-1), p.match) + 1
	p.probing, p.paused = true, false
	p.inflight = nil
}

// syncProgress keeps exactly one progress for each other member.
func (r *Replicator) syncProgress() {
	seen := map[ID]bool{}
	for _, m := range r.membership().Members {
		id := ID(m.Id)
		if id == r.id {
			continue
		}
		seen[id] = true
		if r.progress[id] == nil {
			r.progress[id] = &progress{next: r.log.last() + 1, probing: true}
		}
	}
	for id := range r.progress {
		if !seen[id] {
			delete(r.progress, id)
		}
	}
}

// appendEntries assigns index and term to new entries, appends them to the log
// and sends them.
func (r *Replicator) appendEntries(entries []*record.Entry) {
	index := r.log.last()
	for _, e := range entries {
		index++
		e.Index, e.Term = index, r.term
		r.uncommittedBytes += entrySize(e)
	}
	r.log.append(entries)
	r.addMemberships(entries)
	r.saveEntries(entries)
	r.replicate()
}

// replicate sends new entries to the members that can take them.
func (r *Replicator) replicate() {
	for _, m := range r.membership().Members {
		if p := r.progress[ID(m.Id)]; p != nil {
			r.sendMissing(m, p)
		}
	}
}

// sendMissing sends the entries that a member lacks, up to maximumInflight
// unacknowledged appends.
func (r *Replicator) sendMissing(m *record.Member, p *progress) {
	for p.next <= r.log.last() && !p.paused && p.hasRoom() && p.transfer == nil {
		r.sendAppend(m, p, false)
	}
}

// sendAppend sends one append, or a part of the snapshot when the member is too
// far behind. An append without entries is sent only when empty is set.
func (r *Replicator) sendAppend(m *record.Member, p *progress, empty bool) {
	if p.transfer != nil && p.transfer.offset < uint64(len(p.transfer.data)) {
		if empty {
			r.sendChunk(m, p)
		}
		return
	}
	if !r.log.knowsTerm(p.next - 1) {
		r.startSnapshot(m, p)
		return
	}
	var entries []*record.Entry
	if !p.paused && p.hasRoom() {
		entries = r.log.batch(p.next, maximumAppendBytes)
	}
	if len(entries) == 0 && !empty {
		return
	}
	previous := p.next - 1
	if len(entries) > 0 {
		last := entries[len(entries)-1].Index
		if p.probing {
			p.paused = true
		} else {
			p.next = last + 1
			p.inflight = append(p.inflight, inflightAppend{last: last, size: entriesSize(entries)})
		}
	}
	r.send(m, &record.Message{
		Kind: record.Message_KIND_APPEND, Term: r.term,
		Index: previous, Previous: r.log.term(previous),
		Entries: entries, Commit: r.commit, Round: r.round,
	}, false)
}

// startSnapshot starts to send the snapshot to a member that is too far behind.
func (r *Replicator) startSnapshot(m *record.Member, p *progress) {
	data := r.log.encodeSnapshot()
	p.transfer = &snapshotTransfer{snapshot: r.log.snapshot, data: data}
	p.inflight = nil
	r.sendChunk(m, p)
}

// dropOutdatedTransfers ends the transfers of snapshots after which the log has
// a gap, so that the next heartbeat starts with the latest one. Such a member
// would need that one in any case, and its memory holds one snapshot less.
func (r *Replicator) dropOutdatedTransfers() {
	for _, p := range r.progress {
		if p.transfer != nil && p.transfer.snapshot.Index < r.log.base {
			p.transfer = nil
		}
	}
}

// sendChunk sends the part of the snapshot at the current offset.
func (r *Replicator) sendChunk(m *record.Member, p *progress) {
	t := p.transfer
	end := min(t.offset+uint64(r.options.ChunkBytes), uint64(len(t.data)))
	r.send(m, &record.Message{
		Kind: record.Message_KIND_SNAPSHOT, Term: r.term, Index: t.snapshot.Index,
		Previous: t.snapshot.Term, Chunk: t.data[t.offset:end],
		Offset: t.offset, Size: uint64(len(t.data)), Round: r.round,
	}, false)
}

// receiveSnapshotReply sends the next part of the snapshot.
func (r *Replicator) receiveSnapshotReply(m *record.Message) {
	p := r.progress[ID(m.From)]
	if r.role != Leader || p == nil {
		return
	}
	p.lastReplyAt = r.now
	r.acknowledgeRound(p, m.Round)
	t := p.transfer
	if t == nil || t.snapshot.Index != m.Index || m.Offset > uint64(len(t.data)) {
		return
	}
	if m.Offset == t.offset && m.Offset != 0 {
		// A duplicate reply. If the part was lost, the next heartbeat resends it.
		return
	}
	t.offset = m.Offset
	if member := r.member(ID(m.From)); member != nil && t.offset < uint64(len(t.data)) {
		r.sendChunk(member, p)
	}
}

// receiveAppendReply updates a member's progress and sends what it still lacks.
func (r *Replicator) receiveAppendReply(m *record.Message) {
	p := r.progress[ID(m.From)]
	if r.role != Leader || p == nil {
		return
	}
	p.lastReplyAt = r.now
	if m.Reject {
		p.backtrack(m.Index, m.Hint)
	} else {
		if t := p.transfer; t != nil && m.Index >= t.snapshot.Index {
			p.transfer = nil
			p.next = m.Index + 1
		}
		if p.acknowledge(m.Index) {
			r.advanceCommit()
		}
	}
	r.acknowledgeRound(p, m.Round)
	if r.role != Leader {
		return
	}
	if member := r.member(ID(m.From)); member != nil {
		r.sendMissing(member, p)
	}
	if r.transferee == ID(m.From) {
		r.continueLeadershipTransfer()
	}
}

// advanceCommit commits the entries that are durable on a quorum. Only entries
// of the leader's own term are committed by counting replicas: an entry of an
// earlier term that is on a quorum can still be replaced by a leader that never
// received it.
func (r *Replicator) advanceCommit() {
	var matches []uint64
	for _, m := range r.membership().Members {
		switch {
		case !m.Voter:
		case ID(m.Id) == r.id:
			matches = append(matches, r.log.durable)
		default:
			matches = append(matches, r.progress[ID(m.Id)].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.quorum()]
	if index <= r.commit {
		return
	}
	if r.log.term(index) != r.term {
		return
	}
	r.commit = index
	r.notifyCommit = true
}

// propose appends commands on the leader. It emits Refused on other replicas,
// during a leadership transfer and while too many bytes are uncommitted. The
// first command of a step is taken in whatever its size.
func (r *Replicator) propose(e Propose) {
	if !r.ready() || r.transferee != 0 || r.uncommittedBytes >= maximumUncommittedBytes {
		r.emit(Refused{})
		return
	}
	entries := make([]*record.Entry, 0, len(e.Commands))
	for _, c := range e.Commands {
		entries = append(entries, &record.Entry{
			Kind: record.Entry_KIND_COMMAND, Data: c, Time: e.Time,
		})
	}
	r.emit(Appended{First: r.log.last() + 1, Term: r.term})
	r.appendEntries(entries)
}

// ready reports whether this is a leader that knows all committed entries,
// which is the case once an entry of its own term is committed.
func (r *Replicator) ready() bool {
	return r.role == Leader && r.log.term(r.commit) == r.term
}

// decodeSnapshot decodes a snapshot whose parts have all arrived.
func decodeSnapshot(data []byte) (*record.Snapshot, error) {
	s := &record.Snapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return nil, err
	}
	return s, nil
}
