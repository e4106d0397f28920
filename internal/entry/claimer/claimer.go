// Package claimer runs calls at most once by means of claims on the control
// hosts.
//
// A claim is committed by a quorum of control hosts before the call is sent, and
// its result afterwards. A resend with the same key gets the stored answer, waits
// for the running call, or gets the error that it is unknown whether the call ran.
//
// # Usage
//
//	c := claimer.New(claimer.Options{Addresses: addresses, Host: "e1"})
//	defer c.Close()
//	answer, verdict, err := c.Do(ctx, call, func(ctx context.Context) (claimer.Answer, error) {
//		// send the call once; return an error that wraps ErrNotRun if nothing was sent
//	})
//
// Answers whose body is longer than MaxStored are recorded without it. A resend
// then gets ErrTruncated, which says that the call ran, and never a part of an
// answer as if it were complete.
package claimer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

const (
	// MaxStored bounds a stored body in bytes, because every control host keeps it in
	// its log and in memory.
	MaxStored = 256 << 10
	// attemptTimeout bounds one call to one control host; a quorum write takes a few
	// milliseconds.
	attemptTimeout = 500 * time.Millisecond
	// claimTimeout bounds all attempts to commit a claim. It allows for the election of
	// a new control leader.
	claimTimeout = 3 * time.Second
	// retryInterval is the mean delay before all control hosts are tried again. It doubles
	// with each round that fails, up to maxRetryInterval, so that the calls of many hosts
	// don't keep control hosts late.
	retryInterval    = 50 * time.Millisecond
	maxRetryInterval = 400 * time.Millisecond
	// pollInterval is how often a resend asks for the result of the running call.
	pollInterval = 200 * time.Millisecond
	// waitBound is how long a resend waits for the running call.
	waitBound = 10 * time.Second
	// recordTimeout bounds all attempts to record a result.
	recordTimeout = 5 * time.Second
	// recordWait is how long the caller's answer is delayed until its result is
	// recorded.
	recordWait = time.Second
	// deadlineMargin is added to the deadline of the call, so that a claim does not
	// become unknown while its result is being recorded.
	deadlineMargin = recordTimeout
)

// Errors of Do.
var (
	// ErrNotRun is wrapped by the error of a call of which nothing was sent.
	ErrNotRun = errors.New("the call was not sent")
	// ErrNoQuorum means that the claim could not be committed, so the call was not
	// sent.
	ErrNoQuorum = errors.New("the claim could not be committed")
	// ErrMismatch means that the key was used before with another request.
	ErrMismatch = errors.New("the key was used with another request")
	// ErrRunning means that the first call with the key is still running.
	ErrRunning = errors.New("the first call with the key is still running")
	// ErrUnknown means that it is unknown whether the first call with the key ran.
	ErrUnknown = errors.New("the first call with the key may or may not have run")
	// ErrTruncated means that the first call ran and its answer was too long to be
	// stored.
	ErrTruncated = errors.New("the first call with the key ran and its answer was not stored")
)

// Verdict tells whether a call ran.
type Verdict int

// Verdicts on a call.
const (
	// NotRun means that this call was not sent, and that no earlier call is known to
	// have run.
	NotRun Verdict = iota
	// Ran means that this call was sent and answered.
	Ran
	// Replayed means that an earlier call ran; the answer is that call's.
	Replayed
	// Unknown means that the call may or may not have run.
	Unknown
)

// Call identifies a call that must run at most once.
type Call struct {
	// Organisation and Service scope the key.
	Organisation string
	Service      string
	Key          string
	// Digest is the SHA-256 of method, path and body; a resend must have the same one.
	Digest []byte
	// Deadline is the longest time that the call may take once its claim is granted.
	Deadline time.Duration
}

// Answer is the answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Options configures a Claimer.
type Options struct {
	// Addresses lists the addresses of the control hosts.
	Addresses []string
	// Host is the name of this entry host.
	Host   string
	Client connect.HTTPClient
	Clock  clockwork.Clock
	Logger *zap.Logger
	// NewToken returns a unique token; nil means random UUIDs.
	NewToken func() string
}

// Claimer runs calls under claims that it commits on the control hosts.
type Claimer struct {
	options Options
	clock   clockwork.Clock
	logger  *zap.Logger
	clients []wireconnect.ControlClient
	// last is the index of the control host that answered the previous request; it is
	// tried first.
	last  atomic.Int64
	group conc.WaitGroup
}

// New returns a Claimer.
func New(o Options) *Claimer {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.NewToken == nil {
		o.NewToken = uuid.NewString
	}
	if o.Client == nil {
		o.Client = dialer.New()
	}
	c := &Claimer{options: o, clock: o.Clock, logger: o.Logger.Named("claimer")}
	for _, a := range o.Addresses {
		c.clients = append(c.clients, wireconnect.NewControlClient(o.Client, dialer.URL(a)))
	}
	return c
}

// Close waits for results that are being recorded. It always returns nil.
func (c *Claimer) Close() error {
	c.group.Wait()
	return nil
}

