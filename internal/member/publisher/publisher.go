// Package publisher tells hosts that may own no cell what the view of this host
// holds, so that they need no part in the exchange of news between the others.
//
// A host asks with the number of the last change that it has and gets what has
// changed since. The answer waits until there is something, for the hold time at
// most; it is also the sign of life of both sides. Numbers belong to an epoch,
// which is new with each start, so that a host that comes from another one, or
// from before a restart, gets everything.
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
	// Hold is the mean time for which an answer waits for something to tell. With
	// the way to the other side and the time to another host it stays well below
	// the lease on the configuration.
	Hold = time.Second
	// holdSpread is the part of the hold time by which it varies, so that hosts that
	// began together don't stay in step.
	holdSpread = 0.25
	// refreshInterval is how often the hosts are compared with what was told, and
	// those that ask are counted.
	refreshInterval = 100 * time.Millisecond
	// countInterval bounds how often the count is passed on: it is news for all.
	countInterval = time.Second
	// silence is how long a host may ask nothing before it is no longer counted.
	silence = 3 * time.Second
	// learnTime is how long after its start a host may not know all upstreams yet:
	// each announces itself within it.
	learnTime = 2 * time.Second
	// keepDepartures bounds the changes for which departures are remembered. A host
	// that asks for older ones gets everything.
	keepDepartures = 1024
	// maxAge is the age of the confirmed revision, and of the news of the others, from
	// which on this host counts as cut off from them: it doesn't know their revisions,
	// which have to be in force everywhere within seconds. A confirmation each second
	// reaches all hosts that exchange news within another half.
	maxAge = 2 * time.Second
)

// Members is this host's part in the exchange of news.
type Members interface {
	Snapshot() *registrar.View
	// Watch tells the other hosts how many follow the view of this one.
	Watch(watchers int)
	// Restore takes upstreams that another host knew before this one started.
	Restore(e registrar.Restore)
	// Depart takes departures that another host knows.
	Depart(list ...registrar.Departure)
	// KnownUntil returns the time up to which each departure that any host has
	// acknowledged is known and was observed, and false while that is not known.
	KnownUntil() (time.Time, bool)
}

// Options configures a Publisher.
type Options struct {
	Members      Members
	Revisions    gossiper.Revisions
	Fingerprints gossiper.Fingerprints
	Cell         registrar.CellName
	// Clock counts the time for which the machine was suspended.
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// Publisher tells watching hosts what changes.
type Publisher struct {
	options Options
	clock   clockwork.Clock
	logger  *zap.Logger
	prints  *gossiper.PrintLog
	started time.Time

	mu      sync.Mutex
	journal journal
	hosts   []registrar.Host
	// hostsNumber is the change at which the hosts became what they are.
	hostsNumber uint64
	changed     chan struct{}
	// watchers holds when each host asked last, and the revision in force there.
	watchers map[registrar.HostName]watcher
	counted  time.Time
	// cut is set while this host counts as cut off.
	cut bool
	// restored is set once a host has brought the upstreams that it knew.
	restored bool

	stop  chan struct{}
	once  sync.Once
	group conc.WaitGroup
}

type watcher struct {
	centre   registrar.DataCentre
	revision uint64
	asked    time.Time
}

// New makes a publisher.
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
		prints:   gossiper.NewPrintLog(),
		started:  o.Clock.Now(),
		journal:  newJournal(rand.Uint64(), o.Clock),
		changed:  make(chan struct{}),
		watchers: map[registrar.HostName]watcher{},
		stop:     make(chan struct{}),
	}
}

// Start begins to follow the hosts.
func (p *Publisher) Start() {
	again := restarter.New(p.logger, p.clock)
	p.group.Go(func() { again.Run(context.Background(), "hosts", p.follow) })
}

// follow compares the hosts with what was told until Close.
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

// Close ends the answers that wait.
func (p *Publisher) Close() {
	p.once.Do(func() { close(p.stop) })
	p.group.Wait()
}

// Observe takes news of upstreams.
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

// Watchers lists the hosts that follow this one's view, for operators.
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

