// Package follower keeps the configuration in force on an entry host.
//
// New revisions arrive on a stream from one control host, and from peers that
// have a newer one. A revision is enforced only while it is fresh: at some time
// within the lease a quorum of control hosts, asked by this host or by a peer,
// said that it was the current one. A lower revision is never enforced, not even
// after a restart if a data folder is set.
//
// # Usage
//
//	f, err := follower.New(decode, follower.WithControls("10.0.0.1:7100"), follower.WithFolder(dir))
//	if err != nil {
//		return err
//	}
//	g := gossiper.New(self, gossiper.WithRevisions(f))
//	f.Start()
//	defer f.Close()
//	snapshot, ok := f.Current() // ok is false when the host must refuse new work
package follower

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/ops/restarter"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// StaleRule says whether a host takes new work after the freshness lease has ended.
type StaleRule string

// Values of StaleRule.
const (
	// Refuse refuses new work.
	Refuse StaleRule = "refuse"
	// Serve keeps enforcing the last revision. It must have been confirmed
	// to this process once or come from the data folder.
	Serve StaleRule = "serve"
)

// faultLogInterval is the least time between two log entries about one revision.
const faultLogInterval = 10 * time.Second

// Follower keeps the revision in force.
type Follower struct {
	host      string
	centre    string
	controls  []string
	directory func() []string
	folder    string
	stale     StaleRule
	clock     clockwork.Clock
	log       *zap.Logger
	tls       dialer.TLS
	network   Network
	rank      func() Rank
	others    func() []*wire.Follower
	onEnforce func(Snapshot)
	faults    Faults

	randomMu sync.Mutex
	random   *rand.Rand

	mu       sync.Mutex
	core     *Core
	closed   bool
	reported map[uint64]time.Time
	asking   askPlan

	// coming is the number of the revision that the stream has announced, 0 for none.
	coming atomic.Uint64

	// storeMu guards the stored file and storedNumber, the revision in it.
	storeMu      sync.Mutex
	storedNumber uint64

	// announceMu guards announced, the last revision passed to onEnforce, and orders
	// the calls.
	announceMu sync.Mutex
	announced  uint64

	state     atomic.Pointer[state]
	context   context.Context
	cancel    context.CancelFunc
	group     conc.WaitGroup
	closeOnce sync.Once
}

// state is what Current reads without a lock.
type state struct {
	snapshot Snapshot
	// until is the end of the freshness lease.
	until time.Time
	// trusted is set once a revision was confirmed to this process or restored from
	// the data folder.
	trusted bool
}

// Option changes a new follower.
type Option func(*Follower)

// WithHost sets the name and the data centre that control is told of this host.
func WithHost(name, centre string) Option {
	return func(f *Follower) { f.host, f.centre = name, centre }
}

// WithControls adds addresses of control hosts.
func WithControls(addresses ...string) Option {
	return func(f *Follower) { f.controls = append(f.controls, addresses...) }
}

// WithDirectory sets the function that lists the addresses of control hosts
// learned since the start. They are used in addition to those of WithControls.
func WithDirectory(list func() []string) Option {
	return func(f *Follower) { f.directory = list }
}

// WithFolder stores the last revision in the folder.
func WithFolder(path string) Option { return func(f *Follower) { f.folder = path } }

// WithStale sets the rule for an ended freshness lease. The default is Refuse.
func WithStale(s StaleRule) Option { return func(f *Follower) { f.stale = s } }

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(f *Follower) { f.clock = c } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(f *Follower) { f.log = l.Named("follower") } }

// WithTLS sets the TLS configuration of calls to other hosts.
func WithTLS(t dialer.TLS) Option { return func(f *Follower) { f.tls = t } }

// WithNetwork replaces the network that calls other hosts.
func WithNetwork(n Network) Option { return func(f *Follower) { f.network = n } }

// WithRank sets the function that returns the rank of this host in its cell. The
// ranks bound how many hosts of a cell ask control.
func WithRank(rank func() Rank) Option { return func(f *Follower) { f.rank = rank } }

