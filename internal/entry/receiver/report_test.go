package receiver_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// TestReport guards against metrics that take a refused, broken or resumed answer for a
// complete one, or count tokens twice.
func TestReport(t *testing.T) {
	h := newHarness(t)
	for _, stream := range []bool{true, false} {
		a := h.do("POST", "/v1/chat/completions", chatBody("[[length=7]]", stream, ""))
		assert.Equal(t, a.status, http.StatusOK)
		v := h.reported()
		assert.Assert(t, v.Completed && !v.Abandoned && v.Refused == "", "%+v", v)
		assert.Equal(t, v.Tokens, 7)
		assert.Assert(t, v.First > 0 && v.Queue <= v.First && v.First <= v.Total, "%+v", v)
	}

	h.responders[0].Set(responder.Behaviour{Break: 3, Times: 1})
	assert.Equal(t, h.do("POST", "/v1/chat/completions", chatBody("[[length=8]]", true, "")).status, http.StatusOK)
	v := h.reported()
	assert.Assert(t, v.Completed, "%+v", v)
	assert.Equal(t, v.Tokens, 8, "a resumed answer")

	h.dispatcher.mu.Lock()
	h.dispatcher.refusal = &dispatcher.RefusedError{Reason: scheduler.Overloaded, RetryAfter: time.Second}
	h.dispatcher.mu.Unlock()
	for _, path := range []string{"/v1/chat/completions", "/svc/ledger/quote"} {
		assert.Equal(t, h.do("POST", path, chatBody("x", true, "")).status, http.StatusServiceUnavailable)
		v = h.reported()
		assert.Assert(t, !v.Completed && v.Refused == scheduler.Overloaded, "%+v", v)
	}
}
