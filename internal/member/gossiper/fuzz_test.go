package gossiper

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// Guards against a request or response of another host that crashes the receiving process.
// The same bytes are decoded as both.
func FuzzGossip(f *testing.F) {
	for _, m := range []proto.Message{
		&wire.GossipRequest{From: &wire.EntryHost{Name: "b", Address: "10.0.0.2:1", Incarnation: 1 << 63}, Keys: []uint64{1, 2}, Versions: []uint64{1 << 63, 2}, Ahead: []uint64{1 << 63, 0}},
		&wire.GossipResponse{From: &wire.EntryHost{Name: "b"}, Keys: []uint64{1}, Versions: []uint64{3}, Ahead: []uint64{1},
			Upstreams: []*wire.Upstream{{Name: "u", Incarnation: 1, Remaining: -1 << 62}}, Renewals: []*wire.Renewal{{Origin: 1 << 31, Remaining: 1 << 62}}},
	} {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		g := New(registrar.Host{Name: "a", Address: "10.0.0.1:1", Incarnation: 1})
		var q wire.GossipRequest
		if proto.Unmarshal(data, &q) == nil {
			_, _ = g.Answer(&q)
		}
		var a wire.GossipResponse
		if proto.Unmarshal(data, &a) == nil {
			_, vector := g.request("10.0.0.2:1", false)
			g.step(registrar.Merge{From: "b", Began: time.Now(), Update: decodeUpdate(&a, vector)})
		}
		g.cancel()
		g.group.Wait()
	})
}
