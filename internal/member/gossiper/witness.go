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

// witnessTime bounds the wait for the hosts that keep a departure. Upstreams go to
// another host after a second.
const witnessTime = 600 * time.Millisecond

// knownTime bounds the question which process of an upstream other hosts know.
const knownTime = 200 * time.Millisecond

// WithWitnesses sets how many other hosts have to keep that an upstream leaves before
// the upstream is told that it is known. An upstream doesn't say it again after that, so
// it must outlive this host.
func WithWitnesses(n int) Option { return func(g *Gossiper) { g.coverage.witnesses = n } }

// Announce applies the announcement of an upstream that reached this host. It
// returns the status of the answer beside its body.
func (g *Gossiper) Announce(ctx context.Context, u registrar.Upstream) (int, Reply) {
	status, reply := g.take(u)
	if !u.Leaving || status != http.StatusOK {
		return status, reply
	}
	if kept := g.tellWitnesses(ctx, u); kept < g.coverage.witnesses {
		g.log.Warn("too few hosts keep that an upstream leaves; it has to say so again",
			zap.String("upstream", string(u.Name)), zap.Uint64("incarnation", uint64(u.Incarnation)),
			zap.Int("hosts", kept), zap.Int("wanted", g.coverage.witnesses))
		return http.StatusServiceUnavailable, Reply{Reason: fmt.Sprintf("only %d of %d other hosts could be told", kept, g.coverage.witnesses)}
	}
	return status, reply
}

// tellWitnesses tells the other live hosts that an upstream leaves, and returns how many
// keep it once they are enough, all have answered or the time has passed.
func (g *Gossiper) tellWitnesses(ctx context.Context, u registrar.Upstream) int {
	kept := 0
	if g.coverage.witnesses == 0 {
		return kept
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTime)
	defer cancel()
	g.passOn(ctx, u, func(a *wire.AnnounceResponse) bool {
		// A host that knows of a later process has no need of it.
		if a.GetStatus() == http.StatusOK || a.GetStatus() == http.StatusConflict {
			kept++
		}
		return kept >= g.coverage.witnesses
	})
	return kept
}

// Known returns the latest process of an upstream that this host or, if it knows none,
// another live host has heard of, whether or not it is live; 0 when there is none.
func (g *Gossiper) Known(ctx context.Context, id registrar.UpstreamID) registrar.Incarnation {
	// Hosts answer an announcement that names no process with the one that they know.
	u := registrar.Upstream{Name: id, Leaving: true, Cell: g.cell}
	_, reply := g.take(u)
	known := reply.Known
	if known > 0 {
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, knownTime)
	defer cancel()
	g.passOn(ctx, u, func(a *wire.AnnounceResponse) bool {
		known = max(known, registrar.Incarnation(a.GetKnown()))
		return false
	})
	return known
}

// passOn passes an announcement on to the other live hosts at once, and their answers to
// the function until it returns true.
func (g *Gossiper) passOn(ctx context.Context, u registrar.Upstream, enough func(*wire.AnnounceResponse) bool) {
	self := g.self()
	q := &wire.AnnounceRequest{Host: string(self.Name), Upstream: EncodeUpstream(registrar.News{Upstream: u}), Witness: true}
	others := slices.DeleteFunc(g.Snapshot().Hosts(), func(h registrar.Host) bool { return h.Address == "" || h.Name == self.Name })
	ctx, cancel := context.WithCancel(ctx)
	answers := make(chan *wire.AnnounceResponse, len(others))
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	for _, h := range others {
		group.Go(func() { answers <- g.passOnTo(ctx, h.Address, q) })
	}
	for range others {
		if a := <-answers; a != nil && enough(a) {
			return
		}
	}
}

// passOnTo returns the answer of one host, or nil.
func (g *Gossiper) passOnTo(ctx context.Context, address string, q *wire.AnnounceRequest) *wire.AnnounceResponse {
	a, err := g.exchanger.Announce(ctx, address, q)
	if err != nil {
		g.log.Debug("An announcement was not passed on.", zap.String("address", address), zap.Error(err))
		return nil
	}
	return a
}

// self describes this host.
func (g *Gossiper) self() registrar.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registrar.Self().Host
}

// AnnounceFromPeer takes an announcement that another host has received and checked.
func (g *Gossiper) AnnounceFromPeer(ctx context.Context, r *connect.Request[wire.AnnounceRequest]) (*connect.Response[wire.AnnounceResponse], error) {
	if name := authenticator.ClientName(ctx, authenticator.Entry); name != "" && name != r.Msg.GetHost() {
		return nil, connect.NewError(connect.CodePermissionDenied, fmt.Errorf("the certificate is that of entry host %s, the message that of %s", name, r.Msg.GetHost()))
	}
	take := g.Announce
	if r.Msg.GetWitness() {
		take = func(_ context.Context, u registrar.Upstream) (int, Reply) { return g.take(u) }
	}
	status, reply := take(ctx, DecodeUpstream(r.Msg.GetUpstream()).Upstream)
	return connect.NewResponse(&wire.AnnounceResponse{
		Status: uint32(status), Accepted: reply.Accepted, Reason: reply.Reason, Known: uint64(reply.Known),
	}), nil
}

// Announce passes an announcement on.
func (c *caller) Announce(ctx context.Context, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	return SendAnnouncement(ctx, c.clients.Client(address), address, q)
}

// SendAnnouncement passes an announcement on to the host at the address. The call isn't
// made again when it fails: the upstream announces itself again soon, or goes to another
// host.
func SendAnnouncement(ctx context.Context, d *dialer.Client, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	a, err := wireconnect.NewPeerClient(d, dialer.URL(address), dialer.Options()...).Announce(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, fmt.Errorf("announce an upstream to %s: %w", address, err)
	}
	return a.Msg, nil
}