// WithOthers sets the function that lists the revisions in force on the other entry
// hosts. Control is told of them, for operators.
func WithOthers(list func() []*wire.Follower) Option {
	return func(f *Follower) { f.others = list }
}

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option {
	return func(f *Follower) { f.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithOnEnforce calls h with each revision put in force, in ascending order.
func WithOnEnforce(h func(Snapshot)) Option { return func(f *Follower) { f.onEnforce = h } }

// WithFaults switches off rules of the core, for tests that show that the checks
// can fail.
func WithFaults(x Faults) Option { return func(f *Follower) { f.faults = x } }

// New makes a follower and puts the revision of the data folder in force. That
// revision is not fresh until it is confirmed. New returns an error when the folder
// holds a revision that can't be read.
func New(decode Decode, options ...Option) (*Follower, error) {
	f := &Follower{
		stale:     Refuse,
		clock:     clockwork.NewRealClock(),
		log:       zap.NewNop(),
		rank:      func() Rank { return Rank{Hosts: 1} },
		others:    func() []*wire.Follower { return nil },
		directory: func() []string { return nil },
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		reported:  map[uint64]time.Time{},
	}
	for _, o := range options {
		o(f)
	}
	if f.network == nil {
		f.network = newNetwork(f.tls)
	}
	f.core = NewCore(decode, f.faults)
	f.state.Store(&state{})
	f.context, f.cancel = context.WithCancel(context.Background())
	if f.folder != "" {
		if err := f.restore(decode); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Follower) restore(decode Decode) error {
	r, err := loadRevision(f.folder)
	if err != nil || r.Number == 0 {
		return err
	}
	if _, err := decode(r.Document); err != nil {
		return fmt.Errorf("decode the stored revision %d: %w", r.Number, err)
	}
	f.storedNumber = r.Number
	f.apply(Offered{Revision: r})
	f.mu.Lock()
	defer f.mu.Unlock()
	s := *f.state.Load()
	s.trusted = true
	f.state.Store(&s)
	return nil
}

// Start starts the goroutines that follow control.
func (f *Follower) Start() {
	again := restarter.New(f.log, f.clock)
	f.group.Go(func() { again.Run(f.context, "freshness", f.tickLoop) })
	if len(f.addresses()) > 0 {
		f.group.Go(func() { again.Run(f.context, "stream of revisions", f.watchLoop) })
		f.group.Go(func() { again.Run(f.context, "confirmations", f.confirmLoop) })
	}
}

// addresses returns the addresses of all known control hosts, each once.
func (f *Follower) addresses() []string {
	learned := f.directory()
	all := make([]string, 0, len(f.controls)+len(learned))
	for _, a := range slices.Concat(learned, f.controls) {
		if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	return all
}

// Close stops the goroutines, waits for them and closes the network.
func (f *Follower) Close() {
	f.closeOnce.Do(func() {
		f.mu.Lock()
		f.closed = true
		f.mu.Unlock()
		f.cancel()
		f.group.Wait()
		f.network.Close()
	})
}

// Current returns the configuration in force, and whether new work may be
// accepted under it.
func (f *Follower) Current() (Snapshot, bool) {
	s := f.state.Load()
	if s.snapshot.Revision == 0 {
		return Snapshot{}, false
	}
	fresh := f.clock.Now().Before(s.until)
	return s.snapshot, fresh || f.stale == Serve && s.trusted
}

// Confirmation describes the revision in force for peers. Its age is -1 when no
// confirmation is known.
func (f *Follower) Confirmation() gossiper.Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.core.Current()
	c := gossiper.Confirmation{Revision: r.Number, Check: HashDigest(r.Digest), Age: -1}
	if at := f.core.Confirmed(); !at.IsZero() {
		c.Age = f.clock.Since(at)
	}
	return c
}

// Learn applies the confirmation that the peer at the address sent in an exchange
// that started at began.
func (f *Follower) Learn(address string, began time.Time, c gossiper.Confirmation) {
	s := Source{Address: address, Peer: true}
	if c.Age < 0 {
		f.apply(Heard{Number: c.Revision, Check: c.Check, Source: s})
		return
	}
	f.apply(Confirmed{Number: c.Revision, Check: c.Check, At: began.Add(-c.Age), Source: s})
}

// Document returns the revision in force when it is the given one or later, and
// nil otherwise.
func (f *Follower) Document(number uint64) *wire.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.core.Current(); r.Number > 0 && r.Number >= number {
		return encodeRevision(r)
	}
	return nil
}

// apply passes an event to the core and performs the actions that it returns.
func (f *Follower) apply(e Event) {
	f.mu.Lock()
	actions := f.core.Step(f.clock.Now(), e)
	f.publish(actions)
	f.mu.Unlock()
	for _, a := range actions {
		f.perform(a)
	}
}

// publish updates what Current reads. The caller holds mu.
func (f *Follower) publish(actions []Action) {
	old := f.state.Load()
	s := *old
	for _, a := range actions {
		if e, ok := a.(Enforce); ok {
			s.snapshot = e.Snapshot
		}
	}
	s.until = f.core.Until()
	s.trusted = s.trusted || !f.core.Confirmed().IsZero()
	if s != *old {
		f.state.Store(&s)
	}
}

func (f *Follower) perform(a Action) {
	switch a := a.(type) {
	case Store:
		if err := f.store(a.Revision); err != nil {
			f.log.Error("The revision was not stored and is not enforced.", zap.Uint64("revision", a.Revision.Number), zap.Error(err))
			return
		}
		f.apply(Stored{Number: a.Revision.Number})
	case Enforce:
		f.announce(a.Snapshot)
	case Fetch:
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.closed {
			f.group.Go(func() { f.fetch(a) })
		}
	case Fault:
		f.report(a)
	case Freshness:
		f.log.Info("The freshness of the configuration changed.", zap.Bool("fresh", a.Fresh))
	}
}

// store makes the revision durable, which happens before it is enforced. Without a
// data folder it does nothing.
func (f *Follower) store(r Revision) error {
	if f.folder == "" {
		return nil
	}
	f.storeMu.Lock()
	defer f.storeMu.Unlock()
	if r.Number <= f.storedNumber {
		return nil
	}
	if err := saveRevision(f.folder, r); err != nil {
		return err
	}
	f.storedNumber = r.Number
	return nil
}

// announce logs the revision and calls onEnforce, unless a later one was announced.
func (f *Follower) announce(s Snapshot) {
	f.announceMu.Lock()
	defer f.announceMu.Unlock()
	if s.Revision <= f.announced {
		return
	}
	f.announced = s.Revision
	f.log.Info("A revision is in force.", zap.Uint64("revision", s.Revision), zap.String("digest", s.Digest))
	if f.onEnforce != nil {
		f.onEnforce(s)
	}
}

// report logs a fault, at most once per revision and faultLogInterval.
func (f *Follower) report(a Fault) {
	now := f.clock.Now()
	f.mu.Lock()
	last, again := f.reported[a.Number]
	again = again && now.Sub(last) < faultLogInterval
	if !again {
		if len(f.reported) > maxReported {
			clear(f.reported)
		}
		f.reported[a.Number] = now
	}
	f.mu.Unlock()
	if !again {
		f.log.Error("A revision is refused.", zap.Uint64("revision", a.Number), zap.String("source", a.Source.Address), zap.Error(a.Err))
	}
}

// maxReported bounds the revisions whose last log entry is remembered.
const maxReported = 1000

// fetch gets a revision, unless it is on its way on the stream of a control host: on a slow
// link the two would delay each other.
func (f *Follower) fetch(a Fetch) {
	if f.coming.Load() >= a.Number {
		return
	}
	ctx, cancel := context.WithTimeout(f.context, CallTimeout)
	defer cancel()
	r, err := f.network.Fetch(ctx, a.Source, a.Number)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			f.log.Warn("A newer revision could not be fetched.", zap.Uint64("revision", a.Number), zap.Error(err))
		}
		return
	}
	f.apply(Offered{Revision: decodeRevision(r), Source: a.Source})
}

func (f *Follower) tickLoop() {
	t := f.clock.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-f.context.Done():
			return
		case <-t.Chan():
			f.apply(Tick{})
		}
	}
}

// tickInterval is the time between two ticks of the core, which repeat fetches, and
// between two checks whether control has to be asked.
const tickInterval = 200 * time.Millisecond

func (f *Follower) randomFloat() float64 {
	f.randomMu.Lock()
	defer f.randomMu.Unlock()
	return f.random.Float64()
}
