// Package receiver serves the callers' HTTP API.
//
// It implements the OpenAI protocol for models and forwards calls of plain
// services. Each request is admitted under one configuration revision, which
// applies to it until its end. Every answer carries a request ID, and every
// refusal says in the header Amaranth-Run whether the request ran.
//
// # Usage
//
//	r := receiver.New(receiver.Options{
//		Forwarder: f, Claimer: c, Configuration: current,
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

// Default limits; the last two are in bytes. A small host needs a few hundred
// megabytes for them.
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
	// Requests bounds the number of requests in progress.
	Requests int
	// Connections bounds the number of open connections of a listener.
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
	// Configuration returns the revision in force; false means that it is not
	// confirmed as current, and new requests are refused.
	Configuration func() (Snapshot, bool)
	Clock         clockwork.Clock
	Logger        *zap.Logger
	Metrics       metrics.Registry
	// Report takes the result of each request of a class; it may be nil.
	Report func(reporter.Result)
	Limits Limits
	// NewID returns a unique request ID; nil means random UUIDs.
	NewID func() string
}

// Receiver serves callers' requests.
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

// withDefaults returns the limits with the defaults in place of zero fields.
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

// Handler returns the handler of the callers' API.
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

// reject answers a request that matches no route of the API.
func (r *Receiver) reject(w http.ResponseWriter, e *forwarder.Error) {
	w.Header().Set(RequestHeader, r.options.NewID())
	writeError(w, e, "")
}

// Server returns a server with the receiver's limits for the handler, which may have
// further routes. Close closes it.
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

// clearDeadline removes the write deadline that the previous request left on the
// connection; net/http doesn't.
func clearDeadline(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		h.ServeHTTP(w, q)
	})
}

// Limit bounds the open connections of a listener, and how long the kernel keeps an
// answer that its caller leaves unread.
func (r *Receiver) Limit(l net.Listener) net.Listener {
	return netutil.LimitListener(unreadListener{l}, r.options.Limits.Connections)
}

// unreadListener gives callers the writeTimeout to read their answers. The listener's
// own bound on unacknowledged data, which is meant for the system's hosts, is shorter,
// and the kernel applies it also to data that waits for a slow reader.
type unreadListener struct{ net.Listener }

// Accept implements net.Listener.
func (p unreadListener) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			// An error is ignored: a failed connection returns it at the next read.
			_ = dialer.LimitUnacknowledged(raw, writeTimeout)
		}
	}
	return c, nil
}

// Unready makes the readiness check fail while requests are still accepted, so that a
// load balancer stops sending requests before any is refused.
func (r *Receiver) Unready() { r.unready.Store(true) }

// Draining reports whether a planned stop has begun.
func (r *Receiver) Draining() bool { return r.unready.Load() || r.draining.Load() }

// Open returns the number of requests in progress.
func (r *Receiver) Open() int { return int(r.open.Load()) }

// Drain makes the receiver unready, refuses new requests and waits until the open ones
// have ended. It returns the cause that ended ctx if that comes first.
func (r *Receiver) Drain(ctx context.Context) error {
	r.draining.Store(true)
	r.logger.Info("draining", zap.Int64("open", r.open.Load()))
	return r.wait(ctx)
}

// wait waits until no request is open, or returns the cause that ended ctx.
func (r *Receiver) wait(ctx context.Context) error {
	for r.open.Load() > 0 {
		select {
		case <-r.idle:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	r.signalIdle() // wakes a second waiter, because a signal reaches only one
	return nil
}

// signalIdle wakes one waiter.
func (r *Receiver) signalIdle() {
	select {
	case r.idle <- struct{}{}:
	default:
	}
}

// Close closes all connections of the receiver's servers, which cancels their requests,
// and waits until these have ended. Calls with an idempotency key continue until their
// result is known; Close waits for them up to closeTimeout.
func (r *Receiver) Close() error {
	r.draining.Store(true)
	r.latency.Stop()
	failed := r.closeServers()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return errors.Join(failed, r.wait(ctx))
}

// closeServers closes the servers and joins their errors.
func (r *Receiver) closeServers() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var failed error
	for _, s := range r.servers {
		failed = errors.Join(failed, s.Close())
	}
	return failed
}

// ready answers the readiness check.
func (r *Receiver) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_, fresh := r.options.Configuration()
	switch {
	case r.Draining():
		writeResponse(w, http.StatusServiceUnavailable, nil, []byte("draining\n"))
	case !fresh:
		writeResponse(w, http.StatusServiceUnavailable, nil, []byte("configuration is not confirmed\n"))
	default:
		writeResponse(w, http.StatusOK, nil, []byte("ready\n"))
	}
}

