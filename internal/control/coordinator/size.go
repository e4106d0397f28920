package coordinator

import (
	"context"
	"errors"
	"net/http"
	"path"
	"time"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/control/applier"
	"github.com/amaranthcart/amaranthcart/internal/control/limiter"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// The bounds on what a control host holds for calls. docs/CAPACITY.md has the sum.
const (
	// smallBytes is the size up to which a change or an answer isn't counted: the
	// number of calls bounds those.
	smallBytes = 64 << 10
	// maximumChangeBytes bounds the documents of the changes in progress.
	maximumChangeBytes = 8 << 20
	// maximumAnswerBytes bounds the documents that are being sent to watching hosts
	// and other callers.
	maximumAnswerBytes = 8 << 20
	// answerTimeout limits how long one document may take to reach a caller. It lets
	// the largest document through a link of 10 Mbit/s.
	answerTimeout = 6 * time.Second
	// streamWait limits how long a revision for a watching host waits for others. A host
	// replaces a stream that is silent for 3 s.
	streamWait = 2 * time.Second
	// changeWait limits the wait of a change for others to end.
	changeWait = time.Second
	// maximumBacklogBytes bounds the documents that a watching host which is behind
	// gets besides the current one. It needs only that.
	maximumBacklogBytes = 1 << 20
	// maximumComparedBytes bounds the two documents whose differences are listed in
	// the audit trail: comparing takes a multiple of their size in memory.
	maximumComparedBytes = 2 << 20
)

// sizeLimits bound the bytes that calls of the Control service hold.
type sizeLimits struct {
	changes *limiter.Limiter
	answers *limiter.Limiter
	// checks lets one document at a time be checked and compared.
	checks *limiter.Limiter
}

func newSizeLimits() sizeLimits {
	return sizeLimits{changes: limiter.New(maximumChangeBytes), answers: limiter.New(maximumAnswerBytes), checks: limiter.New(1)}
}

// Checks returns the limiter of 1 that each check of a document takes.
func (c *Coordinator) Checks() *limiter.Limiter { return c.sizes.checks }

// responseKey is the key of the http.ResponseController of a call in its context.
type responseKey struct{}

// limitSizes wraps the handler of the Control service: it bounds the changes that are
// read and the revisions that are sent at the same time.
func (c *Coordinator) limitSizes(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), responseKey{}, http.NewResponseController(w))
		r = r.WithContext(ctx)
		switch path.Base(r.URL.Path) {
		case "Apply":
			size := requestSize(r)
			if !c.acquire(ctx, c.sizes.changes, size, changeWait) {
				http.Error(w, "too many changes at the same time", http.StatusServiceUnavailable)
				return
			}
			defer c.release(c.sizes.changes, size)
		case "Get":
			size := c.documentBytes()
			if !c.acquire(ctx, c.sizes.answers, size, callTimeout) {
				http.Error(w, "too many answers at the same time", http.StatusServiceUnavailable)
				return
			}
			defer c.release(c.sizes.answers, size)
			defer c.limitAnswer(ctx, callTimeout+answerTimeout)()
		}
		next.ServeHTTP(w, r)
	})
}

// requestSize returns the size of a request body, that of the largest document when the
// caller doesn't tell.
func requestSize(r *http.Request) int {
	if r.ContentLength < 0 {
		return maximumDocumentBytes
	}
	return int(min(r.ContentLength, maximumDocumentBytes))
}

// acquire waits for the bytes of a call that aren't few, and reports whether it got them.
func (c *Coordinator) acquire(ctx context.Context, l *limiter.Limiter, size int, wait time.Duration) bool {
	if size <= smallBytes {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return l.Acquire(ctx, size) == nil
}

func (c *Coordinator) release(l *limiter.Limiter, size int) {
	if size > smallBytes {
		l.Release(size)
	}
}

// limitAnswer makes the writes of a call fail after d. The result removes the limit.
func (c *Coordinator) limitAnswer(ctx context.Context, d time.Duration) func() {
	w, found := ctx.Value(responseKey{}).(*http.ResponseController)
	if !found {
		return func() {}
	}
	// Without support for deadlines, the connection's own timeouts apply. They use the
	// clock of the machine.
	_ = w.SetWriteDeadline(time.Now().Add(d))
	return func() { _ = w.SetWriteDeadline(time.Time{}) }
}

// documentBytes returns the size of the current document.
func (c *Coordinator) documentBytes() int {
	size := 0
	c.core.inspect(func(s *applier.State) {
		if r := s.Current(); r != nil {
			size = len(r.Document)
		}
	})
	return size
}

// sendRevision sends a revision to a watching host. Few large ones are on their way at
// the same time, and a host that doesn't read one in time loses its stream.
func (c *Coordinator) sendRevision(ctx context.Context, r *wire.Revision, out *connect.ServerStream[wire.WatchResponse]) error {
	size := len(r.Document)
	if !c.acquire(ctx, c.sizes.answers, size, streamWait) {
		return connect.NewError(connect.CodeUnavailable, errors.New("too many revisions are being sent"))
	}
	defer c.release(c.sizes.answers, size)
	if size > smallBytes {
		defer c.limitAnswer(ctx, answerTimeout)()
		// The host would take a stream for silent that carries this for seconds.
		if err := out.Send(&wire.WatchResponse{Coming: r.Number, Size: uint64(size)}); err != nil {
			return err
		}
	}
	return out.Send(&wire.WatchResponse{Revision: r})
}

// skipBacklog drops old revisions when all of them together are large.
func skipBacklog(news []*wire.Revision) []*wire.Revision {
	size := 0
	for i := len(news) - 2; i >= 0; i-- {
		size += len(news[i].Document)
		if size > maximumBacklogBytes {
			return news[i+1:]
		}
	}
	return news
}
