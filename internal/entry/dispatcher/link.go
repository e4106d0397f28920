package dispatcher

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/restarter"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/usage/counter"
)

const (
	// heartbeatInterval is how often the owner sends on a link whose host waits for a
	// grant or may own the cell.
	heartbeatInterval = 100 * time.Millisecond
	// heldHeartbeat is the interval while the host only holds slots, and maxHeldSilence
	// the silence after which such a link fails: the next owner must hear of the slots
	// before it uses all of them.
	heldHeartbeat  = 250 * time.Millisecond
	maxHeldSilence = 800 * time.Millisecond
	// idleHeartbeat and maxIdleSilence apply to hosts with no request at the owner.
	idleHeartbeat  = time.Second
	maxIdleSilence = 2500 * time.Millisecond
	// maxSilence is the silence after which a link with heartbeatInterval fails. It is
	// well under the smallest first-token target, so that waiting requests still have
	// time on this host's own part of the slots.
	maxSilence = 400 * time.Millisecond
	// flushInterval is how long reports on the progress of attempts wait for others, so
	// that the owner gets a few messages a second from each host and not one for each
	// attempt. After reportInterval without a message, a host with requests at the owner
	// sends an empty one: the owner has to tell a silent upstream from a host that it
	// doesn't hear.
	flushInterval = 200 * time.Millisecond
	// stallPeriods is the delay of a silence check, in heartbeat intervals, from which on
	// this host itself must have stalled.
	stallPeriods = 3
	// maxForeignSilence is the silence after which a link to another cell fails. It
	// leaves time for the two round trips of a new connection between regions and one
	// packet that is sent again.
	maxForeignSilence = 800 * time.Millisecond
	// maxLag bounds the lag in an owner's message.
	maxLag = time.Minute
)

// link is the stream to the owner of a cell. It implements route.
type link struct {
	owner    registrar.HostName
	settings Settings
	broken   chan struct{}
	cancel   context.CancelFunc
	group    conc.WaitGroup

	mu     sync.Mutex
	up     bool
	failed bool
	// ownerSilent is set when the link failed because the owner was silent, and notOwner
	// when the other host said that it is not the owner.
	ownerSilent bool
	notOwner    bool
	lastHeard   time.Time
	pending     outbox
	wake        chan struct{}
	sinks       map[scheduler.RequestID]sink
	// waiting lists the requests that wait for an answer. While there are any, the owner
	// sends more often, and alarm, which goes off at due, checks that it does. since is
	// when the first of the waiting requests, or the first of all requests of the link,
	// was added.
	waiting map[scheduler.RequestID]bool
	since   time.Time
	alarm   clockwork.Timer
	due     time.Time

	// ownerLag is how long messages wait at the owner, as it last said.
	ownerLag time.Duration
	// usageSent is the position in the counts of usage up to which the owner was sent them.
	usageSent counter.Mark
	// share is this host's part of the retry budgets, as the owner last told it.
	share map[validator.PoolName]float64

	hello *wire.DispatchRequest
	// accepted is closed once the owner has answered.
	accepted chan struct{}
	// cell is the owner's cell when that is not this host's, and empty otherwise.
	cell registrar.CellName
	// locations holds the location of each granted upstream, by upstream ID.
	locations sync.Map
}

// location is the address of one process of an upstream.
type location struct {
	address     string
	incarnation registrar.Incarnation
}

// openLink opens a link to the owner of this host's cell. It returns before the owner
// accepts it.
func openLink(ctx context.Context, s Settings, owner registrar.HostName, address string) *link {
	named, _ := s.Membership.Owner(s.Cell)
	l := &link{owner: owner, hello: &wire.DispatchRequest{Host: string(s.Host), Centre: string(s.Centre), Roams: s.AllowSpill, Standby: s.Standby, Doubts: owner != named}}
	l.open(ctx, s, address)
	return l
}

// openForeign opens a link to the owner of another cell. It returns before the owner
// accepts it.
func openForeign(ctx context.Context, s Settings, cell registrar.CellName, address string) *link {
	l := &link{
		owner: registrar.HostName(address),
		hello: &wire.DispatchRequest{Host: string(s.Host), Centre: string(s.Centre), Cell: string(s.Cell)},
		cell:  cell,
	}
	l.open(ctx, s, address)
	return l
}

