// Package forwarder calls upstreams on behalf of callers.
//
// A generation is repeatable: when its upstream fails, the forwarder resumes
// the answer on another one after the tokens that the caller already has. A
// plain call is repeated only if the configuration marks it so; any other is
// sent once, on a connection of its own.
//
// # Usage
//
//	f := forwarder.New(forwarder.Options{Dispatcher: d})
//	defer f.Close()
//	err := f.Stream(ctx, call, sink)      // streamed answer
//	answer, err := f.Collect(ctx, call)   // whole answer
//	answer, err := f.Call(ctx, plainCall) // plain service
//
// A failed call returns an *Error with the status for the caller and the
// verdict on whether the request ran.
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
	// maxAttempts bounds the attempts of one request, preemptions aside.
	maxAttempts = 4
	// maxPreemptions bounds how often a request gives way before it fails.
	maxPreemptions = 32
)

// Deadlines are derived from a class's targets: a generous multiple, because
// a deadline that passes costs the work done so far, but not less than a floor
// that covers a queue in a busy engine.
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
	// goneGrace is how long an upstream whose lease has ended may be silent.
	goneGrace = time.Second
)

// Options configures a Forwarder.
type Options struct {
	Dispatcher dispatcher.Dispatcher
	Clock      clockwork.Clock
	Logger     *zap.Logger
	// TLS is for upstreams with https addresses; without it they are not called.
	TLS dialer.TLS
}

// Forwarder sends requests to the upstreams that the dispatcher grants.
type Forwarder struct {
	dispatcher dispatcher.Dispatcher
	clock      clockwork.Clock
	logger     *zap.Logger
	pool       *pool
	distrust   distrust
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

// Close closes idle connections and waits for attempts that were cancelled.
// No call may be in progress.
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

// Trace tells how a call ran, for the measures.
type Trace struct {
	// Granted is when the first slot was obtained, and First when the first
	// token arrived; zero if that did not happen.
	Granted time.Time
	First   time.Time
	// Tokens counts the tokens of the answer so far.
	Tokens int
	// Wasted counts tokens of attempts whose text was thrown away.
	Wasted int
}

func (t *Trace) grant(now time.Time) {
	if t != nil && t.Granted.IsZero() {
		t.Granted = now
	}
}

func (t *Trace) first(now time.Time) {
	if t != nil && t.First.IsZero() {
		t.First = now
	}
}

func (t *Trace) restart(tokens int) {
	if t != nil {
		t.Wasted += tokens
	}
}

func (t *Trace) end(tokens int) {
	if t != nil {
		t.Tokens = tokens
	}
}

// deadlines bound the silence of an upstream.
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

func bound(target validator.Duration, multiple int, floor, otherwise time.Duration) time.Duration {
	if target <= 0 {
		return otherwise
	}
	return max(time.Duration(target)*time.Duration(multiple), floor)
}

// CallDeadline is the longest time that a plain call of the class may take,
// including its wait for a slot.
func CallDeadline(c validator.Class) time.Duration {
	return time.Duration(c.Wait) + newDeadlines(c).total
}
