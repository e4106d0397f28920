package coordinator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// TestRestartsUnderLoad guards against accepted changes that are lost or
// accepted twice when hosts stop without a handover while several operators
// submit changes at the same time. It covers the goroutines around the core,
// which the simulation leaves out.
func TestRestartsUnderLoad(t *testing.T) {
	const (
		operators = 4
		changes   = 15
		restarts  = 6
	)
	c := newCluster(t, 3)
	c.leader()
	var addresses []string
	for _, h := range c.hosts {
		addresses = append(addresses, h.settings.Address)
	}
	var mu sync.Mutex
	accepted := map[uint64]string{}
	var group conc.WaitGroup
	var working atomic.Int32
	working.Store(operators)
	for o := range operators {
		group.Go(func() {
			defer working.Add(-1)
			base := uint64(0)
			for n := 0; n < changes; {
				id := fmt.Sprintf("o%d-%d-%d", o, n, base)
				r := submitAnywhere(t, addresses, &wire.ApplyRequest{
					Change: id, Base: base, Document: []byte(id), Operator: fmt.Sprint(o),
				})
				if r == nil {
					return
				}
				base = r.Current
				if r.Outcome != wire.ApplyResponse_OUTCOME_ACCEPTED {
					continue
				}
				n++
				mu.Lock()
				accepted[r.Revision] = id
				mu.Unlock()
			}
		})
	}
	for i := 0; i < restarts && working.Load() > 0; i++ {
		h := c.hosts[c.leader()]
		h.coordinator.stop()
		h.stop(t)
		h.start(t, nil)
		c.leader()
	}
	group.Wait()
	assert.Equal(t, len(accepted), operators*changes)
	trail := call(t, c.hosts[0].client.History, &wire.HistoryRequest{Limit: maximumHistoryEntries}).Entries
	assert.Equal(t, len(trail), len(accepted))
	for _, e := range trail {
		assert.Equal(t, accepted[e.Revision], e.Change)
	}
}

// submitAnywhere sends the same change to one host after another until one
// answers.
func submitAnywhere(t *testing.T, addresses []string, q *wire.ApplyRequest) *wire.ApplyResponse {
	client := dialer.New()
	defer client.Close()
	for i := range 1000 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		r, err := wireconnect.NewControlClient(client, "http://"+addresses[i%len(addresses)]).Apply(ctx, connect.NewRequest(q))
		cancel()
		if err == nil {
			return r.Msg
		}
	}
	t.Error("no host answers")
	return nil
}
