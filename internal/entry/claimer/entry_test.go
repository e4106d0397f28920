package claimer_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/entry/forwarder"
	"github.com/amaranthcart/amaranthcart/internal/entry/receiver"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// oneUpstream grants every request a slot on the same upstream.
type oneUpstream struct{ address string }

func (d oneUpstream) Acquire(context.Context, scheduler.Request) (dispatcher.Slot, error) {
	return d, nil
}
func (d oneUpstream) Upstream() registrar.Upstream {
	return registrar.Upstream{Name: "a", Address: d.address}
}
func (oneUpstream) Priority() int                  { return 0 }
func (oneUpstream) Predicted() time.Duration       { return 0 }
func (oneUpstream) FirstToken()                    {}
func (oneUpstream) Progress(int)                   {}
func (oneUpstream) Preempted() <-chan struct{}     { return nil }
func (oneUpstream) Gone() <-chan struct{}          { return nil }
func (oneUpstream) Hedged() <-chan dispatcher.Slot { return nil }
func (oneUpstream) Release(scheduler.Outcome, int) {}

// newEntry starts an entry host with a claimer and returns its URL.
func newEntry(t *testing.T, upstream string, control ...string) string {
	sum := sha256.Sum256([]byte("key"))
	document := &validator.Document{
		Classes:       []validator.Class{{Name: "sale"}},
		Organisations: []validator.Organisation{{Name: "herd", Keys: []string{hex.EncodeToString(sum[:])}}},
		Services:      []validator.Service{{Name: "ledger", Class: "sale"}},
	}
	f := forwarder.New(forwarder.Options{Dispatcher: oneUpstream{upstream}})
	r := receiver.New(receiver.Options{
		Forwarder:     f,
		Claimer:       newClaimer(t, clockwork.NewRealClock(), control...),
		Configuration: func() (receiver.Snapshot, bool) { return receiver.Snapshot{Revision: 1, Document: document}, true },
	})
	server := httptest.NewServer(r.Handler())
	t.Cleanup(func() {
		server.Close()
		_ = f.Close()
	})
	return server.URL
}

// sell sends a sale with an idempotency key through the entry host.
func sell(t *testing.T, entry, body string) (status int, run, text string) {
	q, err := http.NewRequest(http.MethodPost, entry+"/svc/ledger/sales", strings.NewReader(body))
	assert.NilError(t, err)
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set("Idempotency-Key", "k")
	a, err := http.DefaultClient.Do(q)
	assert.NilError(t, err)
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	return a.StatusCode, a.Header.Get("Amaranth-Run"), string(data)
}

// TestResendToAnotherEntry guards against a sale that runs twice when its caller
// resends it through another entry host, whatever was lost before. The ledger's own
// count of runs decides.
func TestResendToAnotherEntry(t *testing.T) {
	cases := []struct {
		name    string
		control *fakeControl
		ledger  responder.Behaviour
		// expired makes the claim's deadline pass between the two calls.
		expired   bool
		body      string
		first     int
		firstRun  string
		second    int
		secondRun string
		runs      int
	}{
		{name: "answer lost on the way to the caller", first: 200, firstRun: "yes", second: 200, secondRun: "yes", runs: 1},
		{name: "ledger's answer lost", ledger: responder.Behaviour{Lose: true}, first: 502, firstRun: "unknown", second: 409, secondRun: "unknown", runs: 1},
		{name: "ledger's answer cut short", ledger: responder.Behaviour{Short: true}, first: 502, firstRun: "unknown", second: 409, secondRun: "unknown", runs: 1},
		{name: "entry host died after sending", control: &fakeControl{dropCompletes: true}, expired: true, first: 200, firstRun: "yes", second: 409, secondRun: "unknown", runs: 1},
		{name: "claim answers lost", control: &fakeControl{loseClaims: 2}, first: 200, firstRun: "yes", second: 200, secondRun: "yes", runs: 1},
		{name: "other body", body: "two bales", first: 200, firstRun: "yes", second: 422, secondRun: "no", runs: 1},
		{name: "long answer", ledger: responder.Behaviour{Pad: 300 << 10}, first: 200, firstRun: "yes", second: 409, secondRun: "yes", runs: 1},
		{name: "refusal of the ledger", ledger: responder.Behaviour{Status: 403}, first: 403, firstRun: "yes", second: 403, secondRun: "yes", runs: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if c.control == nil {
				c.control = &fakeControl{}
			}
			control := serve(t, c.control)
			r := responder.New(responder.Options{Name: "a"})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			var group conc.WaitGroup
			group.Go(func() { _ = r.Serve(l) })
			t.Cleanup(func() {
				_ = r.Close()
				group.Wait()
			})
			r.Set(c.ledger)
			status, run, text := sell(t, newEntry(t, l.Addr().String(), control), "bale")
			assert.Equal(t, status, c.first, text)
			assert.Equal(t, run, c.firstRun)
			c.control.mu.Lock()
			if c.expired {
				assert.Equal(t, c.control.records[saleKey].state, wire.ClaimResponse_STATE_RUNNING)
				c.control.records[saleKey].state = wire.ClaimResponse_STATE_UNKNOWN
			}
			c.control.mu.Unlock()
			body := "bale"
			if c.body != "" {
				body = c.body
			}
			status, run, again := sell(t, newEntry(t, l.Addr().String(), control), body)
			assert.Equal(t, status, c.second, again)
			assert.Equal(t, run, c.secondRun)
			assert.Equal(t, r.Runs()["k"], c.runs)
			if status == c.first {
				assert.Equal(t, again, text)
			}
		})
	}
}
