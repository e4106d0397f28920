// Package gossiper exchanges the merged view of upstreams and entry hosts
// between entry hosts.
//
// Every interval a host asks one other host, chosen at random, for what its own
// version vector lacks. The request carries the vector, which also proves that
// the asking host and the hosts that it heard of are alive. News travels only
// in answers, so the asking host can count leases and ages from the start of
// its request, and no delay on the way extends them.
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
	// Beat is how often the registrar sees the time pass.
	Beat = 50 * time.Millisecond
	// Timeout bounds one exchange. It leaves time for a second host before
	// anything that the first one had to tell is 1.5 s old.
	Timeout = 700 * time.Millisecond
	// RepairInterval is the mean time between two exchanges that ask for
	// everything, whatever the version vectors say.
	RepairInterval = 30 * time.Second
	// Concurrent bounds the exchanges that a host has open. Hosts that don't
	// answer occupy one for the timeout each.
	Concurrent = 6
	// Farewells bounds the concurrent calls that say goodbye.
	Farewells = 8
	// Revisit is the share of exchanges, one in so many, that tries a seed or
	// a host that was lost, so that parted halves find each other again.
	Revisit = 10
	// MaxAddresses bounds the addresses of lost hosts that are remembered.
	MaxAddresses = 1000
)

// Fingerprints merges the crash fingerprints that hosts exchange.
type Fingerprints interface {
	Fingerprints() []*wire.Fingerprint
	MergeFingerprints([]*wire.Fingerprint)
}

// Confirmation tells how current a configuration revision is.
type Confirmation struct {
	Revision uint64
	// Check is a hash of the digest of the revision.
	Check uint64
	// Age is the time since the revision was confirmed as current, negative
	// when it is not confirmed.
	Age time.Duration
}

// Revisions is the configuration side of the exchange.
type Revisions interface {
	// Confirmation describes the revision in force on this host.
	Confirmation() Confirmation
	// Learn takes what another host told in an exchange that started at began.
	Learn(address string, began time.Time, c Confirmation)
	// Document returns a revision that this host has, or nil.
	Document(revision uint64) *wire.Revision
}

// Exchanger makes calls to the host at an address.
type Exchanger interface {
	// Exchange makes one exchange.
	Exchange(ctx context.Context, address string, q *wire.GossipRequest) (*wire.GossipResponse, error)
	// Announce passes an announcement on.
	Announce(ctx context.Context, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error)
	Close()
}

// Gossiper keeps a registrar up to date.
type Gossiper struct {
	cell      registrar.CellName
	seeds     []string
	interval  time.Duration
	clock     clockwork.Clock
	log       *zap.Logger
	random    *rand.Rand
	tls       dialer.TLS
	secure    bool
	exchanger Exchanger
	prints    Fingerprints
	printLog  *PrintLog
	revisions Revisions
	onAction  func(registrar.Action)
	options   []registrar.Option
	// coverage has the number of other hosts that keep a departure before it is
	// acknowledged.
	coverage coverage

	mu        sync.Mutex
	registrar *registrar.Registrar
	queue     []registrar.Action
	closed    bool
	delivery  sync.Mutex

	peers    *peers
	lists    lists
	context  context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
	slots    chan struct{}
	closing  sync.Once
	traffic  traffic
	repaired time.Time
}

// Option changes a new gossiper.
type Option func(*Gossiper)

// WithSeeds names the addresses of hosts to ask first.
func WithSeeds(addresses ...string) Option {
	return func(g *Gossiper) { g.seeds = append(g.seeds, addresses...) }
}

