// Package applier is the state that control hosts build from the replicated
// log: configuration revisions, change IDs, the audit trail, claims and leases.
//
// # Determinism
//
// Every replica applies the same entries in the same order and must reach the
// same state. Time is the leader's time in the entries, and never goes back.
// Results that depend on the version of the program (validation, the differences
// between documents) are computed by the leader before it proposes a command.
//
// # Retention
//
//   - Documents: the last maximumRevisions revisions, or fewer when they exceed
//     maximumRevisionBytes; always the current one.
//   - Audit entries: the last maximumAuditEntries, or fewer when they exceed
//     maximumAuditBytes. An entry lists the first maximumDifferenceBytes of the
//     differences.
//   - Change IDs: the last maximumChanges that reached the log, accepted or in
//     conflict. Invalid changes aren't remembered.
//   - Claims: done and unknown ones for claimRetention after they ended,
//     released ones for releasedRetention. A running claim ends at its
//     deadline, when its state becomes unknown.
//   - Answers: up to maximumAnswerBytes each and maximumAllAnswersBytes in
//     total; a larger one is left out, and the claim is done without an answer.
//   - Leases: until they are released or, after they have ended, until the room
//     is needed; at most maximumLeases. Fencing numbers come from one counter, so
//     that they increase although ended leases are forgotten.
//   - Values: for the time that their writer asked for; at most maximumValues with
//     maximumAllValuesBytes in total.
//   - At most maximumClaims claims with maximumClaimsBytes in total; a claim
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
	// maximumRevisions is enough for an entry host that was away for an hour at
	// 1,600 changes a day.
	maximumRevisions = 64
	// maximumRevisionBytes bounds the documents that are kept. It leaves room for the
	// largest document and parts of the one before; documents of 73 KB are bounded by
	// maximumRevisions alone. Every snapshot and every host that has lost its disk
	// needs this much again.
	maximumRevisionBytes = 6 << 20
	// maximumAuditEntries covers two months at 1,600 changes a day.
	maximumAuditEntries = 100_000
	// maximumAuditBytes holds 6,400 entries of 650 bytes, four days at 1,600 changes a
	// day. The trail is a part of every snapshot.
	maximumAuditBytes = 4 << 20
	// maximumDifferenceBytes bounds the differences in one audit entry, so that changes
	// of large documents don't displace the trail of days.
	maximumDifferenceBytes = 32 << 10
	// maximumChanges covers six days at 1,600 changes a day.
	maximumChanges = 10_000

	claimRetention    = 24 * time.Hour
	releasedRetention = 10 * time.Minute
	// maximumReleasedTokens limits the tokens remembered for one claim; each is
	// a failed attempt to start the call.
	maximumReleasedTokens = 16
	// MaximumDeadline limits the deadline of a claim, counted from the time at
	// which it is granted.
	MaximumDeadline = time.Hour
	// defaultDeadline applies to a claim without a deadline.
	defaultDeadline = time.Minute

	maximumAnswerBytes     = 64 << 10
	maximumAllAnswersBytes = 64 << 20
	maximumClaims          = 200_000
	// maximumClaimsBytes includes the answers.
	maximumClaimsBytes = 128 << 20
)

// MaximumStateBytes bounds the encoded state without claims: documents, audit trail and
// values, and 2 MiB for change IDs and leases.
const MaximumStateBytes = maximumRevisionBytes + maximumAuditBytes + maximumAllValuesBytes + 2<<20

// Result is the outcome of one entry for the caller who proposed it. At most
// one field is set.
type Result struct {
	Apply    *wire.ApplyResponse
	Claim    *wire.ClaimResponse
	Complete *wire.CompleteResponse
	Lease    *wire.LeaseResponse
	Keep     *wire.KeepResponse
	// Full is true when a claim or a lease wasn't granted, or a value not kept, because
	// its table is full.
	Full bool
}

// State is the applied state. It isn't safe for concurrent use.
type State struct {
	// time is the latest time of an applied entry, in Unix nanoseconds.
	time     int64
	revision uint64
	// version is the highest version that an operator gave to an accepted
	// change.
	version   uint64
	revisions []*wire.Revision
	// documentBytes is the size of the documents of revisions.
	documentBytes int
	audit         []*wire.AuditEntry
	auditBytes    int
	changes       changeTable
	claims        claimTable
	leases        leaseTable
	values        valueTable
}

// New returns the state of an empty log.
func New() *State {
	return &State{changes: newChangeTable(), claims: newClaimTable(), leases: newLeaseTable(), values: newValueTable()}
}

// Time returns the latest time of an applied entry, in Unix nanoseconds.
func (s *State) Time() int64 { return s.time }

// Apply applies a committed entry. Entries that this version of the program
// doesn't know change nothing but the time, and return an empty Result.
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
	case *record.Command_Keep:
		return s.values.keep(s.time, c.Keep)
	}
	return Result{}
}

