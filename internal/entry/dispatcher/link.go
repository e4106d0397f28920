package dispatcher

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/restarter"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

const (
	// beatInterval is how often the owner sends on a link whose host waits for a grant
	// or may own the cell.
	beatInterval = 100 * time.Millisecond
	// heldBeat is the same while the host only holds slots, and heldSilence the silence
	// after which such a link is given up: the next owner must hear of the slots before
	// it uses all of them.
	heldBeat    = 250 * time.Millisecond
	heldSilence = 800 * time.Millisecond
	// idleBeat and idleSilence are for hosts with no request at the owner.
	idleBeat    = time.Second
	idleSilence = 2500 * time.Millisecond
	// silenceLimit is the silence after which a link is given up. It is well
	// under the smallest first-token target, so that waiting requests still
	// have time on this host's own part of the slots.
	silenceLimit = 400 * time.Millisecond
	// stallBeats is the pause between two looks at a link, in their usual time, from
	// which this host itself must have stood still.
	stallBeats = 3
	// foreignSilence is the same for a link to another cell. It leaves time for
	// the two round trips of a new connection between regions and one packet
	// that is sent again.
	foreignSilence = 800 * time.Millisecond
)

// link is the stream to the owner of the cell. It implements route.
type link struct {
	owner    registrar.HostName
	settings Settings
	broken   chan struct{}
	cancel   context.CancelFunc
	group    conc.WaitGroup

	mu     sync.Mutex
	up     bool
	failed bool
	// quiet is set when the link failed because the owner was silent, and moved when
	// it said that it is not the owner.
	quiet   bool
	moved   bool
	heard   time.Time
	pending outbox
	wake    chan struct{}
	sinks   map[scheduler.RequestID]sink
	// waiting lists the requests that wait for an answer. The owner sends more often
	// since there are any, and alarm looks whether it does.
	waiting map[scheduler.RequestID]bool
	since   time.Time
	alarm   clockwork.Timer
	due     time.Time

	hello *wire.DispatchRequest
	// accepted is closed once the owner has answered.
	accepted chan struct{}
	// cell is the one of the owner when it is another cell than this host's.
	cell registrar.CellName
	// granted holds the location of each upstream, as the grants gave it.
	granted sync.Map
}

// location is where a process of an upstream listens.
type location struct {
	address     string
	incarnation registrar.Incarnation
}

// openLink opens a link to the owner of this host's cell.
func openLink(ctx context.Context, s Settings, owner registrar.HostName, address string) *link {
	l := &link{owner: owner, hello: &wire.DispatchRequest{Host: string(s.Host), Roams: s.AllowSpill, Standby: s.Standby}}
	l.open(ctx, s, address)
	return l
}

// openForeign opens a link to the owner of another cell.
func openForeign(ctx context.Context, s Settings, cell registrar.CellName, address string) *link {
	l := &link{
		owner: registrar.HostName(address),
		hello: &wire.DispatchRequest{Host: string(s.Host), Cell: string(s.Cell)},
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
	l.heard = s.Clock.Now()
	l.wake = make(chan struct{}, 1)
	l.sinks = map[scheduler.RequestID]sink{}
	l.waiting = map[scheduler.RequestID]bool{}
	l.alarm = s.Clock.AfterFunc(idleSilence, l.look)
	client := wireconnect.NewPeerClient(s.Client, dialer.URL(address))
	stream := client.Dispatch(ctx)
	l.run("requests to the owner", func() { l.write(ctx, stream) })
	l.run("answers of the owner", func() { l.read(stream) })
	l.group.Go(func() { l.watch(ctx) })
}

// run runs a part of the link, which ends with it.
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

// close stops the link and waits.
func (l *link) close() {
	l.stop()
	l.group.Wait()
}

// ready reports whether the owner has accepted the link.
func (l *link) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up && !l.failed
}

func (l *link) fail(cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandon(cause)
}

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

// watch gives the link up after a silence: a frozen owner keeps its
// connections open.
func (l *link) watch(ctx context.Context) {
	period := beatInterval
	if !l.watchful() {
		period = idleBeat
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
			if now.Sub(last) > stallBeats*period {
				// This host itself stood still and has not read what came.
				l.pardon(now)
			}
			last = now
			if l.silent() {
				l.giveUp()
				l.renew()
				return
			}
		}
	}
}

// giveUp gives the link up after a silence of the owner.
func (l *link) giveUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quiet = !l.failed
	l.abandon("no message from owner")
}

// relinquish notes that the other host is not the owner.
func (l *link) relinquish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moved = true
	l.abandon("host is not the owner")
}

// relinquished reports whether the other host said that it is not the owner.
func (l *link) relinquished() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.moved
}

// lostOwner reports whether the link failed because the owner was silent or could not
// be reached at all. A link that broke while it was in use tells nothing: the next
// one mostly succeeds.
func (l *link) lostOwner() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quiet || l.failed && !l.up && !l.moved
}

// pardon lets a silence begin now.
func (l *link) pardon(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = now
}

// renew lets the next link use a new connection where the client can do that:
// the old one may stay silent until a probe of it fails, 1.7 s later.
func (l *link) renew() {
	if c, ok := l.settings.Client.(interface{ Renew() }); ok {
		c.Renew()
	}
}

func (l *link) silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left(l.settings.Clock.Now()) < 0
}

