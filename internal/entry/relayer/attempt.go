package relayer

import (
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
	"github.com/amaranthcart/amaranthcart/internal/rpc/verifier"
)

const (
	// maxBuffered is how many bytes of a response are read before any of it is
	// forwarded, so that a broken response can be retried or reported as an error.
	maxBuffered = 1 << 20
	// minSilence, silenceFactor and gapFactor determine how long an upstream may send
	// nothing before an attempt that can be retried is given up. The factors multiply
	// the class's targets for the start of the response and for the gap between events;
	// callers wait as long.
	minSilence    = 2 * time.Second
	silenceFactor = 4
	gapFactor     = 8
	// sendMargin is the least remaining time with which an attempt is started; a
	// shorter time doesn't suffice for a round trip to an upstream.
	sendMargin = 5 * time.Millisecond
)

var (
	errForeignAnswer = errors.New("the answer belongs to another request")
	errUnattributed  = errors.New("the refusal names no request, and the connection has carried other requests")
	errResent        = errors.New("the upstream refused the request after it may have run it")
	errUnsigned      = errors.New("the answer is not signed by an upstream, or names no request")
	errMisdirected   = errors.New("another process than the upstream's answers at its address")
	errStatusOnly    = errors.New("the upstream refused by status code alone")
	errEncoded       = errors.New("the answer is encoded")
	errPreempted     = errors.New("the scheduler preempted the attempt")
	errSilent        = errors.New("the upstream is silent")
	errFailedAnswer  = errors.New("the upstream answered with a failure")
	errNoStream      = errors.New("the answer can't continue the stream")
	errEnded         = errors.New("the attempt has ended")
	errNoTimeLeft    = errors.New("too little time is left before the deadline")
)

// badAnswers are the errors of upstreams that respond, but with a response that can't
// be used.
var badAnswers = []error{errForeignAnswer, errUnattributed, errResent, errUnsigned, errStatusOnly, errEncoded, errNoStream, verifier.ErrBroken}

// result tells how an attempt ended.
type result interface{ result() }

// delivered means that the caller has the complete response.
type delivered struct{ status int }

// callerGone means that the caller disconnected.
type callerGone struct{ cause error }

// notRun means that the upstream has not run the request and never will. refused is set
// when the request may go to another upstream: the upstream refused it, or nothing was
// sent.
type notRun struct {
	refused bool
	cause   error
}

// wholeAnswer is a complete response that has been read into memory. As the result of
// an attempt it is an upstream's failure, and another upstream may succeed.
type wholeAnswer struct {
	response *http.Response
	body     []byte
}

// failed means that the upstream may have run the request and no complete response
// arrived.
type failed struct{ cause error }

func (delivered) result()   {}
func (callerGone) result()  {}
func (notRun) result()      {}
func (wholeAnswer) result() {}
func (failed) result()      {}

// attempt is one request to one upstream.
type attempt struct {
	call         *call
	slot         dispatcher.Slot
	upstream     registrar.Upstream
	send         forwarder.Attempt
	cancel       context.CancelCauseFunc
	silence      clockwork.Timer
	silenceLimit time.Duration
	// spending is set if the body is given up while it is sent, so that there is no further
	// attempt.
	spending bool
	// sentAt is when sending the request began.
	sentAt time.Time
	// lastEventID is the ID of the last event that this upstream sent; empty if it sent
	// none with an ID.
	lastEventID string
	group       conc.WaitGroup
}

func newAttempt(c *call, s dispatcher.Slot) *attempt {
	return &attempt{call: c, slot: s, upstream: s.Upstream()}
}

// run sends the request, forwards the response to the caller and releases the slot.
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

// returnHedge releases a second slot if one was granted; the relayer makes one attempt
// at a time.
func (a *attempt) returnHedge() {
	select {
	case h, ok := <-a.slot.Hedged():
		if ok && h != nil {
			h.Release(scheduler.Abandoned, 0)
		}
	default:
	}
}

