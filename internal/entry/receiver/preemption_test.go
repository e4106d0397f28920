package receiver_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// TestPreemptUnresumable guards against aborting a streamed answer that can't be
// resumed at another engine because its slot was preempted.
func TestPreemptUnresumable(t *testing.T) {
	h := newHarness(t)
	for _, r := range h.responders {
		r.Set(responder.Behaviour{Gap: validator.Duration(20 * time.Millisecond)})
	}
	answers := make(chan answer, 1)
	background(t, func() {
		answers <- h.do(http.MethodPost, "/v1/chat/completions", chatBody("a lot [[length=40]]", true, `,"logprobs":true`))
	})
	eventually(t, "tokens arrive", func() bool {
		s := h.dispatcher.slot(0)
		return s != nil && s.progress.Load() > 5
	})
	close(h.dispatcher.slot(0).preempted)
	a := <-answers
	assert.NilError(t, a.err)
	assert.Assert(t, readGenerated(t, a, true).done)
}
