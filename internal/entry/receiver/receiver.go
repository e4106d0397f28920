// Package receiver serves the callers' HTTP API.
//
// It speaks the OpenAI protocol for models and passes on calls of plain
// services. Each request is admitted under one configuration revision, which
// decides it to its end. Every answer carries a request id, and every refusal
// says in the header Amaranth-Run whether the request ran.
//
// # Usage
//
//	r := receiver.New(receiver.Options{
//		Dispatcher: d, Forwarder: f, Claimer: c, Configuration: current,
//	})
//	server := r.Server(r.Handler())
//	err := server.Serve(r.Limit(listener))
//
//	// planned stop
//	err = r.Drain(ctx)
//	err = r.Close()
package receiver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/claimer"
	"github.com/amaranthcart/amaranthcart/internal/entry/forwarder"
	"github.com/amaranthcart/amaranthcart/internal/ops/reporter"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
)

// Default limits; a small host holds them in a few hundred megabytes.
const (
	DefaultRequests    = 8192
	DefaultConnections = 16384
	DefaultBody        = 8 << 20
	DefaultHeader      = 64 << 10
)

const (
	headerTimeout = 10 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// writeTimeout bounds how long a caller may leave its answer unread.
	writeTimeout = 30 * time.Second
	// closeTimeout bounds the wait for requests whose connections are closed.
	closeTimeout = 5 * time.Second
)

// Snapshot is the configuration in force.
type Snapshot struct {
	Revision uint64
	Document *validator.Document
}

// Claimer runs calls at most once.
type Claimer interface {
	Do(ctx context.Context, call claimer.Call, run func(ctx context.Context) (claimer.Answer, error)) (claimer.Answer, claimer.Verdict, error)
}

// Forwarder calls upstreams.
type Forwarder interface {
	Stream(ctx context.Context, c forwarder.GenerationCall, sink forwarder.Sink) error
	Collect(ctx context.Context, c forwarder.GenerationCall) ([]byte, error)
	Call(ctx context.Context, p forwarder.PlainCall) (*forwarder.Answer, error)
}

// Limits bounds what callers may use; zero fields take the defaults.
type Limits struct {
	// Requests bounds the requests in progress.
	Requests int
	// Connections bounds the open connections.
	Connections int
	// Body bounds a request's body in bytes.
	Body int64
	// Header bounds a request's header in bytes.
	Header int
}

// Options configures a Receiver.
type Options struct {
	Forwarder Forwarder
	// Claimer may be nil; calls with an idempotency key are then refused.
	Claimer Claimer
	// Configuration returns the revision in force; false means that it is
	// not confirmed as current, and new work is refused.
	Configuration func() (Snapshot, bool)
	Clock         clockwork.Clock
	Logger        *zap.Logger
	Metrics       metrics.Registry
	// Report takes the end of each request of a class; it may be nil.
	Report func(reporter.Result)
	Limits Limits
	// NewID returns a unique request id; nil means random UUIDs.
	NewID func() string
}

// Receiver admits callers' requests.
type Receiver struct {
	options Options
	clock   clockwork.Clock
	logger  *zap.Logger
	quotas  quotas
	index   atomic.Pointer[index]

	requests metrics.Counter
	failures metrics.Counter
	latency  metrics.Timer

	unready  atomic.Bool
	draining atomic.Bool
	open     atomic.Int64
	idle     chan struct{}

	mu      sync.Mutex
	servers []*http.Server
}

// New returns a Receiver.
func New(o Options) *Receiver {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	o.Limits = o.Limits.withDefaults()
	r := &Receiver{
		options:  o,
		clock:    o.Clock,
		logger:   o.Logger.Named("receiver"),
		idle:     make(chan struct{}, 1),
		requests: metrics.GetOrRegisterCounter("receiver.requests", o.Metrics),
		failures: metrics.GetOrRegisterCounter("receiver.failures", o.Metrics),
		latency:  metrics.GetOrRegisterTimer("receiver.latency", o.Metrics),
	}
	open := metrics.NewFunctionalGauge(r.open.Load)
	_ = o.Metrics.Register("receiver.open", open)
	return r
}

func (l Limits) withDefaults() Limits {
	if l.Requests == 0 {
		l.Requests = DefaultRequests
	}
	if l.Connections == 0 {
		l.Connections = DefaultConnections
	}
	if l.Body == 0 {
		l.Body = DefaultBody
	}
	if l.Header == 0 {
		l.Header = DefaultHeader
	}
	return l
}

