package follower_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/follower"
	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// controlStub serves a fakeNetwork over loopback.
type controlStub struct {
	wireconnect.UnimplementedControlHandler
	fake *fakeNetwork
}

func (s controlStub) Confirm(ctx context.Context, r *connect.Request[wire.ConfirmRequest]) (*connect.Response[wire.ConfirmResponse], error) {
	a, err := s.fake.Confirm(ctx, "net", r.Msg)
	return connect.NewResponse(a), err
}

func (s controlStub) Watch(ctx context.Context, r *connect.Request[wire.WatchRequest], stream *connect.ServerStream[wire.WatchResponse]) error {
	return s.fake.Watch(ctx, "net", r.Msg, func(m *wire.WatchResponse) { _ = stream.Send(m) })
}

type peerStub struct{ *gossiper.Gossiper }

func (peerStub) Announce(context.Context, *connect.Request[wire.AnnounceRequest]) (*connect.Response[wire.AnnounceResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("not served here"))
}

func (peerStub) Members(context.Context, *connect.Request[wire.MembersRequest]) (*connect.Response[wire.MembersResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("not served here"))
}

func (peerStub) Dispatch(context.Context, *connect.BidiStream[wire.DispatchRequest, wire.DispatchResponse]) error {
	return connect.NewError(connect.CodeUnimplemented, errors.New("not served here"))
}

func serve(t *testing.T, path string, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := http.NewServeMux()
	mux.Handle(path, h)
	s := &http.Server{Handler: mux, Protocols: dialer.Protocols()}
	var group conc.WaitGroup
	group.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() {
		_ = s.Close()
		group.Wait()
	})
	return l.Addr().String()
}

// TestFollowOverTheNetwork guards against calls that work only with fakes: streams
// that resume and are replaced when they go silent, confirmations, and documents
// from peers.
func TestFollowOverTheNetwork(t *testing.T) {
	n, c := newNetwork(1), clockwork.NewFakeClock()
	controlPath, controlHandler := wireconnect.NewControlHandler(controlStub{fake: n})
	a := start(t, nil, c, follower.WithControls(serve(t, controlPath, controlHandler)))
	drive(t, c, inForce(a, 1))
	n.set(1, "net")
	drive(t, c, func() bool { return !inForce(a, 1)() && len(n.resumed()) > 1 })
	assert.DeepEqual(t, n.resumed()[:2], []uint64{0, 1})
	n.set(2)
	drive(t, c, inForce(a, 2))

	// A host that reaches no control host follows its peer.
	g := gossiper.New(registrar.Host{Name: "a"}, gossiper.WithClock(c), gossiper.WithRevisions(a))
	t.Cleanup(g.Close)
	path, handler := wireconnect.NewPeerHandler(peerStub{g})
	peer := serve(t, path, handler)
	b := start(t, nil, c)
	drive(t, c, func() bool {
		b.Learn(peer, c.Now(), a.Confirmation())
		return inForce(b, 2)()
	})
}
