package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/entry/forwarder"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

const (
	// maxBuffered is the part of an answer that is read before any of it is
	// passed on, so that a broken one can be repeated or reported.
	maxBuffered = 1 << 20
	// minSilence, silenceFactor and gapFactor bound how long the first upstream of a
	// request that may be repeated may say nothing, against the targets of the class
	// for its start and for the time between events. Callers wait as long.
	minSilence    = 2 * time.Second
	silenceFactor = 4
	gapFactor     = 8
	// sendMargin is the least time left for which an attempt is started: less
	// can't reach an upstream and come back.
	sendMargin = 5 * time.Millisecond
)

var (
	errForeignAnswer = errors.New("the answer belongs to another request")
	errUnattributed  = errors.New("the refusal names no request, and the connection has carried others")
	errResent        = errors.New("the upstream refused the request after it may have run it")
	errUnsigned      = errors.New("the answer is not signed by an upstream, or names no request")
	errUnstated      = errors.New("the upstream refused by its status alone")
	errEncoded       = errors.New("the answer is encoded")
	errPreempted     = errors.New("the scheduler asked to go on elsewhere")
	errSilent        = errors.New("the upstream is silent")
	errFailedAnswer  = errors.New("the upstream answered with a failure")
	errNoStream      = errors.New("the answer can't go on with the stream")
	errEnded         = errors.New("the attempt has ended")
	errLate          = errors.New("no time is left")
)

// badAnswers are the failures of upstreams that do answer.
var badAnswers = []error{errForeignAnswer, errUnattributed, errResent, errUnsigned, errUnstated, errEncoded, errNoStream}

// result is how an attempt ended.
type result interface{ result() }

// delivered means that the caller has a whole answer.
type delivered struct{ status int }

// cutOff means that the caller went away.
type cutOff struct{ cause error }

// notRun means that the upstream has not run the request and never will; refused
// tells whether it said so itself.
type notRun struct {
	refused bool
	cause   error
}

// answered is a whole failure of an upstream, which may go better elsewhere.
type answered struct {
	response *http.Response
	body     []byte
}

// failed means that the upstream may have run the request and no whole answer
// came.
type failed struct{ cause error }

func (delivered) result() {}
func (cutOff) result()    {}
func (notRun) result()    {}
func (answered) result()  {}
func (failed) result()    {}

// attempt is one request to one upstream.
type attempt struct {
	call     *call
	slot     dispatcher.Slot
	upstream registrar.Upstream
	send     forwarder.Attempt
	cancel   context.CancelCauseFunc
	silence  clockwork.Timer
	limit    time.Duration
	// asked is when the request was sent.
	asked time.Time
	// event is the ID of the last event of this upstream.
	event string
	group conc.WaitGroup
}

func newAttempt(c *call, s dispatcher.Slot) *attempt {
	return &attempt{call: c, slot: s, upstream: s.Upstream()}
}

// run sends the request and passes the answer on.
func (a *attempt) run(ctx context.Context) result {
	ctx, a.cancel = context.WithCancelCause(ctx)
	r := a.exchange(ctx)
	outcome := a.outcome(ctx, r)
	a.cancel(errEnded)
	a.group.Wait()
	a.slot.Release(outcome, a.call.stream.tokens())
	a.returnHedge()
	return r
}

// returnHedge gives back a second slot; the relayer makes one attempt at a time.
func (a *attempt) returnHedge() {
	select {
	case h, ok := <-a.slot.Hedged():
		if ok && h != nil {
			h.Release(scheduler.Abandoned, 0)
		}
	default:
	}
}

