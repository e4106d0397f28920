package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/reporter"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

const (
	// defaultBody bounds a request's body in bytes.
	defaultBody = 8 << 20
	// staleRetry is when a caller should come back to a host that can't confirm
	// its configuration; the next attempt usually meets another host.
	staleRetry = 500 * time.Millisecond
	// startHold is how long a request waits on a host that starts and has not
	// confirmed its configuration yet: other hosts may start with it, and a
	// refused caller would find none.
	startHold = 1200 * time.Millisecond
	// staleHold is the same on a host whose confirmation has run out, as after a
	// freeze.
	staleHold = 300 * time.Millisecond
	// holdPoll is how often a request that waits looks again.
	holdPoll = 20 * time.Millisecond
	// maxUnsent bounds the upstreams to which no connection could be made for one
	// request.
	maxUnsent = 2
	// codeTimeout and codeStopping name what ends a request before its answer.
	codeTimeout  = "timeout"
	codeStopping = "stopping"
	// statusClientGone is for logs only; nobody reads the answer.
	statusClientGone = 499
	// drawBits is the resolution of the draw among the pools of a route.
	drawBits = 53
)

var (
	// errTimeout ends a request at the timeout of its route.
	errTimeout = errors.New("the timeout of the route has passed")
	// errStopping ends a request at the end of a planned stop.
	errStopping = errors.New("this host stops")
)

// call is one request of a caller.
type call struct {
	relayer *Relayer
	writer  http.ResponseWriter
	request *http.Request
	intent  Intent
	arrived time.Time

	index        *validator.Index
	route        *validator.Route
	class        *validator.Class
	organisation *validator.Organisation
	model        bool
	body         []byte
	// deadline is when the caller stops waiting or the route's timeout passes,
	// whichever is earlier.
	deadline time.Time

	// state at the scheduler.
	ask scheduler.Request
	// attempts counts the upstreams that the request was sent to, and unsent those
	// to which no connection could be made.
	attempts, unsent int
	// addresses are those that the request was sent to.
	addresses []string
	// mayHaveRun is set once an upstream may have run the request without an
	// answer that was passed on.
	mayHaveRun bool
	stream     streamState
	// kept is the last whole answer, which may be passed on later.
	kept *buffer
	// failure is an upstream's own failure, which is passed on when no further attempt
	// brings an answer.
	failure *answered

	// what is logged at the end.
	status   int
	code     string
	cause    error
	upstream registrar.UpstreamID
	granted  time.Time
	first    time.Time
	// predicted is the time to the first token that the scheduler predicted.
	predicted time.Duration
	retry     time.Duration
	// view is how old the view of the upstreams was at the last sending.
	view  time.Duration
	whole bool
}

func newCall(r *Relayer, w http.ResponseWriter, q *http.Request) *call {
	return &call{relayer: r, writer: w, request: q, intent: r.options.Protocol.Intent(q), arrived: r.clock.Now()}
}

// keep replaces the buffer whose memory the call has.
func (c *call) keep(b *buffer) {
	if c.kept != nil {
		c.kept.release()
	}
	c.kept = b
}

// serve answers the request.
func (c *call) serve() {
	if c.relayer.unready.Load() {
		c.writer.Header().Set("Connection", "close")
	}
	if !c.read() || !c.resolve() {
		return
	}
	if c.relayer.outlasts(c.deadline) {
		c.refuse(http.StatusServiceUnavailable, codeStopping, staleRetry)
		return
	}
	ctx, cancel := context.WithDeadlineCause(c.request.Context(), c.deadline, errTimeout)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(c.relayer.stopping, func() { end(errStopping) })()
	c.prepare()
	c.run(ctx)
}

// ended names what has ended the request.
func ended(ctx context.Context) string {
	if errors.Is(context.Cause(ctx), errStopping) {
		return codeStopping
	}
	return codeTimeout
}