// Handler returns the callers' API.
func (r *Receiver) Handler() http.Handler {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.POST("/v1/chat/completions", r.admit(generate(forwarder.Chat)))
	router.POST("/v1/completions", r.admit(generate(forwarder.Completion)))
	router.GET("/v1/models", r.admit(listModels))
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		router.Handle(method, "/svc/:service/*path", r.admit(callService))
		router.Handle(method, "/svc/:service", r.admit(callService))
	}
	router.GET("/ready", r.ready)
	router.GET("/live", r.live)
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.reject(w, refuse(http.StatusNotFound, "invalid_request_error", "not_found", "there is nothing at this path", 0))
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.reject(w, refuse(http.StatusMethodNotAllowed, "invalid_request_error", "method_not_allowed", "the path has no such method", 0))
	})
	return router
}

// reject answers a request that belongs to no call.
func (r *Receiver) reject(w http.ResponseWriter, e *forwarder.Error) {
	w.Header().Set(RequestHeader, r.options.NewID())
	writeError(w, e, "")
}

// Server returns a server with the receiver's bounds for the handler, which
// may hold further routes.
func (r *Receiver) Server(h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           clearDeadline(h),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    r.options.Limits.Header,
		ErrorLog:          zap.NewStdLog(r.logger),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers = append(r.servers, s)
	return s
}

// clearDeadline removes the write deadline that the request before left on the
// connection; the server itself does not.
func clearDeadline(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		h.ServeHTTP(w, q)
	})
}

// Limit bounds the open connections of a listener, and how long the kernel
// keeps an answer that its caller leaves unread.
func (r *Receiver) Limit(l net.Listener) net.Listener {
	return netutil.LimitListener(patient{l}, r.options.Limits.Connections)
}

// patient gives callers the writeTimeout to read their answers. The bound on
// unacknowledged data between the system's own hosts is shorter, and the kernel
// applies it to data that waits for a slow reader too.
type patient struct{ net.Listener }

// Accept implements net.Listener.
func (p patient) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			// A connection that has failed already shows it at the next read.
			_ = dialer.LimitUnacknowledged(raw, writeTimeout)
		}
	}
	return c, nil
}

// Unready makes the readiness check fail while requests are still accepted, so
// that a balancer stops sending them before any is refused.
func (r *Receiver) Unready() { r.unready.Store(true) }

// Draining reports whether a planned stop has begun.
func (r *Receiver) Draining() bool { return r.unready.Load() || r.draining.Load() }

// Open counts the requests in progress.
func (r *Receiver) Open() int { return int(r.open.Load()) }

// Drain makes the receiver unready, refuses new work and waits for the open
// requests.
func (r *Receiver) Drain(ctx context.Context) error {
	r.draining.Store(true)
	r.logger.Info("draining", zap.Int64("open", r.open.Load()))
	return r.wait(ctx)
}

// wait waits until no request is open.
func (r *Receiver) wait(ctx context.Context) error {
	for r.open.Load() > 0 {
		select {
		case <-r.idle:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	r.signal() // another waiter may have missed it
	return nil
}

func (r *Receiver) signal() {
	select {
	case r.idle <- struct{}{}:
	default:
	}
}

// Close closes all connections of the receiver's servers, which cancels their
// requests, and waits until these have ended. Calls with an idempotency key go
// on for their result; Close waits for them up to closeTimeout.
func (r *Receiver) Close() error {
	r.draining.Store(true)
	r.latency.Stop()
	failed := r.closeServers()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return errors.Join(failed, r.wait(ctx))
}

func (r *Receiver) closeServers() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var failed error
	for _, s := range r.servers {
		failed = errors.Join(failed, s.Close())
	}
	return failed
}

func (r *Receiver) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_, fresh := r.options.Configuration()
	switch {
	case r.Draining():
		writeWhole(w, http.StatusServiceUnavailable, nil, []byte("draining\n"))
	case !fresh:
		writeWhole(w, http.StatusServiceUnavailable, nil, []byte("configuration is not confirmed\n"))
	default:
		writeWhole(w, http.StatusOK, nil, []byte("ready\n"))
	}
}

func (r *Receiver) live(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeWhole(w, http.StatusOK, nil, []byte("live\n"))
}

// call is one admitted request of a caller.
type call struct {
	receiver     *Receiver
	id           scheduler.RequestID
	index        *index
	organisation *validator.Organisation
	arrived      time.Time
	writer       http.ResponseWriter
	request      *http.Request
	params       httprouter.Params

	// class is empty until it is known; then the end is reported.
	class     validator.ClassName
	trace     forwarder.Trace
	completed bool
	refused   scheduler.Reason
}

