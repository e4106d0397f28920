package claimer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc/pool"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/entry/claimer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// record is a claim as the control hosts store it.
type record struct {
	digest string
	token  string
	state  wire.ClaimResponse_State
	answer *wire.Answer
}

// fakeControl stores claims in memory and can lose requests and answers.
type fakeControl struct {
	wireconnect.UnimplementedControlHandler
	mu      sync.Mutex
	records map[string]*record
	claims  int
	// loseClaims and loseCompletes are how many answers are lost after the command was
	// committed; reject is how many claims are refused for lack of a quorum.
	loseClaims    int
	loseCompletes int
	reject        int
	// dropCompletes drops results before they are committed.
	dropCompletes bool
}

var errLostAnswer = connect.NewError(connect.CodeUnavailable, errors.New("answer lost"))

func (f *fakeControl) Claim(_ context.Context, q *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims++
	if f.reject > 0 {
		f.reject--
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no quorum"))
	}
	m := q.Msg
	key := m.Organisation + "/" + m.Service + "/" + m.Key
	r := f.records[key]
	if r == nil {
		r = &record{string(m.Digest), m.Token, wire.ClaimResponse_STATE_RUNNING, nil}
		f.records[key] = r
	}
	response := &wire.ClaimResponse{State: r.state, Answer: r.answer}
	if r.digest != string(m.Digest) {
		response = &wire.ClaimResponse{State: wire.ClaimResponse_STATE_MISMATCH}
	} else if r.state == wire.ClaimResponse_STATE_RUNNING && r.token == m.Token {
		response.State = wire.ClaimResponse_STATE_GRANTED
	}
	if f.loseClaims > 0 {
		f.loseClaims--
		return nil, errLostAnswer
	}
	return connect.NewResponse(response), nil
}

