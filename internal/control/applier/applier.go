// Package applier is the state that control hosts build from the replicated
// log: configuration revisions, change IDs, the audit trail and claims.
//
// # Determinism
//
// Every replica applies the same entries in the same order and must reach the
// same state. Time is the leader's time in the entries, and never goes back.
// What depends on the version of the program (validation, the differences
// between documents) is computed by the leader before it proposes a command.
//
// # Retention
//
//   - Documents: the last keptRevisions revisions.
//   - Audit entries: the last keptAudit, or fewer when they exceed
//     keptAuditSize.
//   - Change IDs: the last keptChanges that reached the log, accepted or in
//     conflict. Invalid changes aren't remembered.
//   - Claims: done and unknown ones for claimRetention after they ended,
//     released ones for releasedRetention. A running claim ends at its
//     deadline, when it becomes unknown.
//   - Answers: up to maximumAnswer bytes each and maximumAnswers bytes in all;
//     a larger one is left out, and the claim is done without an answer.
//   - Leases: until they are released, or until room is needed after they have
//     ended, at most maximumLeases. Fencing numbers come from one counter, so
//     that they grow although ended leases are forgotten.
//   - At most maximumClaims claims of maximumClaimsSize bytes in all; a claim
//     beyond that isn't granted.
//
// # Usage
//
//	s := applier.New()
//	result := s.Apply(entry)
//	data := s.Encode()
package applier

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// keptRevisions is enough for an entry host that was away for an hour at
	// 1,600 changes a day.
	keptRevisions = 64
	// keptAudit is two months at 1,600 changes a day.
	keptAudit = 100_000
	// keptAuditSize is about 650 bytes for each of them.
	keptAuditSize = 64 << 20
	// keptChanges is six days at 1,600 changes a day.
	keptChanges = 10_000

	claimRetention    = 24 * time.Hour
	releasedRetention = 10 * time.Minute
	// keptReleased bounds the tokens remembered for one claim; each is a
	// failed attempt to start the call.
	keptReleased = 16
	// MaximumDeadline bounds the deadline of a claim.
	MaximumDeadline = time.Hour
	// defaultDeadline is used for a claim without a deadline.
	defaultDeadline = time.Minute

	maximumAnswer  = 64 << 10
	maximumAnswers = 64 << 20
	maximumClaims  = 200_000
	// maximumClaimsSize includes the answers.
	maximumClaimsSize = 128 << 20
)

// Result is the outcome of one entry for the caller who proposed it. One field
// is set.
type Result struct {
	Apply    *wire.ApplyResponse
	Claim    *wire.ClaimResponse
	Complete *wire.CompleteResponse
	Lease    *wire.LeaseResponse
	// Full is true when a claim or a lease wasn't granted because the table is
	// full.
	Full bool
}

// State is the applied state. It isn't safe for concurrent use.
type State struct {
	time     int64
	revision uint64
	// version is the operator's highest version of all accepted changes.
	version   uint64
	revisions []*wire.Revision
	audit     []*wire.AuditEntry
	auditSize int
	changes   changeTable
	claims    claimTable
	leases    leaseTable
}

// New returns the state of an empty log.
func New() *State {
	return &State{changes: newChangeTable(), claims: newClaimTable(), leases: newLeaseTable()}
}

// Apply applies a committed entry.
func (s *State) Apply(e *record.Entry) Result {
	before := s.time
	s.time = max(s.time, e.Time)
	s.leases.observeTerm(e.Term, before, s.time)
	s.claims.expire(s.time)
	if e.Kind != record.Entry_KIND_COMMAND {
		return Result{}
	}
	c := &record.Command{}
	if err := proto.Unmarshal(e.Data, c); err != nil {
		// An entry from a later version. Every replica of this version ignores
		// it in the same way.
		return Result{}
	}
	switch c := c.Change.(type) {
	case *record.Command_Apply:
		return Result{Apply: s.apply(c.Apply)}
	case *record.Command_Claim:
		return s.claims.claim(s.time, c.Claim)
	case *record.Command_Complete:
		return Result{Complete: s.claims.complete(s.time, c.Complete)}
	case *record.Command_Lease:
		return s.leases.lease(s.time, c.Lease)
	}
	return Result{}
}

// apply accepts a change when its base is the current revision.
func (s *State) apply(c *record.ApplyCommand) *wire.ApplyResponse {
	q := c.Request
	if q.Version > 0 {
		return s.raise(c)
	}
	if r := s.Resent(q); r != nil {
		return r
	}
	r := &wire.ApplyResponse{Outcome: wire.ApplyResponse_OUTCOME_CONFLICT, Current: s.revision}
	if q.Base == s.revision {
		s.accept(c)
		r = &wire.ApplyResponse{
			Outcome:  wire.ApplyResponse_OUTCOME_ACCEPTED,
			Revision: s.revision, Current: s.revision,
		}
	}
	s.changes.add(&record.ChangeRecord{Change: q.Change, Content: content(q), Response: r})
	return proto.CloneOf(r)
}

