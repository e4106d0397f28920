package coordinator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/control/applier"
	"github.com/amaranthcart/amaranthcart/internal/control/replicator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

const (
	// maximumDocumentBytes limits a configuration document.
	maximumDocumentBytes = 4 << 20
	// maximumFieldBytes limits each of the other fields of a request.
	maximumFieldBytes = 1 << 10
	// maximumHistoryEntries limits the entries in an answer to History;
	// defaultHistoryEntries applies when the request names no limit.
	maximumHistoryEntries = 1000
	defaultHistoryEntries = 100
)

// service implements the Control service on a coordinator.
type service struct{ c *Coordinator }

var _ wireconnect.ControlHandler = service{}

// Handler returns the path and the handler of the Control service.
func (c *Coordinator) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	options = append(options, connect.WithReadMaxBytes(maximumRequestBytes))
	route, handler := wireconnect.NewControlHandler(service{c}, options...)
	return route, c.limitSizes(handler)
}

// Apply submits a configuration.
func (s service) Apply(ctx context.Context, q *connect.Request[wire.ApplyRequest]) (*connect.Response[wire.ApplyResponse], error) {
	m := q.Msg
	if m.Change == "" && m.Version == 0 || len(m.Document) == 0 {
		return nil, invalidArgument("a change needs an ID and a document")
	}
	if len(m.Document) > maximumDocumentBytes {
		return nil, invalidArgument(fmt.Sprintf("the document has %d bytes; at most %d are allowed", len(m.Document), maximumDocumentBytes))
	}
	if err := checkLengths(m.Change, m.Operator, m.Note); err != nil {
		return nil, err
	}
	return answerAtLeader(ctx, s.c, q, func(ctx context.Context) (*wire.ApplyResponse, error) {
		return s.c.apply(ctx, m)
	}, wireconnect.ControlClient.Apply)
}

// apply validates and proposes a change on the leader. A resent change gets its
// earlier answer.
func (c *Coordinator) apply(ctx context.Context, q *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	if !c.hasAllVoters() {
		return nil, connect.NewError(connect.CodeUnavailable, errTooFewVoters)
	}
	var resent *wire.ApplyResponse
	var before []byte
	current := false
	c.core.inspect(func(s *applier.State) {
		resent = s.PreviousResponse(q)
		if r := s.Current(); r != nil {
			current = r.Number == q.Base || q.Version > 0
			before = r.Document
			return
		}
		current = q.Base == 0
	})
	if resent != nil {
		return resent, nil
	}
	command, problems, err := c.check(ctx, q, before, current)
	if err != nil {
		return nil, err
	}
	if len(problems) > 0 {
		return &wire.ApplyResponse{Outcome: wire.ApplyResponse_OUTCOME_INVALID, Problems: problems}, nil
	}
	r, err := c.submit(ctx, &record.Command{Change: &record.Command_Apply{Apply: command}})
	if err != nil {
		return nil, err
	}
	return r.Apply, nil
}

// check returns the command for a valid change, or the problems of its document. One
// document at a time is checked, because that takes a multiple of its size in memory.
func (c *Coordinator) check(ctx context.Context, q *wire.ApplyRequest, before []byte, current bool) (*record.ApplyCommand, []string, error) {
	if err := c.sizes.checks.Acquire(ctx, 1); err != nil {
		return nil, nil, err
	}
	defer c.sizes.checks.Release(1)
	if problems := c.settings.Check(q.Document); len(problems) > 0 {
		return nil, problems, nil
	}
	sum := sha256.Sum256(q.Document)
	command := &record.ApplyCommand{Request: q, Digest: hex.EncodeToString(sum[:])}
	switch {
	case !current:
	case len(before)+len(q.Document) > maximumComparedBytes:
		command.Differences = []string{fmt.Sprintf("$: replaced %d bytes by %d", len(before), len(q.Document))}
	default:
		command.Differences = validator.Differences(before, q.Document)
	}
	return command, nil, nil
}

// hasAllVoters reports whether the group has as many voters as the settings
// require. One may be missing while a lost voter is being replaced.
func (c *Coordinator) hasAllVoters() bool {
	v := c.core.view()
	missing := c.settings.Voters - v.voters
	return missing <= 0 || missing == 1 && len(v.replica.Membership.Retired) > 0
}