// WithInterval sets the mean time between exchanges.
func WithInterval(d time.Duration) Option { return func(g *Gossiper) { g.interval = d } }

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(g *Gossiper) { g.clock = c } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(g *Gossiper) { g.log = l.Named("gossiper") } }

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option {
	return func(g *Gossiper) { g.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithTLS protects calls to other hosts.
func WithTLS(t dialer.TLS) Option { return func(g *Gossiper) { g.tls = t } }

// WithSecureUpstreams takes upstreams with https addresses, which this host can
// call then.
func WithSecureUpstreams() Option { return func(g *Gossiper) { g.secure = true } }

// WithExchanger replaces the network.
func WithExchanger(e Exchanger) Option { return func(g *Gossiper) { g.exchanger = e } }

// WithFingerprints carries crash fingerprints.
func WithFingerprints(p Fingerprints) Option { return func(g *Gossiper) { g.prints = p } }

// WithRevisions carries the configuration revision in force.
func WithRevisions(r Revisions) Option { return func(g *Gossiper) { g.revisions = r } }

// WithOnAction calls f with each action in order. f has to be quick, since
// exchanges wait for it, and must not call methods of the gossiper other than
// Snapshot.
func WithOnAction(f func(registrar.Action)) Option { return func(g *Gossiper) { g.onAction = f } }

// WithRegistrarOptions passes options on to the registrar.
func WithRegistrarOptions(o ...registrar.Option) Option {
	return func(g *Gossiper) { g.options = append(g.options, o...) }
}

// New makes the gossiper of the entry host self.
func New(self registrar.Host, options ...Option) *Gossiper {
	g := &Gossiper{
		cell:     "main",
		interval: Interval,
		clock:    clockwork.NewRealClock(),
		log:      zap.NewNop(),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		slots:    make(chan struct{}, Concurrent),
		coverage: coverage{hosts: map[registrar.HostName]covered{}},
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
	g.repaired = now
	g.printLog = NewPrintLog()
	g.peers = newPeers(self.Address, g.seeds)
	g.context, g.cancel = context.WithCancel(context.Background())
	return g
}

// Current is always true: each upstream has a lease of its own on a host that takes part
// in the exchange of news.
func (g *Gossiper) Current() bool { return true }

// Seed replaces the addresses of hosts to ask first.
func (g *Gossiper) Seed(addresses ...string) { g.peers.seed(addresses) }

// Start begins to exchange news.
func (g *Gossiper) Start() {
	again := restarter.New(g.log, g.clock)
	g.group.Go(func() { again.Run(g.context, "leases", g.beat) })
	g.group.Go(func() { again.Run(g.context, "exchange of news", g.exchangeOften) })
}

// Close says goodbye to the other hosts and waits until nothing runs. The server
// of the Peer service has to run until then, so that the other hosts can ask for
// what only this host has.
func (g *Gossiper) Close() {
	g.closing.Do(func() {
		g.mu.Lock()
		g.closed = true
		g.mu.Unlock()
		g.cancel()
		g.group.Wait()
		g.sayGoodbye()
		g.exchanger.Close()
	})
}

// Snapshot returns the current view.
func (g *Gossiper) Snapshot() *registrar.View {
	return g.registrar.Snapshot()
}

// Drain tells the other hosts whether this host is about to stop, so that it
// owns no cell.
func (g *Gossiper) Drain(on bool) {
	g.describe(func(d *registrar.Describe) { d.Draining = on })
}

// Watch tells the other hosts how many hosts follow the view of this one.
func (g *Gossiper) Watch(watchers int) {
	g.describe(func(d *registrar.Describe) { d.Watchers = watchers })
}

// Restore takes the upstreams that another host knew before this one started.
func (g *Gossiper) Restore(e registrar.Restore) { g.step(e) }

// Depart takes departures that were heard in another way than by an announcement.
func (g *Gossiper) Depart(list ...registrar.Departure) { g.step(registrar.Depart{Departures: list}) }

func (g *Gossiper) describe(change func(*registrar.Describe)) {
	g.mu.Lock()
	s := g.registrar.Self().Host
	d := registrar.Describe{Draining: s.Draining, Left: s.Left, Revision: s.Revision, Watchers: s.Watchers}
	change(&d)
	g.queue = append(g.queue, g.registrar.Step(g.clock.Now(), d)...)
	g.mu.Unlock()
	g.deliver()
}

// step passes an event to the registrar and its actions on.
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
			g.log.Error("Another process uses the name of this host.", zap.Uint64("incarnation", uint64(o.Incarnation)))
		}
		g.peers.observe(a)
		if d, ok := a.(registrar.HostDown); ok {
			g.printLog.Forget(d.Host.Address, string(d.Host.Name))
		}
		if g.onAction != nil {
			g.onAction(a)
		}
		g.coverage.observe(a)
	}
}

