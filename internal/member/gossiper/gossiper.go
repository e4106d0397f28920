// Package gossiper exchanges the merged view of upstreams and entry hosts
// between entry hosts.
//
// In every interval a host asks one other host, chosen at random, for what its own
// version vector lacks. The request carries the vector, which also proves that
// the requesting host and the hosts that it knows of are alive. Announcements travel
// only in responses, so the requesting host can count leases and ages from the start
// of its request, and no transit delay extends them.
//
// # Usage
//
//	g := gossiper.New(self, gossiper.WithSeeds("10.0.0.7:7000"), gossiper.WithOnAction(apply))
//	mux.Handle(gossiper.AnnouncePath, g.Announcements())
//	// type peer struct{ *gossiper.Gossiper; ... } adds Dispatch and serves wireconnect.PeerHandler
//	g.Start()
//	defer g.Close()
//	owner := g.Snapshot().Owner("main")
package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/restarter"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// Times and limits of the exchange.
const (
	// Interval is the mean time between two exchanges that a host starts.
	Interval = 200 * time.Millisecond
	// TickInterval is how often the registrar checks leases and timeouts.
	TickInterval = 50 * time.Millisecond
	// Timeout bounds one exchange. It leaves time to ask a second host before
	// the information that the first one had is 1.5 s old.
	Timeout = 700 * time.Millisecond
	// RepairInterval is the time between two exchanges that ask for everything, whatever
	// the version vectors say, in a view of fewer than repairUnit upstreams.
	RepairInterval = 30 * time.Second
	// MaxConcurrent bounds the exchanges that a host has open. Each host that doesn't
	// respond occupies one for the duration of Timeout.
	MaxConcurrent = 6
	// MaxLeaveCalls bounds the concurrent calls that tell other hosts that this one stops.
	MaxLeaveCalls = 8
	// RevisitRounds is the number of exchanges of which one goes to a seed or a lost
	// host, so that the sides of a partition find each other again.
	RevisitRounds = 10
	// MaxAddresses bounds the addresses of lost hosts that are remembered.
	MaxAddresses = 1000
)

// Fingerprints merges the crash fingerprints that hosts exchange.
type Fingerprints interface {
	Fingerprints() []*wire.Fingerprint
	MergeFingerprints([]*wire.Fingerprint)
}

// Confirmation describes how current a configuration revision is.
type Confirmation struct {
	Revision uint64
	// Check is a hash of the digest of the revision.
	Check uint64
	// Age is the time since the revision was confirmed as current; negative
	// if it is not confirmed.
	Age time.Duration
}

// Revisions is the configuration side of the exchange.
type Revisions interface {
	// Confirmation describes the revision in force on this host.
	Confirmation() Confirmation
	// Learn processes the confirmation that another host sent in an exchange that
	// started at began.
	Learn(address string, began time.Time, c Confirmation)
	// Document returns the revision with the number, or nil if this host doesn't have it.
	Document(revision uint64) *wire.Revision
}

// Exchanger makes calls to the host at an address.
type Exchanger interface {
	// Exchange makes one exchange.
	Exchange(ctx context.Context, address string, q *wire.GossipRequest) (*wire.GossipResponse, error)
	// Announce forwards an announcement.
	Announce(ctx context.Context, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error)
	// Close closes the connections.
	Close()
}

// Gossiper keeps a registrar up to date through exchanges with other hosts. It is safe for
// concurrent use.
type Gossiper struct {
	cell           registrar.CellName
	seeds          []string
	interval       time.Duration
	clock          clockwork.Clock
	log            *zap.Logger
	random         *rand.Rand
	tls            dialer.TLS
	secure         bool
	exchanger      Exchanger
	fingerprints   Fingerprints
	fingerprintLog *FingerprintLog
	revisions      Revisions
	onAction       func(registrar.Action)
	options        []registrar.Option
	// coverage also holds the number of witnesses that have to store a departure before
	// it is acknowledged.
	coverage coverage

	mu        sync.Mutex
	registrar *registrar.Registrar
	queue     []registrar.Action
	closed    bool
	delivery  sync.Mutex

	peers         *peers
	lists         keyLists
	context       context.Context
	cancel        context.CancelFunc
	group         conc.WaitGroup
	exchangeSlots chan struct{}
	closing       sync.Once
	traffic       traffic
	lastRepair    time.Time
}

