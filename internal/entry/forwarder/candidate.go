package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/verifier"
)

const (
	// maxWhole bounds a whole answer in bytes.
	maxWhole = 32 << 20
	// maxErrorBody bounds the body of an upstream's refusal in bytes; the rest is
	// dropped.
	maxErrorBody = 64 << 10
	// maxHead bounds the number of events up to the first token.
	maxHead = 64
)

// candidate is one attempt at one upstream. Of the candidates of a request, the one
// with the first token gives the answer.
type candidate struct {
	forwarder *Forwarder
	slot      dispatcher.Slot
	context   context.Context
	cancel    context.CancelCauseFunc
	transport *agedTransport
	stream    bool
	response  *http.Response
	events    *EventReader
	// head holds the events up to and including the first token.
	head []headEvent
	// done is set when the stream ended within the head.
	done bool
	// body is the body of an answer that is not streamed.
	body []byte
	// connected is set when there was a connection on which to send the request; reused
	// is set if it had been used before.
	connected atomic.Bool
	reused    atomic.Bool
	answered  bool
	err       error

	// eventMu is held while an event is forwarded, so that the attempt is preempted
	// only between two events. It guards preempted, which is set when the scheduler has
	// preempted the attempt.
	eventMu   sync.Mutex
	preempted bool
}

// stopIfPreempted ends a preempted attempt if another one can resume the answer;
// otherwise the attempt keeps its slot, because the answer would be cut off.
func (c *candidate) stopIfPreempted(continuable func() bool) error {
	if !c.preempted || !continuable() {
		return nil
	}
	c.cancel(errPreempted)
	return errPreempted
}

// headEvent is an event up to the first token.
type headEvent struct {
	data  []byte
	chunk *chunk
}

// statusError is an upstream's answer with an error status.
type statusError struct{ status int }

// Error names the status.
func (e *statusError) Error() string {
	return fmt.Sprintf("upstream answered with status %d", e.status)
}

// newCandidate prepares an attempt that ends with ctx.
func (f *Forwarder) newCandidate(ctx context.Context, slot dispatcher.Slot, stream bool) *candidate {
	c := &candidate{forwarder: f, slot: slot, stream: stream}
	c.context, c.cancel = context.WithCancelCause(ctx)
	c.transport = f.pool.transport(slot.Upstream().Address)
	return c
}

// connect sends the request and reads up to the first token, or to the end of an answer
// that is not streamed. The error is stored in err.
func (c *candidate) connect(call *GenerationCall, text string, emitted int) {
	c.err = c.send(call, text, emitted)
	if c.err != nil {
		return
	}
	if c.stream {
		c.err = c.readHead()
		return
	}
	c.err = c.readWhole()
}

// send sends the request and reads the status and headers of the answer.
func (c *candidate) send(call *GenerationCall, text string, emitted int) error {
	g := call.Generation
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c.reused.Store(i.Reused)
		c.connected.Store(true)
	}}
	body := g.body(c.stream, c.slot.Priority(), text, emitted)
	url := c.slot.Upstream().URL() + g.Kind.path()
	ctx := httptrace.WithClientTrace(c.context, trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	// The session counts its attempts, so the transport must not retry any.
	request.GetBody = nil
	request.Header["Content-Type"] = []string{"application/json"}
	request.Header["X-Request-Id"] = []string{string(call.Request.ID)}
	c.response, err = c.transport.RoundTrip(request)
	if err != nil {
		return fmt.Errorf("call upstream: %w", err)
	}
	if c.response.StatusCode == http.StatusOK {
		c.answered = true
		return nil
	}
	return c.refused()
}

// refused handles an answer that is not a success. If the request is at fault, the
// upstream's answer is the final one; after any other status another upstream may
// succeed.
func (c *candidate) refused() error {
	status := c.response.StatusCode
	if status < 400 || status >= 500 || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusNotFound {
		return &statusError{status}
	}
	body, err := io.ReadAll(io.LimitReader(c.response.Body, maxErrorBody))
	if err != nil {
		return fmt.Errorf("read refusal: %w", err)
	}
	return &Error{
		Status:  status,
		Type:    "invalid_request_error",
		Code:    "upstream_refused",
		Message: "the engine refused the request",
		Run:     DidRun,
		Answer: &Answer{
			Status: status,
			Header: http.Header{"Content-Type": c.response.Header["Content-Type"]},
			Body:   body,
		},
	}
}

