package receiver_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// singleHost is the membership of a cell with one host.
type singleHost []registrar.Upstream

func (singleHost) Successor(registrar.CellName) (registrar.HostName, bool) { return "", false }

func (singleHost) Owner(registrar.CellName) (registrar.HostName, bool) { return "host", true }
func (singleHost) Address(registrar.HostName) (string, bool)           { return "", false }
func (singleHost) Schedulers() int                                     { return 1 }
func (singleHost) Counted() bool                                       { return true }
func (singleHost) Current() bool                                       { return true }
func (singleHost) Hosts() int                                          { return 1 }
func (a singleHost) Upstream(id registrar.UpstreamID) (registrar.Upstream, bool) {
	for _, u := range a {
		if u.Name == id {
			return u, true
		}
	}
	return registrar.Upstream{}, false
}

// withScheduler uses the dispatcher and scheduler of a cell instead of the fake
// dispatcher.
func withScheduler(local **dispatcher.Local) harnessOption {
	return func(s *harnessSettings) {
		s.dispatcher = func(h *harness) dispatcher.Dispatcher {
			clock := clockwork.NewRealClock()
			l := dispatcher.NewLocal(scheduler.New(), clock)
			l.Configure(testDocument())
			for _, u := range h.dispatcher.upstreams {
				l.Observe(u)
			}
			c := dispatcher.NewCell(dispatcher.Settings{
				Host: "host", Cell: "main", Membership: singleHost(h.dispatcher.upstreams),
				Local: l, Client: dialer.New(), Clock: clock, Logger: zap.NewNop(),
			})
			h.t.Cleanup(func() {
				c.Close()
				l.Close()
			})
			*local = l
			return c
		}
	}
}

// TestHedge guards against a request that keeps waiting for its first token although
// its upstream has gone silent and another one is free. Through the receiver,
// dispatcher, scheduler and forwarder, the complete answer must come from the other
// upstream, and the silent attempt must release its slot at once.
func TestHedge(t *testing.T) {
	var local *dispatcher.Local
	h := newHarness(t, withScheduler(&local))
	for _, r := range h.responders {
		r.Set(responder.Behaviour{First: validator.Duration(50 * time.Millisecond)})
	}
	undisturbed := readGenerated(t, h.do(http.MethodPost, "/v1/chat/completions", chatBody("a lot [[length=20]]", true, "")), true)
	var warm conc.WaitGroup
	for i := range 20 {
		warm.Go(func() {
			for j := range 20 {
				a := h.do(http.MethodPost, "/v1/chat/completions", chatBody(fmt.Sprint("warm", i, j, " [[length=3]]"), true, ""))
				assert.Check(t, a.err == nil && a.status == http.StatusOK)
			}
		})
	}
	warm.Wait()
	// A new scheduler starts no hedges until it knows that it is the only one.
	time.Sleep(2 * time.Second)
	before := h.responders[0].Runs()[responder.Generations]
	h.responders[0].Set(responder.Behaviour{First: validator.Duration(time.Hour)})
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	a := h.doContext(ctx, http.MethodPost, "/v1/chat/completions", chatBody("a lot [[length=20]]", true, ""))
	assert.NilError(t, a.err)
	got := readGenerated(t, a, true)
	assert.Equal(t, got.text, undisturbed.text)
	assert.Assert(t, got.done)
	assert.Equal(t, h.responders[0].Runs()[responder.Generations], before+1, "the first attempt was not sent to the silent upstream")
	eventually(t, "the slots are free", func() bool { return local.Used("a") == 0 && local.Used("b") == 0 })
}

// TestHedgeOutlivesFirst guards against cancelling a hedge, and taking its upstream for
// crashed, because the lease of the first attempt's upstream has ended.
func TestHedgeOutlivesFirst(t *testing.T) {
	h := newHarness(t)
	h.dispatcher.hedge = 1
	h.responders[0].Set(responder.Behaviour{First: validator.Duration(time.Hour)})
	h.responders[1].Set(responder.Behaviour{First: validator.Duration(2 * time.Second)})
	var a answer
	var once sync.WaitGroup
	once.Go(func() { a = h.do(http.MethodPost, "/v1/chat/completions", chatBody("a lot", true, "")) })
	eventually(t, "both attempts run", func() bool {
		return h.responders[0].Runs()[responder.Generations] == 1 && h.responders[1].Runs()[responder.Generations] == 1
	})
	close(h.dispatcher.slot(0).gone)
	once.Wait()
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusOK)
	assert.DeepEqual(t, h.dispatcher.outcomes(), []scheduler.Outcome{scheduler.Crashed, scheduler.Completed})
}
