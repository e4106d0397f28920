package applier

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// MaximumValueBytes bounds one named value. The counts of 430 organisations take
	// about 10 KB.
	MaximumValueBytes = 64 << 10
	// maximumValues and maximumAllValuesBytes bound the table.
	maximumValues         = 1024
	maximumAllValuesBytes = 4 << 20
)

// valueTable holds the named values that holders of leases keep.
//
// A value is replaced only by a writer with a fencing number that is no lower than that of
// the writer before, so that a former holder can't overwrite what its successor has
// written. A value that is written once never changes while it is kept: all holders act on
// the same one.
type valueTable struct {
	records map[string]*record.ValueRecord
	bytes   int
}

func newValueTable() valueTable {
	return valueTable{records: map[string]*record.ValueRecord{}}
}

// keep writes or reads a value.
func (t *valueTable) keep(now int64, q *wire.KeepRequest) Result {
	t.expire(now)
	held := t.records[q.Name]
	switch {
	case q.Read:
		return Result{Keep: describeValue(held, false)}
	case held != nil && (held.Once || q.Fence < held.Fence):
		return Result{Keep: describeValue(held, string(held.Value) == string(q.Value) && q.Fence >= held.Fence)}
	case !t.hasRoom(held, q):
		return Result{Full: true}
	}
	written := &record.ValueRecord{Name: q.Name, Value: q.Value, Fence: q.Fence, Once: q.Once}
	if q.Retention > 0 {
		written.Expires = now + min(q.Retention, MaximumLease.Milliseconds())*int64(time.Millisecond)
	}
	t.bytes += len(q.Value) - len(held.GetValue())
	t.records[q.Name] = written
	return Result{Keep: describeValue(written, true)}
}

// hasRoom reports whether the value of the request may replace the one that is held.
func (t *valueTable) hasRoom(held *record.ValueRecord, q *wire.KeepRequest) bool {
	count := len(t.records)
	if held == nil {
		count++
	}
	return len(q.Value) <= MaximumValueBytes && count <= maximumValues &&
		t.bytes+len(q.Value)-len(held.GetValue()) <= maximumAllValuesBytes
}

// expire forgets the values whose retention has ended.
func (t *valueTable) expire(now int64) {
	for name, v := range t.records {
		if v.Expires > 0 && v.Expires <= now {
			t.bytes -= len(v.Value)
			delete(t.records, name)
		}
	}
}

func describeValue(v *record.ValueRecord, kept bool) *wire.KeepResponse {
	return &wire.KeepResponse{Value: v.GetValue(), Fence: v.GetFence(), Kept: kept}
}

// restore takes over the values of a snapshot.
func (t *valueTable) restore(s *record.State) {
	for _, v := range s.Values {
		t.records[v.Name] = proto.CloneOf(v)
		t.bytes += len(v.Value)
	}
}

// list returns the records by name.
func (t *valueTable) list() []*record.ValueRecord {
	l := make([]*record.ValueRecord, 0, len(t.records))
	for _, v := range t.records {
		l = append(l, v)
	}
	slices.SortFunc(l, func(a, b *record.ValueRecord) int { return cmp.Compare(a.Name, b.Name) })
	return l
}
