package runner

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/publisher"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/member/watcher"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// members is a host's part in the membership protocol, which spreads the state of upstreams
// and hosts. Hosts that may own a cell take part in the gossip exchange; the others watch
// one of them, so that their traffic doesn't grow with the fleet.
type members interface {
	Start()
	Close()
	Snapshot() *registrar.View
	// Drain sets whether this host is draining, in which case it owns no cell.
	Drain(on bool)
	// Seed replaces the addresses of the hosts that are asked first for the
	// membership.
	Seed(addresses ...string)
	// Depart tells the other hosts which upstreams have announced that they leave.
	Depart(list ...registrar.Departure)
	// Current reports whether the view is recent enough for sending new requests.
	Current() bool
	// Age returns the age of the view; it is negative while the age is unknown.
	Age() time.Duration
	// Announcements returns the handler that receives announcements of upstreams.
	Announcements() http.Handler
}

var (
	_ members = (*gossiper.Gossiper)(nil)
	_ members = (*watcher.Watcher)(nil)
)

func (e *entry) startMembers() {
	settings := e.settings
	self := registrar.Host{
		Draining:    !e.alone() || !settings.MayOwnCell(),
		Control:     settings.HasRole(loader.Control),
		Name:        settings.Name,
		Address:     settings.Advertise,
		Centre:      settings.Centre,
		Cell:        settings.Cell,
		Incarnation: registrar.Incarnation(e.clock.Now().UnixNano()),
	}
	if settings.MayOwnCell() {
		e.startGossiper(self)
		return
	}
	e.members = watcher.New(self, watcher.Options{
		Seeds:           settings.Seeds,
		Lease:           time.Duration(settings.Lease),
		LeaveBound:      time.Duration(settings.Leave),
		Fingerprints:    crashes{e.local, e.clock},
		Revisions:       e.follower,
		OnAction:        e.apply,
		TLS:             e.tls,
		SecureUpstreams: e.upstreams != nil,
		Clock:           e.leaseClock,
		Logger:          e.logger,
	})
}

func (e *entry) startGossiper(self registrar.Host) {
	s := e.settings
	options := []gossiper.Option{
		gossiper.WithSeeds(s.Seeds...),
		gossiper.WithClock(e.leaseClock),
		gossiper.WithLogger(e.logger),
		gossiper.WithFingerprints(crashes{e.local, e.clock}),
		gossiper.WithRevisions(e.follower),
		gossiper.WithOnAction(e.applyAndPublish),
		gossiper.WithRegistrarOptions(registrar.WithScope(), registrar.WithLease(time.Duration(s.Lease))),
		gossiper.WithTLS(e.tls),
		gossiper.WithWitnesses(s.Witnesses),
	}
	if e.upstreams != nil {
		options = append(options, gossiper.WithSecureUpstreams())
	}
	e.gossiper = gossiper.New(self, options...)
	e.members = e.gossiper
	e.publisher = publisher.New(publisher.Options{
		Members:      e.gossiper,
		Revisions:    e.follower,
		Fingerprints: crashes{e.local, e.clock},
		Cell:         s.Cell,
		Clock:        e.leaseClock,
		Logger:       e.logger,
	})
}

// apply passes a membership change to the scheduler and the cell.
func (e *entry) apply(a registrar.Action) {
	switch a := a.(type) {
	case registrar.Changed:
		e.local.Observe(a.Upstream)
	case registrar.Removed:
		e.remove(a)
	case registrar.HostDown:
		e.server.HostDown(a.Host.Name)
		e.cell.ReviewOwner()
	case registrar.HostUp, registrar.HostChanged:
		e.cell.ReviewOwner()
	}
}

// remove tells the scheduler and the cell that an upstream takes no new work. An upstream
// that leaves still finishes the requests that it has; any other counts as lost.
func (e *entry) remove(a registrar.Removed) {
	e.local.Forget(a.UpstreamID)
	if a.Leaving {
		e.cell.ObserveDeparture(registrar.Departure(a))
		return
	}
	e.cell.UpstreamLost(a.UpstreamID)
}

// applyAndPublish passes a membership change to the scheduler, the cell and the watching
// hosts.
func (e *entry) applyAndPublish(a registrar.Action) {
	e.apply(a)
	e.publisher.Observe(a)
}

// peer implements the Peer service. The gossiper and the publisher are nil on a host
// that may own no cell.
type peer struct {
	wireconnect.UnimplementedPeerHandler
	gossiper   *gossiper.Gossiper
	publisher  *publisher.Publisher
	dispatcher *dispatcher.Server
}

// errNoExchange is the answer to calls that only hosts in the gossip exchange serve.
var errNoExchange = connect.NewError(connect.CodeUnimplemented, fmt.Errorf("this host may own no cell and takes no part in the exchange of news"))

func (e *entry) peer() peer {
	return peer{gossiper: e.gossiper, publisher: e.publisher, dispatcher: e.server}
}

// Gossip implements wireconnect.PeerHandler.
func (p peer) Gossip(ctx context.Context, r *connect.Request[wire.GossipRequest]) (*connect.Response[wire.GossipResponse], error) {
	if p.gossiper == nil {
		return nil, errNoExchange
	}
	return p.gossiper.Gossip(ctx, r)
}

// Members implements wireconnect.PeerHandler.
func (p peer) Members(ctx context.Context, r *connect.Request[wire.MembersRequest]) (*connect.Response[wire.MembersResponse], error) {
	if p.publisher == nil {
		return nil, errNoExchange
	}
	return p.publisher.Members(ctx, r)
}

// Announce implements wireconnect.PeerHandler.
func (p peer) Announce(ctx context.Context, r *connect.Request[wire.AnnounceRequest]) (*connect.Response[wire.AnnounceResponse], error) {
	if p.gossiper == nil {
		return nil, errNoExchange
	}
	return p.gossiper.AnnounceFromPeer(ctx, r)
}

// Fetch implements wireconnect.PeerHandler.
func (p peer) Fetch(ctx context.Context, r *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	if p.gossiper == nil {
		return nil, errNoExchange
	}
	return p.gossiper.Fetch(ctx, r)
}

// Dispatch implements wireconnect.PeerHandler.
func (p peer) Dispatch(ctx context.Context, s *connect.BidiStream[wire.DispatchRequest, wire.DispatchResponse]) error {
	return p.dispatcher.Dispatch(ctx, s)
}
