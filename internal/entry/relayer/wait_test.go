package relayer

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// TestWaitingRequestIsRefusedInTime guards against requests that wait to the end of their
// time, at any place, so that their callers get no answer at all.
func TestWaitingRequestIsRefusedInTime(t *testing.T) {
	const limit = 600 * time.Millisecond
	cases := map[string]struct {
		prepare func(*harness)
		scripts []script
		status  int
	}{
		"for a slot":          {func(h *harness) { h.dispatcher.blocksAll = true }, nil, http.StatusServiceUnavailable},
		"for a configuration": {func(h *harness) { h.fresh.Store(false) }, nil, http.StatusServiceUnavailable},
		"for another attempt": {func(h *harness) { h.dispatcher.blocksRetries = true }, []script{closesConnection}, http.StatusGatewayTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			scripts := c.scripts
			if scripts == nil {
				scripts = []script{answersWith(200, "sold")}
			}
			h := newHarness(t, scripts...)
			c.prepare(h)
			began := time.Now()
			a := h.call("/idempotent/x", "X-Patience", limit.String())
			took := time.Since(began)
			assert.Equal(t, a.status, c.status)
			assert.Assert(t, took < limit, "answered after %s", took)
		})
	}
}

// TestMisdirectedRequestGoesElsewhere guards against an address at which another process
// listens: each host learned by itself that the upstream is gone, and its rejections used
// up the attempts of a request that no upstream had run.
func TestMisdirectedRequestGoesElsewhere(t *testing.T) {
	gone := answersWith(421, "", "X-Not-Run", "1")
	h := newHarness(t, gone, gone, answersWith(200, "sold"))
	a := h.call("/idempotent/x")
	assert.Equal(t, a.status, 200)
	assert.DeepEqual(t, h.dispatcher.outcomes, []scheduler.Outcome{scheduler.Misdirected, scheduler.Misdirected, scheduler.Completed})
	assert.Assert(t, h.dispatcher.asked[1].Retry && !h.dispatcher.asked[1].Unsent, "the rejected arrival counts")
}
