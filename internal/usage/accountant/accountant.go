// Package accountant reports usage to the provider, on the host that owns the cell.
//
// It collects what entry hosts count, settles the counts of each window in the replicated
// log some seconds after its end, and reports exactly these until the provider has
// answered clearly. It acts only while its keeper holds the duty. A holder repeats what
// its predecessor has settled, and never reports a window that may have been settled with
// counts which are no longer known.
//
// # Order of the writes
//
// The counts of a window are kept first, once. The watermark follows, under the fencing
// number of the holder, so that a former holder can't move it. Only then the window is
// reported.
//
// # Usage
//
//	a := accountant.New(accountant.Options{Keeper: k, Store: control, Provider: p, Counter: c, ...})
//	defer a.Close()
//	a.Offer(true) // while the host owns the cell
//	a.Merge(source, clock, counts)
package accountant

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/usage/collector"
	"github.com/amaranthcart/amaranthcart/internal/usage/counter"
)

const (
	// stepInterval is how often the next action is looked for.
	stepInterval = 250 * time.Millisecond
	// gatherTime is how long a new owner waits for the counts of the other hosts, which
	// send all of them when they link to it.
	gatherTime = 2 * time.Second
	// storeTimeout bounds a call to control, and callTimeout one to the provider.
	storeTimeout = 1500 * time.Millisecond
	callTimeout  = 5 * time.Second
	// maxCalls bounds the calls to the provider that have no answer yet.
	maxCalls = 4
	// clockTime is how long a new owner waits for the clocks of other hosts before it
	// relies on what it knows of the time of day.
	clockTime = 10 * time.Second
	// pastWindows and futureWindows bound the windows of counts that are taken, relative
	// to the present one.
	pastWindows   = 12
	futureWindows = 1
)

// Duty says whether this host may call the provider; *keeper.Keeper in the product.
type Duty interface {
	Offer(wanted bool)
	Authority() (provider.Authority, bool)
	Guard(context.Context, provider.Authority) context.Context
	Refused()
	Failed()
	Succeeded()
	Close()
}

// Store keeps named values in the replicated log: Control.Keep.
type Store interface {
	Keep(context.Context, *wire.KeepRequest) (*wire.KeepResponse, error)
}

// Options configures an Accountant.
type Options struct {
	Keeper   Duty
	Store    Store
	Provider provider.Provider
	// Counter counts for this host.
	Counter *counter.Counter
	// Host is this host.
	Host registrar.HostName
	// Window is the length of a window, and Late how long after its end a report is due.
	Window, Late time.Duration
	// Clock must count the time for which the machine was suspended.
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics metrics.Registry
}

// Accountant reports usage. It is safe for concurrent use.
type Accountant struct {
	options Options
	logger  *zap.Logger
	meters  meters
	group   conc.WaitGroup
	cancel  context.CancelFunc

	mu        sync.Mutex
	collector *collector.Collector
	clocks    *collector.Clocks
	// late counts the requests that came after settling since the last log line, and
	// lateFrom is one of the hosts that sent them.
	late     uint64
	lateFrom registrar.HostName
	// calls counts the calls to the provider that have no answer yet, and answered has the
	// calls that the provider has carried out and that are not noted in the book.
	calls    int
	answered []answer
	// own is the position in the counts of this host up to which they were merged.
	own counter.Mark
	// offered is whether this host owns the cell, and since since when.
	offered bool
	since   time.Time

	// start runs a call to the provider beside the other steps.
	start func(func())
	// recovered is the fencing number under which the counts in the log were merged.
	recovered atomic.Uint64

	// book and fence belong to the goroutine of run.
	book  *book
	fence provider.Fence
}

// New returns an accountant and starts it.
func New(o Options) *Accountant {
	a := newAccountant(o)
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.group.Go(func() { a.run(ctx) })
	a.group.Go(func() { a.runJournal(ctx) })
	return a
}

func newAccountant(o Options) *Accountant {
	a := &Accountant{
		options: o, logger: o.Logger, meters: newMeters(o.Metrics),
		collector: collector.New(), clocks: collector.NewClocks(o.Clock.Now()),
	}
	a.start = a.group.Go
	return a
}

// Close ends the calls, releases the duty and waits.
func (a *Accountant) Close() {
	a.cancel()
	a.group.Wait()
	a.options.Keeper.Close()
}