func (l *link) open(ctx context.Context, s Settings, address string) {
	ctx, l.cancel = context.WithCancel(ctx)
	l.settings = s
	l.broken = make(chan struct{})
	l.accepted = make(chan struct{})
	l.lastHeard = s.Clock.Now()
	l.wake = make(chan struct{}, 1)
	l.sinks = map[scheduler.RequestID]sink{}
	l.waiting = map[scheduler.RequestID]bool{}
	l.share = map[validator.PoolName]float64{}
	l.alarm = s.Clock.AfterFunc(maxIdleSilence, l.checkAlarm)
	client := wireconnect.NewPeerClient(s.Client, dialer.URL(address))
	stream := client.Dispatch(ctx)
	l.run("requests to the owner", func() { l.write(ctx, stream) })
	l.run("answers of the owner", func() { l.read(stream) })
	l.group.Go(func() { l.watch(ctx) })
}

// run runs a part of the link in a goroutine. A panic there fails the link.
func (l *link) run(name string, part func()) {
	l.group.Go(func() {
		if !restarter.New(l.settings.Logger, l.settings.Clock).Contain(name, part) {
			l.fail("panic")
		}
	})
}

// stop ends the link without waiting for its calls to end.
func (l *link) stop() {
	l.fail("closed")
	l.cancel()
}

// close ends the link and waits for its calls to end.
func (l *link) close() {
	l.stop()
	l.group.Wait()
}

// ready reports whether the owner has accepted the link and the link works.
func (l *link) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up && !l.failed
}

// fail marks the link as failed.
func (l *link) fail(cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandon(cause)
}

// abandon marks the link as failed. The caller holds mu.
func (l *link) abandon(cause string) {
	if l.failed {
		return
	}
	l.failed = true
	l.pending = outbox{}
	l.alarm.Stop()
	close(l.broken)
	l.settings.Logger.Info("link to cell owner ended", zap.String("owner", string(l.owner)), zap.String("cause", cause))
}

// watch fails the link after a silence: a frozen owner keeps its connections open.
func (l *link) watch(ctx context.Context) {
	period := heartbeatInterval
	if !l.hasFastHeartbeat() {
		period = idleHeartbeat
	}
	t := l.settings.Clock.NewTicker(period)
	defer t.Stop()
	last := l.settings.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			now := l.settings.Clock.Now()
			if now.Sub(last) > stallPeriods*period {
				// This host itself stalled and has not read what arrived.
				l.resetSilence(now)
			}
			last = now
			if l.silent() {
				l.failSilent()
				l.renewConnection()
				return
			}
		}
	}
}

// failSilent fails the link because the owner was silent.
func (l *link) failSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownerSilent = !l.failed
	l.abandon("no message from owner")
}

// failNotOwner fails the link because the other host is not the owner.
func (l *link) failNotOwner() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notOwner = true
	l.abandon("host is not the owner")
}

// saidNotOwner reports whether the other host said that it is not the owner.
func (l *link) saidNotOwner() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.notOwner
}

// lostOwner reports whether the link failed because the owner was silent or could not be
// reached at all. A link that broke while it was in use is no sign of a lost owner: the
// next link mostly succeeds.
func (l *link) lostOwner() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownerSilent || l.failed && !l.up && !l.notOwner
}

// resetSilence makes the silence of the owner begin now.
func (l *link) resetSilence(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastHeard = now
}

// renewConnection makes the next link use a new connection if the client supports that:
// the old one may stay silent until a probe of it fails, 1.7 s later.
func (l *link) renewConnection() {
	if c, ok := l.settings.Client.(interface{ Renew() }); ok {
		c.Renew()
	}
}

// silent reports whether the owner was silent for too long.
func (l *link) silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remainingSilence(l.settings.Clock.Now()) < 0
}

// remainingSilence is how much longer the owner may be silent; 0 or less when the limit
// is reached. The caller holds mu.
func (l *link) remainingSilence(now time.Time) time.Duration {
	quiet := now.Sub(l.lastHeard)
	switch {
	case l.cell != "":
		return maxForeignSilence - quiet
	case l.hasFastHeartbeat():
		return maxSilence - quiet
	case len(l.waiting) > 0:
		return maxSilence - min(quiet, now.Sub(l.since))
	case len(l.sinks) > 0:
		return maxHeldSilence - min(quiet, now.Sub(l.since))
	}
	return maxIdleSilence - quiet
}

