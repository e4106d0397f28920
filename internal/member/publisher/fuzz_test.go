package publisher

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// restorer applies restored upstreams and departures to a registrar.
type restorer struct{ *registrar.Registrar }

func (r restorer) KnownUntil() (time.Time, bool) { return time.Time{}, false }

func (r restorer) Watch(int) {}

func (r restorer) Restore(e registrar.Restore) { r.Step(e.Began, e) }

func (r restorer) Depart(list ...registrar.Departure) {
	r.Step(time.Now(), registrar.Depart{Departures: list})
}

// Guards against a request that crashes the receiving process.
func FuzzMembersRequest(f *testing.F) {
	for _, m := range []*wire.MembersRequest{
		{Host: "w", Cell: "main", Brief: true},
		{Host: "w", Cell: "main", Epoch: 1, Number: 1 << 63, Left: true},
		{Host: "w", Cell: "main", Upstreams: []*wire.Upstream{{Name: "u", Incarnation: 1 << 63, Slots: 1 << 31}, {}}, Remaining: -1 << 62},
		{Host: "w", Cell: "main", Departures: []*wire.Departure{{Name: "u", Incarnation: 1 << 63, Leaving: true}, {Leaving: true}, {}}},
	} {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m wire.MembersRequest
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		p := New(Options{Cell: "main"})
		p.options.Members = restorer{registrar.New(p.started, registrar.Host{Name: "a", Incarnation: 1})}
		p.refresh()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if a, err := p.Members(ctx, connect.NewRequest(&m)); err == nil && a.Msg == nil {
			t.Error("neither an answer nor an error")
		}
		p.refresh()
	})
}
