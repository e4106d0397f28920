// Package publisher sends the view of this host to hosts that may own no cell, so
// that they need not take part in the gossip exchange between the others.
//
// A host asks with the number of the last change that it has and gets what has
// changed since. The response waits until there are changes, but no longer than the
// hold time, so it also shows that both sides are alive. Numbers belong to an epoch,
// which is new with each start, so a host that followed another host, or this one
// before a restart, gets everything.
//
// # Usage
//
//	p := publisher.New(publisher.Options{Members: g, Revisions: f, Clock: clock})
//	g := gossiper.New(self, gossiper.WithOnAction(p.Observe))
//	// p.Members serves the procedure of the Peer service
//	p.Start()
//	defer p.Close()
package publisher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/restarter"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// Hold is the mean time for which a response waits for changes. Together with the
	// transit time and the time to ask another host it stays well below the lease on
	// the configuration.
	Hold = time.Second
	// holdSpread is the share by which the hold time varies, so that hosts that
	// started together don't stay synchronised.
	holdSpread = 0.25
	// refreshInterval is how often the hosts are compared with what was published, and
	// the watching hosts are counted.
	refreshInterval = 100 * time.Millisecond
	// countInterval bounds how often the number of watching hosts is passed on, because
	// all hosts have to be told about a change.
	countInterval = time.Second
	// watcherTimeout is how long after its last request a watching host still counts.
	watcherTimeout = 3 * time.Second
	// startupTime is how long after its start a host may not know all upstreams yet.
	// Each upstream announces itself within it.
	startupTime = 2 * time.Second
	// maxDepartures bounds the departures that are remembered. A host that asks for
	// older ones gets everything.
	maxDepartures = 1024
	// maxAge is the age of the confirmed revision, and of the knowledge of the others,
	// above which this host counts as cut off from them: it doesn't know their revisions,
	// which have to be in force everywhere within seconds. A confirmation is made each
	// second and reaches all hosts of the gossip exchange within another half second.
	maxAge = 2 * time.Second
)

// Members is this host's part in the gossip exchange.
type Members interface {
	// Snapshot returns the current view.
	Snapshot() *registrar.View
	// Watch sets the number of hosts that follow the view of this one, which the other
	// hosts learn.
	Watch(watchers int)
	// Restore adds upstreams that another host knew before this one started.
	Restore(e registrar.Restore)
	// Depart applies departures that another host knows.
	Depart(list ...registrar.Departure)
	// KnownUntil returns the time up to which every departure that any host
	// acknowledged is known and has been passed to Observe, and false if there is no
	// such time yet.
	KnownUntil() (time.Time, bool)
}

// Options configures a Publisher.
type Options struct {
	Members      Members
	Revisions    gossiper.Revisions
	Fingerprints gossiper.Fingerprints
	Cell         registrar.CellName
	// Clock has to include the time for which the machine is suspended. The default is a
	// real clock.
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// Publisher sends changes to watching hosts. It is safe for concurrent use.
type Publisher struct {
	options Options
	clock   clockwork.Clock
	logger  *zap.Logger
	prints  *gossiper.FingerprintLog
	started time.Time

	mu      sync.Mutex
	journal journal
	hosts   []registrar.Host
	// hostsNumber is the number of the last change of hosts.
	hostsNumber uint64
	// changed is closed and replaced at each change.
	changed  chan struct{}
	watchers map[registrar.HostName]watcher
	// counted is when the number of watchers was last passed on.
	counted time.Time
	// cut is set while this host counts as cut off from the others.
	cut bool
	// restored is set once a watching host has restored the upstreams that it knew.
	restored bool

	stop  chan struct{}
	once  sync.Once
	group conc.WaitGroup
}

// watcher is a watching host.
type watcher struct {
	centre registrar.DataCentre
	// revision is the one in force on the host.
	revision uint64
	// asked is when its latest request arrived.
	asked time.Time
}

// New returns a publisher.
func New(o Options) *Publisher {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return &Publisher{
		options:  o,
		clock:    o.Clock,
		logger:   o.Logger.Named("publisher"),
		prints:   gossiper.NewFingerprintLog(),
		started:  o.Clock.Now(),
		journal:  newJournal(rand.Uint64(), o.Clock),
		changed:  make(chan struct{}),
		watchers: map[registrar.HostName]watcher{},
		stop:     make(chan struct{}),
	}
}

// Start starts to follow changes of the hosts.
func (p *Publisher) Start() {
	again := restarter.New(p.logger, p.clock)
	p.group.Go(func() { again.Run(context.Background(), "hosts", p.follow) })
}

// follow calls refresh once per refreshInterval until Close.
func (p *Publisher) follow() {
	t := p.clock.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-t.Chan():
			p.refresh()
		}
	}
}