// Option configures a new gossiper.
type Option func(*Gossiper)

// WithSeeds adds addresses of hosts to ask first.
func WithSeeds(addresses ...string) Option {
	return func(g *Gossiper) { g.seeds = append(g.seeds, addresses...) }
}

// WithInterval sets the mean time between exchanges; the default is Interval.
func WithInterval(d time.Duration) Option { return func(g *Gossiper) { g.interval = d } }

// WithClock sets the clock; the default is the real one.
func WithClock(c clockwork.Clock) Option { return func(g *Gossiper) { g.clock = c } }

// WithLogger sets the logger; the default logs nothing.
func WithLogger(l *zap.Logger) Option { return func(g *Gossiper) { g.log = l.Named("gossiper") } }

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option {
	return func(g *Gossiper) { g.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithTLS sets the TLS settings of calls to other hosts.
func WithTLS(t dialer.TLS) Option { return func(g *Gossiper) { g.tls = t } }

// WithSecureUpstreams accepts upstreams with https addresses. It must only be used if this
// host has the TLS settings to call them.
func WithSecureUpstreams() Option { return func(g *Gossiper) { g.secure = true } }

// WithExchanger sets the Exchanger; the default makes calls over the network.
func WithExchanger(e Exchanger) Option { return func(g *Gossiper) { g.exchanger = e } }

// WithFingerprints adds crash fingerprints to the exchange.
func WithFingerprints(p Fingerprints) Option { return func(g *Gossiper) { g.fingerprints = p } }

// WithRevisions adds the configuration revision in force to the exchange.
func WithRevisions(r Revisions) Option { return func(g *Gossiper) { g.revisions = r } }

// WithOnAction sets a hook that is called with each action in order. f has to return
// quickly, because exchanges wait for it, and must not call methods of the gossiper other
// than Snapshot.
func WithOnAction(f func(registrar.Action)) Option { return func(g *Gossiper) { g.onAction = f } }

// WithRegistrarOptions adds options of the registrar.
func WithRegistrarOptions(o ...registrar.Option) Option {
	return func(g *Gossiper) { g.options = append(g.options, o...) }
}

// New returns the gossiper of the entry host self. An incarnation of 0 is replaced by the
// current time in nanoseconds.
func New(self registrar.Host, options ...Option) *Gossiper {
	g := &Gossiper{
		cell:          "main",
		interval:      Interval,
		clock:         clockwork.NewRealClock(),
		log:           zap.NewNop(),
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		exchangeSlots: make(chan struct{}, MaxConcurrent),
		coverage:      coverage{hosts: map[registrar.HostName]hostCoverage{}},
	}
	if self.Cell != "" {
		g.cell = self.Cell
	}
	for _, o := range options {
		o(g)
	}
	if g.exchanger == nil {
		g.exchanger = newCaller(g.tls)
	}
	if self.Incarnation == 0 {
		self.Incarnation = registrar.Incarnation(g.clock.Now().UnixNano())
	}
	now := g.clock.Now()
	g.registrar = registrar.New(now, self, g.options...)
	g.lastRepair = now
	g.fingerprintLog = NewFingerprintLog()
	g.peers = newPeers(self.Address, g.seeds)
	g.context, g.cancel = context.WithCancel(context.Background())
	return g
}

// Current reports whether the view is recent enough to send requests on. It is always true,
// because each upstream has a lease of its own on a host that takes part in the gossip
// exchange.
func (g *Gossiper) Current() bool { return true }

// Seed replaces the addresses of hosts to ask first.
func (g *Gossiper) Seed(addresses ...string) { g.peers.seed(addresses) }

// Start starts the exchanges with other hosts.
func (g *Gossiper) Start() {
	again := restarter.New(g.log, g.clock)
	g.group.Go(func() { again.Run(g.context, "leases", g.tickLoop) })
	g.group.Go(func() { again.Run(g.context, "exchange of news", g.exchangeLoop) })
}

// Close tells the other hosts that this one stops, and waits until all goroutines have
// ended. The server of the Peer service has to run until then, so that the other hosts can
// ask for announcements that only this host has.
func (g *Gossiper) Close() {
	g.closing.Do(func() {
		g.mu.Lock()
		g.closed = true
		g.mu.Unlock()
		g.cancel()
		g.group.Wait()
		g.announceLeave()
		g.exchanger.Close()
	})
}

// Snapshot returns the current view.
func (g *Gossiper) Snapshot() *registrar.View {
	return g.registrar.Snapshot()
}

// Drain tells the other hosts whether this host is about to stop. While it is, it owns no
// cell.
func (g *Gossiper) Drain(on bool) {
	g.describe(func(d *registrar.Describe) { d.Draining = on })
}

// Claim tells the other hosts in which term this host has taken over its cell.
func (g *Gossiper) Claim(term uint64) {
	g.describe(func(d *registrar.Describe) { d.Term = term })
}

// Watch sets the number of hosts that follow the view of this one, for its description.
func (g *Gossiper) Watch(watchers int) {
	g.describe(func(d *registrar.Describe) { d.Watchers = watchers })
}

// Restore adds the upstreams that another host knew before this one started.
func (g *Gossiper) Restore(e registrar.Restore) { g.step(e) }

// Depart applies departures that were not learned from an announcement.
func (g *Gossiper) Depart(list ...registrar.Departure) { g.step(registrar.Depart{Departures: list}) }

// describe changes the description of this host.
func (g *Gossiper) describe(change func(*registrar.Describe)) {
	g.mu.Lock()
	s := g.registrar.Self().Host
	d := registrar.Describe{Draining: s.Draining, Left: s.Left, Revision: s.Revision, Watchers: s.Watchers, Term: s.Term}
	change(&d)
	g.queue = append(g.queue, g.registrar.Step(g.clock.Now(), d)...)
	g.mu.Unlock()
	g.deliver()
}

// step applies an event to the registrar, and logs, delivers and returns its actions.
func (g *Gossiper) step(e registrar.Event) []registrar.Action {
	g.mu.Lock()
	now, before := g.clock.Now(), g.registrar.Snapshot()
	actions := g.registrar.Step(now, e)
	g.queue = append(g.queue, actions...)
	g.mu.Unlock()
	g.logListing(now, before, e, actions)
	g.deliver()
	return actions
}

// deliver hands queued actions to the hook in the order of the steps.
func (g *Gossiper) deliver() {
	g.delivery.Lock()
	defer g.delivery.Unlock()
	g.mu.Lock()
	queue := g.queue
	g.queue = nil
	g.mu.Unlock()
	for _, a := range queue {
		if o, ok := a.(registrar.NameConflict); ok {
			g.log.Error("another process uses the name of this host", zap.Uint64("incarnation", uint64(o.Incarnation)))
		}
		g.peers.observe(a)
		if d, ok := a.(registrar.HostDown); ok {
			g.fingerprintLog.Forget(d.Host.Address, string(d.Host.Name))
		}
		if g.onAction != nil {
			g.onAction(a)
		}
		g.coverage.observe(a)
	}
}

// tickLoop lets the registrar check leases and timeouts until Close.
func (g *Gossiper) tickLoop() {
	t := g.clock.NewTicker(TickInterval)
	defer t.Stop()
	for {
		select {
		case <-g.context.Done():
			return
		case <-t.Chan():
			g.step(registrar.Tick{})
		}
	}
}

// exchangeLoop starts exchanges until Close. The interval has a jitter of a quarter, so
// that hosts that start together don't stay synchronised.
func (g *Gossiper) exchangeLoop() {
	for {
		d := time.Duration(float64(g.interval) * (0.75 + g.random.Float64()/2))
		select {
		case <-g.context.Done():
			return
		case <-g.clock.After(d):
		}
		if address := g.peers.choose(g.random, g.Snapshot()); address != "" {
			g.startExchange(address)
		}
	}
}

// startExchange starts an exchange with an address that has been marked as busy, unless too
// many exchanges are open or the gossiper is closing. It frees the address afterwards.
func (g *Gossiper) startExchange(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		select {
		case g.exchangeSlots <- struct{}{}:
			g.group.Go(func() {
				defer func() { <-g.exchangeSlots }()
				defer g.peers.free(address)
				restarter.New(g.log, g.clock).Contain("exchange of news", func() { g.Exchange(g.context, address) })
			})
			return
		default:
		}
	}
	g.peers.free(address)
}

// Exchange asks the host at the address for what this host lacks and merges the response.
// A failure is only logged.
func (g *Gossiper) Exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	full := g.dueForRepair(g.clock.Now())
	unlisted, err := g.exchange(ctx, address, full)
	if err == nil && unlisted {
		_, err = g.exchange(ctx, address, full)
	}
	if err != nil {
		g.log.Debug("gossip exchange failed", zap.String("address", address), zap.Error(err))
		if full {
			g.retryRepair()
		}
	}
}

