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

// Sender makes single attempts at upstreams for callers that decide themselves
// what an answer means.
type Sender struct {
	pool     *pool
	distrust distrust
}

// NewSender returns a sender; t is nil when upstreams with https addresses are
// not called.
func NewSender(c clockwork.Clock, t dialer.TLS) *Sender {
	p := newPool(c, t)
	p.dialer.Timeout = senderDialTimeout
	return &Sender{pool: p}
}

// senderDialTimeout bounds the start of a connection. Nothing has been sent by then,
// so that the request may go to another upstream at once; a lost first packet alone
// would take a second.
const senderDialTimeout = 300 * time.Millisecond

// Attempt is one request to one upstream.
type Attempt struct {
	Upstream registrar.Upstream
	Request  *http.Request
	// Once gives the request a connection of its own, so that no part of it can
	// be sent twice and no answer to an earlier request be read.
	Once bool
	// Permit is asked when a connection has been made, and the request is not sent on it
	// when it fails; nil for no question.
	Permit func() error
	// Sent is set before the first byte may leave.
	Sent atomic.Bool
	// withheld is why the request was not sent on a connection.
	withheld atomic.Pointer[error]
	// stop ends the attempt.
	stop context.CancelCauseFunc
	// pooled is the connection of an attempt that has none of its own.
	pooled atomic.Pointer[httptrace.GotConnInfo]
	// resent is set when net/http sent the request on a further connection.
	resent atomic.Bool
}

// ErrWithheld is the error of an attempt that was not permitted any more when it had its
// connection.
var ErrWithheld = errors.New("the request was not sent on its connection")

// ready is called before the first byte may leave.
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

// connected notes the connection on which the request is sent. One on which it must not be
// sent is closed: net/http would write to it otherwise.
func (a *Attempt) connected(i httptrace.GotConnInfo) {
	if err := a.ready(); err != nil {
		a.stop(err)
		_ = withoutTLS(i.Conn).Close()
		return
	}
	if a.pooled.Swap(&i) != nil {
		a.resent.Store(true)
	}
}

// Reused reports whether earlier requests were sent on the connection, so that an answer
// that names none may be theirs.
func (a *Attempt) Reused() bool {
	i := a.pooled.Load()
	return i != nil && i.Reused
}

// Resent reports whether net/http sent the request again after a reused connection had
// ended. The answer then tells nothing about the first sending.
func (a *Attempt) Resent() bool { return a.resent.Load() }

// statusLine is the part of a status line that no value of a header has.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}`)

// Spliced reports whether the head of an answer begins with a part of another one, which
// was cut off within a line: the status line of the answer itself then follows in that
// line.
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

// Send makes the attempt. Nothing repeats it below, but that net/http may send a request
// without a body again when a reused connection ends before the answer.
func (s *Sender) Send(ctx context.Context, a *Attempt) (*http.Response, error) {
	a.Request.GetBody = nil
	response, err := s.send(ctx, a)
	if withheld := a.withheld.Load(); withheld != nil && err != nil {
		return nil, *withheld
	}
	if err != nil && ctx.Err() == nil {
		s.distrust.note(s.pool.clock.Now(), a.Upstream.Name, err)
	}
	return response, err
}

func (s *Sender) send(ctx context.Context, a *Attempt) (*http.Response, error) {
	if a.Once {
		return s.pool.once(ctx, a.Upstream, a.Request, a.ready)
	}
	ctx, a.stop = context.WithCancelCause(ctx)
	return s.pool.pooled(ctx, a.Upstream, a.Request, a.connected)
}

// Avoid returns the list with the upstreams to which this host could make no
// connection lately.
func (s *Sender) Avoid(list []registrar.UpstreamID) []registrar.UpstreamID {
	return s.distrust.extend(s.pool.clock.Now(), list)
}

// Discard ends the connection of an attempt that brought something that belongs to
// another request, and makes later attempts use new connections to the upstream. The
// transport may have given the connection to a further request already, behind one that
// the upstream still runs.
func (s *Sender) Discard(a *Attempt) {
	if i := a.pooled.Load(); i != nil {
		_ = withoutTLS(i.Conn).Close()
	}
	s.pool.discard(a.Upstream.Address, s.pool.transport(a.Upstream.Address))
}

// Unsent classifies the error of an attempt that got no connection.
func Unsent(err error) scheduler.Outcome { return unsent(err) }

// Close closes the idle connections.
func (s *Sender) Close() { s.pool.close() }

// WithoutHops returns the headers that do not concern one connection only.
func WithoutHops(h http.Header) http.Header { return withoutHops(h) }