// Submit applies a configuration like the Apply call of the Control service.
func (c *Coordinator) Submit(ctx context.Context, q *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	a, err := service{c}.Apply(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, err
	}
	return a.Msg, nil
}

// Latest returns the current revision after a quorum has confirmed that it is
// current. The error has the code NotFound when there is no revision.
func (c *Coordinator) Latest(ctx context.Context) (*wire.Revision, error) {
	v, err := service{c}.Confirm(ctx, connect.NewRequest(&wire.ConfirmRequest{}))
	if err != nil {
		return nil, err
	}
	// This host mostly has the document, which needn't be sent and held once more.
	if r := c.revision(v.Msg.Revision); r != nil && r.Number == v.Msg.Revision {
		return r, nil
	}
	a, err := service{c}.Get(ctx, connect.NewRequest(&wire.GetRequest{}))
	if err != nil {
		return nil, err
	}
	return a.Msg.Revision, nil
}

// Get returns a revision. One that this host has is returned without asking the
// leader, because accepted revisions never change; 0 asks the leader for the
// current one.
func (s service) Get(ctx context.Context, q *connect.Request[wire.GetRequest]) (*connect.Response[wire.GetResponse], error) {
	if q.Msg.Revision != 0 {
		if r := s.c.revision(q.Msg.Revision); r != nil {
			return connect.NewResponse(&wire.GetResponse{Revision: r}), nil
		}
	}
	return answerAtLeader(ctx, s.c, q, func(ctx context.Context) (*wire.GetResponse, error) {
		if err := s.c.confirm(ctx); err != nil {
			return nil, err
		}
		r := s.c.revision(q.Msg.Revision)
		if r == nil {
			return nil, connect.NewError(connect.CodeNotFound, errors.New("there is no such revision, or its document is no longer kept"))
		}
		return &wire.GetResponse{Revision: r}, nil
	}, wireconnect.ControlClient.Get)
}

// revision returns an applied revision, or nil when it isn't kept; 0 stands for
// the current one.
func (c *Coordinator) revision(number uint64) *wire.Revision {
	var r *wire.Revision
	c.core.inspect(func(s *applier.State) {
		if number == 0 {
			r = s.Current()
			return
		}
		r = s.Revision(number)
	})
	return r
}

// History returns the audit trail.
func (s service) History(ctx context.Context, q *connect.Request[wire.HistoryRequest]) (*connect.Response[wire.HistoryResponse], error) {
	limit := int(q.Msg.Limit)
	if limit == 0 {
		limit = defaultHistoryEntries
	}
	limit = min(limit, maximumHistoryEntries)
	return answerAtLeader(ctx, s.c, q, func(ctx context.Context) (*wire.HistoryResponse, error) {
		if err := s.c.confirm(ctx); err != nil {
			return nil, err
		}
		r := &wire.HistoryResponse{}
		s.c.core.inspect(func(a *applier.State) { r.Entries = a.History(q.Msg.After, limit) })
		return r, nil
	}, wireconnect.ControlClient.History)
}

// Status describes this replica. It isn't forwarded to the leader.
func (s service) Status(context.Context, *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	v := s.c.core.view()
	status := v.replica
	r := &wire.StatusResponse{
		Id: uint64(status.ID), Term: status.Term, Leader: uint64(status.Leader), Role: roleName(status),
		Committed: status.Commit, Applied: status.Applied,
		Followers: s.c.entryHosts.list(s.c.clock.Now()),
	}
	r.LogBytes, r.SnapshotBytes = uint64(status.LogBytes), uint64(status.SnapshotBytes)
	s.c.core.inspect(func(a *applier.State) {
		r.Revision = currentRevision(a)
		sizes := a.Sizes()
		r.DocumentBytes, r.AuditBytes, r.Documents = uint64(sizes.Documents), uint64(sizes.Audit), uint64(sizes.Revisions)
	})
	for _, m := range status.Membership.Members {
		matched := status.Matched[replicator.ID(m.Id)]
		if replicator.ID(m.Id) == status.ID {
			matched = status.Last
		}
		r.Replicas = append(r.Replicas, &wire.Replica{
			Id: m.Id, Address: m.Address, Centre: m.Centre, Voter: m.Voter, Matched: matched,
		})
	}
	return connect.NewResponse(r), nil
}