// wake lets the answers that wait look again. The caller holds mu.
func (p *Publisher) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// refresh notes changes of the hosts, and whether this one is cut off from them, and
// counts those that follow it.
func (p *Publisher) refresh() {
	hosts := p.options.Members.Snapshot().Hosts()
	age, cut := p.cutOff()
	p.mu.Lock()
	if cut != p.cut {
		p.cut = cut
		p.logger.Info("whether this host is cut off from the others changed", zap.Bool("cut", cut), zap.Duration("confirmed", age))
		p.wake()
	}
	if !slices.Equal(hosts, p.hosts) {
		p.hosts = hosts
		p.hostsNumber = p.journal.next()
		p.wake()
	}
	now := p.clock.Now()
	for name, w := range p.watchers {
		if now.Sub(w.asked) > silence {
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

// Members implements the procedure of the Peer service.
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
	p.note(arrived, q)
	if q.GetLeft() {
		return connect.NewResponse(&wire.MembersResponse{}), nil
	}
	if !p.hold(ctx, q) {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("this host stops, or the caller has gone"))
	}
	if age, cut := p.cutOff(); cut {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("no control host has confirmed the configuration to this host for %s; its view may be old", age))
	}
	return connect.NewResponse(p.answer(arrived, q)), nil
}

// note takes what the request tells of its host.
func (p *Publisher) note(now time.Time, q *wire.MembersRequest) {
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
		p.logger.Info("a host has told which upstreams leave", zap.String("host", q.GetHost()), zap.Int("upstreams", len(gone)))
		p.options.Members.Depart(gone...)
	}
	if len(q.GetUpstreams()) > 0 {
		p.restore(now, q)
	}
}

// restore takes the upstreams that the asking host knew before this one started.
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
	p.logger.Info("a host has brought the upstreams that it knows", zap.String("host", q.GetHost()),
		zap.Int("upstreams", len(e.Upstreams)), zap.Duration("remaining", e.Remaining))
	p.options.Members.Restore(e)
	p.mu.Lock()
	p.restored = true
	p.mu.Unlock()
}

// complete reports whether this host knows all upstreams. The caller holds mu.
func (p *Publisher) complete(now time.Time) bool {
	return p.restored || now.Sub(p.started) >= learnTime
}

// cutOff reports whether this host has lost the others, and how old its last
// confirmation is. Before the first revision there is none. While it still hears enough of
// the others, a confirmation that is late is that of all of them.
func (p *Publisher) cutOff() (time.Duration, bool) {
	if p.options.Revisions == nil {
		return 0, false
	}
	c := p.options.Revisions.Confirmation()
	unconfirmed := c.Revision > 0 && c.Age > maxAge
	return c.Age, unconfirmed && !p.hearsOthers()
}

// hearsOthers reports whether this host has exchanged news with enough of the others.
func (p *Publisher) hearsOthers() bool {
	known, ok := p.options.Members.KnownUntil()
	return ok && p.clock.Since(known) <= maxAge
}

// hold waits until there is something to tell or the time has passed. It returns false
// when no answer can be given.
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

// holdTime chooses for how long an answer may wait.
func holdTime(q *wire.MembersRequest) time.Duration {
	most := time.Duration((1 + holdSpread) * float64(Hold))
	if asked := time.Duration(q.GetHold()) * time.Millisecond; asked > 0 {
		most = min(most, asked)
	}
	const least = (1 - holdSpread) / (1 + holdSpread)
	return time.Duration((least + (1-least)*rand.Float64()) * float64(most))
}

// answer tells what the asking host lacks.
func (p *Publisher) answer(arrived time.Time, q *wire.MembersRequest) *wire.MembersResponse {
	a := &wire.MembersResponse{}
	p.confirm(arrived, a)
	if p.options.Fingerprints != nil {
		a.Fingerprints = p.prints.Lacks(q.GetHost(), p.options.Fingerprints.Fingerprints(), p.clock.Now())
	}
	// Read before the journal, which has at least as much then.
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
			a.Hosts = append(a.Hosts, gossiper.EncodeHost(registrar.HostNews{Host: h}))
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
		ms := before(arrived, known)
		a.Known = &ms
	}
	p.journal.tell(number, a)
	return a
}

// before returns how many milliseconds a time lies before the arrival of a request, rounded
// up, so that what it is of never becomes younger.
func before(arrived, t time.Time) int64 {
	return arrived.Sub(t).Milliseconds() + 1
}

// confirm adds the revision in force, with the time of its confirmation against the
// arrival of the request: the asking host counts from when it sent that.
func (p *Publisher) confirm(arrived time.Time, a *wire.MembersResponse) {
	if p.options.Revisions == nil {
		return
	}
	c := p.options.Revisions.Confirmation()
	a.Revision, a.Check = c.Revision, c.Check
	if c.Age < 0 {
		return
	}
	ms := before(arrived, p.clock.Now().Add(-c.Age))
	a.Confirmed = &ms
}
