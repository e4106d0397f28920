package applier

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

func command(t testing.TB, index uint64, at time.Duration, c *record.Command) *record.Entry {
	data, err := proto.Marshal(c)
	assert.NilError(t, err)
	return &record.Entry{Index: index, Term: 1, Kind: record.Entry_KIND_COMMAND, Data: data, Time: int64(at)}
}

func change(id string, base uint64, document string) *record.Command {
	return &record.Command{Change: &record.Command_Apply{Apply: &record.ApplyCommand{
		Request: &wire.ApplyRequest{Change: id, Base: base, Document: []byte(document), Operator: "ana"},
		Digest:  "digest of " + document,
	}}}
}

func claim(token, digest string, deadline time.Duration) *record.Command {
	return &record.Command{Change: &record.Command_Claim{Claim: &wire.ClaimRequest{
		Key: "k", Token: token, Digest: []byte(digest), Deadline: deadline.Milliseconds(),
	}}}
}

func finish(token string, r wire.CompleteRequest_Result, body string) *record.Command {
	return &record.Command{Change: &record.Command_Complete{Complete: &wire.CompleteRequest{
		Key: "k", Token: token, Result: r, Answer: &wire.Answer{Status: 200, Body: []byte(body)},
	}}}
}

// reload encodes and decodes the state, and checks that encoding it again gives
// the same bytes.
func reload(t testing.TB, s *State) *State {
	data, err := s.Encode()
	assert.NilError(t, err)
	n, err := Decode(data)
	assert.NilError(t, err)
	again, err := n.Encode()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, again))
	return n
}

// TestChanges guards against a lost update, and against a resent change that is
// applied twice or answered differently, also after a snapshot.
func TestChanges(t *testing.T) {
	s := New()
	for i, c := range []struct {
		id       string
		base     uint64
		document string
		outcome  wire.ApplyResponse_Outcome
		revision uint64
		current  uint64
		repeated bool
	}{
		{"a", 0, "1", wire.ApplyResponse_OUTCOME_ACCEPTED, 1, 1, false},
		{"b", 1, "2", wire.ApplyResponse_OUTCOME_ACCEPTED, 2, 2, false},
		{"c", 1, "3", wire.ApplyResponse_OUTCOME_CONFLICT, 0, 2, false},
		{"a", 0, "1", wire.ApplyResponse_OUTCOME_ACCEPTED, 1, 1, true},
		{"d", 2, "4", wire.ApplyResponse_OUTCOME_ACCEPTED, 3, 3, false},
		{"c", 1, "3", wire.ApplyResponse_OUTCOME_CONFLICT, 0, 2, true},
		{"a", 0, "other", wire.ApplyResponse_OUTCOME_REUSED, 0, 3, false},
		{"a", 3, "1", wire.ApplyResponse_OUTCOME_REUSED, 0, 3, false},
		{"e", 4, "5", wire.ApplyResponse_OUTCOME_CONFLICT, 0, 3, false},
	} {
		r := s.Apply(command(t, uint64(i+1), time.Second, change(c.id, c.base, c.document))).Apply
		want := &wire.ApplyResponse{Outcome: c.outcome, Revision: c.revision, Current: c.current, Repeated: c.repeated}
		assert.Assert(t, proto.Equal(r, want), "step %d: %v, want %v", i, r, want)
		s = reload(t, s)
	}
	assert.Equal(t, len(s.History(0, 10)), 3)
	assert.Equal(t, s.History(1, 1)[0].Change, "b")
}

