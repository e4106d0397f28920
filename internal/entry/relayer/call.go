package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/reporter"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

const (
	// defaultBody is the default bound of a request body in bytes.
	defaultBody = 8 << 20
	// staleRetry is the Retry-After of a host that can't confirm its configuration; the
	// next attempt usually reaches another host.
	staleRetry = 500 * time.Millisecond
	// startHold is how long a request waits on a starting host that hasn't confirmed
	// its configuration yet: other hosts may be starting too, and a refused caller
	// would find none that serves it.
	startHold = 1200 * time.Millisecond
	// staleHold is how long a request waits on a host whose confirmation has expired,
	// for example after its process was suspended.
	staleHold = 300 * time.Millisecond
	// holdPoll is how often a waiting request checks the configuration again.
	holdPoll = 20 * time.Millisecond
	// maxUnsent bounds, for one request, the attempts that ended before anything was
	// sent, mostly because no connection could be made, and those that another process
	// rejected.
	maxUnsent = 2
	// waitShare is the part of a caller's time that a request may wait for its first
	// attempt. What is left then is needed for the answer.
	waitShare = 0.75
	// answerMargin is the time before its deadline at which a request that still waits for
	// a further attempt gets its final answer, so that the answer arrives in time.
	answerMargin = 50 * time.Millisecond
	// codeTimeout and codeStopping are the error codes of requests that end before they
	// have a response.
	codeTimeout  = "timeout"
	codeStopping = "stopping"
	// statusClientGone is used in logs only; the caller has disconnected.
	statusClientGone = 499
	// drawBits is the resolution in bits of the draw among the pools of a route.
	drawBits = 53
)

var (
	// errTimeout is the cause that ends a request at its deadline.
	errTimeout = errors.New("the deadline of the request has passed")
	// errStopping is the cause that ends a request at the end of a planned stop.
	errStopping = errors.New("this host is stopping")
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
	// deadline is when the caller stops waiting or the route's timeout expires,
	// whichever is earlier.
	deadline time.Time

	// slotRequest describes the request to the scheduler.
	slotRequest scheduler.Request
	// attempts counts the upstreams to which the request was sent, and unsent the
	// attempts that ended before anything was sent or that another process rejected.
	attempts, unsent int
	// sent is set once anything of the request may have reached an upstream.
	sent bool
	// addresses are the upstream addresses to which the request was sent.
	addresses []string
	// mayHaveRun is set once an upstream may have run the request without its response
	// having been forwarded.
	mayHaveRun bool
	stream     streamState
	// counted is set once the request has been counted for usage reports.
	counted bool
	// kept is the buffer of the last complete response, which may be forwarded later.
	kept *buffer
	// failure is an upstream's failure response, which is forwarded if no further
	// attempt gets a better one.
	failure *wholeAnswer

	// The fields from here on are logged at the end of the request.
	status    int
	code      string
	cause     error
	upstream  registrar.UpstreamID
	grantedAt time.Time
	firstAt   time.Time
	// predicted is the time to first token that the scheduler predicted.
	predicted time.Duration
	retry     time.Duration
	// viewAge is how old the view of the upstreams was when the request was last sent.
	viewAge time.Duration
	// configured is how long the request waited for a confirmed configuration.
	configured time.Duration
	// trace tells where the request was last scheduled.
	trace    dispatcher.Trace
	complete bool
}

func newCall(r *Relayer, w http.ResponseWriter, q *http.Request) *call {
	return &call{relayer: r, writer: w, request: q, intent: r.options.Protocol.Intent(q), arrived: r.clock.Now()}
}

// keep makes b the buffer that the call holds and releases the previous one; b may be
// nil.
func (c *call) keep(b *buffer) {
	if c.kept != nil {
		c.kept.release()
	}
	c.kept = b
}