// exchange sends the request and forwards the response.
func (a *attempt) exchange(ctx context.Context) result {
	c := a.call
	left := c.deadline.Sub(c.relayer.clock.Now())
	if left < sendMargin {
		return notRun{cause: errNoTimeLeft}
	}
	request, err := a.request(ctx, left)
	if err != nil {
		return notRun{cause: err}
	}
	a.send = forwarder.Attempt{Target: target(c.request.RequestURI), Upstream: a.upstream, Request: request, OwnConnection: a.needsOwnConnection(), Permit: a.permit}
	a.watch(ctx, left)
	a.sentAt = c.relayer.clock.Now()
	c.noteView()
	response, err := c.relayer.options.Sender.Send(ctx, &a.send)
	if err != nil {
		return a.classifyError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	return a.receive(ctx, response)
}

// permit returns the reason why the request must not be sent, or nil. The body of a
// request that is sent gives way to no other.
func (a *attempt) permit() error {
	if ask := a.call.relayer.options.Permit; ask != nil {
		if err := ask(a.upstream); err != nil {
			return err
		}
	}
	if a.call.claim != nil {
		return a.call.claim.Send()
	}
	return nil
}

// needsOwnConnection reports whether the request needs a new connection: it must run at
// most once, its target has to be written as it came, or it was sent to the same address
// before, so that the earlier response would carry the same ID.
func (a *attempt) needsOwnConnection() bool {
	c := a.call
	return c.route.Repeat == validator.Once || rawTarget(c.request.RequestURI) || slices.Contains(c.addresses, a.upstream.Address)
}

// watch gives up the attempt when the upstream sends nothing for too long or the
// scheduler preempts it, if the route allows another attempt.
func (a *attempt) watch(ctx context.Context, left time.Duration) {
	c := a.call
	if c.route.Repeat == validator.Once || c.attempts+1 >= c.route.Attempts || a.spending {
		return
	}
	a.silenceLimit = min(c.silence(), left)
	a.silence = c.relayer.clock.AfterFunc(a.silenceLimit, func() { a.giveUp(errSilent) })
	a.group.Go(func() {
		select {
		case <-a.slot.Preempted():
			a.giveUp(errPreempted)
		case <-ctx.Done():
		}
	})
}

// giveUp cancels the attempt, unless its stream can't be resumed at another upstream.
func (a *attempt) giveUp(cause error) {
	if !a.call.stream.unresumable.Load() {
		a.cancel(cause)
	}
}

// silence returns how long an upstream may send nothing. The scheduler, which sees the
// requests of all hosts, notices a silent upstream earlier; this bound is for single
// requests that an upstream forgets.
func (c *call) silence() time.Duration {
	begin := max(time.Duration(c.class.First), time.Duration(c.class.Total))
	return max(minSilence, silenceFactor*begin, gapFactor*time.Duration(c.class.Gap))
}

// resetSilence restarts the silence timer after the upstream has sent something.
func (a *attempt) resetSilence() {
	if a.silence != nil {
		a.silence.Reset(a.silenceLimit)
	}
}

// arriving reports the bytes of an answer as a sign of life of its upstream, at this host
// and at the owner of the cell.
type arriving struct {
	io.ReadCloser
	attempt *attempt
}

// Read implements io.Reader.
func (r arriving) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if n > 0 {
		r.attempt.resetSilence()
		r.attempt.slot.Progress(r.attempt.call.stream.tokens())
	}
	return n, err
}

// request builds the request for the upstream. The path is kept exactly as the caller
// sent it.
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
	if c.body != nil && c.body.Len() > 0 {
		a.spending = c.spends()
		q.Body = c.body.Reader(a.spending)
		q.ContentLength = c.body.Len()
	}
	q.Header = forwarder.WithoutHopHeaders(c.request.Header)
	q.Header.Del("Content-Length")
	if _, ok := q.Header["User-Agent"]; !ok {
		q.Header["User-Agent"] = []string{""}
	}
	o := Instructions{Upstream: string(a.upstream.Name), TimeLeft: left, Priority: a.slot.Priority(), Model: c.model}
	if c.stream.resumed {
		o.LastEventID = c.stream.lastID
	}
	if c.organisation != nil {
		o.Organisation = c.organisation.Name
	}
	c.relayer.options.Protocol.Prepare(q.Header, o)
	return q, nil
}

// classifyError returns the result of an attempt that ended with an error before a
// complete response.
func (a *attempt) classifyError(ctx context.Context, err error) result {
	if a.call.request.Context().Err() != nil {
		return callerGone{cause: err}
	}
	if !a.send.Sent.Load() {
		return notRun{refused: true, cause: err}
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if errors.Is(err, verifier.ErrEarly) {
		a.call.relayer.options.Sender.Discard(&a.send)
		return failed{cause: fmt.Errorf("%w: %w", errForeignAnswer, err)}
	}
	return failed{cause: err}
}

// receive checks that the response belongs to the request and forwards it.
func (a *attempt) receive(ctx context.Context, response *http.Response) result {
	c := a.call
	if a.send.Spliced(response) {
		c.relayer.options.Sender.Discard(&a.send)
		return failed{cause: errForeignAnswer}
	}
	reply := c.relayer.options.Protocol.Reply(response)
	a.reportNotice(reply)
	success := response.StatusCode >= 200 && response.StatusCode < 300
	switch {
	case reply.ID != "" && reply.ID != c.intent.ID:
		c.relayer.options.Sender.Discard(&a.send)
		return failed{cause: errForeignAnswer}
	case reply.NotRun && reply.ID == "" && a.send.Reused():
		// It may be a repeated refusal of an earlier request.
		c.relayer.options.Sender.Discard(&a.send)
		return failed{cause: errUnattributed}
	case reply.NotRun && a.send.Resent():
		return failed{cause: errResent}
	case reply.NotRun && response.StatusCode == http.StatusMisdirectedRequest:
		return notRun{refused: true, cause: errMisdirected}
	case reply.NotRun:
		return notRun{refused: true, cause: fmt.Errorf("upstream refused with status %d", response.StatusCode)}
	case !reply.Signed || reply.ID == "":
		c.relayer.options.Sender.Discard(&a.send)
		return failed{cause: errUnsigned}
	case c.route.Repeat != validator.Idempotent && claimsNotRun(response.StatusCode):
		return failed{cause: errStatusOnly}
	case response.Header.Get("Content-Encoding") != "":
		return failed{cause: errEncoded}
	}
	if kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type")); success && err == nil && kind == "text/event-stream" {
		return a.relayStream(ctx, response)
	}
	response.Body = arriving{response.Body, a}
	return a.relayWhole(ctx, response)
}