// TestClaims guards against a call that may run twice, and against a result
// that is recorded after others were told that it is unknown.
func TestClaims(t *testing.T) {
	const (
		granted  = wire.ClaimResponse_STATE_GRANTED
		running  = wire.ClaimResponse_STATE_RUNNING
		done     = wire.ClaimResponse_STATE_DONE
		unknown  = wire.ClaimResponse_STATE_UNKNOWN
		mismatch = wire.ClaimResponse_STATE_MISMATCH
		ok       = wire.CompleteRequest_RESULT_DONE
		doubtful = wire.CompleteRequest_RESULT_UNKNOWN
		notRun   = wire.CompleteRequest_RESULT_NOT_RUN
		day      = 24 * time.Hour
	)
	type step struct {
		at      time.Duration
		command *record.Command
		// want is a claim state, the body of an answer, or whether a result was
		// recorded.
		want any
	}
	big := strings.Repeat("x", maximumAnswerBytes+1)
	for name, steps := range map[string][]step{
		"done": {
			{0, claim("a", "d", time.Second), granted}, {0, claim("a", "d", time.Second), granted},
			{0, claim("b", "d", time.Second), running}, {0, claim("b", "x", time.Second), mismatch},
			{0, finish("b", ok, "no"), false}, {0, finish("a", ok, "yes"), true}, {0, finish("a", ok, "yes"), true},
			{0, finish("a", notRun, ""), false}, {2 * time.Second, claim("b", "d", time.Second), "yes"},
			{day - 1, claim("a", "d", time.Second), "yes"}, {day, claim("b", "d", time.Second), granted},
		},
		"deadline": {
			{0, claim("a", "d", time.Second), granted}, {time.Second - 1, claim("b", "d", time.Second), running},
			{time.Second, claim("b", "d", time.Second), unknown}, {time.Second, finish("a", ok, "late"), false},
			{0, claim("a", "d", time.Second), unknown}, {day, claim("b", "x", time.Second), mismatch},
			{day + time.Second, claim("b", "d", time.Second), granted},
		},
		"late result before anyone asked": {
			{0, claim("a", "d", time.Second), granted}, {time.Second, finish("a", notRun, ""), false},
			{time.Second, claim("b", "d", time.Second), unknown},
		},
		"unknown": {
			{0, claim("a", "d", time.Second), granted}, {0, finish("a", doubtful, ""), true},
			{0, claim("b", "d", time.Second), unknown}, {0, finish("a", ok, ""), false},
		},
		"released": {
			{0, claim("a", "d", time.Second), granted}, {0, finish("a", notRun, ""), true},
			{0, finish("a", notRun, ""), true}, {0, claim("a", "d", time.Second), unknown},
			{0, claim("b", "e", time.Second), granted}, {0, claim("a", "d", time.Second), unknown},
			{0, finish("a", notRun, ""), true}, {0, finish("a", ok, ""), false},
			{0, finish("b", ok, "yes"), true}, {0, claim("c", "e", time.Second), "yes"},
		},
		"large answer": {
			{0, claim("a", "d", time.Second), granted}, {0, finish("a", ok, big), true},
			{0, claim("b", "d", time.Second), done},
		},
		"deadline of a claim without one": {
			{0, claim("a", "d", 0), granted}, {defaultDeadline - 1, claim("b", "d", 0), running},
			{defaultDeadline, claim("b", "d", 0), unknown},
		},
		"deadline too far off": {
			{0, claim("a", "d", 1000*day), granted}, {MaximumDeadline, claim("b", "d", 0), unknown},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := New()
			for i, x := range steps {
				r := s.Apply(command(t, uint64(i+1), x.at, x.command))
				switch want := x.want.(type) {
				case string:
					assert.Equal(t, r.Claim.State, done, "step %d", i)
					assert.Equal(t, string(r.Claim.Answer.Body), want, "step %d", i)
				case wire.ClaimResponse_State:
					assert.Equal(t, r.Claim.State, want, "step %d", i)
				case bool:
					assert.Equal(t, r.Complete.Recorded, want, "step %d", i)
				}
				s = reload(t, s)
			}
		})
	}
}

// TestFullTable guards against a claim that displaces another one, whose call
// could then run twice.
func TestFullTable(t *testing.T) {
	s := New()
	s.Apply(command(t, 1, 0, claim("a", "d", time.Minute)))
	other := claim("b", "d", time.Minute)
	other.GetClaim().Key = "another"
	s.claims.totalBytes += maximumClaimsBytes
	assert.Assert(t, s.Apply(command(t, 2, 0, other)).Full)
	s.claims.totalBytes -= maximumClaimsBytes
	for i := range maximumClaims - 1 {
		s.claims.records[claimKey{key: fmt.Sprint(i)}] = &record.ClaimRecord{}
	}
	assert.Assert(t, s.Apply(command(t, 2, 0, other)).Full)
	assert.Equal(t, s.Apply(command(t, 3, 0, claim("b", "d", time.Minute))).Claim.State, wire.ClaimResponse_STATE_RUNNING)
}

