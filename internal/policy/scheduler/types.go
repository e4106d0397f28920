// Package scheduler decides which request runs next and on which upstream.
//
// # Usage
//
// A Scheduler is a pure state machine for one cell. The owner of the cell passes it
// events with the current time and carries out the returned actions:
//
//	s := scheduler.New(scheduler.WithSeed(1))
//	for _, a := range s.Step(now, scheduler.Submit{Request: r}) {
//		switch a := a.(type) {
//		case scheduler.Grant:
//			// send request a.Request to upstream a.Upstream
//		}
//	}
//
// Step must also be called with Tick at least once every TickInterval.
package scheduler

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/attributor"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

// RequestID identifies a request within the fleet.
type RequestID string

// Rate is a number of requests per second.
type Rate float64

// TickInterval is the longest time allowed between two Tick events.
const TickInterval = 20 * time.Millisecond

// Request describes a request that asks for a slot.
type Request struct {
	ID RequestID
	// Origin is the ID of the caller's request when each further attempt has an ID
	// of its own. When it is empty, ID identifies the caller's request.
	Origin       RequestID
	Pool         validator.PoolName
	Class        validator.ClassName
	Organisation validator.OrganisationName
	// Prompt is the estimated number of prompt tokens.
	Prompt int
	// Limit is the largest number of tokens to generate; 0 means that it is unknown.
	Limit int
	// Prefix holds the hashes of the prompt's blocks, in order. An engine can skip
	// reading a block only if its cache holds that block and all blocks before it.
	Prefix []uint64
	// Ends holds, for each block, the number of prompt tokens up to its end. It is
	// empty when all blocks have the same length.
	Ends []int
	// Rescue allows the request to continue on another upstream when its upstream
	// falls silent, even if the request is not Repeatable.
	Rescue bool
	// Repeatable requests may be retried, hedged, preempted and resumed.
	Repeatable bool
	// Whole marks a request whose answer is not streamed. Its first token arrives
	// with the complete answer, so a late first token says nothing about the
	// upstream, and a hedge would double the work.
	Whole bool
	// Retry marks a further attempt of the same caller request.
	Retry bool
	// Unsent marks a further attempt of a request of which nothing has been sent to an
	// upstream, so that the attempt is no repeat.
	Unsent bool
	// Moved marks a request that an earlier owner of the cell has already admitted.
	// It is not refused because of limits for new requests or a spent retry budget,
	// but waits until the budget allows its repeat.
	Moved bool
	// Cell is the cell in which the last attempt ran. It is empty before the first
	// attempt.
	Cell registrar.CellName
	// Spilled is the other cell to which the request was sent. The request is not
	// sent to a further cell, so that it cannot circulate.
	Spilled registrar.CellName
	// Busy is set when the cell in Spilled refused this request but accepts others.
	Busy bool
	// Emitted is the number of tokens already passed on to the caller.
	Emitted int
	// Avoid lists the upstreams that have already failed the request.
	Avoid []registrar.UpstreamID
	// Host is the entry host that sends the request to its upstream. When it is
	// empty, this is the host of the scheduler.
	Host registrar.HostName
	// Centre is the data centre of that host, or empty if it isn't known.
	Centre registrar.DataCentre
	// Fingerprint identifies the content of the request. It is empty when crashes
	// of the request are not tracked.
	Fingerprint string
	// Parts holds the hashes of the parts of the request that other requests may
	// share, when these are not the blocks of Prefix.
	Parts []uint64
	// Arrived is the time at which the entry host received the request.
	Arrived time.Time
	// Waiting is when the present wait for a slot began; zero if it begins with the
	// submission. It goes on when another scheduler takes the request over.
	Waiting time.Time
}

// origin returns the ID of the caller's request.
func (r Request) origin() RequestID {
	if r.Origin == "" {
		return r.ID
	}
	return r.Origin
}

