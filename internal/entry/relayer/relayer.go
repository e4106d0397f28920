// Package relayer serves requests that routes lead to pools: it passes each on
// to an upstream unchanged and the upstream's answer back.
//
// # Attempts
//
// A request of a route with the repetition once is sent to one upstream, on a
// connection of its own, unless nothing of it was sent or the upstream said that
// it has not run. Idempotent requests are sent again after a failure, and
// streams that can be resumed go on after their last whole event, as long as the
// route's attempts, the retry budget and the time allow.
//
// # Answers
//
// Answers are passed on only when they belong to the request and are whole.
// Short ones are read to their end first. Events of a stream are passed on as
// they arrive, whole events only; a stream that can't go on is cut off, so that
// it doesn't look complete. The statuses 429 and 503 of the relayer's own mean
// that the request has not run and never will; 502 and 504 promise nothing.
//
// # Usage
//
//	r := relayer.New(relayer.Options{
//		Protocol: protocol, Dispatcher: cell, Sender: sender,
//		Configuration: func() (*validator.Index, bool) { ... },
//	})
//	server := r.Server()
//	err := server.Serve(r.Limit(listener))
//	// at a planned stop:
//	r.Unready()
//	err = r.Drain(ctx)
package relayer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/net/netutil"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/entry/forwarder"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/reporter"
)

const (
	// maxHeader bounds a request's header in bytes.
	maxHeader = 64 << 10
	// headerTimeout bounds the time for a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may stay idle. Callers
	// close theirs earlier.
	idleTimeout = 60 * time.Second
	// closeTimeout bounds the wait for requests whose connections were closed.
	closeTimeout = time.Second
	// servedLines is the number of served requests a second that are all logged,
	// and servedPart is the one in so many that is logged beyond.
	servedLines = 200
	servedPart  = 10
	// lastAnswer is the time before the end of a planned stop at which requests that are
	// still open get the answer that is true then.
	lastAnswer = 250 * time.Millisecond
	// drainPoll is how often a planned stop looks for open requests.
	drainPoll = 20 * time.Millisecond
)

// Configuration returns the revision in force; false means that it is not
// confirmed as current, and new work is refused.
type Configuration func() (*validator.Index, bool)

// Options configures a Relayer.
type Options struct {
	Protocol      Protocol
	Dispatcher    dispatcher.Dispatcher
	Sender        *forwarder.Sender
	Configuration Configuration
	// MaxBody bounds a request's body in bytes.
	MaxBody int64
	// MaxConnections bounds the open connections of callers; 0 means no bound.
	MaxConnections int
	// Host is part of the request IDs at the scheduler, since callers choose
	// theirs.
	Host    string
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics metrics.Registry
	// Permit tells why a request must not be sent to an upstream, if so. It is asked right
	// before the first byte; nil for no question.
	Permit func(registrar.Upstream) error
	// ViewAge returns how old the view of the upstreams is, for the log; nil where it isn't
	// known.
	ViewAge func() time.Duration
	// Notice takes what upstreams say about new work; it may be nil.
	Notice func(dispatcher.Notice)
	// Report takes the end of each request of a class; it may be nil.
	Report func(reporter.Result)
}

// Relayer serves routed requests.
type Relayer struct {
	options Options
	clock   clockwork.Clock
	logger  *zap.Logger
	// served logs served requests, of which a part is enough.
	served   *zap.Logger
	requests metrics.Counter
	refusals metrics.Counter
	failures metrics.Counter
	repeats  metrics.Counter
	latency  metrics.Timer
	open     atomic.Int64
	unready  atomic.Bool
	// confirmed is set once the configuration has been confirmed.
	confirmed atomic.Bool
	draining  atomic.Bool
	// last is the time at which a planned stop answers what is open; nil before it.
	last atomic.Pointer[time.Time]
	// stopping ends at that time.
	stopping context.Context
	stop     context.CancelFunc
	buffers  buffers

	mu      sync.Mutex
	servers []*http.Server
}