// admit wraps a handler with the checks that come before any work.
func (r *Receiver) admit(handle func(*call) error) httprouter.Handle {
	return func(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
		c := &call{
			receiver: r,
			id:       scheduler.RequestID(r.options.NewID()),
			arrived:  r.clock.Now(),
			writer:   w,
			request:  q,
			params:   p,
		}
		w.Header()[RequestHeader] = []string{string(c.id)}
		r.requests.Inc(1)
		open := r.open.Add(1)
		defer r.leave()
		defer c.report()
		if err := c.serve(open, handle); err != nil {
			c.noteRefusal(err)
			r.finish(c, err)
		} else {
			c.completed = true
		}
		r.latency.Update(r.clock.Since(c.arrived))
	}
}

func (c *call) serve(open int64, handle func(*call) error) error {
	r := c.receiver
	if r.draining.Load() {
		c.writer.Header().Set("Connection", "close")
		return unready("draining", "this host is stopping")
	}
	if open > int64(r.options.Limits.Requests) {
		return unready("host_overloaded", "this host has too many open requests")
	}
	s, fresh := r.options.Configuration()
	if !fresh || s.Document == nil {
		return unready("stale_configuration", "the configuration is not confirmed as current")
	}
	c.index = r.indexOf(s)
	if c.organisation = c.index.organisation(c.request); c.organisation == nil {
		return refuse(http.StatusUnauthorized, "invalid_request_error", "invalid_api_key", "the API key is missing or unknown", 0)
	}
	t := r.quotas.get(c.organisation.Name)
	retry, ok := t.enter(c.arrived, c.organisation)
	if !ok {
		return refuse(http.StatusTooManyRequests, "rate_limit_error", string(scheduler.OverLimit), "the organisation's limit is reached", retry)
	}
	defer t.leave()
	return handle(c)
}

func (c *call) noteRefusal(err error) {
	var e *forwarder.Error
	if errors.As(err, &e) && e.Run == forwarder.NotRun {
		c.refused = scheduler.Reason(e.Code)
	}
}

// report tells the measures how the request ended, also when its answer is
// broken off.
func (c *call) report() {
	r := c.receiver
	if r.options.Report == nil || c.class == "" {
		return
	}
	now := r.clock.Now()
	v := reporter.Result{
		Class:     c.class,
		Arrived:   c.arrived,
		Refused:   c.refused,
		Completed: c.completed,
		Abandoned: !c.completed && c.request.Context().Err() != nil,
		Total:     now.Sub(c.arrived),
		Tokens:    c.trace.Tokens,
		Wasted:    c.trace.Wasted,
	}
	if !c.trace.Granted.IsZero() {
		v.Queue = c.trace.Granted.Sub(c.arrived)
	}
	if !c.trace.First.IsZero() {
		v.First = c.trace.First.Sub(c.arrived)
		v.Gap = now.Sub(c.trace.First) / time.Duration(max(c.trace.Tokens-1, 1))
	}
	r.options.Report(v)
}

func (r *Receiver) leave() {
	if r.open.Add(-1) == 0 && r.draining.Load() {
		r.signal()
	}
}

// indexOf returns the index of the revision, which is built once.
func (r *Receiver) indexOf(s Snapshot) *index {
	x := r.index.Load()
	if x != nil && x.revision == s.Revision && x.document == s.Document {
		return x
	}
	x = newIndex(s)
	r.index.Store(x)
	return x
}

// finish answers a request that failed before its answer began.
func (r *Receiver) finish(c *call, err error) {
	r.failures.Inc(1)
	var e *forwarder.Error
	var fault *forwarder.RequestError
	param := ""
	switch {
	case errors.As(err, &e):
	case errors.As(err, &fault):
		e, param = invalid("invalid_request", fault.Message), fault.Param
	case c.request.Context().Err() != nil:
		r.logger.Info("caller went away", zap.String("request", string(c.id)))
		panic(http.ErrAbortHandler)
	default:
		e = &forwarder.Error{
			Status:  http.StatusInternalServerError,
			Type:    "server_error",
			Code:    "internal",
			Message: "the request failed",
			Run:     forwarder.MayHaveRun,
		}
	}
	r.logger.Info("request failed",
		zap.String("request", string(c.id)),
		zap.String("code", e.Code),
		zap.Int("status", e.Status),
		zap.String("run", string(e.Run)),
		zap.Error(err))
	writeError(c.writer, e, param)
}
