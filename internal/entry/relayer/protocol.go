package relayer

import (
	"net/http"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// Protocol translates between the headers of callers and upstreams and the types of
// this package.
type Protocol interface {
	// Intent reads what the caller states about its request.
	Intent(q *http.Request) Intent
	// Prepare turns a caller's headers into the headers for an upstream.
	Prepare(h http.Header, o Instructions)
	// Reply reads what the upstream states about its response.
	Reply(r *http.Response) Reply
	// Refuse adds the headers of a refusal.
	Refuse(h http.Header, r Refusal)
}

// Intent is what a caller states about its request.
type Intent struct {
	// ID identifies this request; each retry by the caller has another ID.
	ID string
	// Key is the API key; empty when there is none.
	Key string
	// MaxWait is how long the caller waits for the response; 0 if it doesn't say.
	MaxWait time.Duration
	// Prompt lists the parts of the prompt in order; parts with equal IDs are
	// equal.
	Prompt []Part
	// Tokens is the length of the prompt in tokens, and Limit the largest number of
	// tokens to generate; 0 if the caller doesn't say.
	Tokens, Limit int
	// LastEventID is the last event that the caller received from an earlier
	// stream; empty if there is none.
	LastEventID string
}

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Instructions is what an upstream is told in addition to the caller's own headers.
type Instructions struct {
	// Upstream names the only process that may run the request.
	Upstream string
	// TimeLeft is the time remaining until the request's deadline.
	TimeLeft time.Duration
	// Organisation is the owner of the caller's key; empty on routes that need no key.
	Organisation validator.OrganisationName
	// Priority orders requests at an engine; lower values are served earlier.
	Priority int
	// Model is set for requests to engines that serve models.
	Model bool
	// LastEventID is the last event of the stream that this upstream resumes; if
	// empty, the caller's own header is kept.
	LastEventID string
}

// Reply is what an upstream states about its response.
type Reply struct {
	// ID identifies the request that the response belongs to.
	ID string
	// Signed is set when the response carries the upstream's proof that it made it.
	Signed bool
	// NotRun is set when the request has not run and never will.
	NotRun bool
	// Leaving is set when the upstream takes no new work.
	Leaving bool
	// Pause is how long the upstream wants no requests from this host; 0 if it doesn't
	// say.
	Pause time.Duration
	// Rate is the number of requests a second that the upstream accepts from all hosts
	// together; 0 if it names no limit.
	Rate scheduler.Rate
	// RateUnknown is set when the response doesn't tell whether there is a limit: the
	// value can't be parsed, or it comes from another upstream.
	RateUnknown bool
}

// Refusal describes an error response that the system itself sends.
type Refusal struct {
	// Retry is the time after which the caller should retry; 0 if a retry is of no use.
	Retry time.Duration
}