// hasFastHeartbeat reports whether the owner sends every heartbeatInterval on this link
// even when no request waits.
func (l *link) hasFastHeartbeat() bool { return l.settings.Standby || l.cell != "" }

// wait records a request that waits for an answer. The caller holds mu.
func (l *link) wait(id scheduler.RequestID) {
	if len(l.waiting) == 0 {
		l.since = l.settings.Clock.Now()
		l.arm(maxSilence)
	}
	l.waiting[id] = true
}

// arm sets the alarm to go off after d. A link with a fast heartbeat uses the ticker of
// watch instead. The caller holds mu.
func (l *link) arm(d time.Duration) {
	if !l.hasFastHeartbeat() && !l.failed {
		l.due = l.settings.Clock.Now().Add(d)
		l.alarm.Reset(d)
	}
}

// checkAlarm runs when the alarm goes off. It fails the link when the owner is silent
// although requests wait there or hold slots.
func (l *link) checkAlarm() {
	if l.overdue() {
		l.failSilent()
		l.renewConnection()
	}
}

// overdue reports whether the silence has reached its limit, and sets the next alarm if
// not. A late alarm shows that this host itself stalled and has not read what arrived, so
// the silence then begins anew.
func (l *link) overdue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed || l.hasFastHeartbeat() || len(l.sinks) == 0 {
		return false
	}
	now := l.settings.Clock.Now()
	if now.Sub(l.due) > stallPeriods*heartbeatInterval {
		l.lastHeard = now
	}
	left := l.remainingSilence(now)
	if left > 0 {
		l.arm(left)
	}
	return left <= 0
}

func (l *link) write(ctx context.Context, stream *connect.BidiStreamForClient[wire.DispatchRequest, wire.DispatchResponse]) {
	if err := stream.Send(l.hello); err != nil {
		l.fail(err.Error())
		return
	}
	clock := l.settings.Clock
	flush := clock.NewTimer(flushInterval)
	defer flush.Stop()
	sent := clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-flush.Chan():
			if !l.holds() && !l.hasUsage() {
				// A wake-up starts the timer again. Counts come without one.
				if l.countsUsage() {
					flush.Reset(flushInterval)
				}
				continue
			}
			if !l.hasReports() && !l.hasUsage() && clock.Since(sent) < reportInterval {
				flush.Reset(flushInterval)
				continue
			}
		}
		if err := stream.Send(l.batch()); err != nil {
			l.fail(err.Error())
			return
		}
		sent = clock.Now()
		flush.Reset(flushInterval)
	}
}

// batch removes and returns the next message, and wakes the writer again if more is
// queued.
func (l *link) batch() *wire.DispatchRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.pending.batch(l.settings.Clock.Now())
	l.addUsage(m)
	if !l.pending.empty() {
		l.signal()
	}
	return m
}

func (l *link) read(stream *connect.BidiStreamForClient[wire.DispatchRequest, wire.DispatchResponse]) {
	for {
		m, err := stream.Receive()
		if err != nil {
			l.fail(err.Error())
			return
		}
		if m.Moved {
			l.failNotOwner()
			return
		}
		l.take(m)
	}
}

// take handles a message of the owner.
func (l *link) take(m *wire.DispatchResponse) {
	if len(m.Fingerprints) > 0 {
		l.settings.Local.Learn(DecodeCrashes(m.Fingerprints, l.settings.Clock.Now()))
	}
	l.takeClock(m)
	for _, e := range decodeLimits(m.Limits, l.settings.Clock.Now()) {
		l.settings.Local.recordLimit(e)
	}
	for _, g := range m.Grants {
		if g.Address != "" {
			l.locations.Store(registrar.UpstreamID(g.Upstream), location{g.Address, registrar.Incarnation(g.Incarnation)})
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		l.up = true
		close(l.accepted)
	}
	l.lastHeard = l.settings.Clock.Now()
	l.takeShare(m.Retries)
	l.ownerLag = min(time.Duration(m.Lag)*time.Millisecond, maxLag)
	for _, a := range decodeActions(m) {
		n, ok := l.sinks[a.id]
		if !ok {
			continue
		}
		delete(l.waiting, a.id)
		if _, refused := a.action.(scheduler.Refuse); refused {
			delete(l.sinks, a.id)
		}
		if !n(a.action) {
			l.decline(a.action)
		}
	}
}

// find returns an upstream that the owner granted on this link.
func (l *link) find(id registrar.UpstreamID) (registrar.Upstream, bool) {
	v, ok := l.locations.Load(id)
	if !ok {
		return registrar.Upstream{}, false
	}
	at := v.(location)
	return registrar.Upstream{Name: id, Address: at.address, Incarnation: at.incarnation, Cell: l.cell}, true
}

// idle reports whether no request uses the link.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sinks) == 0
}

