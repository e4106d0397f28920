package replayer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/policy/bencher"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

func workload() bencher.Workload {
	return bencher.Workload{
		Name: "test", Engines: 1, Slots: 32, Hosts: 2, Duration: time.Second, Scale: 1,
		Demands: []bencher.Demand{{
			Class: validator.Class{Name: "chat", First: validator.Duration(time.Minute), Wait: validator.Duration(time.Minute)},
			Rate:  20, Prompt: bencher.Lengths{Median: 20, Max: 50}, Output: bencher.Lengths{Median: 5, Sigma: 0.5, Max: 9},
			Prefixes: 1, Shared: bencher.BlockTokens, Patience: 30 * time.Second,
		}},
	}
}

func replay(t *testing.T, w bencher.Workload, entry string) bencher.ClassResult {
	t.Helper()
	r := New(Options{Workload: w, Seed: 1, Entries: []string{entry}, Engines: []string{entry}})
	result, err := r.Run(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(result.Classes), 1)
	assert.Assert(t, result.Classes[0].Calls > 5)
	return result.Classes[0]
}

// TestReplay guards against calls that are lost, or that count as having met their
// targets without a complete answer.
func TestReplay(t *testing.T) {
	r := responder.New(responder.Options{Name: "a", Models: []validator.PoolName{bencher.Model}, Batch: true})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group conc.WaitGroup
	group.Go(func() { _ = r.Serve(l) })
	defer group.Wait()
	defer func() { _ = r.Close() }()
	address := l.Addr().String()

	c := replay(t, workload(), address)
	assert.Equal(t, c.Met, c.Calls)
	assert.Equal(t, r.Runs()[responder.Generations], c.Calls)
	for _, b := range []responder.Behaviour{{Cut: 1}, {Break: 1}, {Status: 503}} {
		r.Set(b)
		c = replay(t, workload(), address)
		assert.Equal(t, c.Met, 0, "behaviour %+v", b)
		assert.Equal(t, c.Refused, c.Calls, "behaviour %+v", b)
	}

	r.Set(responder.Behaviour{})
	slowed := workload()
	slowed.Slowed = 1
	replay(t, slowed, address)
	a, err := http.Get("http://" + address + "/control")
	assert.NilError(t, err)
	defer func() { _ = a.Body.Close() }()
	buffer := make([]byte, 200)
	n, _ := a.Body.Read(buffer)
	assert.Assert(t, strings.Contains(string(buffer[:n]), `"slow":5`), "%s", buffer[:n])
}

// TestPatience guards against callers that never give up waiting for their first token.
func TestPatience(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		// The server notices that the caller has disconnected only after it has
		// read the body.
		_, _ = io.Copy(io.Discard, q.Body)
		<-q.Context().Done()
	}))
	defer silent.Close()
	w := workload()
	w.Demands[0].Patience = 50 * time.Millisecond
	c := replay(t, w, silent.Listener.Addr().String())
	assert.Equal(t, c.Met+c.Refused, 0)
}

// TestRunEnds guards against a run that goes on after it was cancelled, and against a
// result of an incomplete run.
func TestRunEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := New(Options{Workload: workload(), Entries: []string{"127.0.0.1:1"}}).Run(ctx)
	assert.ErrorIs(t, err, context.Canceled)
	_, err = New(Options{Workload: workload()}).Run(t.Context())
	assert.ErrorContains(t, err, "no entry hosts")
}

// TestPrompt guards against prompts that share no blocks, share too many or have
// another length than the workload states.
func TestPrompt(t *testing.T) {
	a := bencher.Arrival{Prompt: 300, Output: 7, Prefix: []uint64{1, 2}}
	one, two := prompt(a, 1), prompt(a, 2)
	assert.Equal(t, strings.Count(one, " "), 300)
	assert.Assert(t, strings.HasSuffix(one, "[[length=7]]"))
	shared := 0
	for shared < len(one) && one[shared] == two[shared] {
		shared++
	}
	assert.Equal(t, strings.Count(one[:shared], " "), 2*bencher.BlockTokens)
	other := prompt(bencher.Arrival{Prompt: 300, Prefix: []uint64{1, 3}}, 1)
	assert.Assert(t, one[:100] == other[:100] && one != other)
}

// TestReadStream guards against answers that count as complete although the stream
// broke off or carries an error.
func TestReadStream(t *testing.T) {
	chunk := func(text string) string {
		return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
	}
	for _, c := range []struct {
		name, stream, fault string
		tokens              int
	}{
		{"whole", chunk("") + chunk(" a") + chunk(" b c") + "data: [DONE]\n\n", "", 3},
		{"no end marker", chunk(" a"), "without its end marker", 1},
		{"an error in the stream", chunk(" a") + "data: {\"error\":{\"message\":\"lost\"}}\n\ndata: [DONE]\n\n", "lost", 1},
		{"not JSON", "data: {\n\n", "decode a chunk", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			called := 0
			tokens, err := readStream(strings.NewReader(c.stream), func() { called++ })
			assert.Equal(t, tokens, c.tokens)
			assert.Equal(t, called, min(c.tokens, 1))
			if c.fault == "" {
				assert.NilError(t, err)
			} else {
				assert.ErrorContains(t, err, c.fault)
			}
		})
	}
}