// Close lets waiting calls fail and stops following the hosts.
func (p *Publisher) Close() {
	p.once.Do(func() { close(p.stop) })
	p.group.Wait()
}

// Observe records a change of the upstreams. Other actions are ignored.
func (p *Publisher) Observe(a registrar.Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch a := a.(type) {
	case registrar.Changed:
		if p.journal.change(a.Upstream) {
			p.wake()
		}
	case registrar.Removed:
		p.journal.depart(registrar.Departure(a))
		p.wake()
	}
}

// Watchers lists the hosts that follow this host's view, for operators.
func (p *Publisher) Watchers() []*wire.Follower {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	list := make([]*wire.Follower, 0, len(p.watchers))
	for name, w := range p.watchers {
		list = append(list, &wire.Follower{
			Host: string(name), Centre: string(w.centre), Revision: w.revision, Age: now.Sub(w.asked).Milliseconds(),
		})
	}
	return list
}

// wake makes the waiting responses check for changes. The caller holds mu.
func (p *Publisher) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// refresh records changes of the hosts and whether this host is cut off from them, and
// counts the watching hosts.
func (p *Publisher) refresh() {
	hosts := p.options.Members.Snapshot().Hosts()
	age, cut := p.cutOff()
	p.mu.Lock()
	if cut != p.cut {
		p.cut = cut
		p.logger.Info("this host was cut off from the other hosts, or is connected to them again", zap.Bool("cut", cut), zap.Duration("confirmed", age))
		p.wake()
	}
	if !slices.Equal(hosts, p.hosts) {
		p.hosts = hosts
		p.hostsNumber = p.journal.next()
		p.wake()
	}
	now := p.clock.Now()
	for name, w := range p.watchers {
		if now.Sub(w.asked) > watcherTimeout {
			delete(p.watchers, name)
			p.prints.Forget(string(name))
		}
	}
	count, due := len(p.watchers), now.Sub(p.counted) >= countInterval
	if due {
		p.counted = now
	}
	p.mu.Unlock()
	if due {
		p.options.Members.Watch(count)
	}
}

// Members implements the Members procedure of the Peer service.
func (p *Publisher) Members(ctx context.Context, r *connect.Request[wire.MembersRequest]) (*connect.Response[wire.MembersResponse], error) {
	q := r.Msg
	if name := authenticator.ClientName(ctx, authenticator.Entry); name != "" && name != q.GetHost() {
		return nil, connect.NewError(connect.CodePermissionDenied, fmt.Errorf("the certificate is that of entry host %s, the message that of %s", name, q.GetHost()))
	}
	if q.GetHost() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("the request names no host"))
	}
	if cell := registrar.CellName(q.GetCell()); cell != p.options.Cell {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("this host serves the cell %s, not %s", p.options.Cell, cell))
	}
	arrived := p.clock.Now()
	p.recordRequest(arrived, q)
	if q.GetLeft() {
		return connect.NewResponse(&wire.MembersResponse{}), nil
	}
	if !p.hold(ctx, q) {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("this host is stopping or the caller has gone"))
	}
	if age, cut := p.cutOff(); cut {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("no control host has confirmed the configuration to this host for %s; its view may be old", age))
	}
	return connect.NewResponse(p.answer(arrived, q)), nil
}

// recordRequest processes what a request says about its host, and the fingerprints,
// departures and upstreams that it contains.
func (p *Publisher) recordRequest(now time.Time, q *wire.MembersRequest) {
	name := registrar.HostName(q.GetHost())
	p.mu.Lock()
	if q.GetLeft() {
		delete(p.watchers, name)
	} else {
		p.watchers[name] = watcher{registrar.DataCentre(q.GetCentre()), q.GetRevision(), now}
	}
	p.mu.Unlock()
	if prints := q.GetFingerprints(); len(prints) > 0 && p.options.Fingerprints != nil {
		p.options.Fingerprints.MergeFingerprints(prints)
	}
	if gone := gossiper.DecodeDepartures(q.GetDepartures()); len(gone) > 0 {
		p.logger.Info("a watching host reported departures of upstreams", zap.String("host", q.GetHost()), zap.Int("upstreams", len(gone)))
		p.options.Members.Depart(gone...)
	}
	if len(q.GetUpstreams()) > 0 {
		p.restore(now, q)
	}
}

// restore adds the upstreams that the requesting host knew before this one started, unless
// this host knows all upstreams already.
func (p *Publisher) restore(now time.Time, q *wire.MembersRequest) {
	p.mu.Lock()
	wanted := !p.complete(now)
	p.mu.Unlock()
	if !wanted {
		return
	}
	e := registrar.Restore{Began: now, Remaining: time.Duration(max(q.GetRemaining(), 0)) * time.Millisecond}
	for _, u := range q.GetUpstreams() {
		e.Upstreams = append(e.Upstreams, gossiper.DecodeUpstream(u).Upstream)
	}
	p.logger.Info("a watching host restored the upstreams that it knows", zap.String("host", q.GetHost()),
		zap.Int("upstreams", len(e.Upstreams)), zap.Duration("remaining", e.Remaining))
	p.options.Members.Restore(e)
	p.mu.Lock()
	p.restored = true
	p.mu.Unlock()
}

