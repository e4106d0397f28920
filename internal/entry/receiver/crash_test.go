package receiver_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/entry/forwarder"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// TestCrash guards against a request that crashes upstreams and isn't reported under a
// single fingerprint or is sent to further upstreams, and against losing another
// request that runs on the first crashed upstream.
func TestCrash(t *testing.T) {
	h := newHarness(t, withUpstreams(3))
	s := shapes("an innocent lot [[length=25]]")[0]
	undisturbed := readGenerated(t, h.do(http.MethodPost, s.path, s.body), true)
	h.responders[0].Set(responder.Behaviour{Hang: 9, Times: 1})
	answers := make(chan answer, 1)
	background(t, func() { answers <- h.do(http.MethodPost, s.path, s.body) })
	eventually(t, "the innocent request runs", func() bool {
		slot := h.dispatcher.slot(1)
		return slot != nil && slot.progress.Load() == 9
	})
	h.dispatcher.mu.Lock()
	print := h.dispatcher.requests[1].Fingerprint
	h.dispatcher.poisonous = func(r scheduler.Request) bool { return r.Fingerprint != print && len(r.Avoid) == 2 }
	h.dispatcher.mu.Unlock()
	a := h.do(http.MethodPost, s.path, chatBody("[[crash=0]]", true, ""))
	assert.Equal(t, a.status, http.StatusUnprocessableEntity)
	assert.Equal(t, a.run(), "yes")
	innocent := <-answers
	assert.NilError(t, innocent.err)
	assert.Equal(t, readGenerated(t, innocent, true).text, undisturbed.text)
	for i, crashed := range []bool{true, true, false} {
		assert.Equal(t, h.responders[i].Crashed(), crashed)
	}
	prints := map[string]int{}
	for _, r := range h.dispatcher.requests {
		prints[r.Fingerprint]++
	}
	assert.Equal(t, len(prints), 2)
	crashes := 0
	for _, o := range h.dispatcher.outcomes() {
		if o == scheduler.Crashed {
			crashes++
		}
	}
	assert.Assert(t, crashes >= 3, "%d crashes", crashes)
}

// TestLongAnswers guards against a long answer that is altered, or that ends without an
// error although its upstream broke it off.
func TestLongAnswers(t *testing.T) {
	const pad = 3 << 20
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		h := newHarness(t, withUpstreams(1))
		h.responders[0].Set(responder.Behaviour{Pad: pad})
		a := h.do(method, "/svc/ledger/lots", "")
		assert.NilError(t, a.err)
		assert.Assert(t, len(a.body) > pad)
		h.responders[0].Set(responder.Behaviour{Pad: pad, Short: true})
		a = h.do(method, "/svc/ledger/lots", "")
		assert.Assert(t, a.err != nil, "the answer must not end cleanly")
		assert.DeepEqual(t, h.dispatcher.outcomes(), []scheduler.Outcome{scheduler.Completed, scheduler.Crashed})
	}
}

// TestSlowReader guards against aborting a long plain answer because its caller reads
// slowly.
func TestSlowReader(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newHarness(t, withClock(clock), withUpstreams(1))
	h.responders[0].Set(responder.Behaviour{Pad: 3 << 20})
	a, err := h.forwarder.Call(context.Background(), forwarder.PlainCall{
		Request: scheduler.Request{Pool: "ledger"},
		Class:   h.document.Load().Classes[0],
		Method:  http.MethodPost,
		Target:  "/sales",
	})
	assert.NilError(t, err)
	clock.Advance(time.Hour)
	n, err := io.Copy(io.Discard, a.Tail)
	assert.NilError(t, err)
	assert.Equal(t, a.Size, int64(len(a.Body))+n)
	a.Close(nil)
	assert.DeepEqual(t, h.dispatcher.outcomes(), []scheduler.Outcome{scheduler.Completed})
}