// raise accepts a change when its version is higher than all before it. The
// version decides alone, so that a resend needs no change ID.
func (s *State) raise(c *record.ApplyCommand) *wire.ApplyResponse {
	if c.Request.Version <= s.version {
		return &wire.ApplyResponse{Outcome: wire.ApplyResponse_OUTCOME_OVERTAKEN, Revision: s.revision, Current: s.revision}
	}
	s.accept(c)
	return &wire.ApplyResponse{Outcome: wire.ApplyResponse_OUTCOME_ACCEPTED, Revision: s.revision, Current: s.revision}
}

// accept makes the document the current revision.
func (s *State) accept(c *record.ApplyCommand) {
	q := c.Request
	s.revision++
	s.revisions = append(s.revisions, &wire.Revision{
		Number: s.revision, Document: q.Document, Digest: c.Digest, Accepted: s.time, Version: q.Version,
	})
	s.version = max(s.version, q.Version)
	if over := len(s.revisions) - keptRevisions; over > 0 {
		s.revisions = append([]*wire.Revision(nil), s.revisions[over:]...)
	}
	s.record(&wire.AuditEntry{
		Revision: s.revision, Base: q.Base, Change: q.Change, Operator: q.Operator,
		Note: q.Note, Accepted: s.time, Digest: c.Digest, Differences: c.Differences, Version: q.Version,
	})
}

// record adds an entry to the audit trail and drops the oldest beyond the
// bounds.
func (s *State) record(e *wire.AuditEntry) {
	s.audit = append(s.audit, e)
	s.auditSize += proto.Size(e)
	for len(s.audit) > keptAudit || s.auditSize > keptAuditSize {
		s.auditSize -= proto.Size(s.audit[0])
		s.audit = s.audit[1:]
	}
}

// Resent returns the answer when the change ID was used before, or when a change
// of the same version or a higher one is in force, and nil otherwise.
func (s *State) Resent(q *wire.ApplyRequest) *wire.ApplyResponse {
	if q.Version > 0 {
		if q.Version > s.version {
			return nil
		}
		return &wire.ApplyResponse{Outcome: wire.ApplyResponse_OUTCOME_OVERTAKEN, Revision: s.revision, Current: s.revision}
	}
	c := s.changes.get(q.Change)
	if c == nil {
		return nil
	}
	if string(c.Content) != string(content(q)) {
		return &wire.ApplyResponse{Outcome: wire.ApplyResponse_OUTCOME_REUSED, Current: s.revision}
	}
	r := proto.CloneOf(c.Response)
	r.Repeated = true
	return r
}

// Current returns the current revision, or nil when there is none.
func (s *State) Current() *wire.Revision {
	if len(s.revisions) == 0 {
		return nil
	}
	return s.revisions[len(s.revisions)-1]
}

// Revision returns a revision whose document is still kept, or nil.
func (s *State) Revision(number uint64) *wire.Revision {
	for _, r := range s.revisions {
		if r.Number == number {
			return r
		}
	}
	return nil
}

// After returns the kept revisions after the given one, oldest first.
func (s *State) After(number uint64) []*wire.Revision {
	for i, r := range s.revisions {
		if r.Number > number {
			return append([]*wire.Revision(nil), s.revisions[i:]...)
		}
	}
	return nil
}

// History returns up to limit audit entries after a revision, oldest first.
func (s *State) History(after uint64, limit int) []*wire.AuditEntry {
	first := len(s.audit)
	if n := len(s.audit); n > 0 {
		// Revisions in the trail have no gaps.
		oldest := s.audit[0].Revision
		first = int(min(max(after+1, oldest)-oldest, uint64(n)))
	}
	end := min(first+limit, len(s.audit))
	return append([]*wire.AuditEntry(nil), s.audit[first:end]...)
}

// Claims returns the number of claims in the table.
func (s *State) Claims() int { return len(s.claims.records) }

// Frozen is the state at one entry. Records are replaced and never changed, so
// it shares them with the State, and may be used by another goroutine.
type Frozen struct{ state *record.State }

// Freeze returns the present state in a time that is short against encoding.
func (s *State) Freeze() Frozen {
	return Frozen{&record.State{
		Time: s.time, Revision: s.revision,
		Revisions: s.revisions[:len(s.revisions):len(s.revisions)],
		Audit:     s.audit[:len(s.audit):len(s.audit)],
		Changes:   s.changes.list(), Claims: s.claims.list(),
		Leases: s.leases.list(), Fence: s.leases.fence, Term: s.leases.term,
	}}
}

// Encode serialises the state. Equal states give equal bytes.
func (s *State) Encode() ([]byte, error) { return s.Freeze().Encode() }

// Encode serialises the state.
func (f Frozen) Encode() ([]byte, error) {
	sortClaims(f.state.Claims)
	sortLeases(f.state.Leases)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(f.state)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return data, nil
}

// Decode restores a state that Encode wrote.
func Decode(data []byte) (*State, error) {
	p := &record.State{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	s := New()
	s.time, s.revision, s.revisions = p.Time, p.Revision, p.Revisions
	for _, r := range p.Revisions {
		s.version = max(s.version, r.Version)
	}
	for _, e := range p.Audit {
		s.record(e)
	}
	for _, c := range p.Changes {
		s.changes.add(c)
	}
	for _, c := range p.Claims {
		s.claims.put(c)
	}
	s.leases.restore(p)
	return s, nil
}
