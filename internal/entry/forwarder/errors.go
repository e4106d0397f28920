package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// Run tells whether an upstream ran a request.
type Run string

// Values of Run; they are sent to callers in the header Amaranth-Run.
const (
	// NotRun means that no byte of the request was sent to an upstream.
	NotRun Run = "no"
	// DidRun means that an upstream answered.
	DidRun Run = "yes"
	// MayHaveRun means that bytes may have been sent and no complete answer arrived.
	MayHaveRun Run = "unknown"
)

// Error is the final answer to a request that failed.
type Error struct {
	Status int
	// Type and Code are fields of the OpenAI error format.
	Type       string
	Code       string
	Message    string
	RetryAfter time.Duration
	Run        Run
	// Answer is the upstream's own answer, which is forwarded; nil if there is none.
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

// busyRetry is the Retry-After when upstreams refuse requests for which they had
// granted slots.
const busyRetry = time.Second

// meansBusy reports whether an upstream's status means that it takes no more work now.
func meansBusy(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// Errors and cancellation causes that end an attempt.
var (
	errSilent     = errors.New("upstream went silent")
	errPreempted  = errors.New("attempt was preempted")
	errLeaseEnded = errors.New("lease of the upstream ended and it sent no more data")
	errPanicked   = errors.New("attempt panicked")
	errDiscarded  = errors.New("attempt is no longer needed")
	errNoEnd      = errors.New("stream ended without its end marker")
	errBadAnswer  = errors.New("upstream sent an answer that is not valid")
)

// refusal returns the final answer to a request that got no slot.
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
		// OpenAI client libraries automatically retry 409, 429 and 5xx, and
		// this request must not be retried.
		e.Status = http.StatusUnprocessableEntity
		e.Type = "invalid_request_error"
		e.RetryAfter = 0
		e.Message = "this request has crashed upstreams and is not run again"
	case scheduler.PoisonousPart:
		e.Message = "requests with a part of this prompt have crashed upstreams and are not run for now"
	case scheduler.OutOfRetries:
		e.Message = "the upstream failed and the retry budget is spent"
	default:
		e.Message = "the request was refused"
	}
	return e
}

// finalFailure returns the final answer to a request whose last attempt failed.
func finalFailure(cause error, run Run) *Error {
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
	case errors.As(cause, &status) && meansBusy(status.status):
		e.Status = http.StatusServiceUnavailable
		e.Code = "upstream_busy"
		e.Message = "the upstreams take no more work now"
		e.RetryAfter = busyRetry
	}
	return e
}