// apply accepts a change when its base is the current revision. A change with a
// version goes to applyVersioned instead.
func (s *State) apply(c *record.ApplyCommand) *wire.ApplyResponse {
	q := c.Request
	if q.Version > 0 {
		return s.applyVersioned(c)
	}
	if r := s.PreviousResponse(q); r != nil {
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
	s.changes.add(&record.ChangeRecord{Change: q.Change, Content: contentDigest(q), Response: r})
	return proto.CloneOf(r)
}

// applyVersioned accepts a change when its version is higher than all earlier
// ones. The version alone decides, so that a resent change needs no change ID.
func (s *State) applyVersioned(c *record.ApplyCommand) *wire.ApplyResponse {
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
	s.keepRevision(&wire.Revision{
		Number: s.revision, Document: q.Document, Digest: c.Digest, Accepted: s.time, Version: q.Version,
	})
	s.version = max(s.version, q.Version)
	s.recordAudit(&wire.AuditEntry{
		Revision: s.revision, Base: q.Base, Change: q.Change, Operator: q.Operator,
		Note: q.Note, Accepted: s.time, Digest: c.Digest, Differences: shortenDifferences(c.Differences), Version: q.Version,
	})
}

// keepRevision adds a revision and drops the oldest ones beyond the limits.
func (s *State) keepRevision(r *wire.Revision) {
	s.revisions = append(s.revisions, r)
	s.documentBytes += len(r.Document)
	over := 0
	for len(s.revisions)-over > maximumRevisions || len(s.revisions)-over > 1 && s.documentBytes > maximumRevisionBytes {
		s.documentBytes -= len(s.revisions[over].Document)
		over++
	}
	if over > 0 {
		// A new list, because a Frozen may share this one.
		s.revisions = append([]*wire.Revision(nil), s.revisions[over:]...)
	}
}

// shortenDifferences returns the first lines that take maximumDifferenceBytes together,
// and a last one that tells how many were left out.
func shortenDifferences(lines []string) []string {
	size := 0
	for i, l := range lines {
		size += len(l)
		if size > maximumDifferenceBytes {
			kept := append([]string(nil), lines[:i]...)
			return append(kept, fmt.Sprintf("%d further lines", len(lines)-i))
		}
	}
	return lines
}

// recordAudit adds an entry to the audit trail and drops the oldest ones beyond
// the limits.
func (s *State) recordAudit(e *wire.AuditEntry) {
	s.audit = append(s.audit, e)
	s.auditBytes += proto.Size(e)
	for len(s.audit) > maximumAuditEntries || s.auditBytes > maximumAuditBytes {
		s.auditBytes -= proto.Size(s.audit[0])
		s.audit = s.audit[1:]
	}
}

// PreviousResponse returns the answer to a change whose ID was used before, or
// to a change whose version isn't higher than that of an accepted one. It
// returns nil for a new change.
func (s *State) PreviousResponse(q *wire.ApplyRequest) *wire.ApplyResponse {
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
	if string(c.Content) != string(contentDigest(q)) {
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

// After returns the kept revisions that follow the given one, oldest first.
func (s *State) After(number uint64) []*wire.Revision {
	for i, r := range s.revisions {
		if r.Number > number {
			return append([]*wire.Revision(nil), s.revisions[i:]...)
		}
	}
	return nil
}

// History returns up to limit kept audit entries that follow a revision, oldest
// first.
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

// Sizes are the bytes that the parts of the state take.
type Sizes struct {
	Documents, Audit, Values, Claims int
	// Revisions is the number of documents.
	Revisions int
}

// Sizes returns the sizes of the parts of the state.
func (s *State) Sizes() Sizes {
	return Sizes{
		Documents: s.documentBytes, Audit: s.auditBytes, Values: s.values.bytes, Claims: s.claims.totalBytes,
		Revisions: len(s.revisions),
	}
}

// Claims returns the number of claims in the table.
func (s *State) Claims() int { return len(s.claims.records) }

// Frozen is the state after one entry. It shares its records with the State,
// which replaces records and never changes them, so that another goroutine may
// use it.
type Frozen struct{ state *record.State }

// Freeze returns the current state. It takes a short time compared with
// encoding.
func (s *State) Freeze() Frozen {
	return Frozen{&record.State{
		Time: s.time, Revision: s.revision,
		Revisions: s.revisions[:len(s.revisions):len(s.revisions)],
		Audit:     s.audit[:len(s.audit):len(s.audit)],
		Changes:   s.changes.list(), Claims: s.claims.list(),
		Leases: s.leases.list(), Values: s.values.list(), Fence: s.leases.lastFence, Term: s.leases.term,
		Version: s.version,
	}}
}

// Encode serialises the state. Equal states give equal bytes.
func (s *State) Encode() ([]byte, error) { return s.Freeze().Encode() }

// Encode serialises the state. Equal states give equal bytes.
func (f Frozen) Encode() ([]byte, error) {
	sortClaims(f.state.Claims)
	sortLeases(f.state.Leases)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(f.state)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return data, nil
}

// Decode restores a state from the result of Encode.
func Decode(data []byte) (*State, error) {
	p := &record.State{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	s := New()
	s.time, s.revision, s.version = p.Time, p.Revision, p.Version
	for _, r := range p.Revisions {
		s.keepRevision(r)
		// States of earlier versions of the program don't tell the highest version.
		s.version = max(s.version, r.Version)
	}
	for _, e := range p.Audit {
		s.recordAudit(e)
	}
	for _, c := range p.Changes {
		s.changes.add(c)
	}
	for _, c := range p.Claims {
		s.claims.put(c)
	}
	s.leases.restore(p)
	s.values.restore(p)
	return s, nil
}
