package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/verifier"
)

// maxBuffered is how many bytes of a plain answer are read before any of it is
// forwarded. If the upstream fails within them, the caller gets a clear error instead
// of a broken answer.
const maxBuffered = 1 << 20

// PlainCall is one request for a plain service.
type PlainCall struct {
	Request scheduler.Request
	Class   validator.Class
	Method  string
	// Target is the path below the service with the query, as it was sent.
	Target string
	Header http.Header
	Body   []byte
	// Whole asks for the whole answer in Body. An answer longer than 32 MiB then fails.
	Whole bool
	// Trace is filled in when it is set.
	Trace *Trace
}

// Answer is an upstream's answer to a plain call. It must be closed after Tail has been
// read.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Tail is the rest of the answer after Body; nil if Body is complete.
	Tail io.Reader
	// Size is the length of the answer in bytes, or -1 if it is unknown.
	Size  int64
	close func(error)
}

// Close releases the slot. err is the error that ended reading Tail, or nil.
func (a *Answer) Close(err error) {
	if a.close != nil {
		a.close(err)
	}
}

// Call runs a plain call. One that is not repeatable is sent once: another upstream is
// tried only if nothing was sent.
func (f *Forwarder) Call(ctx context.Context, p PlainCall) (*Answer, error) {
	p.Header = upstreamHeaders(p.Header, p.Request.ID)
	run := NotRun
	request := p.Request
	for attempt, preemptions := 1, 0; ; attempt++ {
		request.Avoid = f.avoided.extend(f.clock.Now(), request.Avoid)
		slot, err := f.dispatcher.Acquire(ctx, request)
		if err != nil && ctx.Err() != nil {
			return nil, waitError(ctx, run)
		}
		if err != nil {
			return nil, refusal(err, run)
		}
		request.Cell = slot.Upstream().Cell
		p.Trace.grant(f.clock.Now())
		t := &plainAttempt{forwarder: f, call: &p, slot: slot}
		answer, err := t.run(ctx)
		if err == nil {
			return answer, nil
		}
		f.avoided.note(f.clock.Now(), slot.Upstream().Name, err)
		if t.sent.Load() {
			run = MayHaveRun
		}
		// Another upstream may be tried if the call may be repeated or if
		// nothing of it was sent.
		again := request.Repeatable || run == NotRun
		if !again || attempt >= maxAttempts || preemptions >= maxPreemptions || ctx.Err() != nil {
			return nil, finalFailure(err, run)
		}
		request.Retry = !errors.Is(err, errPreempted)
		if !request.Retry {
			preemptions++
			attempt--
			continue
		}
		request.Avoid = append(append([]registrar.UpstreamID(nil), request.Avoid...), slot.Upstream().Name)
	}
}

// statusClientGone is used in logs only; the caller has disconnected.
const statusClientGone = 499

// waitError returns the final answer to a call whose wait for a slot was ended by its
// caller or by its own deadline.
func waitError(ctx context.Context, run Run) *Error {
	e := &Error{Status: statusClientGone, Code: "caller_gone", Message: "the caller went away", Run: run, cause: context.Cause(ctx)}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.Status = http.StatusServiceUnavailable
		e.Type = "server_error"
		e.Code = "deadline_exceeded"
		e.Message = "no upstream was free before the deadline of the call"
	}
	return e
}

// plainAttempt is one attempt of a plain call.
type plainAttempt struct {
	forwarder *Forwarder
	call      *PlainCall
	slot      dispatcher.Slot
	// sent is set before the first byte may be sent.
	sent atomic.Bool
}

// run sends the call and reads the first part of its answer. The slot is released at
// the end of the answer.
func (t *plainAttempt) run(ctx context.Context) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	limit := newDeadlines(t.call.Class).total
	timer := t.forwarder.clock.AfterFunc(limit, func() { cancel(errSilent) })
	var response *http.Response
	var err error
	if t.call.Request.Repeatable {
		t.watch(ctx, cancel, timer)
		response, err = t.sendPooled(ctx)
	} else {
		response, err = t.sendOnce(ctx)
	}
	end := func(err error) {
		timer.Stop()
		o := t.outcome(ctx, err)
		cancel(errDiscarded)
		if response != nil {
			_ = response.Body.Close()
		}
		t.slot.Release(o, 0)
		returnHedge(t.slot)
	}
	if err != nil {
		err = causeOf(ctx, err)
		end(err)
		return nil, err
	}
	t.slot.FirstToken()
	answer, err := t.read(response)
	if err != nil {
		err = causeOf(ctx, err)
		end(err)
		return nil, err
	}
	if answer.Tail == nil {
		end(nil)
		return answer, nil
	}
	timer.Stop()
	answer.close = end
	answer.Tail = &tail{reader: answer.Tail, timer: timer, limit: limit}
	return answer, nil
}

// watch reacts to changes of a repeatable call's slot. A hedge is released: plain
// answers are short, so a second attempt seldom saves time.
func (t *plainAttempt) watch(ctx context.Context, cancel context.CancelCauseFunc, timer clockwork.Timer) {
	t.forwarder.group.Go(func() {
		hedged, gone := t.slot.Hedged(), t.slot.Gone()
		for {
			select {
			case <-t.slot.Preempted():
				cancel(errPreempted)
				return
			case <-gone:
				gone = nil
				timer.Reset(leaseEndGrace)
			case h, ok := <-hedged:
				hedged = nil
				if ok && h != nil {
					h.Release(scheduler.Abandoned, 0)
				}
			case <-ctx.Done():
				return
			}
		}
	})
}