// TestBounds guards against tables that grow without limit, and against an
// audit trail that is dropped together with the documents.
func TestBounds(t *testing.T) {
	s := New()
	const n = maximumChanges + 50
	for i := range uint64(n) {
		s.Apply(command(t, i+1, time.Second, change(fmt.Sprint("c", i), i, "{}")))
	}
	size := s.auditBytes
	s = reload(t, s)
	assert.Equal(t, s.auditBytes, size)
	assert.Equal(t, len(s.changes.records), maximumChanges)
	assert.Equal(t, len(s.revisions), maximumRevisions)
	assert.Assert(t, s.Revision(1) == nil)
	assert.Equal(t, s.History(0, 1)[0].Change, "c0")
	assert.Equal(t, len(s.After(n-3)), 3)
	s.auditBytes += maximumAuditBytes - size
	s.Apply(command(t, n+1, time.Second, change("last", n, "{}")))
	assert.Assert(t, s.audit[0].Revision > 1)
	assert.Equal(t, s.History(0, 1)[0].Revision, s.audit[0].Revision)
}

// TestSnapshotEqualsReplay guards against state that a snapshot leaves out: a
// replica restored from snapshots must end in the same state as one that
// replayed all entries.
func TestSnapshotEqualsReplay(t *testing.T) {
	const seed = 42
	r := rand.New(rand.NewPCG(seed, seed))
	whole, restored := New(), New()
	at := time.Duration(0)
	for i := range uint64(3000) {
		at += time.Duration(r.Int64N(int64(time.Minute)))
		token := fmt.Sprint("t", r.IntN(50))
		var c *record.Command
		switch r.IntN(5) {
		case 0:
			c = change(fmt.Sprint("c", r.IntN(500)), uint64(r.IntN(40)), fmt.Sprint(r.IntN(3)))
		case 1:
			c = finish(token, wire.CompleteRequest_Result(1+r.IntN(3)), "body")
			c.GetComplete().Key = fmt.Sprint("k", r.IntN(20))
		case 2:
			q := lease(fmt.Sprint("n", r.IntN(20)), token, time.Duration(r.Int64N(int64(time.Hour))))
			q.Release = r.IntN(5) == 0
			c = &record.Command{Change: &record.Command_Lease{Lease: q}}
		default:
			c = claim(token, "d", time.Duration(r.Int64N(int64(time.Hour))))
			c.GetClaim().Key = fmt.Sprint("k", r.IntN(20))
		}
		e := command(t, i+1, at, c)
		e.Term = 1 + i/100
		x, y := whole.Apply(e), restored.Apply(e)
		assert.Assert(t, proto.Equal(x.Apply, y.Apply) && proto.Equal(x.Claim, y.Claim) && proto.Equal(x.Complete, y.Complete) && proto.Equal(x.Lease, y.Lease), "seed %d entry %d", seed, i)
		if r.IntN(20) == 0 {
			restored = reload(t, restored)
		}
	}
	assert.Equal(t, whole.claims.totalBytes, restored.claims.totalBytes)
	assert.Equal(t, whole.claims.answerBytes, restored.claims.answerBytes)
	a, err := whole.Encode()
	assert.NilError(t, err)
	b, err := restored.Encode()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(a, b), "seed %d", seed)
}

// TestRestoreKeepsTheHighestVersion guards against replicas that diverge: one that was
// restored from a snapshot accepted a version that the others had overtaken, once the
// revision with the highest version was no longer among those that are kept.
func TestRestoreKeepsTheHighestVersion(t *testing.T) {
	s, index := New(), uint64(0)
	apply := func(s *State, c *record.Command) *wire.ApplyResponse {
		return s.Apply(command(t, index, time.Duration(index)*time.Second, c)).Apply
	}
	versioned := func(id string, version uint64) *record.Command {
		c := change(id, 0, id)
		c.GetApply().Request.Version = version
		return c
	}
	index++
	assert.Equal(t, apply(s, versioned("first", 9)).Outcome, wire.ApplyResponse_OUTCOME_ACCEPTED)
	for i := range maximumRevisions {
		index++
		assert.Equal(t, apply(s, change(fmt.Sprint("c", i), uint64(i)+1, fmt.Sprint(i))).Outcome, wire.ApplyResponse_OUTCOME_ACCEPTED)
	}
	restored := reload(t, s)
	index++
	assert.Equal(t, apply(s, versioned("late", 5)).Outcome, wire.ApplyResponse_OUTCOME_OVERTAKEN)
	assert.Equal(t, apply(restored, versioned("late", 5)).Outcome, wire.ApplyResponse_OUTCOME_OVERTAKEN)
}
