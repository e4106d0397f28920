package applier

import (
	"bytes"
	"cmp"
	"container/heap"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// claimKey scopes a caller's idempotency key.
type claimKey struct {
	organisation string
	service      string
	key          string
}

// claimTable holds the claims of calls that must run at most once.
//
// The token that was granted a claim owns it until it completes the claim or
// the deadline passes. From then on other hosts may have been told that the
// outcome is unknown, so a later Complete isn't recorded.
type claimTable struct {
	records map[claimKey]*record.ClaimRecord
	due     dueHeap
	// answers is the size of all stored answers, size that of all records.
	answers int
	size    int
}

func newClaimTable() claimTable {
	return claimTable{records: map[claimKey]*record.ClaimRecord{}}
}

// claim grants the key to the first token and tells the others the state.
func (t *claimTable) claim(now int64, q *wire.ClaimRequest) Result {
	k := claimKey{q.Organisation, q.Service, q.Key}
	c := t.records[k]
	if c != nil && (c.State != record.ClaimRecord_STATE_RELEASED || slices.Contains(c.Released, q.Token)) {
		return Result{Claim: answerClaim(c, q)}
	}
	if c == nil && (len(t.records) >= maximumClaims || t.size >= maximumClaimsSize) {
		return Result{Full: true}
	}
	deadline := time.Duration(q.Deadline) * time.Millisecond
	if q.Deadline <= 0 {
		deadline = defaultDeadline
	}
	if q.Deadline > MaximumDeadline.Milliseconds() {
		deadline = MaximumDeadline
	}
	t.put(&record.ClaimRecord{
		Organisation: q.Organisation, Service: q.Service, Key: q.Key, Digest: q.Digest,
		Token: q.Token, Host: q.Host, State: record.ClaimRecord_STATE_RUNNING,
		Deadline: now + int64(deadline), Expires: now + int64(deadline),
		Released: c.GetReleased(),
	})
	return Result{Claim: &wire.ClaimResponse{State: wire.ClaimResponse_STATE_GRANTED}}
}

// answerClaim describes an existing claim. A request repeated by the owner is
// granted again: its first answer may be lost. A request of a token that
// released the claim was delayed in the network, and must not be granted after
// its owner has given up.
func answerClaim(c *record.ClaimRecord, q *wire.ClaimRequest) *wire.ClaimResponse {
	r := &wire.ClaimResponse{}
	switch {
	case slices.Contains(c.Released, q.Token):
		r.State = wire.ClaimResponse_STATE_UNKNOWN
	case !bytes.Equal(c.Digest, q.Digest):
		r.State = wire.ClaimResponse_STATE_MISMATCH
	case c.State == record.ClaimRecord_STATE_RUNNING && c.Token == q.Token:
		r.State = wire.ClaimResponse_STATE_GRANTED
	case c.State == record.ClaimRecord_STATE_RUNNING:
		r.State = wire.ClaimResponse_STATE_RUNNING
	case c.State == record.ClaimRecord_STATE_DONE:
		r.State = wire.ClaimResponse_STATE_DONE
		r.Answer = c.Answer
	default:
		r.State = wire.ClaimResponse_STATE_UNKNOWN
	}
	return r
}

// complete records the result reported by the owner. A repeated report gets
// the first answer.
func (t *claimTable) complete(now int64, q *wire.CompleteRequest) *wire.CompleteResponse {
	c := t.records[claimKey{q.Organisation, q.Service, q.Key}]
	state := completed(q.Result)
	if c != nil && slices.Contains(c.Released, q.Token) {
		return &wire.CompleteResponse{Recorded: state == record.ClaimRecord_STATE_RELEASED}
	}
	if c == nil || c.Token != q.Token {
		return &wire.CompleteResponse{}
	}
	if c.State != record.ClaimRecord_STATE_RUNNING {
		// The state unknown may come from the deadline.
		repeated := c.State == state && state != record.ClaimRecord_STATE_UNKNOWN
		return &wire.CompleteResponse{Recorded: repeated}
	}
	n := proto.CloneOf(c)
	n.State = state
	n.Expires = now + int64(claimRetention)
	switch state {
	case record.ClaimRecord_STATE_DONE:
		size := answerSize(q.Answer)
		if size <= maximumAnswer && t.answers+size <= maximumAnswers {
			n.Answer = q.Answer
		}
	case record.ClaimRecord_STATE_RELEASED:
		n.Expires = now + int64(releasedRetention)
		n.Released = append(n.Released, q.Token)
		if over := len(n.Released) - keptReleased; over > 0 {
			n.Released = n.Released[over:]
		}
	}
	t.put(n)
	return &wire.CompleteResponse{Recorded: true}
}

// completed returns the state that a result leads to. A result that this
// version doesn't know may have run.
func completed(r wire.CompleteRequest_Result) record.ClaimRecord_State {
	switch r {
	case wire.CompleteRequest_RESULT_DONE:
		return record.ClaimRecord_STATE_DONE
	case wire.CompleteRequest_RESULT_NOT_RUN:
		return record.ClaimRecord_STATE_RELEASED
	}
	return record.ClaimRecord_STATE_UNKNOWN
}

// expire ends running claims whose deadline has passed, and forgets claims at
// the end of their retention.
func (t *claimTable) expire(now int64) {
	for len(t.due) > 0 && t.due[0].at <= now {
		d := heap.Pop(&t.due).(due)
		c := t.records[d.key]
		if c == nil || c.Expires != d.at {
			continue
		}
		if c.State != record.ClaimRecord_STATE_RUNNING {
			t.forget(d.key)
			continue
		}
		n := proto.CloneOf(c)
		n.State = record.ClaimRecord_STATE_UNKNOWN
		n.Expires = c.Deadline + int64(claimRetention)
		t.put(n)
	}
}

// put stores a record and plans its expiry.
func (t *claimTable) put(c *record.ClaimRecord) {
	k := claimKey{c.Organisation, c.Service, c.Key}
	t.forget(k)
	t.answers += answerSize(c.Answer)
	t.size += proto.Size(c)
	t.records[k] = c
	heap.Push(&t.due, due{at: c.Expires, key: k})
}

func (t *claimTable) forget(k claimKey) {
	if c := t.records[k]; c != nil {
		t.answers -= answerSize(c.Answer)
		t.size -= proto.Size(c)
		delete(t.records, k)
	}
}

// list returns the records in no order.
func (t *claimTable) list() []*record.ClaimRecord {
	l := make([]*record.ClaimRecord, 0, len(t.records))
	for _, c := range t.records {
		l = append(l, c)
	}
	return l
}

func sortClaims(l []*record.ClaimRecord) {
	slices.SortFunc(l, func(a, b *record.ClaimRecord) int {
		return cmp.Or(
			cmp.Compare(a.Organisation, b.Organisation),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Key, b.Key),
		)
	})
}

func answerSize(a *wire.Answer) int {
	if a == nil {
		return 0
	}
	return proto.Size(a)
}

// due is a time at which a claim may expire.
type due struct {
	at  int64
	key claimKey
}

// dueHeap orders by time. Entries of the same time are independent of each
// other, so that their order doesn't matter.
type dueHeap []due

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)        { *h = append(*h, x.(due)) }

// Pop removes the last element.
func (h *dueHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// Stores reports whether an answer is small enough to be stored.
func Stores(a *wire.Answer) bool { return answerSize(a) <= maximumAnswer }