// resolve finds route and organisation, and answers requests that have none.
func (c *call) resolve() bool {
	x, fresh := c.relayer.awaitConfiguration(c.request.Context())
	if !fresh || x == nil {
		c.refuse(http.StatusServiceUnavailable, "stale_configuration", staleRetry)
		return false
	}
	c.index = x
	route, ok := x.Route(c.request.Host, c.request.URL.Path)
	if !ok {
		c.refuse(http.StatusNotFound, "no_route", 0)
		return false
	}
	c.route = route
	if !route.Open {
		c.organisation, ok = x.OrganisationByKey(c.intent.Key)
		if !ok || c.intent.Key == "" {
			c.organisation = nil
			c.refuse(http.StatusUnauthorized, "unknown_key", 0)
			return false
		}
	}
	c.class = x.ClassOf(route, c.organisation)
	left := time.Duration(route.Timeout)
	if c.intent.MaxWait > 0 {
		left = min(left, c.intent.MaxWait)
	}
	c.deadline = c.arrived.Add(left)
	return true
}

// awaitConfiguration returns the configuration in force. While it is not confirmed
// a request waits for a short time.
func (r *Relayer) awaitConfiguration(ctx context.Context) (*validator.Index, bool) {
	x, fresh := r.options.Configuration()
	if fresh {
		r.confirmed.Store(true)
		return x, true
	}
	hold := startHold
	if r.confirmed.Load() {
		hold = staleHold
	}
	for end := r.clock.Now().Add(hold); !fresh && r.clock.Now().Before(end); {
		select {
		case <-ctx.Done():
			return nil, false
		case <-r.clock.After(holdPoll):
		}
		x, fresh = r.options.Configuration()
	}
	return x, fresh
}

// read reads the whole body, so that nothing of a broken one is passed on.
func (c *call) read() bool {
	limit := c.relayer.options.MaxBody
	if limit == 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		c.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	case err != nil:
		c.status, c.code, c.cause = statusClientGone, "body_broken", err
		panic(http.ErrAbortHandler)
	}
	c.body = body
	return true
}

// prepare describes the request to the scheduler.
func (c *call) prepare() {
	id := c.intent.ID
	draw := float64(xxhash.Sum64String(id)>>(64-drawBits)) / (1 << drawBits)
	pool := c.route.Pick(draw)
	_, c.model = c.index.Model(pool)
	c.ask = scheduler.Request{
		ID:          scheduler.RequestID(id + "@" + c.relayer.options.Host),
		Pool:        pool,
		Class:       c.class.Name,
		Prompt:      c.intent.Tokens,
		Limit:       c.intent.Limit,
		Whole:       !c.route.Stream,
		Rescue:      c.route.Repeat != validator.Once && c.route.Attempts > 1,
		Fingerprint: c.fingerprint(),
		Arrived:     c.arrived,
	}
	if c.organisation != nil {
		c.ask.Organisation = c.organisation.Name
	}
	if c.route.Repeat == validator.Resumable {
		c.stream.last = c.intent.LastEventID
	}
	end := 0
	for _, p := range c.intent.Prompt {
		end += p.Tokens
		c.ask.Prefix = append(c.ask.Prefix, p.ID)
		c.ask.Ends = append(c.ask.Ends, end)
	}
}