func (f *fakeControl) Complete(_ context.Context, q *connect.Request[wire.CompleteRequest]) (*connect.Response[wire.CompleteResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dropCompletes {
		return nil, errLostAnswer
	}
	m := q.Msg
	key := m.Organisation + "/" + m.Service + "/" + m.Key
	r := f.records[key]
	owned := r != nil && r.token == m.Token
	if owned && r.state == wire.ClaimResponse_STATE_RUNNING {
		switch m.Result {
		case wire.CompleteRequest_RESULT_DONE:
			r.state, r.answer = wire.ClaimResponse_STATE_DONE, m.Answer
		case wire.CompleteRequest_RESULT_UNKNOWN:
			r.state = wire.ClaimResponse_STATE_UNKNOWN
		case wire.CompleteRequest_RESULT_NOT_RUN:
			delete(f.records, key)
		}
	}
	if f.loseCompletes > 0 {
		f.loseCompletes--
		return nil, errLostAnswer
	}
	return connect.NewResponse(&wire.CompleteResponse{Recorded: owned}), nil
}

func (f *fakeControl) state(key string) wire.ClaimResponse_State {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.records[key] == nil {
		return wire.ClaimResponse_STATE_UNSPECIFIED
	}
	return f.records[key].state
}

// skippingClock ends every wait at once and advances the time instead.
type skippingClock struct{ *clockwork.FakeClock }

func (c skippingClock) After(d time.Duration) <-chan time.Time {
	c.Advance(d)
	ch := make(chan time.Time, 1)
	ch <- c.Now()
	return ch
}

func serve(t *testing.T, f *fakeControl) string {
	f.records = map[string]*record{}
	_, handler := wireconnect.NewControlHandler(f)
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newClaimer(t *testing.T, clock clockwork.Clock, addresses ...string) *claimer.Claimer {
	c := claimer.New(claimer.Options{Addresses: addresses, Host: "e1", Clock: clock})
	t.Cleanup(func() { _ = c.Close() })
	return c
}

var sale = claimer.Call{Organisation: "herd", Service: "ledger", Key: "k", Digest: []byte("d"), Deadline: time.Minute}

const saleKey = "herd/ledger/k"

// counted returns a function for Do that counts its calls and returns a and err.
func counted(runs *atomic.Int32, a claimer.Answer, err error) func(context.Context) (claimer.Answer, error) {
	return func(context.Context) (claimer.Answer, error) {
		runs.Add(1)
		return a, err
	}
}

// TestAtMostOnce guards against running a sale twice, losing an answer and returning a
// wrong verdict, for each way in which the first call may end.
func TestAtMostOnce(t *testing.T) {
	sold := claimer.Answer{Status: 201, Header: http.Header{"X-Lot": {"7", "8"}}, Body: []byte("sold")}
	long := claimer.Answer{Status: 200, Header: http.Header{}, Body: make([]byte, claimer.MaxStored+1)}
	lost := errors.New("connection lost")
	cases := []struct {
		name    string
		control *fakeControl
		answer  claimer.Answer
		err     error
		state   wire.ClaimResponse_State
		// again and fault are the verdict and error that a resend gets.
		again   claimer.Verdict
		fault   error
		runs    int32
		changed bool
	}{
		{name: "answered", answer: sold, state: wire.ClaimResponse_STATE_DONE, again: claimer.Replayed, runs: 1},
		{name: "claim answers lost", control: &fakeControl{loseClaims: 3}, answer: sold, state: wire.ClaimResponse_STATE_DONE, again: claimer.Replayed, runs: 1},
		{name: "complete answers lost", control: &fakeControl{loseCompletes: 3}, answer: sold, state: wire.ClaimResponse_STATE_DONE, again: claimer.Replayed, runs: 1},
		{name: "quorum returns", control: &fakeControl{reject: 3}, answer: sold, state: wire.ClaimResponse_STATE_DONE, again: claimer.Replayed, runs: 1},
		{name: "connection lost", err: lost, state: wire.ClaimResponse_STATE_UNKNOWN, again: claimer.Unknown, fault: claimer.ErrUnknown, runs: 1},
		{name: "not sent", err: claimer.ErrNotRun, state: wire.ClaimResponse_STATE_UNSPECIFIED, again: claimer.NotRun, fault: claimer.ErrNotRun, runs: 2},
		{name: "long answer", answer: long, state: wire.ClaimResponse_STATE_DONE, again: claimer.Replayed, fault: claimer.ErrTruncated, runs: 1},
		{name: "other content", answer: sold, state: wire.ClaimResponse_STATE_DONE, again: claimer.NotRun, fault: claimer.ErrMismatch, runs: 1, changed: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.control == nil {
				c.control = &fakeControl{}
			}
			address := serve(t, c.control)
			k := newClaimer(t, clockwork.NewRealClock(), address)
			var runs atomic.Int32
			a, _, err := k.Do(context.Background(), sale, counted(&runs, c.answer, c.err))
			assert.Equal(t, errors.Is(err, c.err), true)
			assert.Equal(t, string(a.Body), string(c.answer.Body))
			assert.NilError(t, k.Close()) // waits for the record
			assert.Equal(t, c.control.state(saleKey), c.state)
			call := sale
			if c.changed {
				call.Digest = []byte("e")
			}
			a, verdict, err := newClaimer(t, clockwork.NewRealClock(), address).Do(context.Background(), call, counted(&runs, c.answer, c.err))
			assert.Equal(t, verdict, c.again)
			assert.Equal(t, errors.Is(err, c.fault), true, "%v", err)
			if c.fault == nil {
				assert.DeepEqual(t, a, sold)
			}
			assert.Equal(t, runs.Load(), c.runs)
		})
	}
}

// TestNoQuorum guards against sending a sale without a committed claim, and against
// failing because one of several control hosts is down.
func TestNoQuorum(t *testing.T) {
	t.Parallel()
	down := httptest.NewServer(nil)
	dead := down.Listener.Addr().String()
	down.Close()
	cut := &fakeControl{reject: 1 << 30}
	clock := clockwork.NewRealClock()
	var runs atomic.Int32
	k := newClaimer(t, clock, dead, serve(t, cut))
	_, verdict, err := k.Do(context.Background(), sale, counted(&runs, claimer.Answer{}, nil))
	assert.ErrorIs(t, err, claimer.ErrNoQuorum)
	assert.Equal(t, verdict, claimer.NotRun)
	assert.Equal(t, runs.Load(), int32(0))
	_, _, err = newClaimer(t, clock).Do(context.Background(), sale, counted(&runs, claimer.Answer{}, nil))
	assert.ErrorIs(t, err, claimer.ErrNoQuorum)

	k = newClaimer(t, clockwork.NewRealClock(), dead, serve(t, &fakeControl{}))
	_, verdict, err = k.Do(context.Background(), sale, counted(&runs, claimer.Answer{Status: 200}, nil))
	assert.NilError(t, err)
	assert.Equal(t, verdict, claimer.Ran)
	assert.Equal(t, runs.Load(), int32(1))
}

// TestEntryDeath guards against running a sale twice after the entry host that sent the
// first call crashed: the claim stays in the running state until its deadline, and is
// unknown after that.
func TestEntryDeath(t *testing.T) {
	control := &fakeControl{}
	address := serve(t, control)
	// The claim of the crashed host, whose result is never recorded.
	control.records[saleKey] = &record{"d", "dead", wire.ClaimResponse_STATE_RUNNING, nil}
	var runs atomic.Int32
	k := newClaimer(t, skippingClock{clockwork.NewFakeClock()}, address)
	_, verdict, err := k.Do(context.Background(), sale, counted(&runs, claimer.Answer{}, nil))
	assert.ErrorIs(t, err, claimer.ErrRunning)
	assert.Equal(t, verdict, claimer.Unknown)
	control.mu.Lock()
	control.records[saleKey].state = wire.ClaimResponse_STATE_UNKNOWN // its deadline passed
	control.mu.Unlock()
	_, verdict, err = k.Do(context.Background(), sale, counted(&runs, claimer.Answer{}, nil))
	assert.ErrorIs(t, err, claimer.ErrUnknown)
	assert.Equal(t, verdict, claimer.Unknown)
	assert.Equal(t, runs.Load(), int32(0))
}

// TestConcurrentResends guards against two runs when concurrent resends arrive at
// several hosts, and against resends that fail although the running call ends soon.
func TestConcurrentResends(t *testing.T) {
	control := &fakeControl{}
	address := serve(t, control)
	var runs atomic.Int32
	p := pool.New().WithErrors()
	for range 8 {
		k := newClaimer(t, clockwork.NewRealClock(), address)
		p.Go(func() error {
			a, _, err := k.Do(context.Background(), sale, counted(&runs, claimer.Answer{Status: 200, Header: http.Header{}, Body: []byte("sold")}, nil))
			if err != nil || string(a.Body) != "sold" {
				return errors.Join(err, errors.New("wrong answer: "+string(a.Body)))
			}
			return nil
		})
	}
	assert.NilError(t, p.Wait())
	assert.Equal(t, runs.Load(), int32(1))
}

// TestCallerLeaves guards against losing the result of a sale whose caller disconnected
// while it ran.
func TestCallerLeaves(t *testing.T) {
	control := &fakeControl{}
	k := newClaimer(t, clockwork.NewRealClock(), serve(t, control))
	ctx, leave := context.WithCancel(context.Background())
	_, _, err := k.Do(ctx, sale, func(ctx context.Context) (claimer.Answer, error) {
		leave()
		return claimer.Answer{Status: 200}, ctx.Err()
	})
	assert.NilError(t, err)
	assert.NilError(t, k.Close())
	assert.Equal(t, control.state(saleKey), wire.ClaimResponse_STATE_DONE)
}
