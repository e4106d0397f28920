package gossiper

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// witnessTimeout bounds the wait for the hosts that have to store a departure. Upstreams
// turn to another host after a second.
const witnessTimeout = 600 * time.Millisecond

// knownTimeout bounds the request for the incarnation of an upstream that other hosts know.
const knownTimeout = 200 * time.Millisecond

// WithWitnesses sets how many other hosts have to store the departure of an upstream before
// it is acknowledged; the default is 0. An upstream doesn't repeat its departure after the
// acknowledgement, so the information must survive the loss of this host.
func WithWitnesses(n int) Option { return func(g *Gossiper) { g.coverage.witnesses = n } }

// Announce applies the announcement of an upstream that reached this host, and lets the
// witnesses store a departure. It returns the HTTP status and the body of the response.
func (g *Gossiper) Announce(ctx context.Context, u registrar.Upstream) (int, Reply) {
	status, reply := g.applyAnnouncement(u)
	if !u.Leaving || status != http.StatusOK {
		return status, reply
	}
	if stored := g.tellWitnesses(ctx, u); stored < g.coverage.witnesses {
		g.log.Warn("too few hosts stored the departure of an upstream; the upstream has to announce it again",
			zap.String("upstream", string(u.Name)), zap.Uint64("incarnation", uint64(u.Incarnation)),
			zap.Int("hosts", stored), zap.Int("wanted", g.coverage.witnesses))
		return http.StatusServiceUnavailable, Reply{Reason: fmt.Sprintf("only %d of %d other hosts could be told", stored, g.coverage.witnesses)}
	}
	return status, reply
}

// tellWitnesses sends the departure of an upstream to the other live hosts. It returns how
// many have stored it, as soon as they are enough, all have responded or witnessTimeout has
// passed.
func (g *Gossiper) tellWitnesses(ctx context.Context, u registrar.Upstream) int {
	stored := 0
	if g.coverage.witnesses == 0 {
		return stored
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	g.forward(ctx, u, func(a *wire.AnnounceResponse) bool {
		// A host that knows a later incarnation doesn't need the departure.
		if a.GetStatus() == http.StatusOK || a.GetStatus() == http.StatusConflict {
			stored++
		}
		return stored >= g.coverage.witnesses
	})
	return stored
}

// Known returns the newest incarnation of an upstream that this host or, if it knows none,
// any other live host knows, whether or not the upstream is live. It returns 0 if none is
// known within knownTimeout.
func (g *Gossiper) Known(ctx context.Context, id registrar.UpstreamID) registrar.Incarnation {
	// Hosts reject an announcement without an incarnation and return the one that they know.
	u := registrar.Upstream{Name: id, Leaving: true, Cell: g.cell}
	_, reply := g.applyAnnouncement(u)
	known := reply.Known
	if known > 0 {
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, knownTimeout)
	defer cancel()
	g.forward(ctx, u, func(a *wire.AnnounceResponse) bool {
		known = max(known, registrar.Incarnation(a.GetKnown()))
		return false
	})
	return known
}

// forward sends an announcement to all other live hosts concurrently, and passes their
// responses to enough until it returns true.
func (g *Gossiper) forward(ctx context.Context, u registrar.Upstream, enough func(*wire.AnnounceResponse) bool) {
	self := g.self()
	q := &wire.AnnounceRequest{Host: string(self.Name), Upstream: EncodeUpstream(registrar.RelayedAnnouncement{Upstream: u}), Witness: true}
	others := slices.DeleteFunc(g.Snapshot().Hosts(), func(h registrar.Host) bool { return h.Address == "" || h.Name == self.Name })
	ctx, cancel := context.WithCancel(ctx)
	answers := make(chan *wire.AnnounceResponse, len(others))
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	for _, h := range others {
		group.Go(func() { answers <- g.forwardTo(ctx, h.Address, q) })
	}
	for range others {
		if a := <-answers; a != nil && enough(a) {
			return
		}
	}
}

// forwardTo sends an announcement to one host and returns its response, or nil if the call
// failed.
func (g *Gossiper) forwardTo(ctx context.Context, address string, q *wire.AnnounceRequest) *wire.AnnounceResponse {
	a, err := g.exchanger.Announce(ctx, address, q)
	if err != nil {
		g.log.Debug("could not forward an announcement", zap.String("address", address), zap.Error(err))
		return nil
	}
	return a
}

// self returns the description of this host.
func (g *Gossiper) self() registrar.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registrar.Self().Host
}

// AnnounceFromPeer implements the Announce procedure of the Peer service: it applies an
// announcement that another host has received and validated.
func (g *Gossiper) AnnounceFromPeer(ctx context.Context, r *connect.Request[wire.AnnounceRequest]) (*connect.Response[wire.AnnounceResponse], error) {
	if name := authenticator.ClientName(ctx, authenticator.Entry); name != "" && name != r.Msg.GetHost() {
		return nil, connect.NewError(connect.CodePermissionDenied, fmt.Errorf("the certificate is that of entry host %s, the message that of %s", name, r.Msg.GetHost()))
	}
	announce := g.Announce
	if r.Msg.GetWitness() {
		announce = func(_ context.Context, u registrar.Upstream) (int, Reply) { return g.applyAnnouncement(u) }
	}
	status, reply := announce(ctx, DecodeUpstream(r.Msg.GetUpstream()).Upstream)
	return connect.NewResponse(&wire.AnnounceResponse{
		Status: uint32(status), Accepted: reply.Accepted, Reason: reply.Reason, Known: uint64(reply.Known),
	}), nil
}

// Announce implements Exchanger.
func (c *caller) Announce(ctx context.Context, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	return SendAnnouncement(ctx, c.clients.Client(address), address, q)
}

// SendAnnouncement forwards an announcement to the host at the address. A failed call isn't
// repeated, because the upstream soon announces itself again or turns to another host.
func SendAnnouncement(ctx context.Context, d *dialer.Client, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	a, err := wireconnect.NewPeerClient(d, dialer.URL(address), dialer.Options()...).Announce(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, fmt.Errorf("announce an upstream to %s: %w", address, err)
	}
	return a.Msg, nil
}
