// Package forwarder calls upstreams on behalf of callers.
//
// A generation, a model's answer to a prompt, is repeatable: if its upstream
// fails, the forwarder resumes the answer at another one after the tokens that
// the caller already has. A plain call is repeated only if the configuration
// allows it; any other is sent once, on a new connection.
//
// # Usage
//
//	f := forwarder.New(forwarder.Options{Dispatcher: d})
//	defer f.Close()
//	err := f.Stream(ctx, generation, sink)    // streamed answer
//	answer, err := f.Collect(ctx, generation) // whole answer
//	answer, err := f.Call(ctx, plain)         // plain service
//
// A failed call returns an *Error with the status for the caller that also tells
// whether the request ran.
package forwarder

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
)

const (
	// maxAttempts bounds the attempts of one request, without those that were
	// preempted.
	maxAttempts = 4
	// maxPreemptions bounds how often a request is preempted before it fails.
	maxPreemptions = 32
)

// Deadlines are derived from a class's targets: a generous multiple of the target,
// because a deadline that passes discards the work done so far, but no less than a
// floor that allows for a queue in a busy engine. The defaults apply to classes
// without the target.
const (
	firstMultiple = 10
	firstFloor    = 2 * time.Second
	firstDefault  = 60 * time.Second
	gapMultiple   = 50
	gapFloor      = 2 * time.Second
	gapDefault    = 15 * time.Second
	totalMultiple = 10
	totalFloor    = 10 * time.Second
	totalDefault  = 5 * time.Minute
	// leaseEndGrace is how long an upstream whose lease has ended may send nothing.
	leaseEndGrace = time.Second
)

// Options configures a Forwarder.
type Options struct {
	Dispatcher dispatcher.Dispatcher
	Clock      clockwork.Clock
	Logger     *zap.Logger
	// TLS returns the configuration for upstreams with https addresses; if it is
	// nil, they are not called.
	TLS dialer.TLS
}

// Forwarder sends requests to the upstreams that the dispatcher grants.
type Forwarder struct {
	dispatcher dispatcher.Dispatcher
	clock      clockwork.Clock
	logger     *zap.Logger
	pool       *pool
	avoided    avoidList
	group      conc.WaitGroup
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return &Forwarder{
		dispatcher: o.Dispatcher,
		clock:      o.Clock,
		logger:     o.Logger.Named("forwarder"),
		pool:       newPool(o.Clock, o.TLS),
	}
}

// Close closes idle connections and waits for attempts that were cancelled. No call may
// be in progress. It always returns nil.
func (f *Forwarder) Close() error {
	f.pool.close()
	f.group.Wait()
	return nil
}

// GenerationCall is one request for a model's answer.
type GenerationCall struct {
	Generation *Generation
	Request    scheduler.Request
	Class      validator.Class
	// Trace is filled in when it is set.
	Trace *Trace
}

// Trace records how a call ran, for the metrics.
type Trace struct {
	// Granted is when the first slot was granted, and First when the first token
	// arrived; zero if that did not happen.
	Granted time.Time
	First   time.Time
	// Tokens counts the tokens of the answer so far.
	Tokens int
	// Wasted counts the tokens of attempts whose text was discarded.
	Wasted int
}

// grant records the first slot.
func (t *Trace) grant(now time.Time) {
	if t != nil && t.Granted.IsZero() {
		t.Granted = now
	}
}

// first records the first token.
func (t *Trace) first(now time.Time) {
	if t != nil && t.First.IsZero() {
		t.First = now
	}
}

// restart counts tokens that were discarded because the answer starts again.
func (t *Trace) restart(tokens int) {
	if t != nil {
		t.Wasted += tokens
	}
}

// end records the tokens of the answer.
func (t *Trace) end(tokens int) {
	if t != nil {
		t.Tokens = tokens
	}
}

// deadlines bound how long an upstream may send nothing: until the first token, between
// tokens, and until the end of an answer that is not streamed.
type deadlines struct {
	first time.Duration
	gap   time.Duration
	total time.Duration
}

func newDeadlines(c validator.Class) deadlines {
	return deadlines{
		first: bound(c.First, firstMultiple, firstFloor, firstDefault),
		gap:   bound(c.Gap, gapMultiple, gapFloor, gapDefault),
		total: bound(c.Total, totalMultiple, totalFloor, totalDefault),
	}
}

// bound returns the multiple of the target but at least the floor, or otherwise if
// there is no target.
func bound(target validator.Duration, multiple int, floor, otherwise time.Duration) time.Duration {
	if target <= 0 {
		return otherwise
	}
	return max(time.Duration(target)*time.Duration(multiple), floor)
}

// CallDeadline returns the longest time that a plain call of the class may take,
// including the wait for a slot.
func CallDeadline(c validator.Class) time.Duration {
	return time.Duration(c.Wait) + newDeadlines(c).total
}
