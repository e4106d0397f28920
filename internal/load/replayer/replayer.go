// Package replayer sends the calls of a benchmark workload to running entry hosts at
// the arrival times of the workload, and measures the answers as package bencher does.
// It shows whether the results of the simulation in virtual time hold for real
// processes, with their network, delayed information and division among hosts.
//
// The engines must be stub engines that batch (amaranthstub --batch), because a prompt
// states the length of its answer in the marker [[length=N]].
//
// # Usage
//
//	r := replayer.New(replayer.Options{Workload: w, Seed: 11, Entries: entries, Engines: engines})
//	result, err := r.Run(ctx)
package replayer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/policy/bencher"
	"github.com/amaranthcart/amaranthcart/internal/rpc/verifier"
)

// answerTimeout bounds the time from the first token of an answer to its end.
const answerTimeout = 5 * time.Minute

// Options configures a Replayer.
type Options struct {
	Workload bencher.Workload
	// Seed is the seed of the arrivals.
	Seed uint64
	// Policy is the name under which the result is reported.
	Policy string
	// Entries are the caller addresses of the entry hosts; at least one is needed.
	Entries []string
	// Engines are the addresses of the stub engines in the order of the
	// workload's engines; without them nothing is slowed or crashed.
	Engines []string
	Clock   clockwork.Clock
	Logger  *zap.Logger
}

// Replayer is one run of a workload.
type Replayer struct {
	options   Options
	clock     clockwork.Clock
	logger    *zap.Logger
	client    *http.Client
	arrivals  []bencher.Arrival
	outcomes  []bencher.Outcome
	startedAt time.Time
	group     conc.WaitGroup
}

// New prepares a run.
func New(o Options) *Replayer {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = 1000
	t.MaxIdleConns = 0
	arrivals := o.Workload.Arrivals(o.Seed)
	return &Replayer{
		options:  o,
		clock:    o.Clock,
		logger:   o.Logger.Named("replayer"),
		client:   &http.Client{Transport: verifier.New(t)},
		arrivals: arrivals,
		outcomes: make([]bencher.Outcome, len(arrivals)),
	}
}

// Run sends all calls, waits until they have ended and evaluates them. It returns an
// error when there are no entry hosts or when ctx ended before the calls did; calls
// that fail count in the result.
func (r *Replayer) Run(ctx context.Context) (bencher.Result, error) {
	if len(r.options.Entries) == 0 {
		return bencher.Result{}, fmt.Errorf("no entry hosts to send to")
	}
	defer r.client.CloseIdleConnections()
	r.startedAt = r.clock.Now()
	if len(r.options.Engines) > 0 {
		for _, d := range r.options.Workload.Disturbances() {
			r.group.Go(func() { r.injectFault(ctx, d) })
		}
	}
	for i, a := range r.arrivals {
		if !r.sleepUntil(ctx, a.At) {
			break
		}
		r.group.Go(func() { r.call(ctx, i) })
	}
	r.group.Wait()
	if err := ctx.Err(); err != nil {
		return bencher.Result{}, fmt.Errorf("the run was ended early: %w", err)
	}
	return r.options.Workload.Evaluate(r.options.Seed, r.options.Policy, r.outcomes), nil
}

// sleepUntil waits until the given time since the start of the run. It reports false
// when ctx ended first.
func (r *Replayer) sleepUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.clock.After(at - r.clock.Since(r.startedAt)):
		return true
	}
}

// injectFault slows or crashes an engine at the time of the disturbance.
func (r *Replayer) injectFault(ctx context.Context, d bencher.Disturbance) {
	if d.Engine >= len(r.options.Engines) || !r.sleepUntil(ctx, d.At) {
		return
	}
	body := `{"crash": true}`
	if d.Slow > 0 {
		body = fmt.Sprintf(`{"behaviour": {"slow": %g}}`, d.Slow)
	}
	address := "http://" + r.options.Engines[d.Engine] + "/control"
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader(body))
	if err != nil {
		r.logger.Error("cannot inject a fault into an engine", zap.Error(err))
		return
	}
	a, err := r.client.Do(q)
	if err != nil {
		// An engine that crashes may not answer.
		r.logger.Info("no answer to an injected fault", zap.Int("engine", d.Engine), zap.Error(err))
		return
	}
	_ = a.Body.Close()
}

// call sends one call and records its outcome. The caller gives up when the first
// token does not arrive within the patience of the arrival.
func (r *Replayer) call(ctx context.Context, i int) {
	a, f := r.arrivals[i], &r.outcomes[i]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := r.clock.AfterFunc(a.Patience, cancel)
	defer patience.Stop()
	err := r.exchange(ctx, i, func() {
		f.First = r.clock.Since(r.startedAt)
		patience.Reset(answerTimeout)
	})
	switch {
	case err == nil:
		f.Done = r.clock.Since(r.startedAt)
	case ctx.Err() == nil:
		f.Refused = r.clock.Since(r.startedAt)
		r.logger.Debug("a call failed", zap.Int("call", i), zap.String("class", string(a.Class)), zap.Error(err))
	}
}

// exchange sends one call and reads its answer. It calls first at the first token, and
// returns an error unless the whole answer arrives with the expected length.
func (r *Replayer) exchange(ctx context.Context, i int, first func()) error {
	a := r.arrivals[i]
	address := "http://" + r.options.Entries[a.Host%len(r.options.Entries)] + "/v1/chat/completions"
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body(a, uint64(i))))
	if err != nil {
		return err
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Authorization", "Bearer "+bencher.OrganisationKey(a.Organisation))
	q.Header.Set("Amaranth-Class", string(a.Class))
	response, err := r.client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	tokens, err := readStream(response.Body, first)
	if err == nil && tokens != a.Output {
		err = fmt.Errorf("the answer has %d tokens in place of %d", tokens, a.Output)
	}
	return err
}

// request is the body of a call.
type request struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Limit    int       `json:"max_tokens"`
	Messages []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func body(a bencher.Arrival, serial uint64) []byte {
	data, err := json.Marshal(request{
		Model: string(bencher.Model), Stream: true, Limit: a.Limit,
		Messages: []message{{"user", prompt(a, serial)}},
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}