func (a *attempt) exchange(ctx context.Context) result {
	c := a.call
	left := c.deadline.Sub(c.relayer.clock.Now())
	if left < sendMargin {
		return notRun{cause: errLate}
	}
	request, err := a.request(ctx, left)
	if err != nil {
		return notRun{cause: err}
	}
	a.send = forwarder.Attempt{Upstream: a.upstream, Request: request, Once: a.alone(), Permit: a.permit}
	a.watch(ctx, left)
	a.asked = c.relayer.clock.Now()
	c.noteView()
	response, err := c.relayer.options.Sender.Send(ctx, &a.send)
	if err != nil {
		return a.lost(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	return a.receive(ctx, response)
}

// permit tells why the request must not be sent, if so.
func (a *attempt) permit() error {
	if ask := a.call.relayer.options.Permit; ask != nil {
		return ask(a.upstream)
	}
	return nil
}

// alone reports whether the request needs a connection of its own: it must run once, or
// the upstream had it before, whose earlier answer has the same ID.
func (a *attempt) alone() bool {
	c := a.call
	return c.route.Repeat == validator.Once || slices.Contains(c.addresses, a.upstream.Address)
}

// watch gives an upstream up that is silent, or that the scheduler has found to be,
// where the request may go on elsewhere.
func (a *attempt) watch(ctx context.Context, left time.Duration) {
	c := a.call
	if c.route.Repeat == validator.Once || c.attempts+1 >= c.route.Attempts {
		return
	}
	a.limit = min(c.silence(), left)
	a.silence = c.relayer.clock.AfterFunc(a.limit, func() { a.yield(errSilent) })
	a.group.Go(func() {
		select {
		case <-a.slot.Preempted():
			a.yield(errPreempted)
		case <-ctx.Done():
		}
	})
}

// yield ends the attempt, unless its stream can't go on elsewhere.
func (a *attempt) yield(cause error) {
	if !a.call.stream.fixed.Load() {
		a.cancel(cause)
	}
}

// silence is how long an upstream may say nothing. The scheduler, which sees the
// requests of all hosts, notices a silent upstream earlier; this bound is for
// single requests that an upstream forgets.
func (c *call) silence() time.Duration {
	begin := max(time.Duration(c.class.First), time.Duration(c.class.Total))
	return max(minSilence, silenceFactor*begin, gapFactor*time.Duration(c.class.Gap))
}

// heard notes a sign of life of the upstream.
func (a *attempt) heard() {
	if a.silence != nil {
		a.silence.Reset(a.limit)
	}
}

// request makes the request for the upstream. The path stays as it was sent.
func (a *attempt) request(ctx context.Context, left time.Duration) (*http.Request, error) {
	c := a.call
	path, query, asked := strings.Cut(c.request.RequestURI, "?")
	address, secure := a.upstream.Endpoint()
	scheme := "http"
	if secure {
		scheme = "https"
		address = strings.TrimPrefix(address, scheme+"://")
	}
	u := &url.URL{Scheme: scheme, Host: address, Opaque: path, RawQuery: query, ForceQuery: asked}
	q := (&http.Request{Method: c.request.Method, URL: u, Host: c.request.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	if len(c.body) > 0 {
		q.Body = io.NopCloser(bytes.NewReader(c.body))
		q.ContentLength = int64(len(c.body))
	}
	q.Header = forwarder.WithoutHops(c.request.Header)
	q.Header.Del("Content-Length")
	if _, ok := q.Header["User-Agent"]; !ok {
		q.Header["User-Agent"] = []string{""}
	}
	o := Instructions{Upstream: string(a.upstream.Name), TimeLeft: left, Priority: a.slot.Priority(), Model: c.model}
	if c.stream.resumed {
		o.LastEventID = c.stream.last
	}
	if c.organisation != nil {
		o.Organisation = c.organisation.Name
	}
	c.relayer.options.Protocol.Prepare(q.Header, o)
	return q, nil
}

// lost classifies an attempt that brought no answer.
func (a *attempt) lost(ctx context.Context, err error) result {
	if a.call.request.Context().Err() != nil {
		return cutOff{cause: err}
	}
	if !a.send.Sent.Load() {
		return notRun{refused: true, cause: err}
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return failed{cause: err}
}

// receive checks that the answer belongs to the request and reads it.
func (a *attempt) receive(ctx context.Context, response *http.Response) result {
	c := a.call
	if a.send.Spliced(response) {
		c.relayer.options.Sender.Discard(&a.send)
		return failed{cause: errForeignAnswer}
	}
	reply := c.relayer.options.Protocol.Reply(response)
	a.notice(reply)
	success := response.StatusCode >= 200 && response.StatusCode < 300
	switch {
	case reply.ID != "" && reply.ID != c.intent.ID:
		c.relayer.options.Sender.Discard(&a.send)
		return failed{cause: errForeignAnswer}
	case reply.NotRun && reply.ID == "" && a.send.Reused():
		// It may be that of an earlier request, written once more.
		c.relayer.options.Sender.Discard(&a.send)
		return failed{cause: errUnattributed}
	case reply.NotRun && a.send.Resent():
		return failed{cause: errResent}
	case reply.NotRun:
		return notRun{refused: true, cause: fmt.Errorf("upstream refused with status %d", response.StatusCode)}
	case !reply.Signed || reply.ID == "":
		c.relayer.options.Sender.Discard(&a.send)
		return failed{cause: errUnsigned}
	case c.route.Repeat != validator.Idempotent && promises(response.StatusCode):
		return failed{cause: errUnstated}
	case response.Header.Get("Content-Encoding") != "":
		return failed{cause: errEncoded}
	}
	if kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type")); success && err == nil && kind == "text/event-stream" {
		return a.relayStream(ctx, response)
	}
	return a.relayWhole(ctx, response)
}

// promises reports whether a status alone tells callers that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// notice passes on what the upstream says about new work. It counts whatever becomes
// of the answer, but for a limit that is not named any more: only an answer to this
// request tells that.
func (a *attempt) notice(r Reply) {
	take := a.call.relayer.options.Notice
	if take == nil {
		return
	}
	own := r.ID == a.call.intent.ID && (r.Signed || r.NotRun)
	unlimited := own && r.Rate == 0 && !r.RateUnknown
	if r.Leaving || r.Pause > 0 || r.Rate > 0 || unlimited {
		take(dispatcher.Notice{
			Upstream: a.upstream, Leaving: r.Leaving, Attributed: own, Pause: r.Pause,
			Rate: r.Rate, Unlimited: unlimited, SentAt: a.asked,
		})
	}
}

// relayWhole reads a short answer to its end before it is passed on. A stream that has
// begun can't go on with one, however long it is.
func (a *attempt) relayWhole(ctx context.Context, response *http.Response) result {
	c := a.call
	if c.stream.begun {
		return failed{cause: errNoStream}
	}
	kept := c.relayer.buffers.open()
	ended, err := kept.fill(response.Body, maxBuffered)
	if err != nil {
		kept.release()
		return a.lost(ctx, fmt.Errorf("read answer: %w", err))
	}
	whole := answered{response: response, body: kept.data}
	c.keep(kept)
	if !ended {
		return a.relayLong(ctx, whole)
	}
	a.first()
	if response.StatusCode >= 500 && c.route.Repeat != validator.Once && c.attempts+1 < c.route.Attempts {
		return whole
	}
	c.pass(whole)
	return delivered{status: response.StatusCode}
}

// first notes the first part of the answer.
func (a *attempt) first() {
	if a.call.first.IsZero() {
		a.call.first = a.call.relayer.clock.Now()
	}
	a.slot.FirstToken()
}

// pass sends a whole answer to the caller.
func (c *call) pass(w answered) {
	c.copyHeader(w.response)
	if c.request.Method != http.MethodHead && w.response.StatusCode != http.StatusNoContent && w.response.StatusCode != http.StatusNotModified {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	}
	c.writer.WriteHeader(w.response.StatusCode)
	_, _ = c.writer.Write(w.body)
}

// relayLong passes on an answer that is too long to be kept.
func (a *attempt) relayLong(ctx context.Context, w answered) result {
	c := a.call
	c.copyHeader(w.response)
	if w.response.ContentLength >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(w.response.ContentLength, 10))
	}
	a.first()
	c.writer.WriteHeader(w.response.StatusCode)
	c.stream.begun = true
	if _, err := c.writer.Write(w.body); err != nil {
		return cutOff{cause: err}
	}
	c.keep(nil)
	if _, err := io.Copy(c.writer, w.response.Body); err != nil {
		return a.lost(ctx, fmt.Errorf("pass answer on: %w", err))
	}
	return delivered{status: w.response.StatusCode}
}

// copyHeader passes an upstream's headers on.
func (c *call) copyHeader(response *http.Response) {
	h := c.writer.Header()
	for name, values := range forwarder.WithoutHops(response.Header) {
		if name != "Content-Length" && name != "Date" {
			h[name] = values
		}
	}
	if date := response.Header["Date"]; len(date) > 0 {
		h["Date"] = date
	}
}

// outcome tells the scheduler how the attempt ended.
func (a *attempt) outcome(ctx context.Context, r result) scheduler.Outcome {
	switch r := r.(type) {
	case delivered:
		return scheduler.Completed
	case cutOff:
		return scheduler.Abandoned
	case notRun:
		return forwarder.Unsent(r.cause)
	case answered:
		return scheduler.Failed
	case failed:
		return a.failure(ctx, r.cause)
	}
	return scheduler.Failed
}

func (a *attempt) failure(ctx context.Context, cause error) scheduler.Outcome {
	switch {
	case errors.Is(cause, errSilent):
		return scheduler.Silent
	case errors.Is(cause, errPreempted):
		return scheduler.Preempted
	case errors.Is(context.Cause(ctx), errTimeout), errors.Is(context.Cause(ctx), errStopping):
		return scheduler.Abandoned
	case slices.ContainsFunc(badAnswers, func(bad error) bool { return errors.Is(cause, bad) }):
		return scheduler.Failed
	}
	return scheduler.Crashed
}
