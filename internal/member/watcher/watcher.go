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
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/publisher"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/restarter"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
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
	// beat is how often the lease is looked at.
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
	// Leave is how long after the acknowledgement that an upstream leaves this host may
	// send to it; 0 for no bound.
	Leave        time.Duration
	Fingerprints gossiper.Fingerprints
	Revisions    gossiper.Revisions
	// OnAction takes what changes, in order.
	OnAction func(registrar.Action)
	TLS      dialer.TLS
	// Secure takes upstreams with https addresses, which this host can call then.
	Secure bool
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
	prints  *gossiper.PrintLog
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
		prints:  gossiper.NewPrintLog(),
		caller:  o.Caller,
		mirror:  registrar.NewMirror(o.Clock.Now(), self, o.Lease),
		age:     newAge(o.Clock.Now(), o.Leave),
		seeds:   slices.Clone(o.Seeds),
	}
	w.context, w.cancel = context.WithCancel(context.Background())
	return w
}

// Start begins to follow.
func (w *Watcher) Start() {
	again := restarter.New(w.logger, w.clock)
	w.group.Go(func() { again.Run(w.context, "following a view", w.follow) })
	w.group.Go(func() { again.Run(w.context, "leases", w.expire) })
	w.group.Go(func() { again.Run(w.context, "age of the view", w.attend) })
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

// ask makes a call and takes its answer.
func (w *Watcher) ask(began time.Time, address string, brief bool) error {
	if address == "" {
		return errNoHost
	}
	q := w.request(began, address, brief)
	timeout := w.timeout(q)
	ctx, cancel := context.WithTimeout(w.context, timeout)
	defer cancel()
	a, err := w.caller.Members(ctx, address, q)
	if err != nil {
		return err
	}
	w.take(began, address, q, a)
	w.learn(began, address, a)
	switch {
	case brief && len(a.GetHosts()) == 0:
		return errNoHost
	case a.GetIncomplete() && !w.wanted():
		return errIncomplete
	case !brief && !a.GetIncomplete() && w.age.isAged(w.clock.Now(), w.knownUntil(began, a)):
		return errAged
	}
	return nil
}

// timeout bounds a call: the time for which its answer waits, and the way.
func (w *Watcher) timeout(q *wire.MembersRequest) time.Duration {
	hold := w.age.hold()
	switch {
	case q.GetBrief():
		return briefTimeout
	case hold == 0:
		return callTimeout
	case q.GetEpoch() == 0:
		// The answer tells everything at once.
		return wholeTimeout
	}
	return hold + wayTime
}

// knownUntil returns the time up to which the other host knew all acknowledged departures
// when it answered a call.
func (w *Watcher) knownUntil(began time.Time, a *wire.MembersResponse) time.Time {
	if a.Known == nil {
		return time.Time{}
	}
	// The call arrived after it began.
	return began.Add(-time.Duration(a.GetKnown()) * time.Millisecond)
}

var (
	errNoHost     = fmt.Errorf("no host is known")
	errIncomplete = fmt.Errorf("the host has started and does not know all upstreams yet")
	errAged       = fmt.Errorf("the host has not heard the others lately")
)

func (w *Watcher) request(now time.Time, address string, brief bool) *wire.MembersRequest {
	q := &wire.MembersRequest{
		Host: string(w.self.Name), Centre: string(w.self.Centre), Cell: string(w.self.Cell), Brief: brief,
		Hold: w.age.hold().Milliseconds(),
	}
	if w.options.Revisions != nil {
		q.Revision = w.options.Revisions.Confirmation().Revision
	}
	if w.options.Fingerprints != nil {
		q.Fingerprints = w.prints.Lacks(address, w.options.Fingerprints.Fingerprints(), now)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.source.address != address || w.source.introduced == 0 {
		q.Departures = gossiper.EncodeDepartures(w.mirror.Departures(now))
		w.told = w.heard
	}
	if w.source.address != address {
		return q
	}
	q.Epoch, q.Number = w.source.epoch, w.source.number
	if w.source.wanted {
		w.addRoster(now, q)
	}
	return q
}

// addRoster adds the upstreams that this host knows. The caller holds mu.
func (w *Watcher) addRoster(now time.Time, q *wire.MembersRequest) {
	list, left := w.mirror.Roster(now)
	q.Remaining = left.Milliseconds()
	for _, u := range list {
		q.Upstreams = append(q.Upstreams, gossiper.EncodeUpstream(registrar.News{Upstream: u}))
	}
}

// take applies an answer to the mirror.
func (w *Watcher) take(began time.Time, address string, q *wire.MembersRequest, a *wire.MembersResponse) {
	c := registrar.Copy{
		Began: began, Full: a.GetFull(), Known: w.knownUntil(began, a),
		Departures: gossiper.DecodeDepartures(a.GetDepartures()),
	}
	for _, h := range a.GetHosts() {
		c.Hosts = append(c.Hosts, gossiper.DecodeHost(h).Host)
	}
	for _, u := range a.GetUpstreams() {
		c.Changed = append(c.Changed, gossiper.DecodeUpstream(u).Upstream)
	}
	w.mu.Lock()
	now := w.clock.Now()
	w.age.copied(now, c.Hosts, a.GetIncomplete())
	introduced := w.introduced(address, q, a)
	switch {
	case q.GetBrief() || a.GetIncomplete():
		asked := w.source.wanted && w.source.address == address
		w.source = source{address: address, introduced: introduced}
		_, left := w.mirror.Roster(now)
		w.source.wanted = a.GetIncomplete() && !asked && left > 0
		w.queue = append(w.queue, w.mirror.TakeHosts(now, c.Hosts)...)
	default:
		w.source = source{address: address, epoch: a.GetEpoch(), number: a.GetNumber(), introduced: introduced}
		before := w.mirror.Snapshot()
		actions := w.mirror.Take(now, c)
		w.logListing(now, before, address, c.Full, actions)
		w.queue = append(w.queue, actions...)
		if !now.Before(began.Add(w.options.Lease)) {
			// The answer was too late to be taken, so that no change refers to it.
			w.source.epoch, w.source.number = 0, 0
		}
	}
	w.mu.Unlock()
	w.deliver()
}

// introduced returns the epoch of the answer if that start of the other host knows all
// departures that this one knows, and 0 otherwise. The caller holds mu.
func (w *Watcher) introduced(address string, q *wire.MembersRequest, a *wire.MembersResponse) uint64 {
	known := w.source.address == address && w.source.introduced == a.GetEpoch()
	brought := len(q.GetDepartures()) > 0 && w.told == w.heard
	if known || brought || len(w.mirror.Departures(w.clock.Now())) == 0 {
		return a.GetEpoch()
	}
	return 0
}

// learn takes what the answer tells of the configuration and of crashes.
func (w *Watcher) learn(began time.Time, address string, a *wire.MembersResponse) {
	if prints := a.GetFingerprints(); len(prints) > 0 && w.options.Fingerprints != nil {
		w.options.Fingerprints.MergeFingerprints(prints)
	}
	if w.options.Revisions == nil || a.GetRevision() == 0 {
		return
	}
	c := gossiper.Confirmation{Revision: a.GetRevision(), Check: a.GetCheck(), Age: -1}
	if a.Confirmed != nil {
		// One that came after the request counts from then on, which is later than
		// this host's start of the call.
		at := began.Add(-time.Duration(a.GetConfirmed()) * time.Millisecond)
		began, c.Age = at, 0
	}
	w.options.Revisions.Learn(address, began, c)
}

// expire ends the lease when no host answers.
func (w *Watcher) expire() {
	t := w.clock.NewTicker(beat)
	defer t.Stop()
	for {
		select {
		case <-w.context.Done():
			return
		case <-t.Chan():
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
	}
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

// network makes calls over the network.
type network struct{ clients *dialer.Pool }

func newNetwork(t dialer.TLS) *network {
	return &network{clients: dialer.NewPool(maxClients, dialer.WithTLS(t))}
}

// Members makes a call. After a failure the connection may be silent for good, so that
// the next call uses another one.
func (n *network) Members(ctx context.Context, address string, q *wire.MembersRequest) (*wire.MembersResponse, error) {
	d := n.clients.Client(address)
	client := wireconnect.NewPeerClient(d, dialer.URL(address), dialer.Options()...)
	a, err := client.Members(ctx, connect.NewRequest(q))
	if err != nil {
		d.Renew()
		return nil, fmt.Errorf("ask %s for its view: %w", address, err)
	}
	return a.Msg, nil
}

// Announce passes an announcement on.
func (n *network) Announce(ctx context.Context, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	return gossiper.SendAnnouncement(ctx, n.clients.Client(address), address, q)
}

// Reach opens a connection and closes it. Those that are kept may be dead, so that they
// show nothing.
func (n *network) Reach(ctx context.Context, address string) error {
	d := net.Dialer{Control: dialer.SetUserTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("reach %s: %w", address, err)
	}
	return c.Close()
}

// Close closes the connections.
func (n *network) Close() { n.clients.Close() }