// serve handles the request.
func (c *call) serve() {
	if c.relayer.unready.Load() {
		c.writer.Header().Set("Connection", "close")
	}
	if !c.readBody() || !c.resolve() {
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

// endCode returns the error code for the cause that ended the request's context.
func endCode(ctx context.Context) string {
	if errors.Is(context.Cause(ctx), errStopping) {
		return codeStopping
	}
	return codeTimeout
}

// resolve finds the route, organisation and class of the request and computes its
// deadline. If that fails, it refuses the request and returns false.
func (c *call) resolve() bool {
	x, fresh := c.relayer.awaitConfiguration(c.request.Context(), c.lastWait(c.intent.MaxWait))
	c.configured = c.relayer.clock.Since(c.arrived)
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

// lastWait returns when a request with the time limit stops waiting for its first attempt;
// the zero time if it has no limit.
func (c *call) lastWait(limit time.Duration) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return c.arrived.Add(time.Duration(waitShare * float64(limit)))
}

// waitEnd returns when the request stops waiting for its next attempt.
func (c *call) waitEnd() time.Time {
	if c.attempts+c.unsent == 0 {
		return c.lastWait(c.deadline.Sub(c.arrived))
	}
	return c.deadline.Add(-answerMargin)
}

// awaitConfiguration returns the configuration in force and whether it is confirmed.
// While it isn't, the request waits for up to startHold or staleHold, and not beyond last
// unless that is zero.
func (r *Relayer) awaitConfiguration(ctx context.Context, last time.Time) (*validator.Index, bool) {
	x, fresh := r.options.Configuration()
	if fresh {
		r.confirmed.Store(true)
		return x, true
	}
	hold := startHold
	if r.confirmed.Load() {
		hold = staleHold
	}
	end := r.clock.Now().Add(hold)
	if !last.IsZero() && last.Before(end) {
		end = last
	}
	for !fresh && r.clock.Now().Before(end) {
		select {
		case <-ctx.Done():
			return nil, false
		case <-r.clock.After(holdPoll):
		}
		x, fresh = r.options.Configuration()
	}
	return x, fresh
}

// readBody reads the complete body before anything is sent, so that no part of a broken
// one is forwarded. It refuses a body that is too large and returns false, and aborts
// the connection when the body can't be read.
func (c *call) readBody() bool {
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

// prepare fills in the description of the request for the scheduler.
func (c *call) prepare() {
	id := c.intent.ID
	draw := float64(xxhash.Sum64String(id)>>(64-drawBits)) / (1 << drawBits)
	pool := c.route.Pick(draw)
	_, c.model = c.index.Model(pool)
	c.slotRequest = scheduler.Request{
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
		c.slotRequest.Organisation = c.organisation.Name
	}
	if c.route.Repeat == validator.Resumable {
		c.stream.lastID = c.intent.LastEventID
	}
	if !c.model {
		c.slotRequest.Parts = c.plainParts()
	}
	end := 0
	for _, p := range c.intent.Prompt {
		end += p.Tokens
		c.slotRequest.Prefix = append(c.slotRequest.Prefix, p.ID)
		c.slotRequest.Ends = append(c.slotRequest.Ends, end)
	}
}

// run makes attempts until the request is answered.
func (c *call) run(ctx context.Context) {
	ctx = dispatcher.WithTrace(ctx, &c.trace)
	for {
		ask := c.slotRequest
		ask.Avoid = c.relayer.options.Sender.Avoid(ask.Avoid)
		slot, err := c.acquire(ctx, ask)
		if err != nil {
			c.endWithoutSlot(ctx, err)
			return
		}
		if c.grantedAt.IsZero() {
			c.grantedAt = c.relayer.clock.Now()
		}
		c.upstream, c.predicted = slot.Upstream().Name, slot.Predicted()
		a := newAttempt(c, slot)
		result := a.run(ctx)
		c.count(a, result)
		if c.settle(ctx, a, result) {
			return
		}
	}
}

// acquire waits for a slot as long as the request can still be served in its time.
func (c *call) acquire(ctx context.Context, ask scheduler.Request) (dispatcher.Slot, error) {
	ctx, cancel := context.WithDeadline(ctx, c.waitEnd())
	defer cancel()
	return c.relayer.options.Dispatcher.Acquire(ctx, ask)
}

// count counts an attempt that has ended. One that another process than the upstream's
// rejected doesn't use up the route's attempts.
func (c *call) count(a *attempt, r result) {
	if !a.send.Sent.Load() {
		c.unsent++
		return
	}
	c.sent = true
	c.addresses = append(c.addresses, a.upstream.Address)
	if n, ok := r.(notRun); ok && errors.Is(n.cause, errMisdirected) {
		c.unsent++
		return
	}
	c.attempts++
}

// settle decides what follows from the result of an attempt and reports whether the
// request has been answered.
func (c *call) settle(ctx context.Context, a *attempt, r result) bool {
	switch r := r.(type) {
	case delivered:
		c.status, c.complete = r.status, true
		return true
	case callerGone:
		c.status, c.code, c.cause = statusClientGone, "caller_gone", r.cause
		panic(http.ErrAbortHandler)
	case notRun:
		c.cause = r.cause
		if c.prepareRetry(ctx, a, r.refused) {
			c.relayer.logRepeat(c, a, r.cause)
			return false
		}
	case wholeAnswer:
		c.mayHaveRun, c.cause = true, nil
		if c.prepareRetry(ctx, a, true) {
			c.relayer.logRepeat(c, a, errFailedAnswer)
			c.failure = &r
			return false
		}
		return c.deliver(r)
	case failed:
		c.mayHaveRun, c.cause = true, r.cause
		a.noteLost(ctx, r.cause)
		if c.prepareRetry(ctx, a, c.route.Repeat != validator.Once) {
			c.relayer.logRepeat(c, a, r.cause)
			return false
		}
	}
	return c.endFailed(ctx)
}

// prepareRetry prepares another attempt and reports whether one may be made. The
// upstream of the failed attempt is avoided, except after the response to another
// request: that is a fault of its connection, which is not used again, and the upstream
// itself may work.
func (c *call) prepareRetry(ctx context.Context, a *attempt, allowed bool) bool {
	if !allowed || ctx.Err() != nil || c.attempts >= c.route.Attempts || c.unsent > maxUnsent {
		return false
	}
	if c.stream.begun && (c.route.Repeat != validator.Resumable || c.stream.events == 0 || c.stream.unresumable.Load()) {
		return false
	}
	c.slotRequest.Retry, c.slotRequest.Unsent = true, !c.sent
	if !errors.Is(c.cause, errForeignAnswer) {
		c.slotRequest.Avoid = append(c.slotRequest.Avoid, a.upstream.Name)
	}
	c.slotRequest.Emitted = c.stream.events
	c.stream.resumed = c.stream.events > 0
	c.relayer.repeats.Inc(1)
	return true
}

// endWithoutSlot ends a request that got no slot.
func (c *call) endWithoutSlot(ctx context.Context, err error) {
	c.cause = err
	var refusal *dispatcher.RefusedError
	switch {
	case c.request.Context().Err() != nil:
		c.status, c.code = statusClientGone, "caller_gone"
		panic(http.ErrAbortHandler)
	case c.stream.begun || c.mayHaveRun:
		c.endFailed(ctx)
	case errors.As(err, &refusal):
		c.code = string(refusal.Reason)
		status := http.StatusServiceUnavailable
		if refusal.Reason == scheduler.OverLimit {
			status = http.StatusTooManyRequests
		}
		c.refuse(status, c.code, refusal.RetryAfter)
	case endCode(ctx) == codeStopping:
		c.refuse(http.StatusServiceUnavailable, codeStopping, staleRetry)
	default:
		c.refuse(http.StatusServiceUnavailable, codeTimeout, staleRetry)
	}
}

// deliver forwards an upstream's failure response to the caller and returns true.
func (c *call) deliver(w wholeAnswer) bool {
	c.writeAnswer(w)
	c.status, c.complete = w.response.StatusCode, true
	return true
}

// endFailed ends a request whose last attempt failed. It always answers the caller or
// aborts the connection, and returns true.
func (c *call) endFailed(ctx context.Context) bool {
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
	case ctx.Err() != nil || errors.Is(c.cause, context.DeadlineExceeded):
		c.refuse(http.StatusGatewayTimeout, endCode(ctx), 0)
	default:
		c.refuse(http.StatusBadGateway, "upstream_failed", 0)
	}
	return true
}

// refuse answers with the system's own status and error code. retry is the time after
// which the caller should retry; 0 if a retry is of no use.
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
		Completed: c.complete,
		Abandoned: c.status == statusClientGone,
		Total:     now.Sub(c.arrived),
		Tokens:    c.stream.events,
	}
	if c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests {
		v.Refused = scheduler.Reason(c.code)
	}
	if !c.grantedAt.IsZero() {
		v.Queue = c.grantedAt.Sub(c.arrived)
	}
	if !c.firstAt.IsZero() {
		v.First = c.firstAt.Sub(c.arrived)
		v.Gap = now.Sub(c.firstAt) / time.Duration(max(c.stream.events-1, 1))
	}
	c.relayer.options.Report(v)
}
