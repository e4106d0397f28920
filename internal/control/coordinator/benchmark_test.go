package coordinator

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// BenchmarkClaims measures claims through the Control service on real data
// folders, with many concurrent callers.
func BenchmarkClaims(b *testing.B) {
	for _, size := range []int{1, 3} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			c := newCluster(b, size)
			l := c.hosts[c.leader()]
			var next atomic.Int64
			b.SetParallelism(32)
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					n := fmt.Sprint(next.Add(1))
					r, err := l.client.Claim(context.Background(), connect.NewRequest(claimRequest(n, n)))
					if err != nil || r.Msg.State != wire.ClaimResponse_STATE_GRANTED {
						b.Errorf("claim %s: %v", n, err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
		})
	}
}

// BenchmarkFailover measures the time from the abrupt stop of the leader to the
// next accepted change.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, 3)
	revision := uint64(0)
	for range b.N {
		revision = apply(b, c.hosts[0], fmt.Sprint("c", revision), revision, "{}").Revision
		l := c.leader()
		h := c.hosts[l]
		await(b, "all followers", func() bool {
			for _, o := range c.hosts {
				if o.coordinator.core.view().leader == nil {
					return false
				}
			}
			return true
		})
		b.StartTimer()
		h.coordinator.stop()
		revision = apply(b, c.hosts[(l+1)%3], fmt.Sprint("c", revision), revision, "{}").Revision
		b.StopTimer()
		h.stop(b)
		h.start(b, nil)
	}
}

// BenchmarkRestart measures the start of a host until it leads, after 5,000
// changes of a document of 10 KiB.
func BenchmarkRestart(b *testing.B) {
	const changes = 5000
	c := newCluster(b, 1)
	h := c.hosts[0]
	c.leader()
	document := fmt.Sprintf(`{"text":%q}`, make([]byte, 2500))
	for i := range uint64(changes) {
		r, err := h.client.Apply(context.Background(), connect.NewRequest(&wire.ApplyRequest{
			Change: fmt.Sprint(i), Base: i, Document: []byte(document),
		}))
		assert.NilError(b, err)
		assert.Equal(b, r.Msg.Revision, i+1)
	}
	h.stop(b)
	b.ResetTimer()
	for range b.N {
		s := h.settings
		s.Clock = clockwork.NewRealClock()
		r, err := Open(s)
		assert.NilError(b, err)
		await(b, "ready", func() bool { return r.core.view().ready })
		assert.Equal(b, r.revision(0).Number, uint64(changes))
		assert.NilError(b, r.Close(context.Background()))
	}
}
