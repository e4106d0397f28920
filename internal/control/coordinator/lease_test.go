package coordinator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// TestLease guards against a lease that is granted twice or forgotten when the
// leader changes and all hosts restart from snapshots.
func TestLease(t *testing.T) {
	c := newCluster(t, 3)
	for _, h := range c.hosts {
		h.stop(t)
		h.settings.CompactBytes = 200
		h.start(t, nil)
	}
	ask := func(host int, token string) *wire.LeaseResponse {
		return call(t, c.hosts[host].client.Lease, &wire.LeaseRequest{Name: "cell/main", Holder: token, Token: token, Duration: 600_000})
	}
	first := ask(0, "a")
	assert.Assert(t, first.Granted)
	l := c.leader()
	c.hosts[l].stop(t)
	other := (l + 1) % 3
	assert.Assert(t, !ask(other, "b").Granted)
	assert.Equal(t, ask(other, "a").Fence, first.Fence)
	c.hosts[l].start(t, nil)
	for _, h := range c.hosts {
		h.stop(t)
	}
	for _, h := range c.hosts {
		h.start(t, nil)
	}
	assert.Equal(t, ask(l, "b").Holder, "a")
	again := ask(l, "a")
	assert.Assert(t, again.Granted)
	assert.Equal(t, again.Fence, first.Fence)
	call(t, c.hosts[0].client.Lease, &wire.LeaseRequest{Name: "cell/main", Token: "a", Release: true})
	assert.Assert(t, ask(1, "b").Fence > first.Fence)
}
