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
	// MaximumLease bounds the duration of a lease.
	MaximumLease = time.Hour
	// maximumLeases is ample for one lease for each cell and for each weight
	// load that may run at once.
	maximumLeases = 4096
)

// leaseTable holds the named leases.
//
// A lease belongs to the token that it was granted to until it is released or
// has ended in replicated time. Each grant that isn't a renewal gets a fencing
// number above all earlier ones. The numbers are at least the time in
// milliseconds, so that they also grow when a group has lost all its disks and
// starts anew: engines would refuse its lower numbers.
type leaseTable struct {
	records map[string]*record.LeaseRecord
	fence   uint64
	term    uint64
}

func newLeaseTable() leaseTable {
	return leaseTable{records: map[string]*record.LeaseRecord{}}
}

// observeTerm moves the ends of the running leases when another leader has
// taken over. Its clock may be ahead of the clock of the leader before, so that
// they would end earlier than their holders expect. What was left at the last
// entry of that leader is left again; no more can be left in fact.
func (t *leaseTable) observeTerm(term uint64, before, now int64) {
	if term == t.term {
		return
	}
	t.term = term
	for name, l := range t.records {
		if l.Until <= before {
			continue
		}
		n := proto.CloneOf(l)
		n.Until = now + l.Until - before
		t.records[name] = n
	}
}

// lease grants, renews or releases a lease.
func (t *leaseTable) lease(now int64, q *wire.LeaseRequest) Result {
	l := t.records[q.Name]
	if l != nil && l.Until <= now {
		l = nil
	}
	if q.Release {
		if l != nil && l.Token == q.Token {
			delete(t.records, q.Name)
			l = nil
		}
		return Result{Lease: describeLease(now, l, false)}
	}
	if l != nil && l.Token != q.Token {
		return Result{Lease: describeLease(now, l, false)}
	}
	if t.records[q.Name] == nil && !t.makeRoom(now) {
		return Result{Full: true}
	}
	duration := int64(MaximumLease)
	if q.Duration < MaximumLease.Milliseconds() {
		duration = max(q.Duration, 0) * int64(time.Millisecond)
	}
	n := &record.LeaseRecord{
		Name: q.Name, Holder: q.Holder, Token: q.Token,
		Until: now + duration,
	}
	if l != nil {
		// A request that was delayed in the network must not shorten the lease.
		n.Fence, n.Until = l.Fence, max(l.Until, n.Until)
	} else {
		t.fence = max(t.fence+1, uint64(max(now, 0)/int64(time.Millisecond)))
		n.Fence = t.fence
	}
	t.records[q.Name] = n
	return Result{Lease: describeLease(now, n, true)}
}

// makeRoom forgets ended leases when the table is full.
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

// restore takes the leases of a snapshot.
func (t *leaseTable) restore(s *record.State) {
	t.fence, t.term = s.Fence, s.Term
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
