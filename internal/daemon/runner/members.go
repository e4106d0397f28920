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

// members is a host's part in the exchange of news about upstreams and hosts. Hosts
// that may own a cell exchange all news with each other; the others watch one of them,
// so that what they send and receive doesn't grow with the fleet.
type members interface {
	Start()
	Close()
	Snapshot() *registrar.View
	// Drain tells whether this host is about to stop, so that it owns no cell.
	Drain(on bool)
	Seed(addresses ...string)
	// Depart tells the other hosts which upstreams have said that they leave.
	Depart(list ...registrar.Departure)
	// Current reports whether the view is young enough to send new requests on.
	Current() bool
	// Age returns how old the view is, negative while that is not known.
	Age() time.Duration
	// Announcements takes the announcements of upstreams.
	Announcements() http.Handler
}

var (
	_ members = (*gossiper.Gossiper)(nil)
	_ members = (*watcher.Watcher)(nil)
)

func (e *entry) startMembers() {
	s := e.settings
	self := registrar.Host{
		Draining:    !e.alone() || !s.MayOwnCell(),
		Control:     s.HasRole(loader.Control),
		Name:        s.Name,
		Address:     s.Advertise,
		Centre:      s.Centre,
		Cell:        s.Cell,
		Incarnation: registrar.Incarnation(e.clock.Now().UnixNano()),
	}
	if s.MayOwnCell() {
		e.startGossiper(self)
		return
	}
	e.members = watcher.New(self, watcher.Options{
		Seeds:           s.Seeds,
		Lease:           time.Duration(s.Lease),
		LeaveBound:      time.Duration(s.Leave),
		Fingerprints:    crashes{e.local},
		Revisions:       e.follower,
		OnAction:        e.apply,
		TLS:             e.tls,
		SecureUpstreams: e.upstreams != nil,
		Clock:           e.awake,
		Logger:          e.logger,
	})
}

func (e *entry) startGossiper(self registrar.Host) {
	s := e.settings
	options := []gossiper.Option{
		gossiper.WithSeeds(s.Seeds...),
		gossiper.WithClock(e.awake),
		gossiper.WithLogger(e.logger),
		gossiper.WithFingerprints(crashes{e.local}),
		gossiper.WithRevisions(e.follower),
		gossiper.WithOnAction(e.applyAndTell),
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
		Fingerprints: crashes{e.local},
		Cell:         s.Cell,
		Clock:        e.awake,
		Logger:       e.logger,
	})
}

// apply passes membership news on to the scheduler.
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

// remove passes on that an upstream takes no new work. A process that leaves goes on with
// the requests that it has.
func (e *entry) remove(a registrar.Removed) {
	e.local.Forget(a.UpstreamID)
	if a.Leaving {
		e.cell.ObserveDeparture(registrar.Departure(a))
		return
	}
	e.cell.UpstreamLost(a.UpstreamID)
}

// applyAndTell passes membership news on to the scheduler and to the watching hosts.
func (e *entry) applyAndTell(a registrar.Action) {
	e.apply(a)
	e.publisher.Observe(a)
}

// peer serves the Peer service.
type peer struct {
	wireconnect.UnimplementedPeerHandler
	gossiper   *gossiper.Gossiper
	publisher  *publisher.Publisher
	dispatcher *dispatcher.Server
}

// errWatches answers what only hosts in the exchange of news can do.
var errWatches = connect.NewError(connect.CodeUnimplemented, fmt.Errorf("this host may own no cell and takes no part in the exchange of news"))

func (e *entry) peer() peer {
	return peer{gossiper: e.gossiper, publisher: e.publisher, dispatcher: e.server}
}

// Gossip implements wireconnect.PeerHandler.
func (p peer) Gossip(ctx context.Context, r *connect.Request[wire.GossipRequest]) (*connect.Response[wire.GossipResponse], error) {
	if p.gossiper == nil {
		return nil, errWatches
	}
	return p.gossiper.Gossip(ctx, r)
}

// Members implements wireconnect.PeerHandler.
func (p peer) Members(ctx context.Context, r *connect.Request[wire.MembersRequest]) (*connect.Response[wire.MembersResponse], error) {
	if p.publisher == nil {
		return nil, errWatches
	}
	return p.publisher.Members(ctx, r)
}

// Announce implements wireconnect.PeerHandler.
func (p peer) Announce(ctx context.Context, r *connect.Request[wire.AnnounceRequest]) (*connect.Response[wire.AnnounceResponse], error) {
	if p.gossiper == nil {
		return nil, errWatches
	}
	return p.gossiper.AnnounceFromPeer(ctx, r)
}

// Fetch implements wireconnect.PeerHandler.
func (p peer) Fetch(ctx context.Context, r *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	if p.gossiper == nil {
		return nil, errWatches
	}
	return p.gossiper.Fetch(ctx, r)
}

// Dispatch implements wireconnect.PeerHandler.
func (p peer) Dispatch(ctx context.Context, s *connect.BidiStream[wire.DispatchRequest, wire.DispatchResponse]) error {
	return p.dispatcher.Dispatch(ctx, s)
}