// readHead reads the events up to the first token.
func (c *candidate) readHead() error {
	kind, _, err := mime.ParseMediaType(c.response.Header.Get("Content-Type"))
	if err != nil || kind != "text/event-stream" {
		return fmt.Errorf("%w: content type is not an event stream", errBadAnswer)
	}
	c.events = NewEventReader(c.response.Body)
	for len(c.head) < maxHead {
		data, err := c.events.Next()
		if err != nil {
			return endError(err)
		}
		if bytes.Equal(data, doneMark) {
			c.done = true
			return nil
		}
		k, err := decodeChunk(data)
		if err != nil {
			return fmt.Errorf("%w: %w", errBadAnswer, err)
		}
		if k.failed {
			return fmt.Errorf("%w: error event", errBadAnswer)
		}
		c.head = append(c.head, headEvent{bytes.Clone(data), k})
		if k.hasToken() {
			return nil
		}
	}
	return fmt.Errorf("%w: no token in %d events", errBadAnswer, maxHead)
}

// readWhole reads an answer that is not streamed and checks that it is complete.
func (c *candidate) readWhole() error {
	body, err := io.ReadAll(io.LimitReader(c.response.Body, maxWhole+1))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if len(body) > maxWhole {
		return fmt.Errorf("%w: its body is too long", errBadAnswer)
	}
	k, err := decodeChunk(body)
	if err != nil {
		return fmt.Errorf("%w: %w", errBadAnswer, err)
	}
	if len(k.choices) == 0 {
		return fmt.Errorf("%w: it has no choices", errBadAnswer)
	}
	for i := range k.choices {
		if k.choices[i].finish == "" {
			return errNoEnd
		}
	}
	c.body = body
	return nil
}

// close ends the attempt and releases its slot.
func (c *candidate) close(o scheduler.Outcome, tokens int) {
	c.cancel(errDiscarded)
	if c.response != nil {
		_ = c.response.Body.Close()
	}
	if c.events != nil {
		c.events.Close()
		c.events = nil
	}
	c.slot.Release(o, tokens)
	returnHedge(c.slot)
}

// returnHedge releases a hedge that was granted too late to be used.
func returnHedge(s dispatcher.Slot) {
	select {
	case h, ok := <-s.Hedged():
		if ok && h != nil {
			h.Release(scheduler.Abandoned, 0)
		}
	default:
	}
}

// outcome returns the scheduler's outcome for the error that ended the attempt.
func (c *candidate) outcome(err error) scheduler.Outcome {
	switch cause := context.Cause(c.context); {
	case errors.Is(cause, errPreempted):
		return scheduler.Preempted
	case errors.Is(cause, errSilent):
		return scheduler.Silent
	case errors.Is(cause, errLeaseEnded):
		return scheduler.Crashed
	case cause != nil:
		return scheduler.Abandoned
	}
	var status *statusError
	var final *Error
	switch {
	case errors.As(err, &status), errors.As(err, &final):
		return scheduler.Failed
	case errors.Is(err, errNoEnd), errors.Is(err, errBadAnswer), errors.Is(err, errEventTooLong), errors.Is(err, verifier.ErrBroken):
		return scheduler.Failed
	case !c.connected.Load():
		return unsentOutcome(err)
	case c.closedWhileIdle(err):
		return scheduler.Failed
	}
	return scheduler.Crashed
}

// unsentOutcome returns the scheduler's outcome for the error of an attempt of which
// nothing was sent.
func unsentOutcome(err error) scheduler.Outcome {
	switch {
	case errors.Is(err, ErrWithheld):
		return scheduler.Abandoned
	case errors.Is(err, syscall.ECONNREFUSED):
		return scheduler.ConnectionRefused
	case connectTimedOut(err):
		return scheduler.ConnectTimeout
	}
	return scheduler.Failed
}

// closedWhileIdle reports whether the upstream had closed the idle connection before
// the request was sent on it, or had sent something on it, which tells nothing about the
// upstream. The transport's error for the first case is not exported.
func (c *candidate) closedWhileIdle(err error) bool {
	return errors.Is(err, verifier.ErrEarly) || c.reused.Load() && strings.Contains(err.Error(), "server closed idle connection")
}

// endError returns errNoEnd for the end of a stream without its end marker, and other
// errors unchanged.
func endError(err error) error {
	if err == io.EOF {
		return errNoEnd
	}
	return err
}
