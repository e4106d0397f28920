package commander_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/ctl/commander"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/guardian"
	"github.com/amaranthcart/amaranthcart/internal/ops/inspector"
)

// TestControlSession guards against any change of the output for operators and their
// scripts: texts, JSON and exit codes.
func TestControlSession(t *testing.T) {
	address, closed := serveControl(t, newControl()), closedPort(t)
	s := newSession(t, address, "CONTROL", closed, "CLOSED")
	t.Setenv("AMARANTH_CONTROL", address)
	for _, line := range []string{
		"--version",
		"check small.json",
		"check invalid.json",
		"check invalid.json --output json",
		"check missing.json",
		"get",
		"apply small.json --revision 0 --note first",
		"apply changed.json --revision 0",
		"apply changed.json --revision 1 --change mine",
		"apply changed.json --revision 1 --change mine",
		"apply small.json --revision 2 --change mine",
		"apply invalid.json --revision 2",
		"apply small.json --revision 0 --output json",
		"get",
		"get --revision 1 --output json",
		"get --revision 9",
		"history",
		"history --after 1 --output json",
		"history --limit 1",
		"status",
		"status --control " + closed + " --control " + address,
		"status --control " + closed,
		"apply small.json",
		"apply small.json --revision x",
		"launch",
		"get --control localhost",
	} {
		s.run(t.Context(), line)
	}
	golden.Assert(t, s.transcript(), "control.golden")
}

// TestDeposedLeader guards against showing the group as seen by a former leader that was
// cut off and does not know of its successor.
func TestDeposedLeader(t *testing.T) {
	late := newControl()
	late.term = 4
	s := newSession(t)
	a, b := serveControl(t, newControl()), serveControl(t, late)
	for _, hosts := range []string{a + "," + b, b + "," + a} {
		s.log.Reset()
		s.run(t.Context(), "status --control "+hosts)
		assert.Assert(t, strings.Contains(s.transcript(), "Group as a4 sees it"), s.transcript())
	}
}

// TestInterrupted guards against an interrupted apply that does not tell the operator how
// to find out whether the change was accepted.
func TestInterrupted(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s := newSession(t)
	code := s.run(ctx, "apply small.json --revision 0 --note hay --control "+serveControl(t, newControl()))
	assert.Equal(t, code, commander.ExitUnreachable)
	assert.Assert(t, strings.Contains(s.transcript(), `small.json --revision 0 --change change-1 --note "hay"`), s.transcript())
}

// host is a fake entry host.
type host struct{ drained bool }

func (h *host) Upstreams(context.Context) (inspector.Upstreams, error) {
	return inspector.Upstreams{Host: "entry-1", Upstreams: []inspector.Upstream{{
		Upstream: registrar.Upstream{
			Name: "engine-1", Address: "10.0.1.1:9000", Centre: "lalitpur", Cell: "main",
			Models: []validator.PoolName{"hay-8b"}, Slots: 16, Incarnation: 4, Sequence: 17,
		},
		Remaining: validator.Duration(2 * time.Second), Used: 3, State: "live",
	}}}, nil
}

func (h *host) Explain(_ context.Context, q inspector.Query) (inspector.Explanation, error) {
	if q.Pool != "hay-8b" {
		return inspector.Explanation{}, &inspector.NotFoundError{Kind: "model or service", Name: string(q.Pool)}
	}
	return inspector.Explanation{
		Host: "entry-1", Revision: 7, Class: "advice", Tier: 1, Organisation: q.Organisation, Pool: q.Pool, Cell: "main",
		Owner: "entry-2", Decision: "refuse", Reason: "the target of 1s cannot be met", Retry: validator.Duration(3 * time.Second), Ahead: 12,
		Candidates: []inspector.Candidate{{Upstream: "engine-1", Reason: "\x1b[31mall slots are in use"}},
	}, nil
}

func (h *host) Drain(context.Context, string) (inspector.Drain, error) {
	d := inspector.Drain{Host: "entry-1", Open: 1, Repeated: h.drained}
	h.drained = true
	return d, nil
}