// Do claims the call and runs it if the claim is granted. The run continues after ctx
// ends, so that a resend finds its result. If another call holds the claim, Do waits up
// to waitBound for its result.
func (c *Claimer) Do(ctx context.Context, call Call, run func(ctx context.Context) (Answer, error)) (Answer, Verdict, error) {
	token := c.options.NewToken()
	request := &wire.ClaimRequest{
		Organisation: call.Organisation,
		Service:      call.Service,
		Key:          call.Key,
		Digest:       call.Digest,
		Token:        token,
		Host:         c.options.Host,
		Deadline:     (call.Deadline + deadlineMargin).Milliseconds(),
	}
	started := c.clock.Now()
	for {
		response, err := c.claim(ctx, request)
		if err != nil {
			c.release(request)
			return Answer{}, NotRun, err
		}
		switch response.GetState() {
		case wire.ClaimResponse_STATE_GRANTED:
			return c.run(ctx, request, call.Deadline, run)
		case wire.ClaimResponse_STATE_DONE:
			return replay(response.GetAnswer())
		case wire.ClaimResponse_STATE_MISMATCH:
			return Answer{}, NotRun, ErrMismatch
		case wire.ClaimResponse_STATE_UNKNOWN:
			return Answer{}, Unknown, ErrUnknown
		}
		if c.clock.Since(started) >= waitBound {
			return Answer{}, Unknown, ErrRunning
		}
		if !c.sleep(ctx, pollInterval) {
			return Answer{}, Unknown, ctx.Err()
		}
	}
}

// sleep waits for d and reports whether ctx was still valid then.
func (c *Claimer) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-c.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// run sends the claimed call and records its result.
func (c *Claimer) run(ctx context.Context, q *wire.ClaimRequest, limit time.Duration, run func(ctx context.Context) (Answer, error)) (Answer, Verdict, error) {
	bounded, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), c.clock, limit)
	defer cancel()
	answer, err := run(bounded)
	record := &wire.CompleteRequest{
		Organisation: q.Organisation,
		Service:      q.Service,
		Key:          q.Key,
		Token:        q.Token,
		Result:       wire.CompleteRequest_RESULT_DONE,
	}
	verdict := Ran
	switch {
	case err == nil:
		record.Answer = encodeAnswer(answer)
	case errors.Is(err, ErrNotRun):
		verdict = NotRun
		record.Result = wire.CompleteRequest_RESULT_NOT_RUN
	default:
		verdict = Unknown
		record.Result = wire.CompleteRequest_RESULT_UNKNOWN
	}
	c.record(record)
	return answer, verdict, err
}

// record commits a result. It returns when that is done or after recordWait; the
// attempts then continue in the background.
func (c *Claimer) record(q *wire.CompleteRequest) {
	done := make(chan struct{})
	c.group.Go(func() {
		defer close(done)
		c.complete(q)
	})
	select {
	case <-done:
	case <-c.clock.After(recordWait):
	}
}

// release deletes, in the background, a claim that may have been committed although the
// reply to it was lost. No call was sent under its token.
func (c *Claimer) release(q *wire.ClaimRequest) {
	c.group.Go(func() {
		c.complete(&wire.CompleteRequest{
			Organisation: q.Organisation,
			Service:      q.Service,
			Key:          q.Key,
			Token:        q.Token,
			Result:       wire.CompleteRequest_RESULT_NOT_RUN,
		})
	})
}

// claim commits the claim. An attempt whose reply was lost is repeated with the same
// token, which the control hosts recognise.
func (c *Claimer) claim(ctx context.Context, q *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	var response *wire.ClaimResponse
	err := c.callAny(ctx, claimTimeout, func(ctx context.Context, k wireconnect.ControlClient) error {
		r, err := k.Claim(ctx, connect.NewRequest(q))
		if err != nil {
			return err
		}
		if r.Msg.GetState() == wire.ClaimResponse_STATE_UNSPECIFIED {
			return errors.New("the control host returned no claim state")
		}
		response = r.Msg
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoQuorum, err)
	}
	return response, nil
}

// complete commits a result and logs if that fails or the claim belongs to another
// token.
func (c *Claimer) complete(q *wire.CompleteRequest) {
	recorded := false
	err := c.callAny(context.Background(), recordTimeout, func(ctx context.Context, k wireconnect.ControlClient) error {
		r, err := k.Complete(ctx, connect.NewRequest(q))
		if err != nil {
			return err
		}
		recorded = r.Msg.GetRecorded()
		return nil
	})
	if err != nil {
		c.logger.Warn("result of a claimed call was not recorded", zap.String("token", q.Token), zap.Error(err))
		return
	}
	if !recorded {
		c.logger.Info("claim is no longer held under its token", zap.String("token", q.Token))
	}
}

// callAny calls the control hosts one after the other, again and again, until one
// succeeds, the time limit passes, or the last error has connect.CodeInvalidArgument.
func (c *Claimer) callAny(ctx context.Context, limit time.Duration, call func(context.Context, wireconnect.ControlClient) error) error {
	if len(c.clients) == 0 {
		return errors.New("no control host is known")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, limit)
	defer cancel()
	for pause := retryInterval; ; pause = min(2*pause, maxRetryInterval) {
		err := c.callEach(ctx, call)
		if err == nil {
			return nil
		}
		if connect.CodeOf(err) == connect.CodeInvalidArgument || !c.sleep(ctx, pause/2+rand.N(pause)) {
			return err
		}
	}
}

// callEach calls each control host once, starting with the one that answered last,
// until one succeeds. It returns the last error.
func (c *Claimer) callEach(ctx context.Context, call func(context.Context, wireconnect.ControlClient) error) error {
	var err error
	start := int(c.last.Load())
	for i := range c.clients {
		n := (start + i) % len(c.clients)
		attempt, cancel := clockwork.WithTimeout(ctx, c.clock, attemptTimeout)
		err = call(attempt, c.clients[n])
		cancel()
		if err == nil {
			c.last.Store(int64(n))
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}
