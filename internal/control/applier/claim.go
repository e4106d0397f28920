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

// claimKey is a caller's idempotency key with its scope.
type claimKey struct {
	organisation string
	service      string
	key          string
}

// claimTable holds the claims of calls that must run at most once.
//
// The token that was granted a claim owns it until it completes the claim or
// the deadline passes. After the deadline other hosts may have been told that
// the outcome is unknown, so that a later Complete isn't recorded.
type claimTable struct {
	records  map[claimKey]*record.ClaimRecord
	expiries expiryHeap
	// answerBytes is the size of all stored answers, totalBytes that of all
	// records.
	answerBytes int
	totalBytes  int
}

func newClaimTable() claimTable {
	return claimTable{records: map[claimKey]*record.ClaimRecord{}}
}

// claim grants the key to the first token, and tells other tokens the state of
// the claim.
func (t *claimTable) claim(now int64, q *wire.ClaimRequest) Result {
	k := claimKey{q.Organisation, q.Service, q.Key}
	c := t.records[k]
	if c != nil && (c.State != record.ClaimRecord_STATE_RELEASED || slices.Contains(c.Released, q.Token)) {
		return Result{Claim: answerClaim(c, q)}
	}
	if c == nil && (len(t.records) >= maximumClaims || t.totalBytes >= maximumClaimsBytes) {
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

// answerClaim returns the answer for an existing claim. When the owner repeats
// its request, the claim is granted again, because the first answer may have
// been lost. A request whose token released the claim was delayed in the
// network; granting it again would run the call after its owner has given up.
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

// complete records the result reported by the owner. A repeated report gets the
// same answer as the first.
func (t *claimTable) complete(now int64, q *wire.CompleteRequest) *wire.CompleteResponse {
	c := t.records[claimKey{q.Organisation, q.Service, q.Key}]
	state := stateAfter(q.Result)
	if c != nil && slices.Contains(c.Released, q.Token) {
		return &wire.CompleteResponse{Recorded: state == record.ClaimRecord_STATE_RELEASED}
	}
	if c == nil || c.Token != q.Token {
		return &wire.CompleteResponse{}
	}
	if c.State != record.ClaimRecord_STATE_RUNNING {
		// The state may be unknown because the deadline passed, so a report of
		// an unknown result isn't taken for a repeated one.
		repeated := c.State == state && state != record.ClaimRecord_STATE_UNKNOWN
		return &wire.CompleteResponse{Recorded: repeated}
	}
	updated := proto.CloneOf(c)
	updated.State = state
	updated.Expires = now + int64(claimRetention)
	switch state {
	case record.ClaimRecord_STATE_DONE:
		size := answerSize(q.Answer)
		if size <= maximumAnswerBytes && t.answerBytes+size <= maximumAllAnswersBytes {
			updated.Answer = q.Answer
		}
	case record.ClaimRecord_STATE_RELEASED:
		updated.Expires = now + int64(releasedRetention)
		updated.Released = append(updated.Released, q.Token)
		if over := len(updated.Released) - maximumReleasedTokens; over > 0 {
			updated.Released = updated.Released[over:]
		}
	}
	t.put(updated)
	return &wire.CompleteResponse{Recorded: true}
}

// stateAfter returns the state of a claim after the reported result. A result
// that this version doesn't know leads to unknown, because the call may have
// run.
func stateAfter(r wire.CompleteRequest_Result) record.ClaimRecord_State {
	switch r {
	case wire.CompleteRequest_RESULT_DONE:
		return record.ClaimRecord_STATE_DONE
	case wire.CompleteRequest_RESULT_NOT_RUN:
		return record.ClaimRecord_STATE_RELEASED
	}
	return record.ClaimRecord_STATE_UNKNOWN
}

// expire ends running claims whose deadline has passed, and forgets ended
// claims after their retention.
func (t *claimTable) expire(now int64) {
	for len(t.expiries) > 0 && t.expiries[0].at <= now {
		d := heap.Pop(&t.expiries).(expiry)
		c := t.records[d.key]
		if c == nil || c.Expires != d.at {
			continue
		}
		if c.State != record.ClaimRecord_STATE_RUNNING {
			t.forget(d.key)
			continue
		}
		expired := proto.CloneOf(c)
		expired.State = record.ClaimRecord_STATE_UNKNOWN
		expired.Expires = c.Deadline + int64(claimRetention)
		t.put(expired)
	}
}

// put stores a record, replacing an older one with the same key, and schedules
// its expiry.
func (t *claimTable) put(c *record.ClaimRecord) {
	k := claimKey{c.Organisation, c.Service, c.Key}
	t.forget(k)
	t.answerBytes += answerSize(c.Answer)
	t.totalBytes += proto.Size(c)
	t.records[k] = c
	heap.Push(&t.expiries, expiry{at: c.Expires, key: k})
}

func (t *claimTable) forget(k claimKey) {
	if c := t.records[k]; c != nil {
		t.answerBytes -= answerSize(c.Answer)
		t.totalBytes -= proto.Size(c)
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

// expiry is a time, in Unix nanoseconds, at which a claim may expire. It is
// ignored when the record was replaced since.
type expiry struct {
	at  int64
	key claimKey
}

// expiryHeap is a min-heap by time. Expiries at the same time are independent
// of each other, so that their order doesn't matter.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }

// Pop removes and returns the last element.
func (h *expiryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// CanStoreAnswer reports whether an answer is small enough to be stored.
func CanStoreAnswer(a *wire.Answer) bool { return answerSize(a) <= maximumAnswerBytes }
