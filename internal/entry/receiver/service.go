package receiver

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/claimer"
	"github.com/amaranthcart/amaranthcart/internal/entry/forwarder"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// maxKey bounds an idempotency key in bytes.
const maxKey = 255

// callService forwards a call to a plain service.
func callService(c *call) error {
	service := c.index.services[validator.PoolName(c.params.ByName("service"))]
	if service == nil {
		return refuse(http.StatusNotFound, "invalid_request_error", "service_not_found", "the service does not exist", 0)
	}
	path, ok := servicePath(c.request)
	if !ok {
		return badRequest("ambiguous_path", "the path has dot segments, empty segments or encoded separators")
	}
	asked := validator.ClassName(c.request.Header.Get(ClassHeader))
	repeat, class, ok := c.index.serviceRule(service, c.request.Method, path, asked)
	if !ok {
		return badRequest("class_not_permitted", "the service does not permit the class")
	}
	body, err := c.readBody()
	if err != nil {
		return err
	}
	target := path
	if c.request.URL.RawQuery != "" {
		target += "?" + c.request.URL.RawQuery
	}
	c.class = class.Name
	p := forwarder.PlainCall{
		Trace:  &c.trace,
		Class:  class,
		Method: c.request.Method,
		Target: target,
		Header: c.request.Header,
		Body:   body,
		Request: scheduler.Request{
			ID:           c.id,
			Pool:         service.Name,
			Class:        class.Name,
			Organisation: c.organisation.Name,
			Repeatable:   repeat,
			Arrived:      c.arrived,
		},
	}
	key := c.request.Header.Get(KeyHeader)
	if !repeat && key != "" {
		return c.callOnce(p, key)
	}
	return c.forward(p)
}

// servicePath returns the path below the service as it was sent; false means that it is
// ambiguous.
func servicePath(q *http.Request) (string, bool) {
	escaped := strings.TrimPrefix(q.URL.EscapedPath(), "/svc/")
	i := strings.IndexByte(escaped, '/')
	if i < 0 {
		return "/", true
	}
	return escaped[i:], unambiguousPath(escaped[i:])
}

// forward sends the call to an upstream and forwards the answer.
func (c *call) forward(p forwarder.PlainCall) error {
	answer, err := c.receiver.options.Forwarder.Call(c.request.Context(), p)
	if err != nil {
		return err
	}
	h := c.writer.Header()
	h[RunHeader] = []string{string(forwarder.DidRun)}
	if answer.Tail == nil {
		c.writeAnswer(answer.Status, answer.Header, answer.Body, answer.Size)
		return nil
	}
	for name, values := range answer.Header {
		h[name] = values
	}
	if answer.Size >= 0 {
		h.Set("Content-Length", strconv.FormatInt(answer.Size, 10))
	}
	c.writer.WriteHeader(answer.Status)
	err = c.copyTail(answer)
	answer.Close(err)
	if err != nil {
		c.receiver.logger.Info("answer aborted", zap.String("request", string(c.id)), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	return nil
}

// writeAnswer sends an answer that has no tail. size is the declared length for HEAD
// requests, -1 if unknown.
func (c *call) writeAnswer(status int, header http.Header, body []byte, size int64) {
	if c.request.Method != http.MethodHead {
		writeResponse(c.writer, status, header, body)
		return
	}
	for name, values := range header {
		c.writer.Header()[name] = values
	}
	if size >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	c.writer.WriteHeader(status)
}

// copyTail sends the rest of a long answer. Each write must be read within
// writeTimeout.
func (c *call) copyTail(a *forwarder.Answer) error {
	control := http.NewResponseController(c.writer)
	if _, err := c.writer.Write(a.Body); err != nil {
		return err
	}
	buffer := make([]byte, 64<<10)
	for {
		n, err := a.Tail.Read(buffer)
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, failed := c.writer.Write(buffer[:n]); failed != nil {
			return failed
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// callOnce runs a call with an idempotency key at most once.
func (c *call) callOnce(p forwarder.PlainCall, key string) error {
	if len(key) > maxKey {
		return badRequest("key_too_long", fmt.Sprintf("the idempotency key is longer than %d bytes", maxKey))
	}
	if c.receiver.options.Claimer == nil {
		return unavailable("no_quorum", "idempotency keys cannot be honoured now")
	}
	digest := sha256.Sum256([]byte(p.Method + "\x00" + p.Target + "\x00" + string(p.Body)))
	p.Whole = true
	// A claimed call may outlive the request, so it must not write to its trace.
	p.Trace = nil
	k := claimer.Call{
		Organisation: string(c.organisation.Name),
		Service:      string(p.Request.Pool),
		Key:          key,
		Digest:       digest[:],
		Deadline:     forwarder.CallDeadline(p.Class),
	}
	answer, verdict, err := c.receiver.options.Claimer.Do(c.request.Context(), k, func(ctx context.Context) (claimer.Answer, error) {
		a, err := c.receiver.options.Forwarder.Call(ctx, p)
		if err != nil {
			return claimer.Answer{}, markNotRun(err)
		}
		return claimer.Answer{Status: a.Status, Header: a.Header, Body: a.Body}, nil
	})
	if err != nil {
		return claimError(err)
	}
	h := c.writer.Header()
	h[RunHeader] = []string{string(forwarder.DidRun)}
	if verdict == claimer.Replayed {
		h["Idempotent-Replayed"] = []string{"true"}
	}
	c.writeAnswer(answer.Status, answer.Header, answer.Body, int64(len(answer.Body)))
	return nil
}

// markNotRun wraps the error of a call of which nothing was sent with
// claimer.ErrNotRun.
func markNotRun(err error) error {
	var e *forwarder.Error
	if errors.As(err, &e) && e.Run == forwarder.NotRun {
		return fmt.Errorf("%w: %w", claimer.ErrNotRun, err)
	}
	return err
}

// claimError returns the caller's error for a claim that ended without an answer.
func claimError(err error) error {
	var e *forwarder.Error
	if errors.As(err, &e) {
		return e
	}
	conflict := func(code, message string, run forwarder.Run, retry time.Duration) error {
		e := refuse(http.StatusConflict, "invalid_request_error", code, message, retry)
		e.Run = run
		return e
	}
	switch {
	case errors.Is(err, claimer.ErrNoQuorum):
		return unavailable("no_quorum", "the idempotency key could not be recorded")
	case errors.Is(err, claimer.ErrMismatch):
		return refuse(http.StatusUnprocessableEntity, "invalid_request_error", "key_reused", "the idempotency key was used with another request", 0)
	case errors.Is(err, claimer.ErrRunning):
		return conflict("still_running", "the first call with this key still runs", forwarder.MayHaveRun, time.Second)
	case errors.Is(err, claimer.ErrUnknown):
		return conflict("outcome_unknown", "the first call with this key may or may not have run", forwarder.MayHaveRun, 0)
	case errors.Is(err, claimer.ErrTruncated):
		return conflict("answer_not_stored", "the first call with this key ran; its answer was too long to be stored", forwarder.DidRun, 0)
	}
	return err
}