// decline releases a granted slot that no request takes. The caller holds mu.
func (l *link) decline(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Grant:
		l.post(scheduler.Finished{ID: a.ID, Upstream: a.Upstream, Outcome: scheduler.Abandoned})
	case scheduler.Hedge:
		l.post(scheduler.Finished{ID: a.ID, Upstream: a.Upstream, Outcome: scheduler.Abandoned})
	}
}

// sendCrashes reports the crashes that this host knows of to the owner, ahead of the
// requests that are handed over.
func (l *link) sendCrashes() {
	known := EncodeCrashes(l.settings.Local.Crashes(), l.settings.Clock.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending.crashes = known
	l.signal()
}

// setBars implements route.
func (l *link) setBars(list []scheduler.Bar) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending.bars = encodeBars(list)
	l.signal()
}

// limit reports upstreams' rate limits to the owner.
func (l *link) limit(list ...scheduler.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed || len(list) == 0 {
		return
	}
	l.pending.limits = append(l.pending.limits, list...)
	l.signal()
}

// complete tells the owner, after the entries queued so far, that this host has reported
// every slot it holds.
func (l *link) complete() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending.markComplete()
	l.signal()
}

// submit implements route.
func (l *link) submit(r scheduler.Request, n sink) {
	l.enqueue(r, holding{}, n)
}

// adopt implements route.
func (l *link) adopt(r scheduler.Request, h holding, n sink) {
	l.enqueue(r, h, n)
}

// enqueue queues a submission, of a request that waits or one that holds a slot already.
func (l *link) enqueue(r scheduler.Request, held holding, n sink) {
	m := encodeRequest(r, held, l.settings.Clock.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sinks) == 0 {
		l.since = l.settings.Clock.Now()
		l.arm(maxSilence)
	}
	l.sinks[r.ID] = n
	if held.upstream == "" {
		l.wait(r.ID)
	}
	if l.canQueue() {
		l.pending.submit(m)
		l.signal()
	}
}

// canQueue reports whether another message may be queued. It fails the link when the
// owner reads too slowly; the requests then move to this host's scheduler, as they do
// from any failed link. The caller holds mu.
func (l *link) canQueue() bool {
	if !l.failed && l.pending.full() {
		l.abandon("owner reads too slowly")
	}
	return !l.failed
}

// report implements route.
func (l *link) report(e scheduler.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.post(e)
}

// handedOver implements route. The owner, which may be about to hand the cell over, keeps
// the slots until this host reports again or is gone.
func (l *link) handedOver(id scheduler.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
	delete(l.sinks, id)
}

// finish implements route.
func (l *link) finish(f scheduler.Finished, last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.post(f)
	if last {
		l.post(scheduler.Cancel{ID: f.ID})
	}
}

// post queues a report on a request of this link. The caller holds mu.
func (l *link) post(e scheduler.Event) {
	m := encodeProgress(e)
	if _, ok := l.sinks[scheduler.RequestID(m.Id)]; !ok {
		return
	}
	if m.Kind == wire.SlotProgress_KIND_CANCELLED {
		delete(l.waiting, scheduler.RequestID(m.Id))
		delete(l.sinks, scheduler.RequestID(m.Id))
	}
	if l.canQueue() {
		l.pending.report(m)
		if m.Kind != wire.SlotProgress_KIND_PROGRESS {
			l.signal()
		}
	}
}

// signal wakes the writer.
func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
