package runner

import (
	"bytes"
	"context"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/amaranthcart/amaranthcart/builder"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// TestOrders guards against an issuer that isn't connected to the configuration, the
// announcements, the leases of control or the engines, and against orders to engines
// that the configuration doesn't name.
func TestOrders(t *testing.T) {
	v, err := StartDev(t.TempDir(), "127.0.0.1:0", zap.NewNop())
	assert.NilError(t, err)
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		assert.NilError(t, v.Close(ctx))
	}()
	assert.Equal(t, v.stubs[0].Runs()[responder.Orders], 0)
	chat := builder.Class("chat", builder.Tier(0), builder.Wait(time.Second))
	demo, story := builder.Model(DevModel, chat), builder.Model("story", chat)
	var document bytes.Buffer
	assert.NilError(t, builder.New(
		chat, demo, story, builder.Loads(1),
		builder.Placement("stub-1", builder.Models(demo, story), builder.Adapters("owl"), builder.Versions("2"), builder.Role("decode"), builder.Fenced()),
	).Print(&document))
	client := dialer.New()
	defer client.Close()
	control := wireconnect.NewControlClient(client, dialer.URL(v.settings.Advertise))
	r, err := control.Apply(context.Background(), connect.NewRequest(&wire.ApplyRequest{Change: "orders", Base: 1, Document: document.Bytes()}))
	assert.NilError(t, err)
	assert.Equal(t, r.Msg.Outcome, wire.ApplyResponse_OUTCOME_ACCEPTED)
	ask := func(name string) bool {
		r, err := control.Lease(context.Background(), connect.NewRequest(&wire.LeaseRequest{Name: name, Token: "test", Duration: 1}))
		return err == nil && r.Msg.Granted
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		u, known := v.entry.gossiper.Snapshot().Upstream(time.Now(), "stub-1")
		if known && u.Serves("story") && slices.Equal(u.Adapters, []string{"owl"}) && slices.Equal(u.Versions, []string{"2"}) && ask("load/1") {
			return poll.Success()
		}
		return poll.Continue("stub-1 announces %v, and the load lease is held or not asked for", u.Models)
	}, poll.WithTimeout(time.Minute))
	assert.Assert(t, !ask("cell/main"), "the issuer doesn't hold its lease")
	assert.Assert(t, v.stubs[0].Runs()[responder.Orders] > 0)
	assert.Equal(t, v.stubs[1].Runs()[responder.Orders], 0)
}
