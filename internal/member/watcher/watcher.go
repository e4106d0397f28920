// Package watcher follows the view of a host that takes part in the exchange of
// news, on hosts that may own no cell.
//
// One call at a time is open to one host. Its answer waits until there is news, or
// for a second. A host in the own data centre is asked if there is one, otherwise
// one that a hash chooses, so that the watching hosts are spread over the others.
// When a call fails, the next host is asked at once. Leases count from the start of
// a call, so that no delay on the way extends them.
//
// # Usage
//
//	w := watcher.New(self, watcher.Options{Seeds: seeds, Lease: lease, OnAction: apply})
//	w.Start()
//	defer w.Close()
//	owner := w.Snapshot().Owner("main")
package watcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/publisher"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/restarter"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// interval is the mean time between the starts of two calls that bring news at
	// once, as while upstreams come up one after the other.
	interval = 200 * time.Millisecond
	// callTimeout bounds a call: the longest hold and the way.
	callTimeout = publisher.Hold*5/4 + wayTime
	// wayTime is for the way of a call whose answer waits, and wholeTimeout bounds one
	// whose answer tells a whole view.
	wayTime      = 350 * time.Millisecond
	wholeTimeout = 600 * time.Millisecond
	// briefTimeout bounds a call whose answer doesn't wait.
	briefTimeout = 400 * time.Millisecond
	// failedTime is how long a host that did not answer is asked last.
	failedTime = 2 * time.Second
	// minPause and maxPause bound the mean time from the start of a call that fails to the
	// next one; it doubles with each that fails in a row.
	minPause = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// maxClients bounds the hosts to which connections are kept.
	maxClients = 64
	// beat is how often the lease and the age of the view are looked at.
	beat = 250 * time.Millisecond
)

// Caller makes calls to the host at an address.
type Caller interface {
	Members(ctx context.Context, address string, q *wire.MembersRequest) (*wire.MembersResponse, error)
	Announce(ctx context.Context, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error)
	// Reach fails if the host takes no connection.
	Reach(ctx context.Context, address string) error
	Close()
}

// Options configures a Watcher.
type Options struct {
	// Seeds are addresses of hosts to ask first.
	Seeds []string
	// Lease is how long upstreams count as live after the start of the last call
	// that was answered.
	Lease time.Duration
	// LeaveBound is how long after the acknowledgement that an upstream leaves this host may
	// send to it; 0 for no bound.
	LeaveBound   time.Duration
	Fingerprints gossiper.Fingerprints
	Revisions    gossiper.Revisions
	// OnAction takes what changes, in order.
	OnAction func(registrar.Action)
	TLS      dialer.TLS
	// SecureUpstreams takes upstreams with https addresses, which this host can call then.
	SecureUpstreams bool
	// Caller replaces the network.
	Caller Caller
	// Clock counts the time for which the machine was suspended.
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// Watcher follows the view of another host.
type Watcher struct {
	self    registrar.Host
	options Options
	clock   clockwork.Clock
	logger  *zap.Logger
	prints  *gossiper.FingerprintLog
	caller  Caller

	mu     sync.Mutex
	mirror *registrar.Mirror
	age    age
	seeds  []string
	queue  []registrar.Action
	// source is the host whose changes are followed.
	source source
	// heard counts the departures that this host has heard of itself, and told how many of
	// them the last call that brought departures could bring.
	heard, told int

	delivery sync.Mutex
	context  context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
	closing  sync.Once
}

// source is what this host has of the view of another one.
type source struct {
	address       string
	epoch, number uint64
	// wanted is set when the other host asked for the known upstreams.
	wanted bool
	// introduced is the epoch of the other host that has been told all known departures.
	introduced uint64
}

// New makes the watcher of the host self.
func New(self registrar.Host, o Options) *Watcher {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Caller == nil {
		o.Caller = newNetwork(o.TLS)
	}
	w := &Watcher{
		self:    self,
		options: o,
		clock:   o.Clock,
		logger:  o.Logger.Named("watcher"),
		prints:  gossiper.NewFingerprintLog(),
		caller:  o.Caller,
		mirror:  registrar.NewMirror(o.Clock.Now(), self, o.Lease),
		age:     newAge(o.Clock.Now(), o.LeaveBound),
		seeds:   slices.Clone(o.Seeds),
	}
	w.context, w.cancel = context.WithCancel(context.Background())
	return w
}

// Start begins to follow.
func (w *Watcher) Start() {
	again := restarter.New(w.logger, w.clock)
	w.group.Go(func() { again.Run(w.context, "following a view", w.follow) })
	w.group.Go(func() { again.Run(w.context, "leases", func() { w.onBeat(w.expire) }) })
	w.group.Go(func() { again.Run(w.context, "age of the view", func() { w.onBeat(w.attend) }) })
}

// Close tells the host that is followed that this one stops, and waits until nothing
// runs.
func (w *Watcher) Close() {
	w.closing.Do(func() {
		w.cancel()
		w.group.Wait()
		w.sayGoodbye()
		w.caller.Close()
	})
}

// Snapshot returns the current view.
func (w *Watcher) Snapshot() *registrar.View { return w.mirror.Snapshot() }

// Seed replaces the addresses of hosts to ask first.
func (w *Watcher) Seed(addresses ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seeds = slices.Clone(addresses)
}

// Drain does nothing: a host that watches offers itself for no cell.
func (w *Watcher) Drain(bool) {}

// Depart takes departures that this host has heard of itself. The host that is followed is
// told with the next call.
func (w *Watcher) Depart(list ...registrar.Departure) {
	w.mu.Lock()
	news := w.mirror.Depart(w.clock.Now(), list)
	w.queue = append(w.queue, news...)
	if len(news) > 0 {
		w.source.introduced = 0
		w.heard++
	}
	w.mu.Unlock()
	w.deliver()
}

// follow makes one call after the other.
func (w *Watcher) follow() {
	t := targets{failed: map[string]time.Time{}}
	failures := 0
	for w.context.Err() == nil {
		began := w.clock.Now()
		address, brief := w.target(&t, began)
		if err := w.ask(began, address, brief); err != nil {
			t.fail(address, w.clock.Now())
			failures++
			w.logFailure(address, failures, err)
			w.pause(jitter(min(minPause<<min(failures, 8), maxPause)) - w.clock.Since(began))
			continue
		}
		if failures > 0 {
			w.logger.Info("a host tells its view again", zap.String("address", address), zap.Int("failures", failures))
		}
		failures = 0
		if !brief && !w.wanted() {
			w.pause(jitter(interval) - w.clock.Since(began))
		}
	}
}

// logFailure logs the first failures of a row; while no host answers there are
// several a second.
func (w *Watcher) logFailure(address string, failures int, err error) {
	level := zap.DebugLevel
	if w.context.Err() == nil && failures&(failures-1) == 0 {
		level = zap.WarnLevel
	}
	w.logger.Log(level, "a host does not tell its view; asking another one", zap.String("address", address), zap.Int("failures", failures), zap.Error(err))
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

func (w *Watcher) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-w.context.Done():
	case <-w.clock.After(d):
	}
}

