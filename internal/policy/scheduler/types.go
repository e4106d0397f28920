// Package scheduler decides which request runs next and on which upstream.
//
// # Usage
//
// A Scheduler is a pure state machine for one cell. The owner of the cell
// feeds it events with the current time and carries out the actions:
//
//	s := scheduler.New(scheduler.WithSeed(1))
//	for _, a := range s.Step(now, scheduler.Submit{Request: r}) {
//		switch a := a.(type) {
//		case scheduler.Grant:
//			// send request a.Request to upstream a.Upstream
//		}
//	}
//
// Step must also be called with Tick at least every TickInterval.
package scheduler

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

// RequestID identifies a request in the fleet.
type RequestID string

// Rate is a number of requests a second.
type Rate float64

// TickInterval is the longest time between two Tick events.
const TickInterval = 20 * time.Millisecond

// Request describes work that waits for a slot.
type Request struct {
	ID RequestID
	// Origin identifies the caller's request when further attempts of it have
	// IDs of their own; empty means that ID does.
	Origin       RequestID
	Pool         validator.PoolName
	Class        validator.ClassName
	Organisation validator.OrganisationName
	// Prompt is the estimated number of prompt tokens.
	Prompt int
	// Limit is the largest number of tokens to generate; zero means unknown.
	Limit int
	// Prefix identifies the prompt's blocks, in order. An engine reads a block again
	// unless it keeps this one and all before it.
	Prefix []uint64
	// Ends holds the number of prompt tokens up to the end of each block; empty
	// when the blocks have equal lengths.
	Ends []int
	// Rescue lets the request go on elsewhere when its upstream falls silent,
	// also where it is not Repeatable.
	Rescue bool
	// Repeatable requests may be retried, hedged, preempted and resumed.
	Repeatable bool
	// Whole marks an answer that comes in one piece: its first token is its
	// end, so that a late one tells nothing and a hedge would double its work.
	Whole bool
	// Retry marks a further attempt of the same caller request.
	Retry bool
	// Moved marks a request that another owner of the cell has admitted; it
	// counts against no limit or budget again.
	Moved bool
	// Cell is the cell in which the last attempt ran; empty before the first.
	Cell registrar.CellName
	// Spilled is the other cell that the request was sent to. It is sent to no
	// further one, so that it cannot circle.
	Spilled registrar.CellName
	// Busy is set when that cell refused this request, but takes others.
	Busy bool
	// Emitted is the number of tokens already passed to the caller.
	Emitted int
	// Avoid lists upstreams that already failed the request.
	Avoid []registrar.UpstreamID
	// Host is the entry host that sends the request to its upstream; empty means
	// that of the scheduler.
	Host registrar.HostName
	// Fingerprint identifies the content; empty when it is not tracked.
	Fingerprint string
	// Arrived is when the entry host received the request.
	Arrived time.Time
}

// origin identifies the caller's request.
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
	// Failed means that the upstream broke the attempt off.
	Failed
	// Crashed means that the connection was lost while the attempt ran.
	Crashed
	// Abandoned means that the caller went away or lost interest.
	Abandoned
	// Preempted means that the attempt was cancelled for a higher tier or to go
	// on elsewhere.
	Preempted
	// Silent means that a deadline passed without news.
	Silent
	// ConnectionRefused means that the upstream's host refused the connection:
	// nothing was sent, and no process listens there any more.
	ConnectionRefused
	// ConnectTimeout means that no connection could be made in time: nothing was
	// sent, and the upstream or the way to it may be lost.
	ConnectTimeout
)

// Reason tells why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	// Overloaded means that the target cannot be met.
	Overloaded Reason = "overloaded"
	// NoUpstream means that no live upstream serves the pool.
	NoUpstream Reason = "unavailable"
	// OverLimit means that the organisation's limit is reached.
	OverLimit Reason = "limited"
	// Poisonous means that the request has crashed upstreams.
	Poisonous Reason = "poisonous"
	// OutOfRetries means that the retry budget is spent.
	OutOfRetries Reason = "retries"
	// Elsewhere means that another cell should be asked in place of this one.
	Elsewhere Reason = "elsewhere"
	// Outdated means that the host's view of the upstreams is too old: one of them may
	// have left.
	Outdated Reason = "outdated"
)

// Event is an input of the scheduler.
type Event interface{ event() }

// Configure puts a configuration in force.
type Configure struct{ Document *validator.Document }

// Observe reports a new or changed upstream.
type Observe struct{ Upstream registrar.Upstream }

// Forget reports that an upstream has gone.
type Forget struct{ Upstream registrar.UpstreamID }