// roleName returns the role of a replica; a replica without a group is "blank",
// one without a vote a "learner".
func roleName(s replicator.Status) string {
	switch {
	case s.Group == 0:
		return "blank"
	case !s.Voter:
		return "learner"
	}
	return s.Role.String()
}

// Confirm returns the current revision after a quorum has confirmed it, and
// records the revisions that entry hosts report.
func (s service) Confirm(ctx context.Context, q *connect.Request[wire.ConfirmRequest]) (*connect.Response[wire.ConfirmResponse], error) {
	if err := checkLengths(q.Msg.Host, q.Msg.Centre); err != nil {
		return nil, err
	}
	now := s.c.clock.Now()
	s.c.entryHosts.record(now, q.Msg.Host, q.Msg.Centre, q.Msg.Revision)
	for _, o := range q.Msg.Others {
		if err := checkLengths(o.Host, o.Centre); err != nil {
			return nil, err
		}
		s.c.entryHosts.record(now, o.Host, o.Centre, o.Revision)
	}
	return answerAtLeader(ctx, s.c, q, func(ctx context.Context) (*wire.ConfirmResponse, error) {
		if err := s.c.confirm(ctx); err != nil {
			return nil, err
		}
		r := &wire.ConfirmResponse{}
		if v := s.c.revision(0); v != nil {
			r.Revision, r.Digest = v.Number, v.Digest
		}
		return r, nil
	}, wireconnect.ControlClient.Confirm)
}

// Claim records that a call is about to run, so that no other host runs it.
func (s service) Claim(ctx context.Context, q *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	m := q.Msg
	if m.Key == "" || m.Token == "" {
		return nil, invalidArgument("a claim needs a key and a token")
	}
	if err := checkLengths(m.Organisation, m.Service, m.Key, m.Token, m.Host, string(m.Digest)); err != nil {
		return nil, err
	}
	return answerAtLeader(ctx, s.c, q, func(ctx context.Context) (*wire.ClaimResponse, error) {
		r, err := s.c.submit(ctx, &record.Command{Change: &record.Command_Claim{Claim: m}})
		if err != nil {
			return nil, err
		}
		if r.Full {
			return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("the claim table is full"))
		}
		return r.Claim, nil
	}, wireconnect.ControlClient.Claim)
}

// Complete records the result of a claimed call.
func (s service) Complete(ctx context.Context, q *connect.Request[wire.CompleteRequest]) (*connect.Response[wire.CompleteResponse], error) {
	m := q.Msg
	if err := checkLengths(m.Organisation, m.Service, m.Key, m.Token); err != nil {
		return nil, err
	}
	if !applier.CanStoreAnswer(m.Answer) {
		// Record the result without the answer, which is too large to store.
		// The caller still owns the message, so the answer is removed in a copy.
		m = proto.CloneOf(m)
		m.Answer = nil
	}
	return answerAtLeader(ctx, s.c, q, func(ctx context.Context) (*wire.CompleteResponse, error) {
		r, err := s.c.submit(ctx, &record.Command{Change: &record.Command_Complete{Complete: m}})
		if err != nil {
			return nil, err
		}
		return r.Complete, nil
	}, wireconnect.ControlClient.Complete)
}

// Exchange receives messages of the replicated log from another control host.
func (s service) Exchange(ctx context.Context, q *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	for _, data := range q.Msg.Messages {
		m := &record.Message{}
		if err := proto.Unmarshal(data, m); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		// With TLS a host may only send messages under its own name.
		if name := authenticator.ClientName(ctx, authenticator.Control); name != "" && m.Name != "" && m.Name != name {
			return nil, connect.NewError(connect.CodePermissionDenied, fmt.Errorf("the certificate is that of control host %s, the message that of %s", name, m.Name))
		}
		s.c.receive(m, len(data))
	}
	return connect.NewResponse(&wire.ExchangeResponse{}), nil
}

// checkLengths returns a connect.CodeInvalidArgument error if a field is too long.
func checkLengths(fields ...string) error {
	for _, f := range fields {
		if len(f) > maximumFieldBytes {
			return invalidArgument(fmt.Sprintf("a field has %d bytes; at most %d are allowed", len(f), maximumFieldBytes))
		}
	}
	return nil
}

func invalidArgument(text string) error {
	return connect.NewError(connect.CodeInvalidArgument, errors.New(text))
}
