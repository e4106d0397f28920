package gossiper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// Announcements returns the HTTP handler of upstream announcements.
func (g *Gossiper) Announcements() http.Handler {
	return NewAnnouncements(g.Announce, g.secure, g.log)
}

// Gossip implements the Gossip procedure of the Peer service: it responds with what the
// requesting host's version vector lacks.
func (g *Gossiper) Gossip(ctx context.Context, r *connect.Request[wire.GossipRequest]) (*connect.Response[wire.GossipResponse], error) {
	q := r.Msg
	if name := authenticator.ClientName(ctx, authenticator.Entry); name != "" && name != q.GetFrom().GetName() {
		return nil, connect.NewError(connect.CodePermissionDenied, fmt.Errorf("the certificate is that of entry host %s, the message that of %s", name, q.GetFrom().GetName()))
	}
	a, err := g.Answer(q)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(a), nil
}

// Answer returns the response to a request of another host. It fails if the request names
// no host.
func (g *Gossiper) Answer(q *wire.GossipRequest) (*wire.GossipResponse, error) {
	from := DecodeHost(q.GetFrom())
	if from.Host.Name == "" {
		return nil, fmt.Errorf("the request names no host")
	}
	vector, ok := g.lists.resolve(q)
	if !ok {
		return &wire.GossipResponse{Confirmed: -1, Unlisted: true}, nil
	}
	now := g.clock.Now()
	known, heard := vector.vectors()
	if q.GetFull() {
		known = nil
	}
	observed := registrar.ObservePeer{Heard: heard}
	if from.Host.Address != "" {
		observed.Hosts = append(observed.Hosts, from)
	}
	g.step(observed)
	a := &wire.GossipResponse{Confirmed: -1}
	g.updateRevision(func(c Confirmation) {
		a.Revision, a.Check, a.Confirmed = c.Revision, c.Check, encodeAge(c.Age)
	})
	g.mu.Lock()
	var update registrar.Update
	if !g.registrar.Excludes(from.Host) {
		update = g.registrar.Update(g.clock.Now(), known)
	}
	self := g.registrar.Self()
	a.Stranger = !g.registrar.Knows(from)
	g.mu.Unlock()
	encodeUpdate(update, vector, a)
	a.From = &wire.EntryHost{Name: string(self.Host.Name), Incarnation: uint64(self.Host.Incarnation)}
	a.Fingerprints = g.fingerprintsFor(string(from.Host.Name))
	address := from.Host.Address
	if h, ok := g.Snapshot().Host(from.Host.Name); ok {
		address = h.Address
	}
	if q.GetFresh() && address != "" {
		g.askBack(address)
	}
	// The age was correct when the request was sent, and that time is not known
	// here because a request can wait in a buffer. The confirmation is therefore
	// only a hint that the revision exists.
	g.learn(address, now, Confirmation{Revision: q.GetRevision(), Check: q.GetCheck(), Age: -1}, q.GetFingerprints())
	return a, nil
}

// askBack starts an exchange with the address unless one is open.
func (g *Gossiper) askBack(address string) {
	if g.peers.markBusy(address) {
		g.startExchange(address)
	}
}

// Fetch implements the Fetch procedure of the Peer service: it returns a configuration
// revision that this host has.
func (g *Gossiper) Fetch(_ context.Context, r *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	if g.revisions != nil {
		if d := g.revisions.Document(r.Msg.GetRevision()); d != nil {
			return connect.NewResponse(&wire.FetchResponse{Revision: d}), nil
		}
	}
	return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("revision %d is not on this host", r.Msg.GetRevision()))
}

// fingerprintsFor returns the fingerprints to send to the peer and records them as sent.
func (g *Gossiper) fingerprintsFor(peer string) []*wire.Fingerprint {
	if g.fingerprints == nil {
		return nil
	}
	return g.fingerprintLog.TakeUnsent(peer, g.fingerprints.Fingerprints(), g.clock.Now())
}

// announceLeave tells the live hosts that this one stops, and waits for up to Timeout until
// one of them has asked for the announcements that only this host has.
func (g *Gossiper) announceLeave() {
	g.describe(func(d *registrar.Describe) { d.Draining, d.Left = true, true })
	ctx, cancel := context.WithTimeout(context.Background(), Timeout)
	defer cancel()
	calls := pool.New().WithMaxGoroutines(MaxLeaveCalls)
	g.mu.Lock()
	self, key, fresh := g.registrar.Self(), uint64(g.registrar.Key()), g.registrar.HasUnsent()
	g.mu.Unlock()
	var informed atomic.Bool
	for _, h := range g.Snapshot().Hosts() {
		if h.Address == "" || h.Name == self.Host.Name {
			continue
		}
		calls.Go(func() {
			q := &wire.GossipRequest{Confirmed: -1, From: EncodeHost(self), Fresh: fresh}
			q.Keys, q.Versions, q.Ahead = []uint64{key}, []uint64{self.DescriptionVersion}, []uint64{0}
			if _, err := g.exchanger.Exchange(ctx, h.Address, q); err != nil {
				g.log.Debug("could not tell a host that this one stops", zap.Error(err))
				return
			}
			informed.Store(true)
		})
	}
	calls.Wait()
	for fresh && informed.Load() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-g.clock.After(TickInterval / 5):
		}
		g.mu.Lock()
		fresh = g.registrar.HasUnsent()
		g.mu.Unlock()
	}
}