// causeOf returns the cause that ended ctx, or err if ctx has not ended.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// outcome returns the scheduler's outcome for the error that ended the attempt.
func (t *plainAttempt) outcome(ctx context.Context, err error) scheduler.Outcome {
	var status *statusError
	switch {
	case err == nil:
		return scheduler.Completed
	case errors.Is(context.Cause(ctx), errSilent):
		return scheduler.Silent
	case errors.Is(context.Cause(ctx), errPreempted):
		return scheduler.Preempted
	case ctx.Err() != nil:
		return scheduler.Abandoned
	case !t.sent.Load():
		return unsentOutcome(err)
	case errors.Is(err, errBadAnswer), errors.Is(err, verifier.ErrBroken), errors.Is(err, verifier.ErrEarly), errors.As(err, &status):
		return scheduler.Failed
	}
	return scheduler.Crashed
}

// read checks that the end of the answer can be distinguished from a lost connection,
// and reads the first part.
func (t *plainAttempt) read(r *http.Response) (*Answer, error) {
	a := &Answer{Status: r.StatusCode, Header: callerHeaders(r.Header), Size: r.ContentLength}
	if t.call.Request.Repeatable && retryable(r.StatusCode) {
		return nil, &statusError{r.StatusCode}
	}
	if t.call.Method == http.MethodHead {
		return a, nil
	}
	chunked := len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
	if r.ContentLength < 0 && !chunked {
		return nil, fmt.Errorf("%w: neither a length nor chunks show its end", errBadAnswer)
	}
	limit := int64(maxBuffered)
	if t.call.Whole {
		limit = maxWhole
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(min(r.ContentLength, limit)) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(r.Body, limit))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	a.Body = buffer.Bytes()
	if n < limit || n == r.ContentLength {
		a.Size = n
		return a, nil
	}
	if t.call.Whole {
		return nil, fmt.Errorf("%w: its body is too long", errBadAnswer)
	}
	a.Tail = r.Body
	return a, nil
}

// retryable reports whether the status of a repeatable call's answer means that another
// upstream may succeed.
func retryable(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
		return true
	}
	return false
}

// tail is the rest of a long answer. The deadline runs only while reading from the
// upstream, not while the caller reads.
type tail struct {
	reader io.Reader
	timer  clockwork.Timer
	limit  time.Duration
}

// Read reads from the upstream.
func (t *tail) Read(b []byte) (int, error) {
	t.timer.Reset(t.limit)
	n, err := t.reader.Read(b)
	t.timer.Stop()
	return n, err
}

// newRequest builds the request for the upstream.
func (t *plainAttempt) newRequest(ctx context.Context) (*http.Request, error) {
	url := t.slot.Upstream().URL() + t.call.Target
	var body io.Reader
	if len(t.call.Body) > 0 {
		body = bytes.NewReader(t.call.Body)
	}
	request, err := http.NewRequestWithContext(ctx, t.call.Method, url, body)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	request.GetBody = nil
	request.Header = t.call.Header.Clone()
	return request, nil
}

// sendPooled sends a repeatable call on a connection that may be reused.
func (t *plainAttempt) sendPooled(ctx context.Context) (*http.Response, error) {
	request, err := t.newRequest(ctx)
	if err != nil {
		return nil, err
	}
	sent := func(httptrace.GotConnInfo) { t.sent.Store(true) }
	return t.forwarder.pool.sendPooled(ctx, t.slot.Upstream(), request, sent)
}

// sendPooled sends the request on a connection that may be reused; connected is called
// before the first byte may be sent.
func (p *pool) sendPooled(ctx context.Context, u registrar.Upstream, request *http.Request, connected func(httptrace.GotConnInfo)) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: connected}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	response, err := p.transport(u.Address).RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("call upstream: %w", err)
	}
	return response, nil
}

// hopHeaders are the hop-by-hop headers, which apply to a single connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// withoutHopHeaders returns a copy without the hop-by-hop headers and those that
// Connection names.
func withoutHopHeaders(h http.Header) http.Header {
	c := h.Clone()
	if c == nil {
		c = http.Header{}
	}
	for _, line := range c["Connection"] {
		for _, name := range strings.Split(line, ",") {
			c.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		c.Del(name)
	}
	return c
}

// upstreamHeaders returns the headers for an upstream from the caller's. The API key is
// not sent.
func upstreamHeaders(h http.Header, id scheduler.RequestID) http.Header {
	c := withoutHopHeaders(h)
	c.Del("Authorization")
	c.Del("Content-Length")
	c.Del("Amaranth-Class")
	c.Set("X-Request-Id", string(id))
	if _, ok := c["User-Agent"]; !ok {
		c["User-Agent"] = []string{""}
	}
	return c
}

// callerHeaders returns the headers for the caller from an upstream's.
func callerHeaders(h http.Header) http.Header {
	c := withoutHopHeaders(h)
	c.Del("Content-Length")
	c.Del("X-Request-Id")
	c.Del("Amaranth-Run")
	return c
}
