package watcher

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// Guards against a response that crashes the receiving host or makes it list upstreams for
// longer than a lease.
func FuzzMembersResponse(f *testing.F) {
	age := int64(-1 << 62)
	for _, m := range []*wire.MembersResponse{
		{Epoch: 1, Number: 1, Full: true, Upstreams: []*wire.Upstream{{Name: "u", Incarnation: 1, Remaining: 1 << 62}, {}}},
		{Departures: []*wire.Departure{{Name: "u"}, {}}, Hosts: []*wire.EntryHost{{Name: "a", Watchers: 1 << 31}, {}}},
		{Revision: 1 << 63, Check: 1, Confirmed: &age, Incomplete: true},
	} {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m wire.MembersResponse
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		w := New(registrar.Host{Name: "w"}, Options{Lease: testLease, Caller: &fleet{}})
		began := time.Now()
		w.applyResponse(began, "a:1", &wire.MembersRequest{}, &m)
		w.learn(began, "a:1", &m)
		w.request(began, "a:1", false)
		if late := w.Snapshot().Upstreams(began.Add(testLease)); len(late) > 0 {
			t.Errorf("%d upstreams outlive the lease", len(late))
		}
		w.Close()
	})
}
