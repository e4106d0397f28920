package courier

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// Guards against summaries of another cell that crash the receiving host or that it can't
// relay.
func FuzzSummaries(f *testing.F) {
	for _, m := range []*wire.SummaryResponse{
		{Cell: "east", Summaries: []*wire.CellSummary{{Cell: "east", Incarnation: 1 << 63, Sequence: 1 << 63, Dispatcher: "10.0.0.9:0", Age: -1 << 62, Pools: []*wire.PoolSummary{{Name: "m", Live: 1 << 31, Free: 1<<32 - 1, Delay: []uint32{1<<32 - 1, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}}}}}},
		{Summaries: []*wire.CellSummary{{}, {Cell: "west", Leaving: true, Fallbacks: []string{"", "x"}, Age: 1 << 62}}},
	} {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m wire.SummaryResponse
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		news := decodeSummaries(m.GetSummaries())
		out, err := proto.Marshal(&wire.SummaryResponse{Summaries: encodeSummaries(news)})
		assert.NilError(t, err)
		var again wire.SummaryResponse
		assert.NilError(t, proto.Unmarshal(out, &again))
		assert.Equal(t, len(decodeSummaries(again.GetSummaries())), len(news))
	})
}