// Offer says whether this host owns the cell.
func (a *Accountant) Offer(owner bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if owner && !a.offered {
		a.since = a.options.Clock.Now()
	}
	a.offered = owner
	a.options.Keeper.Offer(owner)
}

// Merge takes what a host says of its counts and its wall clock.
func (a *Accountant) Merge(s collector.Source, wall time.Time, list []counter.Count) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.clocks.Read(a.options.Clock.Now(), s.Host, wall)
	a.merge(s, list)
}

// merge adds the counts of windows near the present one. The caller holds mu.
func (a *Accountant) merge(s collector.Source, list []counter.Count) {
	present := provider.WindowAt(a.now(), a.options.Window)
	var near []counter.Count
	for _, n := range list {
		switch {
		case n.Window > present+futureWindows:
			a.logger.Warn("counts of a window to come dropped", zap.String("from", string(s.Host)),
				zap.Int64("window", int64(n.Window)), zap.Int64("present", int64(present)))
		case n.Window >= present-pastWindows:
			near = append(near, n)
		}
	}
	if late := a.collector.Merge(s, near); late > 0 {
		a.meters.late.Inc(int64(late))
		a.late += late
		a.lateFrom = s.Host
	}
}

// reportLate logs the late counts since the last call. The caller holds mu.
func (a *Accountant) reportLate() {
	if a.late > 0 {
		a.logger.Warn("late counts dropped", zap.Uint64("requests", a.late), zap.String("from", string(a.lateFrom)))
		a.late = 0
	}
}

// mergeOpen adds a count that an earlier holder wrote to the log. The caller holds mu.
func (a *Accountant) mergeOpen(e collector.Entry) {
	a.collector.Merge(e.Source, []counter.Count{e.Count})
}

// Time returns the time of day as the median of the hosts' clocks; false while too few are
// known.
func (a *Accountant) Time() (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clocks.Time(a.options.Clock.Now())
}

// now is the best knowledge of the time of day. The caller holds mu.
func (a *Accountant) now() time.Time {
	if at, ok := a.clocks.Time(a.options.Clock.Now()); ok {
		return at
	}
	return a.options.Counter.Now()
}

// run looks for the next action until ctx ends.
func (a *Accountant) run(ctx context.Context) {
	ticker := a.options.Clock.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			a.gather()
			for a.step(ctx) {
			}
		}
	}
}

// gather merges the counts and the clock of this host.
func (a *Accountant) gather() {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.options
	a.clocks.Read(o.Clock.Now(), o.Host, o.Counter.Wall())
	if at, ok := a.clocks.Time(o.Clock.Now()); ok && a.offered {
		o.Counter.Correct(at)
	}
	list, mark := o.Counter.Changes(a.own)
	a.own = mark
	a.merge(collector.Source{Host: o.Host, Boot: o.Counter.Boot()}, list)
	a.reportLate()
}

// step takes the next action, and reports whether another one may follow at once.
func (a *Accountant) step(ctx context.Context) bool {
	held, ok := a.options.Keeper.Authority()
	if !ok || ctx.Err() != nil {
		a.book = nil
		return false
	}
	if a.book == nil || a.fence != held.Fence {
		a.book, a.fence = newBook(a.options.Window, a.options.Late), held.Fence
	}
	now, wall, ready := a.times()
	if !ready {
		return false
	}
	a.noteAnswers()
	for _, k := range a.book.expire(wall) {
		a.meters.abandoned.Inc(1)
		a.logger.Error("usage report given up", windowField(k))
	}
	return a.perform(ctx, held, a.book.next(now, wall, a.mayCall()), wall)
}

// mayCall reports whether another call to the provider may begin.
func (a *Accountant) mayCall() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls < maxCalls
}

// noteAnswers closes the windows that were reported under the present holding. Several
// calls for a window may be answered.
func (a *Accountant) noteAnswers() {
	a.mu.Lock()
	answered := a.answered
	a.answered = nil
	a.mu.Unlock()
	for _, n := range answered {
		if n.fence == a.fence && a.book.close(n.send.report.Window) {
			a.noteReported(n)
		}
	}
}

// times returns the steady and the wall clock, and whether the counts and clocks of the
// other hosts have had time to arrive.
func (a *Accountant) times() (now, wall time.Time, ready bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now = a.options.Clock.Now()
	owned := now.Sub(a.since)
	_, known := a.clocks.Time(now)
	return now, a.now(), a.offered && owned >= gatherTime && (known || owned >= clockTime)
}
