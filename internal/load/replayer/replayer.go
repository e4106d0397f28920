// Package replayer sends the calls of a measured workload to running entry hosts
// at the times at which they arrive, and measures the answers as the bench does.
// It shows whether what the decisions reach in virtual time holds for real
// processes, with their network, lag of news and division among hosts.
//
// The engines have to be stand-ins that batch (amaranthstub --batch), because a
// prompt states the length of its answer in the marker [[length=N]].
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
)

// answerTime bounds an answer after its first token.
const answerTime = 5 * time.Minute

// Options configures a Replayer.
type Options struct {
	Workload bencher.Workload
	Seed     uint64
	// Policy is the name of what is measured, for the result.
	Policy string
	// Entries are the addresses for callers of the entry hosts.
	Entries []string
	// Engines are the addresses of the stand-ins in the order of the
	// workload's engines; without them nothing is slowed or crashed.
	Engines []string
	Clock   clockwork.Clock
	Logger  *zap.Logger
}

// Replayer is one run of a workload.
type Replayer struct {
	options  Options
	clock    clockwork.Clock
	logger   *zap.Logger
	client   *http.Client
	arrivals []bencher.Arrival
	fates    []bencher.Outcome
	began    time.Time
	group    conc.WaitGroup
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
		client:   &http.Client{Transport: t},
		arrivals: arrivals,
		fates:    make([]bencher.Outcome, len(arrivals)),
	}
}

// Run sends all calls, waits for their ends and evaluates them.
func (r *Replayer) Run(ctx context.Context) (bencher.Result, error) {
	if len(r.options.Entries) == 0 {
		return bencher.Result{}, fmt.Errorf("no entry hosts to send to")
	}
	defer r.client.CloseIdleConnections()
	r.began = r.clock.Now()
	if len(r.options.Engines) > 0 {
		for _, d := range r.options.Workload.Disturbances() {
			r.group.Go(func() { r.disturb(ctx, d) })
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
	return r.options.Workload.Evaluate(r.options.Seed, r.options.Policy, r.fates), nil
}

// sleepUntil waits for a time of the run; false means that ctx ended first.
func (r *Replayer) sleepUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.clock.After(at - r.clock.Since(r.began)):
		return true
	}
}

// disturb slows or crashes an engine.
func (r *Replayer) disturb(ctx context.Context, d bencher.Disturbance) {
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
		r.logger.Error("cannot disturb an engine", zap.Error(err))
		return
	}
	a, err := r.client.Do(q)
	if err != nil {
		// A crash may take the answer with it.
		r.logger.Info("no answer from the disturbed engine", zap.Int("engine", d.Engine), zap.Error(err))
		return
	}
	_ = a.Body.Close()
}

// call sends one call and records its fate.
func (r *Replayer) call(ctx context.Context, i int) {
	a, f := r.arrivals[i], &r.fates[i]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := r.clock.AfterFunc(a.Patience, cancel)
	defer patience.Stop()
	err := r.exchange(ctx, i, func() {
		f.First = r.clock.Since(r.began)
		patience.Reset(answerTime)
	})
	switch {
	case err == nil:
		f.Done = r.clock.Since(r.began)
	case ctx.Err() == nil:
		f.Refused = r.clock.Since(r.began)
		r.logger.Debug("a call failed", zap.Int("call", i), zap.String("class", string(a.Class)), zap.Error(err))
	}
}

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