// target chooses the host to ask, and whether it is asked for the hosts only, because
// none of them is known yet.
func (w *Watcher) target(t *targets, now time.Time) (address string, brief bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hosts := w.mirror.Hosts()
	if a := t.choose(now, w.self, hosts); a != "" {
		return a, false
	}
	return t.seed(now, w.seeds, hosts), len(hosts) == 0
}

// wanted reports whether the next call has to bring the known upstreams.
func (w *Watcher) wanted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.source.wanted
}

// onBeat calls a function again and again until Close.
func (w *Watcher) onBeat(f func()) {
	t := w.clock.NewTicker(beat)
	defer t.Stop()
	for {
		select {
		case <-w.context.Done():
			return
		case <-t.Chan():
			f()
		}
	}
}

// expire ends the lease when no host answers.
func (w *Watcher) expire() {
	w.mu.Lock()
	ended := w.mirror.Expire(w.clock.Now())
	w.queue = append(w.queue, ended...)
	if len(ended) > 0 {
		// Nothing is left that changes could refer to.
		w.source.epoch, w.source.number = 0, 0
	}
	w.mu.Unlock()
	if len(ended) > 0 {
		w.logger.Warn("no host has told its view for the time of a lease; all upstreams count as lost", zap.Int("upstreams", len(ended)))
	}
	w.deliver()
}

// deliver hands queued actions to the hook in the order in which they arose.
func (w *Watcher) deliver() {
	w.delivery.Lock()
	defer w.delivery.Unlock()
	w.mu.Lock()
	queue := w.queue
	w.queue = nil
	w.mu.Unlock()
	if w.options.OnAction == nil {
		return
	}
	for _, a := range queue {
		w.options.OnAction(a)
	}
}

// sayGoodbye tells the host that is followed that this one is not to be counted any
// more.
func (w *Watcher) sayGoodbye() {
	w.mu.Lock()
	address := w.source.address
	w.mu.Unlock()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), briefTimeout)
	defer cancel()
	q := &wire.MembersRequest{Host: string(w.self.Name), Cell: string(w.self.Cell), Left: true}
	if _, err := w.caller.Members(ctx, address, q); err != nil {
		w.logger.Debug("a host was not told goodbye", zap.String("address", address), zap.Error(err))
	}
}