// left is how long the owner may still be silent.
func (l *link) left(now time.Time) time.Duration {
	quiet := now.Sub(l.heard)
	switch {
	case l.cell != "":
		return foreignSilence - quiet
	case l.watchful():
		return silenceLimit - quiet
	case len(l.waiting) > 0:
		return silenceLimit - min(quiet, now.Sub(l.since))
	case len(l.sinks) > 0:
		return heldSilence - min(quiet, now.Sub(l.since))
	}
	return idleSilence - quiet
}

// watchful reports whether the owner sends often on this link, whether or not anything
// waits.
func (l *link) watchful() bool { return l.settings.Standby || l.cell != "" }

// wait notes a request that waits for an answer.
func (l *link) wait(id scheduler.RequestID) {
	if len(l.waiting) == 0 {
		l.since = l.settings.Clock.Now()
		l.arm(silenceLimit)
	}
	l.waiting[id] = true
}

// arm sets the alarm. Links on which the owner always sends often have a ticker.
func (l *link) arm(d time.Duration) {
	if !l.watchful() && !l.failed {
		l.due = l.settings.Clock.Now().Add(d)
		l.alarm.Reset(d)
	}
}

// look gives the link up when its owner is silent although requests wait there or
// hold slots. One that comes late tells that this host itself stood still, and that
// it has not read what came.
func (l *link) look() {
	if l.overdue() {
		l.giveUp()
		l.renew()
	}
}

func (l *link) overdue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed || l.watchful() || len(l.sinks) == 0 {
		return false
	}
	now := l.settings.Clock.Now()
	if now.Sub(l.due) > stallBeats*beatInterval {
		l.heard = now
	}
	left := l.left(now)
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
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		if err := stream.Send(l.batch()); err != nil {
			l.fail(err.Error())
			return
		}
	}
}

func (l *link) batch() *wire.DispatchRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.pending.batch(l.settings.Clock.Now())
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
			l.relinquish()
			return
		}
		l.take(m)
	}
}

func (l *link) take(m *wire.DispatchResponse) {
	if len(m.Fingerprints) > 0 {
		l.settings.Local.Learn(DecodeCrashes(m.Fingerprints))
	}
	for _, e := range decodeLimits(m.Limits, l.settings.Clock.Now()) {
		l.settings.Local.learnLimit(e)
	}
	for _, g := range m.Grants {
		if g.Address != "" {
			l.granted.Store(registrar.UpstreamID(g.Upstream), location{g.Address, registrar.Incarnation(g.Incarnation)})
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		l.up = true
		close(l.accepted)
	}
	l.heard = l.settings.Clock.Now()
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

// find returns an upstream that was granted.
func (l *link) find(id registrar.UpstreamID) (registrar.Upstream, bool) {
	v, ok := l.granted.Load(id)
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

// decline returns a slot that nobody takes to the owner.
func (l *link) decline(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Grant:
		l.post(scheduler.Finished{ID: a.ID, Upstream: a.Upstream, Outcome: scheduler.Abandoned})
	case scheduler.Hedge:
		l.post(scheduler.Finished{ID: a.ID, Upstream: a.Upstream, Outcome: scheduler.Abandoned})
	}
}

// introduce tells the owner of the crashes that this host knows of, before the
// requests that are handed over.
func (l *link) introduce() {
	known := EncodeCrashes(l.settings.Local.Crashes())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending.crashes = known
}

// bar implements route.
func (l *link) bar(list []scheduler.Bar) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending.bars = encodeBars(list)
	l.signal()
}

// limit tells the owner what upstreams say of their rate limits.
func (l *link) limit(list ...scheduler.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed || len(list) == 0 {
		return
	}
	l.pending.limits = append(l.pending.limits, list...)
	l.signal()
}

// complete tells the owner that every slot held by this host is reported.
func (l *link) complete() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending.finish()
	l.signal()
}

func (l *link) submit(r scheduler.Request, n sink) {
	l.enqueue(r, holding{}, n)
}

func (l *link) adopt(r scheduler.Request, h holding, n sink) {
	l.enqueue(r, h, n)
}

func (l *link) enqueue(r scheduler.Request, held holding, n sink) {
	m := encodeRequest(r, held, l.settings.Clock.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sinks) == 0 {
		l.since = l.settings.Clock.Now()
		l.arm(silenceLimit)
	}
	l.sinks[r.ID] = n
	if held.upstream == "" {
		l.wait(r.ID)
	}
	if l.admits() {
		l.pending.submit(m)
		l.signal()
	}
}

// admits reports whether anything more may wait for the owner. A link whose
// owner reads too slowly is given up; its requests then move to this host's
// scheduler, as they do from any link that failed.
func (l *link) admits() bool {
	if !l.failed && l.pending.full() {
		l.abandon("owner reads too slowly")
	}
	return !l.failed
}

func (l *link) report(e scheduler.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.post(e)
}

// leave implements route. The owner, who may be about to hand the cell over, keeps
// the slots until this host reports again or is gone.
func (l *link) leave(id scheduler.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
	delete(l.sinks, id)
}

func (l *link) finish(f scheduler.Finished, last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.post(f)
	if last {
		l.post(scheduler.Cancel{ID: f.ID})
	}
}

func (l *link) post(e scheduler.Event) {
	m := encodeProgress(e)
	if _, ok := l.sinks[scheduler.RequestID(m.Id)]; !ok {
		return
	}
	if m.Kind == wire.SlotProgress_KIND_CANCELLED {
		delete(l.waiting, scheduler.RequestID(m.Id))
		delete(l.sinks, scheduler.RequestID(m.Id))
	}
	if l.admits() {
		l.pending.report(m)
		l.signal()
	}
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
