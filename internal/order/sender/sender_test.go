package sender_test

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/order/issuer"
	"github.com/amaranthcart/amaranthcart/internal/order/sender"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// generous bounds the wait for an outcome.
const generous = 20 * time.Second

// TestOutcomes guards against an outcome that is reported wrongly, against an order
// that is sent after its lease has ended, and against a sender that waits forever
// for a silent engine.
func TestOutcomes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	outcomes := make(chan issuer.OrderResult, 1)
	s := sender.New(sender.Options{Clock: clock, Report: func(o issuer.OrderResult) { outcomes <- o }})
	defer s.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	engine := responder.New(responder.Options{
		Name: "a", Models: []validator.PoolName{"m"}, Fenced: true, Load: time.Minute, Clock: clock,
	})
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { _ = engine.Serve(listener) })
	defer func() { assert.NilError(t, engine.Close()) }()

	order := func(fence issuer.Fence, adapter string, left time.Duration) issuer.Order {
		return issuer.Order{
			ID: "o", Upstream: "a", Address: listener.Addr().String(), Fence: fence,
			State: issuer.State{Models: []string{"m"}, Adapters: []string{adapter}, Role: "decode"}, Until: clock.Now().Add(left),
		}
	}
	await := func() issuer.Outcome {
		select {
		case o := <-outcomes:
			assert.Equal(t, o.ID, issuer.OrderID("o"))
			return o.Outcome
		case <-time.After(generous):
			t.Fatal("no outcome was reported")
			return issuer.Failed
		}
	}
	for _, c := range []struct {
		name      string
		fence     issuer.Fence
		adapter   string
		left      time.Duration
		behaviour responder.Behaviour
		want      issuer.Outcome
		// accepted and rejected are counted by the engine after the order.
		accepted, rejected int
	}{
		{"accepted", 3, "x", time.Second, responder.Behaviour{}, issuer.Accepted, 1, 0},
		{"repeated", 3, "x", time.Second, responder.Behaviour{}, issuer.Accepted, 2, 0},
		{"older number", 2, "y", time.Second, responder.Behaviour{}, issuer.Stale, 2, 1},
		{"lost answer", 4, "z", time.Second, responder.Behaviour{Lose: true}, issuer.Failed, 3, 1},
		{"unavailable", 4, "z", time.Second, responder.Behaviour{Status: 503}, issuer.Refused, 3, 1},
		{"error", 4, "z", time.Second, responder.Behaviour{Status: 500}, issuer.Failed, 3, 1},
		{"redirect", 4, "z", time.Second, responder.Behaviour{Status: 307}, issuer.Refused, 3, 1},
		{"lease ended", 5, "y", 0, responder.Behaviour{}, issuer.Refused, 3, 1},
	} {
		engine.Set(c.behaviour)
		s.Send(order(c.fence, c.adapter, c.left))
		assert.Equal(t, await(), c.want, c.name)
		assert.Equal(t, engine.Runs()[responder.Orders], c.accepted, c.name)
		assert.Equal(t, engine.Runs()[responder.RejectedOrders], c.rejected, c.name)
	}
	assert.Equal(t, len(engine.NextAnnouncement().Adapters), 0, "the adapter is shown before it is loaded")
	clock.Advance(time.Minute)
	assert.DeepEqual(t, engine.NextAnnouncement().Adapters, []string{"z"})

	gone := order(6, "x", time.Hour)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gone.Address = closed.Addr().String()
	assert.NilError(t, closed.Close())
	s.Send(gone)
	assert.Equal(t, await(), issuer.Refused)

	// This listener accepts connections and answers nothing.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, silent.Close()) }()
	for _, end := range []func(){s.Abort, func() { clock.Advance(issuer.SendTimeout) }} {
		o := order(6, "x", time.Hour)
		o.Address = silent.Addr().String()
		s.Send(o)
		c, err := silent.Accept()
		assert.NilError(t, err)
		end()
		assert.Equal(t, await(), issuer.Failed)
		assert.NilError(t, c.Close())
	}
}
