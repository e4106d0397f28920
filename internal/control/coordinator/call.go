package coordinator

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/control/applier"
	"github.com/amaranthcart/amaranthcart/internal/control/replicator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// forwardedHeader marks a call that another control host has forwarded. It
// isn't forwarded again, so that calls can't loop.
const forwardedHeader = "Amaranth-Forwarded"

// attemptTimeout limits one attempt of a call, so that a leader that is cut off
// doesn't use up the time for the next attempt.
const attemptTimeout = 1500 * time.Millisecond

// answerAtLeader runs local if this host is the leader, and otherwise forwards
// the call to the leader with remote. It retries while the leader changes, for
// up to callTimeout. A forwarded call is attempted only once.
func answerAtLeader[Q, R any](
	ctx context.Context, c *Coordinator, q *connect.Request[Q],
	local func(context.Context) (*R, error),
	remote func(wireconnect.ControlClient, context.Context, *connect.Request[Q]) (*connect.Response[R], error),
) (*connect.Response[R], error) {
	if !c.handlers.enter() {
		return nil, connect.NewError(connect.CodeUnavailable, errStopped)
	}
	defer c.handlers.leave()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	forwarded := q.Header().Get(forwardedHeader) != ""
	for {
		r, err := attempt(ctx, c, q, forwarded, local, remote)
		if err == nil || !retriable(err) {
			return r, err
		}
		if forwarded {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		select {
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeUnavailable, err)
		case <-c.stopped:
			return nil, connect.NewError(connect.CodeUnavailable, errStopped)
		case <-time.After(retryInterval):
		}
	}
}

// attempt answers the call here or at the leader. On a host that isn't the
// leader it returns errNotLeader when no leader is known or the call was
// forwarded already.
func attempt[Q, R any](
	ctx context.Context, c *Coordinator, q *connect.Request[Q], forwarded bool,
	local func(context.Context) (*R, error),
	remote func(wireconnect.ControlClient, context.Context, *connect.Request[Q]) (*connect.Response[R], error),
) (*connect.Response[R], error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	v := c.core.view()
	if v.role == replicator.Leader {
		r, err := local(ctx)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(r), nil
	}
	if forwarded || v.leader == nil {
		return nil, errNotLeader
	}
	address := c.transport.address(v.leader.Name, v.leader.Address)
	client := c.transport.client(address)
	forward := connect.NewRequest(q.Msg)
	forward.Header().Set(forwardedHeader, c.settings.Name)
	// The leader checks the operator's key itself.
	if key := q.Header().Get("Authorization"); key != "" {
		forward.Header().Set("Authorization", key)
	}
	r, err := remote(client.control, ctx, forward)
	if err != nil && retriable(err) && ctx.Err() != nil {
		c.transport.renew(address)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(r.Msg), nil
}

// retriable reports whether another attempt may succeed. All calls are safe to
// repeat.
func retriable(err error) bool {
	switch {
	case errors.Is(err, errNotLeader), errors.Is(err, errOutcomeUnknown),
		errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return true
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return true
	}
	return false
}

// submit proposes a command and waits until it is applied.
func (c *Coordinator) submit(ctx context.Context, command *record.Command) (applier.Result, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return applier.Result{}, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answers := make(chan outcome, 1)
	if err := c.queue.propose(proposal{command: data, reply: func(o outcome) { answers <- o }}); err != nil {
		return applier.Result{}, queueError(err)
	}
	select {
	case o := <-answers:
		return o.result, o.err
	case <-ctx.Done():
		return applier.Result{}, ctx.Err()
	case <-c.stopped:
		return applier.Result{}, queueError(errStopped)
	}
}

// confirm waits until a quorum has confirmed that the applied state is current.
func (c *Coordinator) confirm(ctx context.Context) error {
	answers := make(chan error, 1)
	if err := c.queue.read(func(err error) { answers <- err }); err != nil {
		return queueError(err)
	}
	select {
	case err := <-answers:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-c.stopped:
		return queueError(errStopped)
	}
}

// queueError converts an error of the event queue into an error for callers.
func queueError(err error) error {
	if errors.Is(err, errBusy) {
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
