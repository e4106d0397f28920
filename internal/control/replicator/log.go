package replicator

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

// entryLog is the part of the log that is in memory. The entries follow base
// without a gap, and the snapshot covers at least the entries up to base.
type entryLog struct {
	// base is the index before the first entry in memory, baseTerm its term.
	base     uint64
	baseTerm uint64
	entries  []*record.Entry
	snapshot *record.Snapshot
	// encoded is the encoded snapshot once a part of it has been sent.
	encoded []byte
	// durable is the last index known to be on disk.
	durable uint64
	// size is the sum of entrySize of the entries.
	size int
}

// setSnapshot replaces the snapshot.
func (l *entryLog) setSnapshot(s *record.Snapshot) { l.snapshot, l.encoded = s, nil }

// encodeSnapshot returns the encoded snapshot. It encodes it once, for all
// followers, and makes the snapshot share its data with the result, so that
// sending it takes no further memory. Save actions may hold the old snapshot.
func (l *entryLog) encodeSnapshot() []byte {
	if l.encoded == nil {
		l.encoded = encode(l.snapshot)
		// The data is the last field of the message, unless there are unknown ones.
		tail := l.encoded[len(l.encoded)-len(l.snapshot.Data):]
		if bytes.Equal(tail, l.snapshot.Data) {
			l.snapshot = &record.Snapshot{
				Index: l.snapshot.Index, Term: l.snapshot.Term,
				Membership: l.snapshot.Membership, Data: tail,
			}
		}
	}
	return l.encoded
}

// reset empties the log and makes it continue after the index.
func (l *entryLog) reset(index, term uint64) {
	l.base, l.baseTerm = index, term
	l.entries = nil
	l.durable = index
	l.size = 0
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 { return l.term(l.last()) }

// term returns the term of the entry at index, or 0 when the log doesn't know
// it.
func (l *entryLog) term(index uint64) uint64 {
	switch {
	case index == l.base:
		return l.baseTerm
	case index < l.base || index > l.last():
		return 0
	}
	return l.entries[index-l.base-1].Term
}

// knowsTerm reports whether the log knows the term of the entry at index.
func (l *entryLog) knowsTerm(index uint64) bool { return index >= l.base && index <= l.last() }

// slice returns the entries from first up to but not including end. All of them
// must be in memory.
func (l *entryLog) slice(first, end uint64) []*record.Entry {
	return l.entries[first-l.base-1 : end-l.base-1 : end-l.base-1]
}

// batch returns the entries from first on that fit into limit bytes, but at
// least one when there is any.
func (l *entryLog) batch(first uint64, limit int) []*record.Entry {
	size := 0
	end := first
	for end <= l.last() {
		size += entrySize(l.entries[end-l.base-1])
		if size > limit && end > first {
			break
		}
		end++
	}
	return l.slice(first, end)
}

// append adds entries at the end.
func (l *entryLog) append(entries []*record.Entry) {
	for _, e := range entries {
		l.size += entrySize(e)
	}
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	for _, e := range l.entries[index-l.base-1:] {
		l.size -= entrySize(e)
	}
	kept := l.entries[: index-l.base-1 : index-l.base-1]
	l.entries = append([]*record.Entry(nil), kept...)
	l.durable = min(l.durable, index-1)
}

// trim drops the entries up to index.
func (l *entryLog) trim(index uint64) {
	if index <= l.base {
		return
	}
	l.baseTerm = l.term(index)
	for _, e := range l.entries[:index-l.base] {
		l.size -= entrySize(e)
	}
	l.entries = append([]*record.Entry(nil), l.entries[index-l.base:]...)
	l.base = index
}

// trimIndex returns the index up to which entries may be dropped from memory
// when a snapshot at index exists. It leaves up to keep entries, or fewer when
// these reach maximumKeptBytes.
func (l *entryLog) trimIndex(index uint64, keep int) uint64 {
	size, count := 0, 0
	for index > l.base && count < keep && size < maximumKeptBytes {
		size += entrySize(l.entries[index-l.base-1])
		count++
		index--
	}
	return index
}

// upToDate reports whether a log that ends with the given term and index is at
// least as up to date as this one.
func (l *entryLog) upToDate(term, index uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

func (l *entryLog) bytes() int { return l.size }

// entrySize approximates the encoded size of an entry in bytes.
func entrySize(e *record.Entry) int { return len(e.Data) + 24 }

// entriesSize returns the sum of entrySize of the entries.
func entriesSize(entries []*record.Entry) int {
	size := 0
	for _, e := range entries {
		size += entrySize(e)
	}
	return size
}

// decodeMembership decodes the data of a membership entry. Only this package
// writes them, so it panics on an error: memory or disk is damaged.
func decodeMembership(e *record.Entry) *record.Membership {
	m := &record.Membership{}
	if err := proto.Unmarshal(e.Data, m); err != nil {
		panic(fmt.Sprintf("replicator: membership entry %d: %v", e.Index, err))
	}
	return m
}

// encode serialises a message of this package. It panics on an error.
func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("replicator: encode: %v", err))
	}
	return data
}