// exchange makes one call. It reports whether the call has to be repeated because the other
// host doesn't know the list of keys.
func (g *Gossiper) exchange(ctx context.Context, address string, full bool) (bool, error) {
	began := g.clock.Now()
	q, vector := g.request(address, full)
	a, err := g.exchanger.Exchange(ctx, address, q)
	if err != nil {
		return false, err
	}
	g.traffic.count(q, a)
	g.peers.answered(address, q, a)
	if a.GetUnlisted() {
		return true, nil
	}
	if g.context.Err() != nil {
		return false, nil
	}
	from := DecodeHost(a.GetFrom())
	g.step(registrar.Merge{From: from.Host.Name, Began: began, Update: decodeUpdate(a, vector)})
	g.learn(address, began, Confirmation{Revision: a.GetRevision(), Check: a.GetCheck(), Age: decodeAge(a.GetConfirmed())}, a.GetFingerprints())
	return false, nil
}

// learn processes the fingerprints and the confirmation that another host sent.
func (g *Gossiper) learn(address string, began time.Time, c Confirmation, prints []*wire.Fingerprint) {
	if g.fingerprints != nil && len(prints) > 0 {
		g.fingerprints.MergeFingerprints(prints)
	}
	if g.revisions != nil && c.Revision > 0 {
		g.revisions.Learn(address, began, c)
	}
}

