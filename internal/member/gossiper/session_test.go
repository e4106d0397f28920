package gossiper_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// peerService completes the Peer service, as is done outside this package.
type peerService struct {
	*gossiper.Gossiper
}

func (peerService) Announce(context.Context, *connect.Request[wire.AnnounceRequest]) (*connect.Response[wire.AnnounceResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("not served here"))
}

func (peerService) Members(context.Context, *connect.Request[wire.MembersRequest]) (*connect.Response[wire.MembersResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("not served here"))
}

func (peerService) Dispatch(context.Context, *connect.BidiStream[wire.DispatchRequest, wire.DispatchResponse]) error {
	return connect.NewError(connect.CodeUnimplemented, errors.New("not served here"))
}

type node struct {
	*gossiper.Gossiper
	address string
	stop    func()
}

// listen opens a listener on loopback and passes it through wrap unless that is nil.
func listen(t testing.TB, wrap func(net.Listener) net.Listener) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	if wrap != nil {
		return wrap(l)
	}
	return l
}

func startNode(t testing.TB, i int, l net.Listener, seeds ...string) node {
	address := l.Addr().String()
	g := gossiper.New(registrar.Host{Name: registrar.HostName(fmt.Sprintf("entry-%02d", i)), Address: address, Centre: "patan"},
		gossiper.WithSeeds(seeds...), gossiper.WithSeed(uint64(i)))
	mux := http.NewServeMux()
	mux.Handle(gossiper.AnnouncePath, g.Announcements())
	mux.Handle(wireconnect.NewPeerHandler(peerService{g}))
	s := &http.Server{Handler: mux, Protocols: dialer.Protocols()}
	var serving conc.WaitGroup
	serving.Go(func() { _ = s.Serve(l) })
	g.Start()
	n := node{Gossiper: g, address: address}
	n.stop = func() {
		g.Close()
		_ = s.Close()
		serving.Wait()
	}
	return n
}

// Guards against an exchange that works in memory but not over HTTP/2, and
// against a stopped host that stays eligible to own a cell.
func TestHostsShareAnnouncementsOverTheNetwork(t *testing.T) {
	a := startNode(t, 1, listen(t, nil))
	b := startNode(t, 2, listen(t, nil), a.address)
	c := startNode(t, 3, listen(t, nil), a.address)
	defer a.stop()
	defer b.stop()
	stopped := false
	defer func() {
		if !stopped {
			c.stop()
		}
	}()
	clock := clockwork.NewRealClock()
	agree := func(hosts int, upstream bool) poll.Check {
		return func(poll.LogT) poll.Result {
			for _, n := range []node{a, b} {
				v := n.Snapshot()
				_, found := v.Upstream(clock.Now(), "hay-1")
				if len(v.Hosts()) != hosts || found != upstream {
					return poll.Continue("%d hosts, upstream %t", len(v.Hosts()), found)
				}
			}
			return poll.Success()
		}
	}
	poll.WaitOn(t, agree(3, false), poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
	sequence := 0
	body := func(leaving bool) string {
		sequence++
		return fmt.Sprintf(`{"name":"hay-1","address":"127.0.0.1:9","models":["hay"],"incarnation":1,"sequence":%d,"slots":4,"leaving":%t}`, sequence, leaving)
	}
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		w := post(c.Gossiper, body(false))
		if w.Code != http.StatusOK {
			return poll.Continue("%d %s", w.Code, w.Body)
		}
		return agree(3, true)(l)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(300*time.Millisecond))
	announceDirectly(t, c.Gossiper, body(true))
	c.stop()
	stopped = true
	poll.WaitOn(t, agree(2, false), poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Equal(t, a.Snapshot().Owner("main"), b.Snapshot().Owner("main"))
}
