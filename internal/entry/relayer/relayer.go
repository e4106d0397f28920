// Package relayer is a reverse proxy for requests that routes map to pools: it
// forwards each request unchanged to an upstream and the response back to the
// caller.
//
// # Attempts
//
// A request of a route with the repetition "once" is sent to one upstream on a
// new connection. It goes to another upstream only if nothing of it was sent or
// the upstream said that it has not run. Idempotent requests are retried after a
// failure, and resumable streams are resumed after their last complete event, as
// long as the route's attempts, the retry budget and the deadline allow.
//
// # Responses
//
// A response is forwarded only if it belongs to the request and is complete.
// Short responses are read to their end first. Events of a stream are forwarded
// as they arrive, complete events only; if a stream can't be resumed, the
// connection is closed without the final chunk, so that the stream doesn't look
// complete. Statuses 429 and 503 that the relayer itself sends mean that the
// request has not run and never will; 502 and 504 promise nothing.
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
	// headerTimeout bounds the time for reading a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may stay idle. Callers close theirs
	// earlier.
	idleTimeout = 60 * time.Second
	// closeTimeout bounds the wait for requests whose connections were closed.
	closeTimeout = time.Second
	// servedLines is the number of served requests that are all logged in each second;
	// beyond it, one in servedSampling is logged.
	servedLines    = 200
	servedSampling = 10
	// finalAnswerMargin is the time before the end of a planned stop at which requests
	// that are still open are answered according to their state.
	finalAnswerMargin = 250 * time.Millisecond
	// drainPoll is how often a planned stop checks for open requests.
	drainPoll = 20 * time.Millisecond
)

// Configuration returns the revision in force; false means that it is not confirmed as
// current, and new requests are refused.
type Configuration func() (*validator.Index, bool)

// Options configures a Relayer.
type Options struct {
	Protocol      Protocol
	Dispatcher    dispatcher.Dispatcher
	Sender        *forwarder.Sender
	Configuration Configuration
	// MaxBody bounds a request's body in bytes; 0 means the default of 8 MiB.
	MaxBody int64
	// MaxConnections bounds the open connections of each listener; 0 means no
	// bound.
	MaxConnections int
	// Host is appended to the request IDs that the scheduler sees, because callers
	// choose theirs and two hosts may get the same one.
	Host    string
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics metrics.Registry
	// Permit returns an error if a request must not be sent to an upstream. It is
	// called right before the first byte; nil means that all may be sent.
	Permit func(registrar.Upstream) error
	// ViewAge returns the age of the view of the upstreams for the log; nil if it
	// isn't known.
	ViewAge func() time.Duration
	// Notice takes what upstreams say about new work; it may be nil.
	Notice func(dispatcher.Notice)
	// Begun takes the organisation of each request that an upstream has begun; it may be
	// nil.
	Begun func(validator.OrganisationName)
	// Report takes the result of each request of a class; it may be nil.
	Report func(reporter.Result)
}

// Relayer serves routed requests.
type Relayer struct {
	options Options
	clock   clockwork.Clock
	logger  *zap.Logger
	// served logs served requests, of which a sample suffices.
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
	// answerBy is the time at which a planned stop answers the open requests; nil until
	// such a stop begins.
	answerBy atomic.Pointer[time.Time]
	// stopping is done at that time.
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

// sample keeps the first servedLines lines of each second and one in servedSampling of
// the others.
func sample(c zapcore.Core) zapcore.Core {
	return zapcore.NewSamplerWithOptions(c, time.Second, servedLines, servedSampling)
}

// Server returns an HTTP server for callers. Drain and Close stop it.
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

// Limit bounds the open connections of a listener by MaxConnections, and allows
// connections to be reset when a response breaks.
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

// Unready announces a planned stop to the readiness check while requests are still
// accepted. Connections close after their next response.
func (r *Relayer) Unready() { r.unready.Store(true) }

// Draining reports whether a planned stop has begun.
func (r *Relayer) Draining() bool { return r.unready.Load() }

// Open returns the number of requests in progress.
func (r *Relayer) Open() int { return int(r.open.Load()) }

// Drain stops listening, closes idle connections and waits for the open requests; it
// returns an error if ctx ends first. finalAnswerMargin before the deadline of ctx,
// each open request is answered: that it has not run, or that the outcome is unknown. A
// request that still arrives on an open connection is served if its own deadline is
// before that time, and refused otherwise.
func (r *Relayer) Drain(ctx context.Context) error {
	r.unready.Store(true)
	r.draining.Store(true)
	if end, ok := ctx.Deadline(); ok {
		last := end.Add(-finalAnswerMargin)
		r.answerBy.Store(&last)
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

// outlasts reports whether a request with the deadline may still be open when a planned
// stop gives its final answers.
func (r *Relayer) outlasts(deadline time.Time) bool {
	last := r.answerBy.Load()
	return last != nil && deadline.After(*last)
}

// wait waits until no request is open, or returns the cause that ended ctx.
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

// Close closes the connections of the open requests and waits up to closeTimeout for
// these.
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