// request builds a request to the host at the address; full asks for everything.
func (g *Gossiper) request(address string, full bool) (*wire.GossipRequest, requestVector) {
	q := &wire.GossipRequest{Confirmed: -1}
	g.updateRevision(func(c Confirmation) { q.Revision, q.Check = c.Revision, c.Check })
	g.mu.Lock()
	self := g.registrar.Self()
	vector := newRequestVector(g.registrar.Vector(), g.registrar.Heard())
	q.Fresh, q.Full = g.registrar.HasUnsent(), full
	g.mu.Unlock()
	q.Versions, q.Ahead, q.List = vector.known, vector.ahead, vector.listHash()
	g.peers.introduce(address, self, vector.keys, q)
	q.Fingerprints = g.fingerprintsFor(address)
	return q, vector
}

// updateRevision puts the revision in force into this host's description and passes its
// confirmation to use. It does nothing without WithRevisions.
func (g *Gossiper) updateRevision(use func(Confirmation)) {
	if g.revisions == nil {
		return
	}
	c := g.revisions.Confirmation()
	g.describe(func(d *registrar.Describe) { d.Revision = c.Revision })
	use(c)
}

// dueForRepair reports whether the next request has to ask for everything: announcements
// were missed, or the repair interval has passed.
func (g *Gossiper) dueForRepair(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := RepairInterval * time.Duration(1+g.registrar.Snapshot().Size()/repairUnit)
	if g.registrar.TakeRepair() || now.Sub(g.lastRepair) > interval {
		g.lastRepair = now
		return true
	}
	return false
}

// repairUnit is the number of upstreams by which the time between two repairs grows by
// another RepairInterval, because a repair transfers all upstreams.
const repairUnit = 100

// retryRepair makes the next exchange ask for everything, after a repair has failed.
func (g *Gossiper) retryRepair() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastRepair = time.Time{}
}

// decodeAge converts an age in milliseconds from its wire format; negative means unknown.
func decodeAge(ms int64) time.Duration {
	if ms < 0 {
		return -1
	}
	return milliseconds(ms)
}

// encodeAge converts an age to milliseconds; negative means unknown.
func encodeAge(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	// Rounded up, so that relaying never makes it younger.
	return (d + time.Millisecond - 1).Milliseconds()
}
