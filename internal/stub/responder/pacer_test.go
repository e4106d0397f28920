package responder

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/stub/batcher"
)

// startEngine serves a responder on a test server.
func startEngine(t *testing.T, o Options) (*Responder, string) {
	t.Helper()
	r := New(o)
	s := httptest.NewServer(r.handler())
	if r.pacer != nil {
		r.group.Go(func() { r.pacer.run(r.context) })
	}
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
		assert.NilError(t, r.Close())
	})
	return r, s.URL
}

func answerOf(url string, length int) (string, time.Duration) {
	began := time.Now()
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"Hello. [[length=%d]]"}]}`, length)
	a, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return err.Error(), 0
	}
	defer func() { _ = a.Body.Close() }()
	data, _ := io.ReadAll(a.Body)
	_, text, _ := strings.Cut(string(data), `"choices"`)
	return text, time.Since(began)
}

// TestPace guards against a batching engine whose texts differ from those of a
// plain one, that answers faster than its iterations allow, or that runs more
// generations at once than it has slots.
func TestPace(t *testing.T) {
	_, plain := startEngine(t, Options{Name: "plain", Models: []validator.PoolName{"m"}})
	want, _ := answerOf(plain, 10)
	r, paced := startEngine(t, Options{Name: "paced", Models: []validator.PoolName{"m"}, Slots: 2, Batch: true})
	got, took := answerOf(paced, 10)
	assert.Equal(t, got, want)
	assert.Assert(t, took >= 10*batcher.StepCost, "10 tokens took %v", took)

	began := time.Now()
	var group conc.WaitGroup
	for range 4 {
		group.Go(func() { answerOf(paced, 10) })
	}
	group.Wait()
	took = time.Since(began)
	assert.Assert(t, took >= 20*batcher.StepCost, "four answers in two slots took %v", took)
	running, waiting := r.load()
	assert.Equal(t, running+waiting, 0, "an answer left something in the batch")

	r.Set(Behaviour{Slow: 3})
	_, took = answerOf(paced, 10)
	assert.Assert(t, took >= 30*batcher.StepCost, "a slowed engine took %v", took)
}