// TestEntrySession guards against changes of the output about an entry host, and against
// a drain without a valid operator key.
func TestEntrySession(t *testing.T) {
	address := serve(t, inspector.New(new(host), guardian.New(operators)))
	other := serve(t, http.NotFoundHandler())
	closed := closedPort(t)
	s := newSession(t, address, "ENTRY", other, "OTHER", closed, "CLOSED")
	for _, line := range []string{
		"upstreams",
		"upstreams --entry " + address,
		"upstreams --output json --entry " + address,
		"explain --organisation goats --pool hay-8b --entry " + address,
		"explain --organisation goats --pool straw --entry " + address,
		"drain --key wrong " + address,
		"drain " + address,
		"drain " + address,
		"drain " + other,
		"drain " + closed,
		"drain localhost",
	} {
		s.run(t.Context(), line)
	}
	golden.Assert(t, s.transcript(), "entry.golden")
}

// TestFaults guards against a change that is lost or applied twice when control hosts
// fail, and against a wrong statement about whether it was sent.
func TestFaults(t *testing.T) {
	silent := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	lost := func(context.Context) error { panic(http.ErrAbortHandler) }
	for _, c := range []struct {
		name          string
		before, after func(context.Context) error
		// first starts a host that is tried before the fake one.
		first func(t *testing.T) string
		flags string
		code  int
		// revisions is the number of revisions that the fake has accepted after the
		// command.
		revisions int
		want      string
	}{
		{name: "refused connections", first: closedPort, flags: "none", code: commander.ExitUnreachable, want: "the change was not sent"},
		{name: "second host answers", first: closedPort, code: commander.ExitOK, revisions: 1, want: "revision 1 accepted"},
		{name: "wrong service", first: func(t *testing.T) string { return serve(t, http.NotFoundHandler()) },
			flags: "none", code: commander.ExitUnreachable, want: "is this the peers address of a control host"},
		{name: "wrong protocol", first: http1, flags: "none", code: commander.ExitUnreachable, want: "is this the peers address, which speaks HTTP/2 without TLS?"},
		{name: "silent before", before: silent, flags: "--timeout 50ms", code: commander.ExitUnreachable, want: "no answer in time"},
		{name: "silent after", after: silent, flags: "--timeout 50ms", code: commander.ExitUnreachable, revisions: 1, want: "send it again with the same change ID"},
		{name: "lost answer", after: lost, code: commander.ExitUnreachable, revisions: 1, want: "amaranthctl apply small.json --revision 0 --change change-1"},
		{name: "lost answer once", after: once(lost), code: commander.ExitOK, revisions: 1, want: "accepted before as revision 1"},
		{name: "no leader", before: func(context.Context) error { return unavailable }, code: commander.ExitUnreachable, want: "no leader"},
		{name: "leader elected meanwhile", before: once(func(context.Context) error { return unavailable }), code: commander.ExitOK, revisions: 1, want: "revision 1 accepted"},
		{name: "wrong key", flags: "--key wrong", code: commander.ExitFailed, want: "the operator key is not known"},
		{name: "internal error", before: func(context.Context) error { return connect.NewError(connect.CodeInternal, context.Canceled) },
			code: commander.ExitUnreachable, want: "may or may not have been accepted"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newControl()
			address := serveControl(t, f)
			f.mutex.Lock()
			if c.before != nil {
				f.before = c.before
			}
			if c.after != nil {
				f.after = c.after
			}
			f.mutex.Unlock()
			var hosts []string
			if c.first != nil {
				hosts = append(hosts, c.first(t))
			}
			if c.flags != "none" {
				hosts = append(hosts, address)
			}
			s := newSession(t)
			line := "apply small.json --revision 0 --control " + strings.Join(hosts, ",") + " " + strings.TrimPrefix(c.flags, "none")
			code := s.run(t.Context(), line)
			assert.Equal(t, code, c.code, s.transcript())
			assert.Assert(t, strings.Contains(s.transcript(), c.want), s.transcript())
			f.mutex.Lock()
			assert.Equal(t, len(f.revisions), c.revisions)
			f.before, f.after = newControl().before, newControl().after
			f.mutex.Unlock()
			code = s.run(t.Context(), "apply small.json --revision 0 --change change-1 --control "+address)
			assert.Equal(t, code, commander.ExitOK, s.transcript())
			assert.Equal(t, len(f.revisions), 1)
		})
	}
}

// once returns a fault that happens the first time only.
func once(fault func(context.Context) error) func(context.Context) error {
	done := false
	return func(ctx context.Context) error {
		if done {
			return nil
		}
		done = true
		return fault(ctx)
	}
}

// http1 starts a server that speaks only HTTP/1 and returns its address.
func http1(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}