// Outcome tells how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Completed means that the whole answer was received.
	Completed Outcome = iota
	// Failed means that the upstream ended the attempt with an error.
	Failed
	// Crashed means that the connection was lost while the attempt ran.
	Crashed
	// Abandoned means that the attempt was cancelled because its caller left or its
	// result is not needed any more.
	Abandoned
	// Preempted means that the attempt was cancelled to make room for a higher tier
	// or to continue on another upstream.
	Preempted
	// Silent means that nothing was received from the upstream before a deadline.
	Silent
	// ConnectionRefused means that the upstream's host refused the connection:
	// nothing was sent, and no process listens at the address any more.
	ConnectionRefused
	// ConnectTimeout means that no connection could be made in time: nothing was
	// sent, and the upstream or the network path to it may have failed.
	ConnectTimeout
	// Misdirected means that another process than the upstream's answered at its
	// address and rejected the request: the upstream is gone.
	Misdirected
)

// Reason tells why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	// Overloaded means that the target of the request's class cannot be met.
	Overloaded Reason = "overloaded"
	// NoUpstream means that no live upstream serves the pool.
	NoUpstream Reason = "unavailable"
	// OverLimit means that a limit of the organisation has been reached.
	OverLimit Reason = "limited"
	// Poisonous means that the request has crashed upstreams.
	Poisonous Reason = "poisonous"
	// PoisonousPart means that requests with a part of the request's prompt have
	// crashed upstreams.
	PoisonousPart Reason = "poisonous_part"
	// OutOfRetries means that the retry budget of the pool is spent.
	OutOfRetries Reason = "retries"
	// Elsewhere means that the request should be sent to another cell instead.
	Elsewhere Reason = "elsewhere"
	// Outdated means that the host's view of the upstreams is too old to be relied
	// on: one of them may have started to shut down.
	Outdated Reason = "outdated"
)

// Event is an input of the scheduler.
type Event interface{ event() }

// Configure applies a configuration.
type Configure struct{ Document *validator.Document }

// Observe reports a new or changed upstream.
type Observe struct{ Upstream registrar.Upstream }

// Forget reports that an upstream no longer exists.
type Forget struct{ Upstream registrar.UpstreamID }

// Submit asks for a slot for a request.
type Submit struct{ Request Request }

// Adopt reports a slot that is already in use, after a change of the cell's owner.
type Adopt struct {
	Request  Request
	Upstream registrar.UpstreamID
	// Unread is set when the upstream has not sent a token yet, which means that it
	// is still reading the prompt.
	Unread bool
	// Granted is when the slot was granted, or the zero time if that is not known.
	Granted time.Time
}

// Cancel withdraws a request that waits or runs.
type Cancel struct{ ID RequestID }

// FirstToken reports the first token of an attempt.
type FirstToken struct {
	ID       RequestID
	Upstream registrar.UpstreamID
}

// Progress reports the total number of tokens that an attempt has produced so far.
type Progress struct {
	ID       RequestID
	Upstream registrar.UpstreamID
	Tokens   int
}

// Finished reports the end of an attempt.
type Finished struct {
	ID       RequestID
	Upstream registrar.UpstreamID
	Outcome  Outcome
	Tokens   int
}

// Block is a part of a prompt that an engine may hold in its prefix cache.
type Block struct {
	// Hash is the value that Request.Prefix contains for this block.
	Hash uint64
	// Tokens is the size of the block in tokens.
	Tokens int
}

// Kept reports which prompt blocks an upstream holds in its cache.
type Kept struct {
	Upstream    registrar.UpstreamID
	Incarnation registrar.Incarnation
	Blocks      []Block
}

// Learn reports what other hosts know about requests that crash upstreams, and about
// the parts that these have in common.
type Learn struct {
	Records []detector.Record
	Parts   []attributor.Record
}

// Settle tells whether this scheduler is known to be the only one of the cell, and
// to have learned of the cell's upstreams and of the crashes that other hosts saw.
// Until then, requests that were in flight at a crash wait: two schedulers that
// each count only their own crashes would lose more upstreams to one request than a
// single scheduler does. A request that no known upstream serves also waits, for a
// short time.
type Settle struct{ Settled bool }

// Divide sets the number of hosts among which the cell is divided while each of
// them schedules on its own. It is 1 while this scheduler has the whole cell.
type Divide struct{ Hosts int }

// Tick lets the scheduler do its periodic work.
type Tick struct {
	// Unheard lists the hosts with running attempts that can't be heard at present, so
	// that they can't report the activity of upstreams.
	Unheard []registrar.HostName
	// Late is how much later than planned the tick begins. Events of other hosts wait as
	// long.
	Late time.Duration
}

