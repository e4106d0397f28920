package relayer

import (
	"net/http"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// Protocol translates between the headers of callers and upstreams and the terms
// of this package.
type Protocol interface {
	// Intent reads what a caller says about its request.
	Intent(q *http.Request) Intent
	// Prepare turns a caller's headers into those for an upstream.
	Prepare(h http.Header, o Instructions)
	// Reply reads what an upstream says about its answer.
	Reply(r *http.Response) Reply
	// Refuse adds what callers need to know about a refusal.
	Refuse(h http.Header, r Refusal)
}

// Intent is what a caller says about its request.
type Intent struct {
	// ID identifies this request, not its repetitions by the caller.
	ID string
	// Key is the API key; empty when there is none.
	Key string
	// MaxWait is how long the caller waits; 0 when it doesn't say.
	MaxWait time.Duration
	// Prompt lists the parts of a prompt in order; parts with equal IDs are
	// equal.
	Prompt []Part
	// Tokens is the length of the prompt, and Limit the largest number of tokens
	// to generate; 0 when the caller doesn't say.
	Tokens, Limit int
	// LastEventID is the last event that the caller has of an earlier stream.
	LastEventID string
}

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Instructions is what an upstream is told beside the caller's own headers.
type Instructions struct {
	// Upstream is the only process that may run the request.
	Upstream string
	// TimeLeft is how long the answer is of use.
	TimeLeft time.Duration
	// Organisation holds the caller's key; empty on routes that need none.
	Organisation validator.OrganisationName
	// Priority orders requests at an engine; lower is earlier.
	Priority int
	// Model is set for requests to engines.
	Model bool
	// LastEventID is the last event of a stream that goes on here; empty keeps what
	// the caller sent.
	LastEventID string
}

// Reply is what an upstream says about its answer.
type Reply struct {
	// ID is the request that the answer belongs to.
	ID string
	// Signed answers carry the upstream's proof that it made them.
	Signed bool
	// NotRun says that the request has not run and never will.
	NotRun bool
	// Leaving says that the upstream takes no new work.
	Leaving bool
	// Pause is how long the upstream wants nothing from this host; 0 when it didn't
	// say.
	Pause time.Duration
	// Rate is the requests a second that the upstream takes from all hosts together; 0
	// when it names no limit.
	Rate scheduler.Rate
	// RateUnknown is set when the answer doesn't tell whether there is a limit: what it
	// says can't be read, or comes from another upstream.
	RateUnknown bool
}

// Refusal is an answer of the system's own.
type Refusal struct {
	// Retry is when the caller should come back; 0 when that is of no use.
	Retry time.Duration
}
