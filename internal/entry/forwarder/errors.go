package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// Run tells whether a request was run by an upstream.
type Run string

// Verdicts on whether a request ran.
const (
	// NotRun is said only if no byte of the request left for an upstream.
	NotRun Run = "no"
	// DidRun means that an upstream answered.
	DidRun Run = "yes"
	// MayHaveRun means that bytes may have left and no whole answer came.
	MayHaveRun Run = "unknown"
)

// Error is the final answer to a request that failed.
type Error struct {
	Status int
	// Type and Code follow the OpenAI error shape.
	Type       string
	Code       string
	Message    string
	RetryAfter time.Duration
	Run        Run
	// Answer is the upstream's own answer, which is passed on.
	Answer *Answer
	cause  error
}

// Error describes the failure for logs.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// busyRetry is advised when upstreams refuse work that they were granted.
const busyRetry = time.Second

func busy(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// Causes that end an attempt.
var (
	errSilent    = errors.New("upstream went silent")
	errPreempted = errors.New("attempt was preempted")
	errGone      = errors.New("lease of the upstream ended and no data followed")
	errPanicked  = errors.New("attempt panicked")
	errLost      = errors.New("another attempt was faster")
	errNoEnd     = errors.New("stream ended without its end marker")
	errBadAnswer = errors.New("upstream sent an answer that is not valid")
)

// refusal maps a refused slot to the final answer.
func refusal(err error, run Run) *Error {
	var refused *dispatcher.RefusedError
	if !errors.As(err, &refused) {
		return &Error{
			Status:  http.StatusServiceUnavailable,
			Type:    "server_error",
			Code:    "dispatch_failed",
			Message: "no slot could be obtained",
			Run:     run,
			cause:   err,
		}
	}
	e := &Error{
		Status:     http.StatusServiceUnavailable,
		Type:       "server_error",
		Code:       string(refused.Reason),
		RetryAfter: refused.RetryAfter,
		Run:        run,
		cause:      err,
	}
	switch refused.Reason {
	case scheduler.Overloaded:
		e.Message = "the latency target cannot be met now"
	case scheduler.NoUpstream:
		e.Message = "no live upstream serves this request"
	case scheduler.OverLimit:
		e.Status = http.StatusTooManyRequests
		e.Type = "rate_limit_error"
		e.Message = "the organisation's limit is reached"
	case scheduler.Poisonous:
		// Clients of the OpenAI protocol repeat 409, 429 and 5xx by
		// themselves, and this request must not come again.
		e.Status = http.StatusUnprocessableEntity
		e.Type = "invalid_request_error"
		e.RetryAfter = 0
		e.Message = "this request has crashed upstreams and is not run again"
	case scheduler.OutOfRetries:
		e.Message = "the upstream failed and the retry budget is spent"
	default:
		e.Message = "the request was refused"
	}
	return e
}

// broken is the final answer after the last attempt failed.
func broken(cause error, run Run) *Error {
	e := &Error{
		Status:  http.StatusBadGateway,
		Type:    "server_error",
		Code:    "upstream_failed",
		Message: "the upstream broke the answer off",
		Run:     run,
		cause:   cause,
	}
	var status *statusError
	switch {
	case errors.Is(cause, errSilent):
		e.Status = http.StatusGatewayTimeout
		e.Code = "upstream_silent"
		e.Message = "the upstream did not answer in time"
	case errors.As(cause, &status) && busy(status.status):
		e.Status = http.StatusServiceUnavailable
		e.Code = "upstream_busy"
		e.Message = "the upstreams take no more work now"
		e.RetryAfter = busyRetry
	}
	return e
}
