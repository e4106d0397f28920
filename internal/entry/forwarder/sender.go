package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"regexp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
)

// Sender makes single attempts at upstreams for callers that decide themselves what an
// answer means.
type Sender struct {
	pool    *pool
	avoided avoidList
}

// NewSender returns a Sender; if t is nil, upstreams with https addresses are not
// called.
func NewSender(c clockwork.Clock, t dialer.TLS) *Sender {
	p := newPool(c, t)
	p.dialer.Timeout = senderDialTimeout
	return &Sender{pool: p}
}

// senderDialTimeout bounds making a connection. Nothing has been sent by then, so the
// request may go to another upstream at once; a single lost first packet would already
// take a second.
const senderDialTimeout = 300 * time.Millisecond

// Attempt is one request to one upstream.
type Attempt struct {
	Upstream registrar.Upstream
	Request  *http.Request
	// Target is written as the target of the request in place of that of Request, if it
	// isn't empty. It needs OwnConnection.
	Target string
	// OwnConnection sends the request on a new connection, so that no part of it can be
	// sent twice and no answer to an earlier request can be read.
	OwnConnection bool
	// Permit is called once a connection has been made; if it returns an error, the
	// request is not sent on it. nil permits all.
	Permit func() error
	// Sent is set before the first byte may be sent.
	Sent atomic.Bool
	// withheld is the reason why the request was not sent on its connection.
	withheld atomic.Pointer[error]
	// stop ends an attempt on a pooled connection.
	stop context.CancelCauseFunc
	// pooled is the pooled connection on which the request is sent; nil for a new one
	// of its own.
	pooled atomic.Pointer[httptrace.GotConnInfo]
	// resent is set when net/http sent the request on a second connection.
	resent atomic.Bool
}

// ErrWithheld is the error of an attempt that was no longer permitted when its
// connection had been made.
var ErrWithheld = errors.New("the request was not permitted when its connection had been made")

// ready is called before the first byte may be sent. It returns an error if Permit
// does.
func (a *Attempt) ready() error {
	if a.Permit != nil {
		if err := a.Permit(); err != nil {
			err = fmt.Errorf("%w: %w", ErrWithheld, err)
			a.withheld.Store(&err)
			return err
		}
	}
	a.Sent.Store(true)
	return nil
}

// connected records the connection on which the request is sent. If the request must
// not be sent, the connection is closed, because net/http would write to it otherwise.
func (a *Attempt) connected(i httptrace.GotConnInfo) {
	if err := a.ready(); err != nil {
		a.stop(err)
		abort(i.Conn)
		return
	}
	if a.pooled.Swap(&i) != nil {
		a.resent.Store(true)
	}
}

// Reused reports whether earlier requests were sent on the connection, so that an
// answer without a request ID may belong to one of them.
func (a *Attempt) Reused() bool {
	i := a.pooled.Load()
	return i != nil && i.Reused
}

// Resent reports whether net/http sent the request again after a reused connection had
// been closed. The answer then tells nothing about the first sending.
func (a *Attempt) Resent() bool { return a.resent.Load() }

// statusLine matches the part of a status line that does not occur in a header value.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}`)

// Spliced reports whether the head of an answer begins with a part of an earlier one
// that was cut off within a line: the status line of the answer itself then follows in
// the same line.
func (a *Attempt) Spliced(response *http.Response) bool {
	if !a.Reused() {
		return false
	}
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// Send makes the attempt. It is not repeated, except that net/http may resend a request
// without a body when a reused connection ends before the answer.
func (s *Sender) Send(ctx context.Context, a *Attempt) (*http.Response, error) {
	a.Request.GetBody = nil
	response, err := s.send(ctx, a)
	if withheld := a.withheld.Load(); withheld != nil && err != nil {
		return nil, *withheld
	}
	if err != nil && ctx.Err() == nil {
		s.avoided.note(s.pool.clock.Now(), a.Upstream.Name, err)
	}
	return response, err
}

// send sends the request on a new or a pooled connection.
func (s *Sender) send(ctx context.Context, a *Attempt) (*http.Response, error) {
	if a.OwnConnection {
		return s.pool.sendOnNewConnection(ctx, a.Upstream, a.Request, a.Target, a.ready)
	}
	ctx, a.stop = context.WithCancelCause(ctx)
	return s.pool.sendPooled(ctx, a.Upstream, a.Request, a.connected)
}

// Avoid returns the list extended by the upstreams to which this host recently could
// not connect.
func (s *Sender) Avoid(list []registrar.UpstreamID) []registrar.UpstreamID {
	return s.avoided.extend(s.pool.clock.Now(), list)
}

// Discard closes the connection of an attempt that received something that belongs to
// another request, and makes later attempts use new connections to the upstream. The
// transport may already have given the connection to a further request, queued behind
// one that the upstream still runs.
func (s *Sender) Discard(a *Attempt) {
	if i := a.pooled.Load(); i != nil {
		abort(i.Conn)
	}
	s.pool.discard(a.Upstream.Address, s.pool.transport(a.Upstream.Address))
}

// Unsent returns the scheduler's outcome for the error of an attempt of which nothing
// was sent.
func Unsent(err error) scheduler.Outcome { return unsentOutcome(err) }

// Close closes the idle connections.
func (s *Sender) Close() { s.pool.close() }

// WithoutHopHeaders returns a copy of the headers without the hop-by-hop ones, which
// apply to a single connection.
func WithoutHopHeaders(h http.Header) http.Header { return withoutHopHeaders(h) }
