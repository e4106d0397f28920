// Package claimer runs calls at most once by means of claims on the control
// hosts.
//
// A claim is committed on the quorum before the call is sent, and its result
// afterwards. A resend with the same key gets the stored answer, waits for the
// running call, or learns that nobody knows whether it ran.
//
// # Usage
//
//	c := claimer.New(claimer.Options{Addresses: addresses, Host: "e1"})
//	defer c.Close()
//	answer, verdict, err := c.Do(ctx, call, func(ctx context.Context) (claimer.Answer, error) {
//		// send the call once; wrap ErrNotRun when nothing was sent
//	})
//
// Answers whose body is longer than MaxStored are recorded without it: a
// resend then gets ErrTruncated, which says that the call ran, and never a
// part of an answer as if it were whole.
package claimer

import (
	"context"
	"errors"
	"fmt"
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
	// MaxStored bounds a stored body, because every control host keeps it in
	// its log and memory.
	MaxStored = 256 << 10
	// attemptTimeout bounds one call of one control host; a quorum write
	// takes a few milliseconds.
	attemptTimeout = 500 * time.Millisecond
	// claimTimeout bounds all attempts to commit a claim. It covers the
	// election of a new control leader.
	claimTimeout = 3 * time.Second
	// retryInterval separates rounds over the control hosts.
	retryInterval = 50 * time.Millisecond
	// pollInterval separates looks at a call that another token runs.
	pollInterval = 200 * time.Millisecond
	// waitBound is how long a resend waits for the running call.
	waitBound = 10 * time.Second
	// recordTimeout bounds the attempts to record a result.
	recordTimeout = 5 * time.Second
	// recordWait is how long the caller's answer waits for its record.
	recordWait = time.Second
	// deadlineMargin is added to the deadline of the call, so that a claim
	// does not become unknown while its result is being recorded.
	deadlineMargin = recordTimeout
)

// Errors that end a call.
var (
	// ErrNotRun marks an error of a call of which nothing was sent.
	ErrNotRun = errors.New("the call was not sent")
	// ErrNoQuorum means that the claim could not be committed.
	ErrNoQuorum = errors.New("the claim could not be committed")
	// ErrMismatch means that the key was used with another request.
	ErrMismatch = errors.New("the key was used with another request")
	// ErrRunning means that the first call still runs.
	ErrRunning = errors.New("the first call with the key still runs")
	// ErrUnknown means that nobody knows whether the first call ran.
	ErrUnknown = errors.New("the first call with the key may or may not have run")
	// ErrTruncated means that the first call ran and its answer was too long
	// to be stored.
	ErrTruncated = errors.New("the first call with the key ran and its answer was not stored")
)

// Verdict tells what became of a call.
type Verdict int

// Verdicts on a call.
const (
	// NotRun means that this call was not sent and no other is known to
	// have run.
	NotRun Verdict = iota
	// Ran means that this call was sent and answered.
	Ran
	// Replayed means that an earlier call ran and this is its answer.
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
	// Digest is the SHA-256 of method, path and body.
	Digest []byte
	// Deadline is the longest time that the call may take.
	Deadline time.Duration
}

// Answer is the answer of a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Options configures a Claimer.
type Options struct {
	// Addresses of the control hosts.
	Addresses []string
	// Host is the name of this entry host.
	Host   string
	Client connect.HTTPClient
	Clock  clockwork.Clock
	Logger *zap.Logger
	// NewToken returns a unique token; nil means random UUIDs.
	NewToken func() string
}

// Claimer commits claims on the control hosts.
type Claimer struct {
	options Options
	clock   clockwork.Clock
	logger  *zap.Logger
	clients []wireconnect.ControlClient
	// last is the index of the control host that answered last.
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

// Close waits for results that are being recorded.
func (c *Claimer) Close() error {
	c.group.Wait()
	return nil
}

// Do claims the call and runs it if the claim is granted. The run goes on
// when ctx ends, so that a resend finds its result.
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
	waited := c.clock.Now()
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
		if c.clock.Since(waited) >= waitBound {
			return Answer{}, Unknown, ErrRunning
		}
		if !c.sleep(ctx, pollInterval) {
			return Answer{}, Unknown, ctx.Err()
		}
	}
}

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

// record commits a result. It returns when that is done, or earlier when it
// takes long; the attempts then go on.
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

// release gives up a claim that may have been committed although its answer
// did not arrive. The token was never used to send a call.
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

// claim commits the claim. An attempt whose answer was lost is repeated with
// the same token, which the control hosts recognise.
func (c *Claimer) claim(ctx context.Context, q *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	var response *wire.ClaimResponse
	err := c.try(ctx, claimTimeout, func(ctx context.Context, k wireconnect.ControlClient) error {
		r, err := k.Claim(ctx, connect.NewRequest(q))
		if err != nil {
			return err
		}
		if r.Msg.GetState() == wire.ClaimResponse_STATE_UNSPECIFIED {
			return errors.New("control host sent no state")
		}
		response = r.Msg
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoQuorum, err)
	}
	return response, nil
}

func (c *Claimer) complete(q *wire.CompleteRequest) {
	recorded := false
	err := c.try(context.Background(), recordTimeout, func(ctx context.Context, k wireconnect.ControlClient) error {
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
		c.logger.Info("claim no longer belongs to its token", zap.String("token", q.Token))
	}
}

// try calls the control hosts in turn until one succeeds or the time is up.
func (c *Claimer) try(ctx context.Context, limit time.Duration, call func(context.Context, wireconnect.ControlClient) error) error {
	if len(c.clients) == 0 {
		return errors.New("no control host is known")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, limit)
	defer cancel()
	for {
		err := c.round(ctx, call)
		if err == nil {
			return nil
		}
		if connect.CodeOf(err) == connect.CodeInvalidArgument || !c.sleep(ctx, retryInterval) {
			return err
		}
	}
}

func (c *Claimer) round(ctx context.Context, call func(context.Context, wireconnect.ControlClient) error) error {
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