func (g *Gossiper) beat() {
	t := g.clock.NewTicker(Beat)
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

// exchangeOften starts exchanges with a quarter of jitter, so that hosts that
// start together don't stay in step.
func (g *Gossiper) exchangeOften() {
	for {
		d := time.Duration(float64(g.interval) * (0.75 + g.random.Float64()/2))
		select {
		case <-g.context.Done():
			return
		case <-g.clock.After(d):
		}
		if address := g.peers.choose(g.random, g.Snapshot()); address != "" {
			g.launch(address)
		}
	}
}

// launch makes an exchange with an address that was taken, unless too many are
// open or the gossiper closes.
func (g *Gossiper) launch(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		select {
		case g.slots <- struct{}{}:
			g.group.Go(func() {
				defer func() { <-g.slots }()
				defer g.peers.free(address)
				restarter.New(g.log, g.clock).Contain("exchange of news", func() { g.Exchange(g.context, address) })
			})
			return
		default:
		}
	}
	g.peers.free(address)
}

// Exchange asks the host at the address for news.
func (g *Gossiper) Exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	full := g.dueForRepair(g.clock.Now())
	unlisted, err := g.exchange(ctx, address, full)
	if err == nil && unlisted {
		_, err = g.exchange(ctx, address, full)
	}
	if err != nil {
		g.log.Debug("The exchange failed.", zap.String("address", address), zap.Error(err))
		if full {
			g.repairLater()
		}
	}
}

// exchange makes one call and reports whether it has to be made again because
// the other host doesn't know the keys.
func (g *Gossiper) exchange(ctx context.Context, address string, full bool) (bool, error) {
	began := g.clock.Now()
	q, question := g.request(address, full)
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
	g.step(registrar.Merge{From: from.Host.Name, Began: began, Update: decodeUpdate(a, question)})
	g.learn(address, began, Confirmation{Revision: a.GetRevision(), Check: a.GetCheck(), Age: age(a.GetConfirmed())}, a.GetFingerprints())
	return false, nil
}

func (g *Gossiper) learn(address string, began time.Time, c Confirmation, prints []*wire.Fingerprint) {
	if g.prints != nil && len(prints) > 0 {
		g.prints.MergeFingerprints(prints)
	}
	if g.revisions != nil && c.Revision > 0 {
		g.revisions.Learn(address, began, c)
	}
}

// request builds a request; full asks for everything.
func (g *Gossiper) request(address string, full bool) (*wire.GossipRequest, question) {
	q := &wire.GossipRequest{Confirmed: -1}
	g.revise(func(c Confirmation) { q.Revision, q.Check = c.Revision, c.Check })
	g.mu.Lock()
	self := g.registrar.Self()
	question := newQuestion(g.registrar.Vector(), g.registrar.Heard())
	q.Fresh, q.Full = g.registrar.HasUnsent(), full
	g.mu.Unlock()
	q.Versions, q.Ahead, q.List = question.known, question.ahead, question.list()
	g.peers.introduce(address, self, question.keys, q)
	q.Fingerprints = g.printsFor(address)
	return q, question
}

// revise reads the revision in force and keeps this host's description up to
// date with it.
func (g *Gossiper) revise(use func(Confirmation)) {
	if g.revisions == nil {
		return
	}
	c := g.revisions.Confirmation()
	g.describe(func(d *registrar.Describe) { d.Revision = c.Revision })
	use(c)
}

func (g *Gossiper) dueForRepair(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := RepairInterval * time.Duration(1+g.registrar.Snapshot().Size()/repairUnit)
	if g.registrar.TakeRepair() || now.Sub(g.repaired) > interval {
		g.repaired = now
		return true
	}
	return false
}

// repairUnit is the number of upstreams for which everything may be asked for
// once each repair interval; more upstreams are asked for less often.
const repairUnit = 100

func (g *Gossiper) repairLater() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.repaired = time.Time{}
}

func age(ms int64) time.Duration {
	if ms < 0 {
		return -1
	}
	return milliseconds(ms)
}

func encodeAge(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	// Rounded up, so that passing it on never makes it younger.
	return (d + time.Millisecond - 1).Milliseconds()
}