// New returns a Relayer.
func New(o Options) *Relayer {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	r := &Relayer{
		options:  o,
		clock:    o.Clock,
		logger:   o.Logger.Named("relayer"),
		served:   o.Logger.Named("relayer").WithOptions(zap.WrapCore(sample)),
		requests: metrics.GetOrRegisterCounter("relayer.requests", o.Metrics),
		refusals: metrics.GetOrRegisterCounter("relayer.refusals", o.Metrics),
		failures: metrics.GetOrRegisterCounter("relayer.failures", o.Metrics),
		repeats:  metrics.GetOrRegisterCounter("relayer.repeats", o.Metrics),
		latency:  metrics.GetOrRegisterTimer("relayer.latency", o.Metrics),
	}
	r.stopping, r.stop = context.WithCancel(context.Background())
	_ = o.Metrics.Register("relayer.open", metrics.NewFunctionalGauge(r.open.Load))
	return r
}

// sample keeps the first lines of each second and a part of the others.
func sample(c zapcore.Core) zapcore.Core {
	return zapcore.NewSamplerWithOptions(c, time.Second, servedLines, servedPart)
}

// Server returns a server for callers.
func (r *Relayer) Server() *http.Server {
	s := &http.Server{
		Handler:           r,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          zap.NewStdLog(r.logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers = append(r.servers, s)
	return s
}

// Limit bounds the open connections of a listener, and lets a broken answer reset its
// own.
func (r *Relayer) Limit(l net.Listener) net.Listener {
	l = listener{l}
	if r.options.MaxConnections == 0 {
		return l
	}
	return netutil.LimitListener(l, r.options.MaxConnections)
}

// ServeHTTP serves one request of a caller.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.requests.Inc(1)
	r.open.Add(1)
	defer r.open.Add(-1)
	c := newCall(r, w, q)
	defer c.finish()
	c.serve()
}

// Unready reports a planned stop to the readiness check while requests are
// still accepted. Connections close after their next answer.
func (r *Relayer) Unready() { r.unready.Store(true) }

// Draining reports whether a planned stop has begun.
func (r *Relayer) Draining() bool { return r.unready.Load() }

// Open counts the requests in progress.
func (r *Relayer) Open() int { return int(r.open.Load()) }

// Drain stops listening, closes idle connections and waits for the open
// requests. Those that a connection still brings are served if they end before the
// deadline of ctx in any case, and refused otherwise. Shortly before it, each that is
// open gets its answer: that it has not run, or that nobody knows.
func (r *Relayer) Drain(ctx context.Context) error {
	r.unready.Store(true)
	r.draining.Store(true)
	if end, ok := ctx.Deadline(); ok {
		last := end.Add(-lastAnswer)
		r.last.Store(&last)
		timer := r.clock.AfterFunc(last.Sub(r.clock.Now()), r.stop)
		defer timer.Stop()
	}
	r.logger.Info("draining", zap.Int64("open", r.open.Load()))
	r.mu.Lock()
	servers := r.servers
	r.mu.Unlock()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			return err
		}
	}
	return r.wait(ctx)
}

// outlasts reports whether a request with the deadline may be open when a planned stop
// ends.
func (r *Relayer) outlasts(deadline time.Time) bool {
	last := r.last.Load()
	return last != nil && deadline.After(*last)
}

// wait waits until no request is open.
func (r *Relayer) wait(ctx context.Context) error {
	for r.open.Load() > 0 {
		select {
		case <-r.clock.After(drainPoll):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// Close cuts off what is left and waits for it.
func (r *Relayer) Close() error {
	r.unready.Store(true)
	r.draining.Store(true)
	r.latency.Stop()
	r.mu.Lock()
	servers := r.servers
	r.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	r.stop()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := r.wait(ctx)
	r.options.Sender.Close()
	return err
}
