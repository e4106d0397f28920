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
)

// maxBuffered is the part of a plain answer that is read before any of it is
// passed on. An upstream that fails within it causes a clear error instead of
// a broken answer.
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
	// Whole asks for the whole answer in Body, up to the bound of a whole
	// answer.
	Whole bool
	// Trace is filled in when it is set.
	Trace *Trace
}

// Answer is an upstream's answer to a plain call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Tail is the part after Body; nil when Body is all of it.
	Tail io.Reader
	// Size is the declared length, or -1.
	Size  int64
	close func(error)
}

// Close gives the slot back. The error tells how reading Tail ended.
func (a *Answer) Close(err error) {
	if a.close != nil {
		a.close(err)
	}
}

// Call runs a plain call. One that is not repeatable is sent once: a further
// upstream is tried only while no connection could be made.
func (f *Forwarder) Call(ctx context.Context, p PlainCall) (*Answer, error) {
	p.Header = forwardable(p.Header, p.Request.ID)
	run := NotRun
	request := p.Request
	for attempt, preemptions := 1, 0; ; attempt++ {
		request.Avoid = f.distrust.extend(f.clock.Now(), request.Avoid)
		slot, err := f.dispatcher.Acquire(ctx, request)
		if err != nil && ctx.Err() != nil {
			return nil, gaveUp(ctx, run)
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
		f.distrust.note(f.clock.Now(), slot.Upstream().Name, err)
		if t.sent.Load() {
			run = MayHaveRun
		}
		// Another upstream may be tried if the call may be repeated, and also
		// if nothing of it was sent.
		again := request.Repeatable || run == NotRun
		if !again || attempt >= maxAttempts || preemptions >= maxPreemptions || ctx.Err() != nil {
			return nil, broken(err, run)
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

// statusClientGone is for logs only; nobody reads the answer.
const statusClientGone = 499

// gaveUp is the end of a call whose wait for a slot was ended by its caller or
// by its own deadline.
func gaveUp(ctx context.Context, run Run) *Error {
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
	// sent is set before the first byte may leave.
	sent atomic.Bool
}

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
		cancel(errLost)
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

// watch reacts to news of the slot of a repeatable call. A hedge is given
// back: plain answers are short, so a second one seldom saves time.
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
				timer.Reset(goneGrace)
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

func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

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
		return unsent(err)
	case errors.Is(err, errBadAnswer), errors.As(err, &status):
		return scheduler.Failed
	}
	return scheduler.Crashed
}

// read checks that the end of the answer can be told from a lost connection
// and reads its first part.
func (t *plainAttempt) read(r *http.Response) (*Answer, error) {
	a := &Answer{Status: r.StatusCode, Header: backward(r.Header), Size: r.ContentLength}
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
		return nil, fmt.Errorf("%w: it is too long", errBadAnswer)
	}
	a.Tail = r.Body
	return a, nil
}

// retryable reports whether a repeatable call may go better elsewhere.
func retryable(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
		return true
	}
	return false
}

// tail is the rest of a long answer. The deadline runs only while the upstream
// is waited for, not while the caller reads.
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

// sendPooled sends a repeatable call on a connection that may have been used.
func (t *plainAttempt) sendPooled(ctx context.Context) (*http.Response, error) {
	request, err := t.newRequest(ctx)
	if err != nil {
		return nil, err
	}
	sent := func(httptrace.GotConnInfo) { t.sent.Store(true) }
	return t.forwarder.pool.pooled(ctx, t.slot.Upstream(), request, sent)
}

// pooled sends the request on a connection that may have been used; connected is called
// before the first byte may leave.
func (p *pool) pooled(ctx context.Context, u registrar.Upstream, request *http.Request, connected func(httptrace.GotConnInfo)) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: connected}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	response, err := p.transport(u.Address).RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("call upstream: %w", err)
	}
	return response, nil
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func withoutHops(h http.Header) http.Header {
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

// forwardable returns the caller's headers for an upstream. The API key stays
// on the entry host.
func forwardable(h http.Header, id scheduler.RequestID) http.Header {
	c := withoutHops(h)
	c.Del("Authorization")
	c.Del("Content-Length")
	c.Del("Amaranth-Class")
	c.Set("X-Request-Id", string(id))
	if _, ok := c["User-Agent"]; !ok {
		c["User-Agent"] = []string{""}
	}
	return c
}

// backward returns an upstream's headers for the caller.
func backward(h http.Header) http.Header {
	c := withoutHops(h)
	c.Del("Content-Length")
	c.Del("X-Request-Id")
	c.Del("Amaranth-Run")
	return c
}