// fingerprint identifies the content: a request that crashes upstreams comes
// back under other IDs.
func (c *call) fingerprint() string {
	h := xxhash.New()
	_, _ = h.WriteString(c.request.Method + " " + c.request.RequestURI + " " + c.intent.Key + " ")
	_, _ = h.Write(c.body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// run makes attempts until the request has its answer.
func (c *call) run(ctx context.Context) {
	for {
		ask := c.ask
		ask.Avoid = c.relayer.options.Sender.Avoid(ask.Avoid)
		slot, err := c.relayer.options.Dispatcher.Acquire(ctx, ask)
		if err != nil {
			c.unserved(ctx, err)
			return
		}
		if c.granted.IsZero() {
			c.granted = c.relayer.clock.Now()
		}
		c.upstream, c.predicted = slot.Upstream().Name, slot.Predicted()
		a := newAttempt(c, slot)
		result := a.run(ctx)
		if a.send.Sent.Load() {
			c.attempts++
			c.addresses = append(c.addresses, a.upstream.Address)
		} else {
			c.unsent++
		}
		if c.settle(ctx, a, result) {
			return
		}
	}
}

// settle decides what follows from an attempt and reports whether the request
// has its answer.
func (c *call) settle(ctx context.Context, a *attempt, r result) bool {
	switch r := r.(type) {
	case delivered:
		c.status, c.whole = r.status, true
		return true
	case cutOff:
		c.status, c.code, c.cause = statusClientGone, "caller_gone", r.cause
		panic(http.ErrAbortHandler)
	case notRun:
		c.cause = r.cause
		if c.again(ctx, a, r.refused) {
			c.relayer.logRepeat(c, a, r.cause)
			return false
		}
	case answered:
		c.mayHaveRun, c.cause = true, nil
		if c.again(ctx, a, true) {
			c.relayer.logRepeat(c, a, errFailedAnswer)
			c.failure = &r
			return false
		}
		return c.deliver(r)
	case failed:
		c.mayHaveRun, c.cause = true, r.cause
		if c.again(ctx, a, c.route.Repeat != validator.Once) {
			c.relayer.logRepeat(c, a, r.cause)
			return false
		}
	}
	return c.broken(ctx)
}

// again prepares a further attempt, if there may be one. An answer of another request
// is the fault of its connection, which is used no more; the upstream itself may
// serve.
func (c *call) again(ctx context.Context, a *attempt, allowed bool) bool {
	if !allowed || ctx.Err() != nil || c.attempts >= c.route.Attempts || c.unsent > maxUnsent {
		return false
	}
	if c.stream.begun && (c.route.Repeat != validator.Resumable || c.stream.events == 0 || c.stream.fixed.Load()) {
		return false
	}
	c.ask.Retry = true
	if !errors.Is(c.cause, errForeignAnswer) {
		c.ask.Avoid = append(c.ask.Avoid, a.upstream.Name)
	}
	c.ask.Emitted = c.stream.events
	c.stream.resumed = c.stream.events > 0
	c.relayer.repeats.Inc(1)
	return true
}

// unserved answers a request that got no slot.
func (c *call) unserved(ctx context.Context, err error) {
	c.cause = err
	var refusal *dispatcher.RefusedError
	switch {
	case c.request.Context().Err() != nil:
		c.status, c.code = statusClientGone, "caller_gone"
		panic(http.ErrAbortHandler)
	case c.stream.begun || c.mayHaveRun:
		c.broken(ctx)
	case errors.As(err, &refusal):
		c.code = string(refusal.Reason)
		status := http.StatusServiceUnavailable
		if refusal.Reason == scheduler.OverLimit {
			status = http.StatusTooManyRequests
		}
		c.refuse(status, c.code, refusal.RetryAfter)
	case ended(ctx) == codeStopping:
		c.refuse(http.StatusServiceUnavailable, codeStopping, staleRetry)
	default:
		c.refuse(http.StatusServiceUnavailable, codeTimeout, 0)
	}
}

// deliver passes an upstream's own failure on.
func (c *call) deliver(w answered) bool {
	c.pass(w)
	c.status, c.whole = w.response.StatusCode, true
	return true
}

// broken ends a request that has failed and may have run. It always has its
// answer then.
func (c *call) broken(ctx context.Context) bool {
	switch {
	case c.request.Context().Err() != nil:
		c.status, c.code = statusClientGone, "caller_gone"
		panic(http.ErrAbortHandler)
	case c.stream.begun:
		c.status, c.code = http.StatusOK, "stream_broken"
		c.abort()
	case c.failure != nil:
		return c.deliver(*c.failure)
	case !c.mayHaveRun:
		c.refuse(http.StatusServiceUnavailable, "not_run", staleRetry)
	case ctx.Err() != nil:
		c.refuse(http.StatusGatewayTimeout, ended(ctx), 0)
	default:
		c.refuse(http.StatusBadGateway, "upstream_failed", 0)
	}
	return true
}

// refuse answers with a status of the system's own.
func (c *call) refuse(status int, code string, retry time.Duration) {
	c.status, c.code, c.retry = status, code, retry
	h := c.writer.Header()
	c.relayer.options.Protocol.Refuse(h, Refusal{Retry: retry})
	body := code + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(status)
	_, _ = io.WriteString(c.writer, body)
}

// finish counts, logs and reports the end of the request.
func (c *call) finish() {
	c.keep(nil)
	now := c.relayer.clock.Now()
	c.relayer.latency.Update(now.Sub(c.arrived))
	c.relayer.logEnd(c, now)
	if c.relayer.options.Report == nil || c.class == nil {
		return
	}
	v := reporter.Result{
		Class:     c.class.Name,
		Arrived:   c.arrived,
		Completed: c.whole,
		Abandoned: c.status == statusClientGone,
		Total:     now.Sub(c.arrived),
		Tokens:    c.stream.events,
	}
	if c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests {
		v.Refused = scheduler.Reason(c.code)
	}
	if !c.granted.IsZero() {
		v.Queue = c.granted.Sub(c.arrived)
	}
	if !c.first.IsZero() {
		v.First = c.first.Sub(c.arrived)
		v.Gap = now.Sub(c.first) / time.Duration(max(c.stream.events-1, 1))
	}
	c.relayer.options.Report(v)
}

// logRepeat logs why a request is sent to a further upstream.
func (r *Relayer) logRepeat(c *call, a *attempt, cause error) {
	r.logger.Info("attempt failed; trying another upstream",
		zap.String("request", c.intent.ID), zap.String("upstream", string(a.upstream.Name)),
		zap.Int("attempt", c.attempts), zap.String("event", c.stream.last), zap.Error(cause))
}

// noteView notes how old the view of the upstreams is, for the log.
func (c *call) noteView() {
	if c.relayer.options.ViewAge != nil {
		c.view = c.relayer.options.ViewAge()
	}
}

// logEnd writes one line for each request: what decided it and how it ended.
func (r *Relayer) logEnd(c *call, now time.Time) {
	fields := []zap.Field{
		zap.String("request", c.intent.ID), zap.Int("status", c.status),
		zap.Duration("took", now.Sub(c.arrived)),
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", string(c.route.Name)), zap.String("pool", string(c.ask.Pool)))
	}
	if c.organisation != nil {
		fields = append(fields, zap.String("organisation", string(c.organisation.Name)))
	}
	if c.class != nil {
		fields = append(fields, zap.String("class", string(c.class.Name)), zap.Int("tier", int(c.class.Tier)))
	}
	if c.upstream != "" {
		fields = append(fields, zap.String("upstream", string(c.upstream)), zap.Int("attempts", c.attempts), zap.Int("unsent", c.unsent),
			zap.Duration("queued", c.granted.Sub(c.arrived)), zap.Duration("predicted", c.predicted), zap.Duration("view", c.view))
	}
	if c.model {
		fields = append(fields, zap.Int("prompt", c.ask.Prompt), zap.Int("limit", c.ask.Limit))
	}
	if !c.first.IsZero() {
		fields = append(fields, zap.Duration("first", c.first.Sub(c.arrived)), zap.Int("events", c.stream.events))
	}
	if c.code == "" {
		r.served.Info("request served", fields...)
		return
	}
	fields = append(fields, zap.String("code", c.code), zap.Bool("ran", c.mayHaveRun))
	if c.retry > 0 {
		fields = append(fields, zap.Duration("retry", c.retry))
	}
	if c.cause != nil {
		fields = append(fields, zap.Error(c.cause))
	}
	if c.mayHaveRun || c.status == statusClientGone {
		r.failures.Inc(1)
		r.logger.Info("request failed", fields...)
		return
	}
	r.refusals.Inc(1)
	r.logger.Info("request refused", fields...)
}