func (Configure) event()  {}
func (Observe) event()    {}
func (Forget) event()     {}
func (Submit) event()     {}
func (Adopt) event()      {}
func (Cancel) event()     {}
func (FirstToken) event() {}
func (Progress) event()   {}
func (Finished) event()   {}
func (Kept) event()       {}
func (Learn) event()      {}
func (Settle) event()     {}
func (Divide) event()     {}
func (Tick) event()       {}

// Action is an output of the scheduler.
type Action interface{ action() }

// Grant gives a request a slot on an upstream.
type Grant struct {
	ID       RequestID
	Upstream registrar.UpstreamID
	// Priority is passed to the engine; lower values run earlier.
	Priority int
	// Predicted is the predicted time to the first token, or 0 when it is unknown.
	Predicted time.Duration
}

// Refuse rejects a waiting request. The request gets no further answer.
type Refuse struct {
	ID     RequestID
	Reason Reason
	// RetryAfter is the time after which the caller should try again.
	RetryAfter time.Duration
	// Cell is the cell to send the request to when the reason is Elsewhere.
	Cell registrar.CellName
	// Predicted is the wait that was predicted for the request, and Ahead the
	// number of requests that were waiting.
	Predicted time.Duration
	Ahead     int
	// Obstacle tells what kept the request from getting a slot.
	Obstacle Obstacle
}

// Obstacle tells what kept a request from getting a slot the last time that the
// scheduler tried to place it.
type Obstacle string

// Obstacles.
const (
	// Unconsidered means that the scheduler never tried to place the request,
	// because requests ahead of it took all capacity.
	Unconsidered Obstacle = "turn"
	// FullSlots means that no upstream had a free slot.
	FullSlots Obstacle = "slots"
	// FullMemory means that no engine with a free slot had enough memory for the
	// request.
	FullMemory Obstacle = "memory"
	// LongReading means that the best engine had too much prompt reading queued.
	LongReading Obstacle = "reading"
	// SharedReading means that the best engine was already reading a shared part of
	// the prompt for another request.
	SharedReading Obstacle = "shared"
	// Crest means that what its organisation has waiting, and what is ahead of that, would
	// keep the engines reading past the request's target.
	Crest Obstacle = "crest"
	// NoRetries means that the retry budget allowed no further repeat.
	NoRetries Obstacle = "retries"
	// RateLimited means that the rate limits of the upstreams allowed no further
	// request.
	RateLimited Obstacle = "rate"
)

// Preempt asks for an attempt to be cancelled. The request is then submitted again
// with the tokens that it already has.
type Preempt struct {
	ID       RequestID
	Upstream registrar.UpstreamID
	Cause    Cause
	// Urgent is the request that takes the slot when the cause is Precedence.
	Urgent RequestID
}

// Cause tells why an attempt is preempted.
type Cause string

// Causes of a Preempt.
const (
	// Precedence means that a request of a higher tier would otherwise miss its
	// target.
	Precedence Cause = "precedence"
	// SilentUpstream means that nothing has been received from the upstream for too
	// long.
	SilentUpstream Cause = "silent"
	// SlowUpstream means that the rest of the answer takes less time on another
	// upstream.
	SlowUpstream Cause = "slow"
	// BlamedPart means that the request has a part that crashes upstreams.
	BlamedPart Cause = "part"
)

// Silence reports that nothing has been received for too long from an upstream that
// has work. The upstream gets no more work for a time.
type Silence struct {
	Upstream registrar.UpstreamID
	// Quiet is the time since the upstream's last activity.
	Quiet time.Duration
	// Pause is how long the upstream gets no work, provided that other upstreams
	// can take it.
	Pause time.Duration
}

// ReadingSpeed reports that the estimated time which engines need to read a prompt
// has changed.
type ReadingSpeed struct {
	Pool validator.PoolName
	// Before and After are the times for one prompt token.
	Before, After time.Duration
	// Tokens is the number of prompt tokens that the estimate is based on; older
	// ones count in part.
	Tokens int
}

// Hedge starts a second attempt of a running request on another upstream.
type Hedge struct {
	ID       RequestID
	Upstream registrar.UpstreamID
	Priority int
}

func (Grant) action()        {}
func (Refuse) action()       {}
func (Preempt) action()      {}
func (Silence) action()      {}
func (ReadingSpeed) action() {}
func (Hedge) action()        {}