// claimsNotRun reports whether a status code by itself tells callers that the request
// has not run.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// reportNotice reports what the upstream says about new work. Every response counts,
// even one that is discarded, with one exception: the absence of a rate limit counts
// only in the response to this request.
func (a *attempt) reportNotice(r Reply) {
	take := a.call.relayer.options.Notice
	if take == nil {
		return
	}
	own := r.ID == a.call.intent.ID && (r.Signed || r.NotRun)
	unlimited := own && r.Rate == 0 && !r.RateUnknown
	if r.Leaving || r.Pause > 0 || r.Rate > 0 || unlimited {
		take(dispatcher.Notice{
			Upstream: a.upstream, Leaving: r.Leaving, Attributed: own, Pause: r.Pause,
			Rate: r.Rate, Unlimited: unlimited, SentAt: a.sentAt,
		})
	}
}

// relayWhole reads a short response to its end before it is forwarded. A response that
// isn't a stream can't continue a stream that has begun, however long it is.
func (a *attempt) relayWhole(ctx context.Context, response *http.Response) result {
	c := a.call
	if c.stream.begun {
		return failed{cause: errNoStream}
	}
	kept := c.relayer.buffers.open()
	ended, err := kept.fill(response.Body, maxBuffered)
	if err != nil {
		kept.release()
		return a.classifyError(ctx, fmt.Errorf("read answer: %w", err))
	}
	whole := wholeAnswer{response: response, body: kept.data}
	c.keep(kept)
	if !ended {
		return a.relayLong(ctx, whole)
	}
	a.noteFirst()
	if response.StatusCode >= 500 && c.route.Repeat != validator.Once && c.attempts+1 < c.route.Attempts {
		return whole
	}
	c.writeAnswer(whole)
	return delivered{status: response.StatusCode}
}

// noteFirst records the arrival of the first part of the response.
func (a *attempt) noteFirst() {
	if a.call.firstAt.IsZero() {
		a.call.firstAt = a.call.relayer.clock.Now()
		a.call.noteBegun()
	}
	a.slot.FirstToken()
}

// writeAnswer sends a complete response to the caller.
func (c *call) writeAnswer(w wholeAnswer) {
	c.copyHeader(w.response)
	if c.request.Method != http.MethodHead && w.response.StatusCode != http.StatusNoContent && w.response.StatusCode != http.StatusNotModified {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	}
	c.writer.WriteHeader(w.response.StatusCode)
	_, _ = c.writer.Write(w.body)
}

// relayLong forwards a response that is too long to be buffered.
func (a *attempt) relayLong(ctx context.Context, w wholeAnswer) result {
	c := a.call
	c.copyHeader(w.response)
	if w.response.ContentLength >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(w.response.ContentLength, 10))
	}
	a.noteFirst()
	c.writer.WriteHeader(w.response.StatusCode)
	c.stream.begun = true
	// No other upstream can continue the answer, so that this one isn't given up while
	// the caller reads slowly.
	c.stream.unresumable.Store(true)
	if _, err := c.writer.Write(w.body); err != nil {
		return callerGone{cause: err}
	}
	c.keep(nil)
	if _, err := io.Copy(c.writer, w.response.Body); err != nil {
		return a.classifyError(ctx, fmt.Errorf("forward answer: %w", err))
	}
	return delivered{status: w.response.StatusCode}
}

// copyHeader copies an upstream's headers to the caller's response, without hop-by-hop
// headers and Content-Length.
func (c *call) copyHeader(response *http.Response) {
	h := c.writer.Header()
	for name, values := range forwarder.WithoutHopHeaders(response.Header) {
		if name != "Content-Length" && name != "Date" {
			h[name] = values
		}
	}
	if date := response.Header["Date"]; len(date) > 0 {
		h["Date"] = date
	}
}

// outcome returns how the attempt ended in the scheduler's terms.
func (a *attempt) outcome(ctx context.Context, r result) scheduler.Outcome {
	switch r := r.(type) {
	case delivered:
		return scheduler.Completed
	case callerGone:
		return scheduler.Abandoned
	case notRun:
		if errors.Is(r.cause, errMisdirected) {
			return scheduler.Misdirected
		}
		return forwarder.Unsent(r.cause)
	case wholeAnswer:
		return scheduler.Failed
	case failed:
		return a.failureOutcome(ctx, r.cause)
	}
	return scheduler.Failed
}

// failureOutcome returns the scheduler's outcome of a failed attempt.
func (a *attempt) failureOutcome(ctx context.Context, cause error) scheduler.Outcome {
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