// peers chooses hosts to ask and remembers what was sent to them. It is safe for concurrent
// use.
type peers struct {
	mu    sync.Mutex
	self  string
	seeds []string
	// lost are the addresses of hosts that went down without leaving.
	lost []string
	// busy are the addresses with which an exchange is open.
	busy   map[string]bool
	known  map[string]peerKnowledge
	rounds int
	// living chooses among the live hosts, absent among seeds and lost hosts.
	living, absent registrar.Rotation
}

// peerKnowledge is what another host knows of this one: the version of its description, and
// the hash of the list of keys that was sent last.
type peerKnowledge struct {
	descriptionVersion uint64
	list               uint64
}

func newPeers(self string, seeds []string) *peers {
	return &peers{self: self, seeds: seeds, busy: map[string]bool{}, known: map[string]peerKnowledge{}}
}

// seed replaces the seeds.
func (p *peers) seed(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = slices.Clone(addresses)
}

// choose picks a random live host with which no exchange is open and marks it as busy. One
// round in RevisitRounds, and each round without a live host, picks a seed or a lost host.
// It returns "" if there is none.
func (p *peers) choose(random *rand.Rand, v *registrar.View) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rounds++
	live := map[string]bool{p.self: true, "": true}
	var candidates, others []string
	for _, h := range v.Hosts() {
		if !live[h.Address] {
			live[h.Address] = true
			candidates = append(candidates, h.Address)
		}
	}
	for _, a := range slices.Concat(p.seeds, p.lost) {
		if !live[a] {
			others = append(others, a)
		}
	}
	rotation := &p.living
	if len(others) > 0 && (len(candidates) == 0 || p.rounds%RevisitRounds == 0) {
		rotation, candidates = &p.absent, others
	}
	candidates = slices.DeleteFunc(candidates, func(a string) bool { return p.busy[a] })
	a := rotation.Next(random, candidates)
	if a != "" {
		p.busy[a] = true
	}
	return a
}

// markBusy marks the address as busy and reports whether it was free.
func (p *peers) markBusy(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[address] {
		return false
	}
	p.busy[address] = true
	return true
}

// free marks the address as not busy.
func (p *peers) free(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, address)
}

// observe updates the lost addresses.
func (p *peers) observe(a registrar.Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch a := a.(type) {
	case registrar.HostDown:
		delete(p.known, a.Host.Address)
		if !a.Host.Left && !slices.Contains(p.lost, a.Host.Address) {
			p.lost = append(p.lost, a.Host.Address)
			p.lost = p.lost[max(0, len(p.lost)-MaxAddresses):]
		}
	case registrar.HostUp:
		p.lost = slices.DeleteFunc(p.lost, func(l string) bool { return l == a.Host.Address })
	}
}

// introduce adds to a request what the other host may not know: the description of this
// host and the keys of its version vector.
func (p *peers) introduce(address string, self registrar.HostDescription, keys []uint64, q *wire.GossipRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[address]
	q.From = &wire.EntryHost{Name: string(self.Host.Name), Incarnation: uint64(self.Host.Incarnation), Described: self.DescriptionVersion}
	if known.descriptionVersion < self.DescriptionVersion {
		q.From = EncodeHost(self)
	}
	if known.list != q.GetList() {
		q.Keys = keys
	}
}

// answered records what the other host knows after it has responded.
func (p *peers) answered(address string, q *wire.GossipRequest, a *wire.GossipResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := peerKnowledge{descriptionVersion: q.GetFrom().GetDescribed(), list: q.GetList()}
	if a.GetStranger() {
		known.descriptionVersion = 0
	}
	if a.GetUnlisted() {
		known = peerKnowledge{}
	}
	p.known[address] = known
}

// caller makes exchanges over the network.
type caller struct{ clients *dialer.Pool }

func newCaller(t dialer.TLS) *caller {
	return &caller{clients: dialer.NewPool(MaxAddresses, dialer.WithTLS(t))}
}

// Exchange implements Exchanger. If there is no response within half of Timeout, the
// connection may be dead, so the call is repeated once on a new connection. Repeating an
// exchange is harmless.
func (c *caller) Exchange(ctx context.Context, address string, q *wire.GossipRequest) (*wire.GossipResponse, error) {
	d := c.clients.Client(address)
	client := wireconnect.NewPeerClient(d, dialer.URL(address), dialer.Options()...)
	first, cancel := context.WithTimeout(ctx, Timeout/2)
	defer cancel()
	a, err := client.Gossip(first, connect.NewRequest(q))
	if err == nil {
		return a.Msg, nil
	}
	d.Renew()
	if first.Err() == nil || ctx.Err() != nil {
		return nil, fmt.Errorf("exchange with %s: %w", address, err)
	}
	if a, err = client.Gossip(ctx, connect.NewRequest(q)); err != nil {
		return nil, fmt.Errorf("exchange with %s on a new connection: %w", address, err)
	}
	return a.Msg, nil
}

// Close implements Exchanger.
func (c *caller) Close() { c.clients.Close() }

// Traffic counts the exchanges that this host started, and the bytes of their messages.
type Traffic struct {
	Exchanges, Sent, Received uint64
}

// traffic holds the counters of Traffic.
type traffic struct{ exchanges, sent, received atomic.Uint64 }

func (t *traffic) count(q *wire.GossipRequest, a *wire.GossipResponse) {
	t.exchanges.Add(1)
	t.sent.Add(uint64(proto.Size(q)))
	t.received.Add(uint64(proto.Size(a)))
}

// Traffic returns the traffic since the gossiper was created.
func (g *Gossiper) Traffic() Traffic {
	return Traffic{g.traffic.exchanges.Load(), g.traffic.sent.Load(), g.traffic.received.Load()}
}