// complete reports whether this host should know all upstreams: another host has restored
// them, or startupTime has passed. The caller holds mu.
func (p *Publisher) complete(now time.Time) bool {
	return p.restored || now.Sub(p.started) >= startupTime
}

// cutOff returns the age of this host's last confirmation, and whether this host is cut off
// from the others. This host doesn't count as cut off before the first revision, nor while
// it still exchanges with enough of the others: a late confirmation is then late on all
// hosts.
func (p *Publisher) cutOff() (time.Duration, bool) {
	if p.options.Revisions == nil {
		return 0, false
	}
	c := p.options.Revisions.Confirmation()
	unconfirmed := c.Revision > 0 && c.Age > maxAge
	return c.Age, unconfirmed && !p.exchangesWithOthers()
}

// exchangesWithOthers reports whether this host has exchanged with enough of the others
// within maxAge.
func (p *Publisher) exchangesWithOthers() bool {
	known, ok := p.options.Members.KnownUntil()
	return ok && p.clock.Since(known) <= maxAge
}

// hold waits until there are changes or the hold time has passed. It returns false if the
// context or the publisher has ended.
func (p *Publisher) hold(ctx context.Context, q *wire.MembersRequest) bool {
	limit := p.clock.NewTimer(holdTime(q))
	defer limit.Stop()
	for {
		p.mu.Lock()
		_, cut := p.cutOff()
		ready := q.GetBrief() || cut || !p.complete(p.clock.Now()) || p.journal.lacks(q.GetEpoch(), q.GetNumber())
		changed := p.changed
		p.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-changed:
		case <-limit.Chan():
			return true
		case <-ctx.Done():
			return false
		case <-p.stop:
			return false
		}
	}
}

// holdTime returns a random time for which a response may wait. The requesting host can
// lower the maximum.
func holdTime(q *wire.MembersRequest) time.Duration {
	longest := time.Duration((1 + holdSpread) * float64(Hold))
	if asked := time.Duration(q.GetHold()) * time.Millisecond; asked > 0 {
		longest = min(longest, asked)
	}
	const shortestShare = (1 - holdSpread) / (1 + holdSpread)
	return time.Duration((shortestShare + (1-shortestShare)*rand.Float64()) * float64(longest))
}

// answer returns the response to a request: what the requesting host lacks.
func (p *Publisher) answer(arrived time.Time, q *wire.MembersRequest) *wire.MembersResponse {
	a := &wire.MembersResponse{}
	p.confirm(arrived, a)
	if p.options.Fingerprints != nil {
		a.Fingerprints = p.prints.TakeUnsent(q.GetHost(), p.options.Fingerprints.Fingerprints(), p.clock.Now())
	}
	// Read before the journal, so that the journal contains at least as much.
	known, current := p.options.Members.KnownUntil()
	p.mu.Lock()
	defer p.mu.Unlock()
	a.Epoch = p.journal.epoch
	number := q.GetNumber()
	if q.GetEpoch() != p.journal.epoch {
		number = 0
	}
	if number < p.hostsNumber {
		for _, h := range p.hosts {
			a.Hosts = append(a.Hosts, gossiper.EncodeHost(registrar.HostDescription{Host: h}))
		}
	}
	if q.GetBrief() {
		return a
	}
	if !p.complete(p.clock.Now()) {
		a.Incomplete = true
		return a
	}
	if current {
		ms := millisecondsBefore(arrived, known)
		a.Known = &ms
	}
	p.journal.addChanges(number, a)
	return a
}

// millisecondsBefore returns by how many milliseconds t is before the arrival of a request,
// rounded up so that the age of something never becomes smaller. It is negative or 0 if t
// is at least a millisecond later.
func millisecondsBefore(arrived, t time.Time) int64 {
	return arrived.Sub(t).Milliseconds() + 1
}

// confirm adds the revision in force to a response, and the time of its confirmation
// relative to the arrival of the request: the requesting host counts from the time at which
// it sent the request.
func (p *Publisher) confirm(arrived time.Time, a *wire.MembersResponse) {
	if p.options.Revisions == nil {
		return
	}
	c := p.options.Revisions.Confirmation()
	a.Revision, a.Check = c.Revision, c.Check
	if c.Age < 0 {
		return
	}
	ms := millisecondsBefore(arrived, p.clock.Now().Add(-c.Age))
	a.Confirmed = &ms
}