// live answers the liveness check.
func (r *Receiver) live(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeResponse(w, http.StatusOK, nil, []byte("live\n"))
}

// call is one request of a caller.
type call struct {
	receiver     *Receiver
	id           scheduler.RequestID
	index        *index
	organisation *validator.Organisation
	arrived      time.Time
	writer       http.ResponseWriter
	request      *http.Request
	params       httprouter.Params

	// class is empty until it is known; requests without a class are not reported.
	class     validator.ClassName
	trace     forwarder.Trace
	completed bool
	refused   scheduler.Reason
}

// admit wraps a handler with the checks that every request must pass first.
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
		defer r.endRequest()
		defer c.report()
		if err := c.serve(open, handle); err != nil {
			c.noteRefusal(err)
			r.answerFailure(c, err)
		} else {
			c.completed = true
		}
		r.latency.Update(r.clock.Since(c.arrived))
	}
}

// serve checks the request and runs the handler; open is the number of requests in
// progress.
func (c *call) serve(open int64, handle func(*call) error) error {
	r := c.receiver
	if r.draining.Load() {
		c.writer.Header().Set("Connection", "close")
		return unavailable("draining", "this host is stopping")
	}
	if open > int64(r.options.Limits.Requests) {
		return unavailable("host_overloaded", "this host has too many open requests")
	}
	s, fresh := r.options.Configuration()
	if !fresh || s.Document == nil {
		return unavailable("stale_configuration", "the configuration is not confirmed as current")
	}
	c.index = r.indexOf(s)
	if c.organisation = c.index.organisation(c.request); c.organisation == nil {
		return refuse(http.StatusUnauthorized, "invalid_request_error", "invalid_api_key", "the API key is missing or unknown", 0)
	}
	t := r.quotas.get(c.organisation.Name)
	retry, ok := t.admit(c.arrived, c.organisation)
	if !ok {
		return refuse(http.StatusTooManyRequests, "rate_limit_error", string(scheduler.OverLimit), "the organisation's limit is reached", retry)
	}
	defer t.release()
	return handle(c)
}

// noteRefusal records the reason of a refusal for the report.
func (c *call) noteRefusal(err error) {
	var e *forwarder.Error
	if errors.As(err, &e) && e.Run == forwarder.NotRun {
		c.refused = scheduler.Reason(e.Code)
	}
}

// report reports the result of the request, also if its answer was aborted.
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

// endRequest counts a request as ended and wakes a waiter if it was the last one of a
// stop.
func (r *Receiver) endRequest() {
	if r.open.Add(-1) == 0 && r.draining.Load() {
		r.signalIdle()
	}
}

// indexOf returns the index of the revision, which is built once for each revision.
func (r *Receiver) indexOf(s Snapshot) *index {
	x := r.index.Load()
	if x != nil && x.revision == s.Revision && x.document == s.Document {
		return x
	}
	x = newIndex(s)
	r.index.Store(x)
	return x
}

// answerFailure answers a request that failed before its answer began.
func (r *Receiver) answerFailure(c *call, err error) {
	r.failures.Inc(1)
	var e *forwarder.Error
	var fault *forwarder.RequestError
	param := ""
	switch {
	case errors.As(err, &e):
	case errors.As(err, &fault):
		e, param = badRequest("invalid_request", fault.Message), fault.Param
	case c.request.Context().Err() != nil:
		r.logger.Info("caller disconnected", zap.String("request", string(c.id)))
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
