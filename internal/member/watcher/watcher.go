// Package watcher follows the view of a host that takes part in the gossip exchange,
// on hosts that may own no cell.
//
// One call at a time is open to one host. Its response waits until there are changes,
// or for a second. Hosts in the own data centre are preferred, and a hash chooses among
// equals, so that the watching hosts are spread over the others. When a call fails, the
// next host is asked after a short pause. Leases count from the start of a call, so that
// no transit delay extends them.
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
	// interval is the mean time between the starts of two calls if responses bring
	// changes at once, for example while upstreams start one after the other.
	interval = 200 * time.Millisecond
	// callTimeout bounds a call by the longest hold time and the transit time.
	callTimeout = publisher.Hold*5/4 + transitTime
	// transitTime is allowed for the transit of a call whose response waits, and
	// wholeTimeout bounds a call whose response contains a whole view.
	transitTime  = 350 * time.Millisecond
	wholeTimeout = 600 * time.Millisecond
	// briefTimeout bounds a call whose response doesn't wait.
	briefTimeout = 400 * time.Millisecond
	// failureMemory is how long a host that did not respond is asked only after all others.
	failureMemory = 2 * time.Second
	// minPause and maxPause bound the mean time from the start of a failed call to the
	// next one. It doubles with each consecutive failure.
	minPause = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// maxClients bounds the hosts to which connections are kept.
	maxClients = 64
	// checkInterval is how often the lease and the age of the view are checked.
	checkInterval = 250 * time.Millisecond
)

// Caller makes calls to the host at an address.
type Caller interface {
	// Members asks the host for the changes of its view.
	Members(ctx context.Context, address string, q *wire.MembersRequest) (*wire.MembersResponse, error)
	// Announce forwards an announcement.
	Announce(ctx context.Context, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error)
	// Reach fails if the host accepts no connection.
	Reach(ctx context.Context, address string) error
	// Close closes the connections.
	Close()
}

// Options configures a Watcher.
type Options struct {
	// Seeds are addresses of hosts to ask first.
	Seeds []string
	// Lease is how long upstreams count as live after the start of the last successful
	// call.
	Lease time.Duration
	// LeaveBound is how long after the acknowledgement of an upstream's departure this host
	// may send requests to it; 0 for no bound.
	LeaveBound   time.Duration
	Fingerprints gossiper.Fingerprints
	Revisions    gossiper.Revisions
	// OnAction is called with each change of the view, in order. It may be nil.
	OnAction func(registrar.Action)
	TLS      dialer.TLS
	// SecureUpstreams accepts upstreams with https addresses. It is set if this host has
	// the TLS settings to call them.
	SecureUpstreams bool
	// Caller makes the calls; nil for calls over the network.
	Caller Caller
	// Clock has to include the time for which the machine is suspended. The default is a
	// real clock.
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// Watcher follows the view of another host. It is safe for concurrent use.
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
	// departBatches counts the calls of Depart that brought new departures. sentBatches is
	// the value of departBatches when the last request with departures was made.
	departBatches, sentBatches int

	delivery sync.Mutex
	context  context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
	closing  sync.Once
}

// source is which part of another host's view this host has.
type source struct {
	address       string
	epoch, number uint64
	// wantsUpstreams is set if the other host needs the upstreams that this host knows.
	wantsUpstreams bool
	// informedEpoch is the epoch in which the other host has received all departures that
	// this host knows; 0 while it has not.
	informedEpoch uint64
}

// New returns the watcher of the host self.
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

// Start starts to follow a host.
func (w *Watcher) Start() {
	again := restarter.New(w.logger, w.clock)
	w.group.Go(func() { again.Run(w.context, "following a view", w.follow) })
	w.group.Go(func() { again.Run(w.context, "leases", func() { w.runPeriodically(w.expire) }) })
	w.group.Go(func() { again.Run(w.context, "age of the view", func() { w.runPeriodically(w.checkAge) }) })
}

// Close waits until all goroutines have ended and tells the followed host that this one
// stops.
func (w *Watcher) Close() {
	w.closing.Do(func() {
		w.cancel()
		w.group.Wait()
		w.announceLeave()
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

// Drain does nothing, because a watching host owns no cell.
func (w *Watcher) Drain(bool) {}

// Depart applies departures that this host learned of itself. The next call sends them to
// the followed host.
func (w *Watcher) Depart(list ...registrar.Departure) {
	w.mu.Lock()
	actions := w.mirror.Depart(w.clock.Now(), list)
	w.queue = append(w.queue, actions...)
	if len(actions) > 0 {
		w.source.informedEpoch = 0
		w.departBatches++
	}
	w.mu.Unlock()
	w.deliver()
}

// follow makes one call after the other until Close.
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
			w.logger.Info("following the view of a host again", zap.String("address", address), zap.Int("failures", failures))
		}
		failures = 0
		if !brief && !w.wantsUpstreams() {
			w.pause(jitter(interval) - w.clock.Since(began))
		}
	}
}

// logFailure logs a failed call. Of consecutive failures only the first, second, fourth and
// so on are warnings, because there are several a second while no host responds.
func (w *Watcher) logFailure(address string, failures int, err error) {
	level := zap.DebugLevel
	if w.context.Err() == nil && failures&(failures-1) == 0 {
		level = zap.WarnLevel
	}
	w.logger.Log(level, "could not get the view of a host; asking another host", zap.String("address", address), zap.Int("failures", failures), zap.Error(err))
}

// jitter returns a random duration from 3/4 to 5/4 of d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

// pause waits for the duration d or until Close.
func (w *Watcher) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-w.context.Done():
	case <-w.clock.After(d):
	}
}

// target returns the address of the host to ask, or "" if there is none. brief is set if
// the host is only asked for the hosts, because none is known yet.
func (w *Watcher) target(t *targets, now time.Time) (address string, brief bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hosts := w.mirror.Hosts()
	if a := t.choose(now, w.self, hosts); a != "" {
		return a, false
	}
	return t.seed(now, w.seeds, hosts), len(hosts) == 0
}

// wantsUpstreams reports whether the next request has to contain the known upstreams.
func (w *Watcher) wantsUpstreams() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.source.wantsUpstreams
}

// runPeriodically calls f once per checkInterval until Close.
func (w *Watcher) runPeriodically(f func()) {
	t := w.clock.NewTicker(checkInterval)
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

// expire removes all upstreams if no host has responded for the duration of a lease.
func (w *Watcher) expire() {
	w.mu.Lock()
	ended := w.mirror.Expire(w.clock.Now())
	w.queue = append(w.queue, ended...)
	if len(ended) > 0 {
		// Later changes have nothing left to refer to.
		w.source.epoch, w.source.number = 0, 0
	}
	w.mu.Unlock()
	if len(ended) > 0 {
		w.logger.Warn("no host has responded for the duration of a lease; all upstreams are removed from the view", zap.Int("upstreams", len(ended)))
	}
	w.deliver()
}

// deliver calls the hook with the queued actions, in the order in which they occurred.
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

// announceLeave tells the followed host to no longer count this host.
func (w *Watcher) announceLeave() {
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
		w.logger.Debug("could not tell a host that this one stops", zap.String("address", address), zap.Error(err))
	}
}
