package dispatcher

import (
	"context"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// noOwner is a membership in which no host owns the cell.
type noOwner struct{ Membership }

func (noOwner) Owner(registrar.CellName) (registrar.HostName, bool)     { return "", false }
func (noOwner) Successor(registrar.CellName) (registrar.HostName, bool) { return "", false }

// dispatchOnly serves only the Dispatch method of the Peer service.
type dispatchOnly struct {
	wireconnect.UnimplementedPeerHandler
	server *Server
}

func (d dispatchOnly) Dispatch(ctx context.Context, s *connect.BidiStream[wire.DispatchRequest, wire.DispatchResponse]) error {
	return d.server.Dispatch(ctx, s)
}

// TestDispatchUnderOwnName guards against an entry host that takes over the slots of
// another one.
func TestDispatchUnderOwnName(t *testing.T) {
	clock := clockwork.NewRealClock()
	local := NewLocal(scheduler.New(), clock)
	defer local.Close()
	server := NewServer(Settings{Host: "a", Membership: noOwner{}, Local: local, Clock: clock, Logger: zap.NewNop()})
	_, h := wireconnect.NewPeerHandler(dispatchOnly{server: server})
	for _, c := range []struct {
		name string
		want connect.Code
	}{{"b", 0}, {"c", connect.CodePermissionDenied}} {
		l, err := dialer.Listen(t.Context(), "127.0.0.1:0")
		assert.NilError(t, err)
		s := dialer.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			list := []authenticator.Identity{{Role: authenticator.Entry, Name: c.name}}
			h.ServeHTTP(w, r.WithContext(authenticator.NewContext(r.Context(), list)))
		}))
		var group conc.WaitGroup
		group.Go(func() { _ = s.Serve(l) })
		client := dialer.New()
		stream := wireconnect.NewPeerClient(client, dialer.URL(l.Addr().String())).Dispatch(t.Context())
		assert.NilError(t, stream.Send(&wire.DispatchRequest{Host: "b"}))
		answer, err := stream.Receive()
		if c.want == 0 {
			assert.NilError(t, err)
			assert.Assert(t, answer.Moved)
		} else {
			assert.Equal(t, connect.CodeOf(err), c.want)
		}
		client.Close()
		assert.NilError(t, s.Close())
		group.Wait()
	}
}
