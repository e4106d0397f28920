package relayer

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/entry/ledger"
)

const (
	// defaultBody is the default bound of a request body in bytes.
	defaultBody = 8 << 20
	// bodyPause is how long a body may pause. Callers send theirs without pauses; what is
	// lost on the way is sent again within a few seconds.
	bodyPause = 5 * time.Second
	// keptBody is the size in bytes up to which a body is kept until its request ends, so
	// that it can be sent to another upstream.
	keptBody = 64 << 10
	// writeMargin is how long after its deadline an answer that the caller doesn't read is
	// given up.
	writeMargin = time.Second
)

// limits are the bounds on callers in force: those of the settings, and those of the
// configuration where they are lower.
func (r *Relayer) limits() Limits {
	l := Limits{Head: maxHeader, HeadTime: headerTimeout, Idle: idleTimeout, Body: r.options.MaxBody}
	if l.Body == 0 {
		l.Body = defaultBody
	}
	x, _ := r.options.Configuration()
	if x == nil || x.Document().Limits == nil {
		return l
	}
	own := x.Document().Limits
	l.Head = lower(l.Head, own.Header)
	l.HeadTime = lower(l.HeadTime, time.Duration(own.HeaderTime))
	l.Idle = lower(l.Idle, time.Duration(own.Idle))
	l.Body = lower(l.Body, own.Body)
	return l
}

// Limits are bounds on what a caller may send.
type Limits struct {
	// Head and Body bound the head and the body of a request in bytes.
	Head, Body int64
	// HeadTime bounds the time of a head, and Idle that without a request.
	HeadTime, Idle time.Duration
}

// lower returns the lower of two bounds; 0 for own means none.
func lower[T int64 | time.Duration](bound, own T) T {
	if own > 0 {
		return min(bound, own)
	}
	return bound
}

// boundBody sets the end of reading from the connection. net/http withdraws it at the end
// of the body; until then it bounds what is read of a body that nobody wants, too.
func (c *call) boundBody(left time.Duration) {
	if c.request.ContentLength != 0 {
		_ = http.NewResponseController(c.writer).SetReadDeadline(time.Now().Add(left))
	}
}

// boundAnswer sets the end of writing, so that a caller that doesn't read its answer
// doesn't hold an upstream beyond the request's deadline.
func (c *call) boundAnswer() {
	left := c.deadline.Sub(c.relayer.clock.Now())
	_ = http.NewResponseController(c.writer).SetWriteDeadline(time.Now().Add(left + writeMargin))
}

// readBody reads the complete body before anything is sent, so that no part of a broken
// one is forwarded, and an upstream waits for none. It refuses a body that is too large,
// for which there is no memory or which comes too slowly, and returns false. It aborts the
// connection when the body can't be read. revoke ends the request when its body has to
// give way to an older one.
func (c *call) readBody(ctx context.Context, revoke context.CancelCauseFunc) bool {
	if c.request.ContentLength == 0 {
		return true
	}
	limit := c.relayer.limits().Body
	if c.request.ContentLength > limit {
		c.refuseBody(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	}
	c.claim = c.relayer.options.Ledger.Open(func() { revoke(ledger.ErrShort) })
	c.body = ledger.NewContent(c.claim)
	defer context.AfterFunc(ctx, func() { c.boundBody(0) })()
	err := c.body.Fill(ctx, c.request.Body, limit, c.awaitBody)
	if err == nil {
		return true
	}
	c.cause = err
	switch {
	case errors.Is(err, ledger.ErrTooLarge):
		c.refuseBody(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	case errors.Is(err, ledger.ErrShort), errors.Is(context.Cause(ctx), ledger.ErrShort):
		c.refuseBody(http.StatusServiceUnavailable, codeMemory, staleRetry)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuseBody(http.StatusRequestTimeout, "body_slow", 0)
	default:
		c.status, c.code = statusClientGone, "body_broken"
		panic(http.ErrAbortHandler)
	}
	return false
}

// awaitBody sets the time for the next bytes of the body: a pause, within the request's
// own time.
func (c *call) awaitBody() {
	c.boundBody(min(bodyPause, c.deadline.Sub(c.relayer.clock.Now())))
}

// refuseBody refuses a request whose body has not been read to its end, and returns what
// the body took. The connection can't be used again.
func (c *call) refuseBody(status int, code string, retry time.Duration) {
	c.releaseBody()
	c.boundBody(bodyPause)
	c.writer.Header().Set("Connection", "close")
	c.refuse(status, code, retry)
}

// releaseBody returns what the body takes.
func (c *call) releaseBody() {
	if c.body != nil {
		c.body.Release()
		c.claim.Close()
	}
}

// spends reports whether the body is given up while it is sent: it is large, and there is
// no further attempt or too little memory for a copy.
func (c *call) spends() bool {
	last := c.attempts+1 >= c.route.Attempts
	return c.body.Len() > keptBody && (last || c.relayer.options.Ledger.Scarce())
}