// Submit asks for a slot.
type Submit struct{ Request Request }

// Adopt reports a slot already in use, after a change of the cell's owner.
type Adopt struct {
	Request  Request
	Upstream registrar.UpstreamID
	// Unread is set when the upstream has brought no token yet: it still reads the
	// prompt.
	Unread bool
}

// Cancel withdraws a request that waits or runs.
type Cancel struct{ ID RequestID }

// FirstToken reports the first token of an attempt.
type FirstToken struct {
	ID       RequestID
	Upstream registrar.UpstreamID
}

// Progress reports the total number of tokens of an attempt.
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

// Block is a part of a prompt that engines may keep.
type Block struct {
	// Hash is the one that prompts with the part have in their prefix.
	Hash uint64
	// Tokens is its size.
	Tokens int
}

// Kept reports which parts of prompts an upstream keeps.
type Kept struct {
	Upstream    registrar.UpstreamID
	Incarnation registrar.Incarnation
	Blocks      []Block
}

// Learn reports what other hosts know about requests that crash upstreams.
type Learn struct{ Records []detector.Record }

// Settle tells whether this scheduler is known to be the only one of the cell
// and to have heard of its upstreams and of the crashes that the others saw.
// Until then requests that have met a crash wait: two schedulers that each count
// their own crashes would lose more upstreams to one request than one does. So
// does a request that no known upstream serves, for a short time.
type Settle struct{ Settled bool }

// Divide tells among how many hosts the cell is divided while each schedules on
// its own; 1 while this scheduler has the whole cell.
type Divide struct{ Hosts int }

// Tick lets time pass.
type Tick struct{}

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

// Grant gives a request a slot.
type Grant struct {
	ID       RequestID
	Upstream registrar.UpstreamID
	// Priority is passed to the engine; lower is earlier.
	Priority int
	// Predicted is the predicted time to the first token; 0 when unknown.
	Predicted time.Duration
}

// Refuse is the final answer to a request that waits.
type Refuse struct {
	ID     RequestID
	Reason Reason
	// RetryAfter tells the caller when to come back.
	RetryAfter time.Duration
	// Cell is the one to ask when the reason is Elsewhere.
	Cell registrar.CellName
	// Predicted is the wait that was predicted for the request, and Ahead the
	// number of requests that waited.
	Predicted time.Duration
	Ahead     int
	// Obstacle is what kept the request from a slot.
	Obstacle Obstacle
}

// Obstacle is what kept a request from a slot when it was considered last.
type Obstacle string

// Obstacles.
const (
	// Unconsidered means that requests before it took what there was.
	Unconsidered Obstacle = "turn"
	// FullSlots means that no upstream had a free slot.
	FullSlots Obstacle = "slots"
	// FullMemory means that no engine with a free slot had memory for the request.
	FullMemory Obstacle = "memory"
	// LongReading means that the best engine had too much to read before it.
	LongReading Obstacle = "reading"
	// SharedReading means that the best engine was reading a part of the prompt for
	// another request.
	SharedReading Obstacle = "shared"
	// RateLimited means that the rate limits of the upstreams allowed none.
	RateLimited Obstacle = "rate"
)

// Preempt asks for an attempt to be cancelled; the request is submitted again
// with the tokens that it already has.
type Preempt struct {
	ID       RequestID
	Upstream registrar.UpstreamID
	Cause    Cause
	// Urgent is the request that it gives way to, when the cause is that.
	Urgent RequestID
}

// Cause tells why an attempt is cancelled.
type Cause string

// Causes of a Preempt.
const (
	// Precedence means that a higher tier would miss its target otherwise.
	Precedence Cause = "precedence"
	// SilentUpstream means that the upstream shows no sign of life.
	SilentUpstream Cause = "silent"
	// SlowUpstream means that the rest takes less time elsewhere.
	SlowUpstream Cause = "slow"
)

// Silence reports that an upstream with work shows no sign of life and gets no more
// for a time.
type Silence struct {
	Upstream registrar.UpstreamID
	// Quiet is the time since its last sign of life.
	Quiet time.Duration
	// Pause is how long it gets no work, while other upstreams can.
	Pause time.Duration
}

// ReadingSpeed reports that the time which engines are believed to need for a prompt has
// changed.
type ReadingSpeed struct {
	Pool validator.PoolName
	// Before and After are the times for one token.
	Before, After time.Duration
	// Tokens is how many the observations behind it cover, the older ones in part.
	Tokens int
}

// Hedge starts a second attempt of a request that runs.
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
