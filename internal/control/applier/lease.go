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
	// MaximumLease limits the duration of a lease.
	MaximumLease = time.Hour
	// maximumLeases leaves ample room for one lease per cell and per weight
	// load that may run at the same time.
	maximumLeases = 4096
)

// leaseTable holds the named leases.
//
// A lease belongs to the token that it was granted to until it is released or
// its duration has passed in replicated time. Each grant other than a renewal
// gets a fencing number greater than all earlier ones. The number is at least
// the time in milliseconds, so that numbers also increase when a group has lost
// all its disks and starts anew; engines would refuse lower ones.
type leaseTable struct {
	records   map[string]*record.LeaseRecord
	lastFence uint64
	term      uint64
}

func newLeaseTable() leaseTable {
	return leaseTable{records: map[string]*record.LeaseRecord{}}
}

// observeTerm extends the running leases when the leader has changed. The new
// leader's clock may be ahead of the previous one, so that the leases would end
// earlier than their holders expect. Each lease gets the time that it had left
// at the last entry of the previous leader, which is at least the time that it
// really has left.
func (t *leaseTable) observeTerm(term uint64, before, now int64) {
	if term == t.term {
		return
	}
	t.term = term
	for name, l := range t.records {
		if l.Until <= before {
			continue
		}
		extended := proto.CloneOf(l)
		extended.Until = now + l.Until - before
		t.records[name] = extended
	}
}

// lease grants, renews or releases a lease.
func (t *leaseTable) lease(now int64, q *wire.LeaseRequest) Result {
	held := t.records[q.Name]
	if held != nil && held.Until <= now {
		held = nil
	}
	if q.Release {
		if held != nil && held.Token == q.Token {
			delete(t.records, q.Name)
			held = nil
		}
		return Result{Lease: describeLease(now, held, false)}
	}
	if held != nil && held.Token != q.Token {
		return Result{Lease: describeLease(now, held, false)}
	}
	if t.records[q.Name] == nil && !t.makeRoom(now) {
		return Result{Full: true}
	}
	duration := int64(MaximumLease)
	if q.Duration < MaximumLease.Milliseconds() {
		duration = max(q.Duration, 0) * int64(time.Millisecond)
	}
	granted := &record.LeaseRecord{
		Name: q.Name, Holder: q.Holder, Token: q.Token,
		Until: now + duration,
	}
	if held != nil {
		// A renewal that was delayed in the network must not shorten the lease.
		granted.Fence, granted.Until = held.Fence, max(held.Until, granted.Until)
	} else {
		t.lastFence = max(t.lastFence+1, uint64(max(now, 0)/int64(time.Millisecond)))
		granted.Fence = t.lastFence
	}
	t.records[q.Name] = granted
	return Result{Lease: describeLease(now, granted, true)}
}

// makeRoom forgets ended leases when the table is full, and reports whether
// there is room for one more.
func (t *leaseTable) makeRoom(now int64) bool {
	if len(t.records) < maximumLeases {
		return true
	}
	for name, l := range t.records {
		if l.Until <= now {
			delete(t.records, name)
		}
	}
	return len(t.records) < maximumLeases
}

func describeLease(now int64, l *record.LeaseRecord, granted bool) *wire.LeaseResponse {
	if l == nil {
		return &wire.LeaseResponse{}
	}
	return &wire.LeaseResponse{
		Granted: granted, Fence: l.Fence, Holder: l.Holder,
		Remaining: time.Duration(l.Until - now).Milliseconds(),
	}
}

// restore takes over the leases of a snapshot.
func (t *leaseTable) restore(s *record.State) {
	t.lastFence, t.term = s.Fence, s.Term
	for _, l := range s.Leases {
		t.records[l.Name] = l
	}
}

// list returns the records in no order.
func (t *leaseTable) list() []*record.LeaseRecord {
	l := make([]*record.LeaseRecord, 0, len(t.records))
	for _, r := range t.records {
		l = append(l, r)
	}
	return l
}

func sortLeases(l []*record.LeaseRecord) {
	slices.SortFunc(l, func(a, b *record.LeaseRecord) int { return cmp.Compare(a.Name, b.Name) })
}
