package follower_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/follower"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// downNetwork refuses streams while down is set and begins others with a
// heartbeat.
type downNetwork struct {
	*fakeNetwork
	down  atomic.Bool
	tries atomic.Int64
}

func (n *downNetwork) Watch(ctx context.Context, address string, q *wire.WatchRequest, receive func(*wire.WatchResponse)) error {
	n.tries.Add(1)
	if n.down.Load() {
		return errors.New("connection refused")
	}
	receive(&wire.WatchResponse{}) // a heartbeat
	return n.fakeNetwork.Watch(ctx, address, q, receive)
}

// TestLostControlIsLoggedOnce guards against a log entry for each attempt while
// control is down, which would hide other entries. There is one entry for the first
// failure, one once all control hosts have failed, and one when a stream is open
// again.
func TestLostControlIsLoggedOnce(t *testing.T) {
	n, c := &downNetwork{fakeNetwork: newNetwork(1)}, clockwork.NewFakeClock()
	n.down.Store(true)
	core, logs := observer.New(zap.InfoLevel)
	f := start(t, nil, c, threeControls, follower.WithNetwork(n), follower.WithLogger(zap.New(core)))
	drive(t, c, func() bool { return n.tries.Load() >= 12 })
	assert.Equal(t, logs.FilterMessageSnippet("control host").Len(), 2, "%v", logs.All())
	n.down.Store(false)
	drive(t, c, inForce(f, 1))
	drive(t, c, func() bool { return logs.FilterMessageSnippet("open again").Len() == 1 })
}
