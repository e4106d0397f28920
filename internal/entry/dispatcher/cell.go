package dispatcher

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/restarter"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

const (
	// ownerCheckInterval is how often the owner of the cell is looked up. A broken link
	// is noticed at once.
	ownerCheckInterval = 50 * time.Millisecond
	// linkedCheckInterval is the interval on a host that may not own the cell, while its
	// link to the owner works. Changes of the membership are checked at once.
	linkedCheckInterval = time.Second
	// collectTime is how long a new owner uses only its own part of the slots, unless all
	// other hosts have reported the slots they hold before.
	collectTime = time.Second
	// retryInterval is the shortest time between two attempts to open a link. It doubles
	// with each attempt that fails, up to maxRetryInterval: each failure moves all
	// requests of the host to its own scheduler and back.
	retryInterval    = 100 * time.Millisecond
	maxRetryInterval = 1600 * time.Millisecond
	// settleTime covers the gossip of crash records to all hosts of a cell, which took at
	// most 1.36 s in the seeded runs with 55 hosts.
	settleTime = 1500 * time.Millisecond
	// ticketShards is the number of locks over which the open requests are spread.
	ticketShards = 16
)

// Membership is this host's view of the hosts and upstreams. The hosts choose the owner
// of a cell among themselves.
type Membership interface {
	// Owner returns the host that runs the scheduler of the cell; false if there is none.
	Owner(c registrar.CellName) (registrar.HostName, bool)
	// Successor returns the host that would own the cell if its owner were gone; false if
	// there is none.
	Successor(c registrar.CellName) (registrar.HostName, bool)
	// Address returns where the host serves other hosts; false if it isn't listed.
	Address(h registrar.HostName) (string, bool)
	// Hosts counts the live entry hosts.
	Hosts() int
	// Counted reports whether the number of hosts is known; for some seconds after a
	// start it is too low.
	Counted() bool
	// Schedulers counts the live hosts that may own a cell, and so know of crashes.
	Schedulers() int
	// Upstream returns an upstream; false if it isn't listed.
	Upstream(id registrar.UpstreamID) (registrar.Upstream, bool)
	// Current reports whether the view is recent enough to send new requests: on an older
	// one, an upstream that it lists may have left.
	Current() bool
}

// Settings configures a Cell, a Server and a Fleet.
type Settings struct {
	Host registrar.HostName
	// Centre is the data centre of this host, or empty if it isn't known.
	Centre     registrar.DataCentre
	Cell       registrar.CellName
	Membership Membership
	Local      *Local
	Client     connect.HTTPClient
	// AllowSpill is set when requests of this host may be sent to other cells.
	AllowSpill bool
	// Standby is set when this host may own the cell.
	Standby bool
	// ReportDeparture tells the membership that an upstream has said in a response that
	// it is leaving; nil where nobody is told.
	ReportDeparture func(registrar.Departure)
	// Inventory asks upstreams which prompt prefixes they cache; nil where they can't be
	// asked.
	Inventory Inventory
	// Usage counts requests for usage reports; nil where none are sent.
	Usage  *Usage
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// Cell implements Dispatcher for the upstreams of one cell. It schedules requests at the
// owner of the cell, or on this host while no owner can be reached.
type Cell struct {
	settings Settings
	shards   [ticketShards]ticketShard
	serial   atomic.Uint64
	bars     bars
	work     workTimes
	// find and ended are shared by all tickets.
	find  finder
	ended func(scheduler.RequestID)

	// mu guards route. Requests are admitted under its read lock so that a hand-over
	// misses none.
	mu    sync.RWMutex
	route route
	// lastLink is the link most recently used as the route, or nil.
	lastLink atomic.Pointer[link]

	// recheck wakes the goroutine that chooses the route.
	recheck chan struct{}
	stop    context.CancelFunc
	group   conc.WaitGroup
}

// ticketShard holds a part of the open requests.
type ticketShard struct {
	mu      sync.Mutex
	tickets map[scheduler.RequestID]*ticket
}

// NewCell returns a Cell that follows the owner of the cell until Close.
func NewCell(s Settings) *Cell {
	ctx, stop := context.WithCancel(context.Background())
	c := &Cell{settings: s, route: s.Local, recheck: make(chan struct{}, 1), stop: stop}
	c.find = c.upstream
	c.ended = c.remove
	for i := range c.shards {
		c.shards[i].tickets = map[scheduler.RequestID]*ticket{}
	}
	again := restarter.New(s.Logger, s.Clock)
	c.group.Go(func() { again.Run(ctx, "review of the owner", func() { c.trackOwner(ctx) }) })
	return c
}

// Close stops following the owner and waits for that. All requests must have ended.
func (c *Cell) Close() {
	c.stop()
	c.group.Wait()
}

// Acquire implements Dispatcher. It declines a slot at a barred upstream, up to
// maxDeclined times: the owner may not have heard of the bar yet, or may have forgotten
// it. While the membership view is not current, requests wait up to viewHold.
func (c *Cell) Acquire(ctx context.Context, r scheduler.Request) (Slot, error) {
	var left time.Duration
	for range maxDeclined {
		if !c.awaitView(ctx) {
			return nil, c.outdated(ctx)
		}
		s, err := c.acquire(ctx, r)
		if err != nil {
			return nil, err
		}
		if !c.awaitView(ctx) {
			s.Release(scheduler.Abandoned, 0)
			return nil, c.outdated(ctx)
		}
		left = c.bars.remaining(c.settings.Clock.Now(), s.Upstream())
		if left == 0 {
			return s, nil
		}
		c.decline(s, left)
	}
	return nil, &RefusedError{Reason: scheduler.NoUpstream, RetryAfter: left}
}

func (c *Cell) acquire(ctx context.Context, r scheduler.Request) (Slot, error) {
	// Each call has an ID of its own: a late end of the last attempt must not withdraw
	// the next one of the same request.
	r.Origin = boundedID(r.ID)
	r.ID = c.attemptID(r.Origin)
	r.Waiting = c.settings.Clock.Now()
	r.Centre = c.settings.Centre
	t := newTicket(r, c.settings.Clock, c.find, c.ended)
	t.isBarred = c.isBarred
	t.released = c.noteRelease
	c.admit(t)
	defer c.record(ctx, t)
	again := c.checkAgain(r)
	if again != nil {
		defer again.Stop()
	}
	for {
		select {
		case g := <-t.result:
			return c.result(t, g)
		case <-chanOf(again):
			c.reconsider(t)
			again.Reset(askedAgain)
		case <-ctx.Done():
			if s := t.withdraw(); s != nil {
				s.Release(scheduler.Abandoned, 0)
			}
			c.remove(r.ID)
			return nil, ctx.Err()
		}
	}
}

// attemptSeparator stands between the caller's request ID and the number of the attempt.
const attemptSeparator = '/'

// originOf returns the caller's request ID in an attempt's ID.
func originOf(id string) scheduler.RequestID {
	if i := strings.LastIndexByte(id, attemptSeparator); i >= 0 {
		return scheduler.RequestID(id[:i])
	}
	return scheduler.RequestID(id)
}

// maxID bounds a caller's request ID in messages between hosts, in bytes.
const maxID = 256

// boundedID returns a caller's request ID in a form that messages between hosts can
// carry. An ID that is not valid UTF-8, or longer than maxID, is replaced by its hash.
func boundedID(id scheduler.RequestID) scheduler.RequestID {
	if len(id) <= maxID && utf8.ValidString(string(id)) {
		return id
	}
	return scheduler.RequestID(strconv.FormatUint(xxhash.Sum64String(string(id)), 16))
}

// attemptID returns a unique ID for one attempt of a request.
func (c *Cell) attemptID(id scheduler.RequestID) scheduler.RequestID {
	b := make([]byte, 0, 64)
	b = append(b, id...)
	b = append(b, attemptSeparator)
	b = strconv.AppendUint(b, c.serial.Add(1), 10)
	return scheduler.RequestID(b)
}

// result returns what Acquire returns for an answer.
func (c *Cell) result(t *ticket, g grant) (Slot, error) {
	if g.refusal != nil {
		c.remove(t.request.ID)
		return nil, g.refusal
	}
	return g.slot, nil
}

// admit records a request and submits it to the current route.
func (c *Cell) admit(t *ticket) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	s := c.shard(t.request.ID)
	s.mu.Lock()
	s.tickets[t.request.ID] = t
	s.mu.Unlock()
	if !c.submitOwn(t) {
		t.move(c.route)
	}
}

func (c *Cell) remove(id scheduler.RequestID) {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tickets, id)
}

func (c *Cell) shard(id scheduler.RequestID) *ticketShard {
	return &c.shards[xxhash.Sum64String(string(id))%ticketShards]
}

// upstream returns an upstream that was granted. The owner may know it, or a later
// process of it, before this host does, and for longer.
func (c *Cell) upstream(id registrar.UpstreamID) (registrar.Upstream, bool) {
	u, ok := c.settings.Membership.Upstream(id)
	if l := c.lastLink.Load(); l != nil {
		if granted, known := l.find(id); known && (!ok || granted.Incarnation > u.Incarnation) {
			c.logUnlisted(granted, l.owner)
			return granted, true
		}
	}
	if ok {
		return u, true
	}
	if u, ok = c.settings.Local.upstream(id); ok {
		c.logUnlisted(u, c.settings.Host)
	}
	return u, ok
}

// UpstreamLost tells the requests that run on an upstream that its lease has ended.
func (c *Cell) UpstreamLost(id registrar.UpstreamID) {
	for _, t := range c.tickets() {
		t.upstreamLost(id)
	}
}

// tickets lists the open requests.
func (c *Cell) tickets() []*ticket {
	var all []*ticket
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for _, t := range s.tickets {
			all = append(all, t)
		}
		s.mu.Unlock()
	}
	return all
}

// trackOwner keeps the route pointed at the owner of the cell until ctx ends.
func (c *Cell) trackOwner(ctx context.Context) {
	f := ownerTracker{cell: c, since: c.settings.Clock.Now(), surveyor: newSurveyor(c.settings)}
	defer f.surveyor.close()
	t := c.settings.Clock.NewTimer(ownerCheckInterval)
	defer t.Stop()
	defer f.closeLink()
	defer f.stopProbe()
	for {
		f.review(ctx)
		t.Reset(f.interval())
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		case <-c.recheck:
		case <-f.broken():
			f.closeLink()
		}
	}
}

// ReviewOwner checks soon, after a change of the membership, whether the cell has another
// owner. It does not wait for the check.
func (c *Cell) ReviewOwner() {
	select {
	case c.recheck <- struct{}{}:
	default:
	}
}

// ownerTracker is the state of the goroutine that chooses the route.
type ownerTracker struct {
	cell *Cell
	// owning is whether this host owns the cell, and since is when that last changed.
	owning bool
	since  time.Time
	// schedulers is the number of live hosts that may own a cell. changedAt is when it or
	// the owner last changed.
	schedulers int
	changedAt  time.Time
	link       *link
	// surveyor asks the upstreams for their cached prompts once this host owns the cell.
	surveyor *surveyor
	// openedAt is when the link was opened.
	openedAt time.Time
	// retryAt is the earliest time for a new link after one has failed, and retryPause
	// the time between that and the last attempt.
	retryAt    time.Time
	retryPause time.Duration
	// hostCount is the number of hosts that share the upstreams' rate limits.
	hostCount hostCount
	// probe is the link with which an acting owner tries to reach the owner, and probeAt
	// the earliest time of the next one.
	probe   *link
	probeAt time.Time
}

// interval is the time to the next review.
func (f *ownerTracker) interval() time.Duration {
	s := f.cell.settings
	if s.Standby || f.link == nil || !f.link.ready() || s.Clock.Since(f.since) < collectTime {
		return ownerCheckInterval
	}
	return linkedCheckInterval
}

// review looks the owner up and updates the route and this host's parts of slots and rate
// limits.
func (f *ownerTracker) review(ctx context.Context) {
	s := f.cell.settings
	owner, ok := s.owner()
	owning := ok && owner == s.Host
	if owning != f.owning {
		if f.owning {
			s.Local.signalOwnershipLost()
		}
		f.owning = owning
		f.since = s.Clock.Now()
		f.retryPause = 0
		s.Logger.Info("cell owner changed", zap.String("cell", string(s.Cell)), zap.String("owner", string(owner)), zap.Bool("self", owning))
	}
	f.hostCount.observe(s.Clock.Now(), s.Membership.Hosts())
	f.divide()
	f.settle()
	if owning || !ok {
		f.closeLink()
		f.updateRateShare()
		f.updateRetryPart()
		f.cell.reroute(s.Local)
	} else {
		f.connect(ctx, owner)
	}
	f.probeOwner(ctx)
	f.freeOrphans()
	f.surveyor.review(ctx, owning)
}

// freeOrphans frees the slots that this host kept for others as the last owner. It waits
// until this host is linked to the next owner, so that none of its requests waits here
// for these slots, or until the other hosts have had collectTime to report them to the
// next owner.
func (f *ownerTracker) freeOrphans() {
	s := f.cell.settings
	if f.owning {
		return
	}
	s.Local.ownership.clearReports()
	linked := f.link != nil && f.link.ready()
	if linked || s.Clock.Since(f.since) >= collectTime {
		s.Local.signalNotOwner()
	}
}

// divide sets the part of the slots that this host's scheduler may use: all of them once
// it owns the cell and has collected the reports on held slots, or when there is no other
// host.
func (f *ownerTracker) divide() {
	s := f.cell.settings
	hosts := s.Membership.Hosts()
	alone := hosts <= 1
	collected := f.owning && (s.Membership.Counted() && s.allReported(hosts) || s.Clock.Since(f.since) >= collectTime)
	if alone || collected {
		hosts = 1
	}
	s.Local.Divide(hosts)
	s.Local.lag.setCollecting(f.owning && hosts > 1)
}

// settle holds back requests that have met a crash until this host has owned the cell,
// with the same hosts, for long enough to know of their crashes.
func (f *ownerTracker) settle() {
	s := f.cell.settings
	if n := s.Membership.Schedulers(); n != f.schedulers || f.changedAt.Before(f.since) {
		f.schedulers, f.changedAt = n, s.Clock.Now()
	}
	s.Local.Settle(f.owning && s.Clock.Since(f.changedAt) >= settleTime)
}

// connect makes the link to the owner the route, once the owner has accepted it. Until
// then requests are scheduled on this host. A link that works is kept, whatever host the
// view of this one names: the other end would say that it owns the cell no more, and the
// views of hosts that follow different ones differ for a time.
func (f *ownerTracker) connect(ctx context.Context, owner registrar.HostName) {
	s := f.cell.settings
	if f.link != nil && f.link.owner != owner && !f.link.ready() {
		f.closeLink()
	}
	if f.link == nil && !s.Clock.Now().Before(f.retryAt) {
		f.open(ctx, owner)
	}
	if f.link != nil && f.link.ready() {
		f.noteReached()
		f.retryPause = 0
		f.cell.reroute(f.link)
		s.Local.setRateShare(0)
		return
	}
	f.updateRateShare()
	if f.link != nil && s.Clock.Since(f.openedAt) > reconnectTime && s.Local.ownership.suspectAgain(s.Clock.Now(), owner) {
		f.closeLink()
	}
	f.cell.reroute(s.Local)
}

// noteReached records which host has accepted the link: the one that was taken for lost,
// or one that acts for it.
func (f *ownerTracker) noteReached() {
	s := f.cell.settings
	now := s.Clock.Now()
	s.Local.ownership.follow(f.link.owner)
	if owner, ok := s.Membership.Owner(s.Cell); ok && f.link.owner == owner {
		s.Local.ownership.ownerHeard(now, owner)
		return
	}
	s.Local.ownership.confirmLoss(now)
}

// open opens a link to the owner and sets the time of the next attempt.
func (f *ownerTracker) open(ctx context.Context, owner registrar.HostName) {
	s := f.cell.settings
	f.retryPause = min(max(2*f.retryPause, retryInterval), maxRetryInterval)
	f.retryAt = s.Clock.Now().Add(f.retryPause)
	address, ok := s.Membership.Address(owner)
	if !ok {
		return
	}
	f.link, f.openedAt = openLink(ctx, s, owner, address), s.Clock.Now()
}

// broken returns the channel that is closed when the link fails; nil without a link.
func (f *ownerTracker) broken() <-chan struct{} {
	if f.link == nil {
		return nil
	}
	return f.link.broken
}

// recordLinkEnd records what the end of the link says about the owner.
func (f *ownerTracker) recordLinkEnd() {
	s := f.cell.settings
	owner, ok := s.Membership.Owner(s.Cell)
	switch {
	case !ok:
	case f.link.owner == owner && f.link.lostOwner():
		s.Local.ownership.suspect(s.Clock.Now(), owner)
	case f.link.owner != owner && f.link.saidNotOwner():
		s.Local.ownership.successorDisagreed(s.Clock.Now())
	}
}

// closeLink closes the link, if any. Its requests go back to this host's scheduler.
func (f *ownerTracker) closeLink() {
	if f.link == nil {
		return
	}
	s := f.cell.settings
	s.Local.ownership.follow("")
	f.recordLinkEnd()
	f.updateRateShare()
	f.updateRetryPart()
	f.cell.reroute(s.Local)
	// The end of a call on a connection that has gone silent takes until a probe of the
	// connection fails, which is too long to be without an owner.
	f.link.stop()
	f.cell.group.Go(f.link.close)
	f.link = nil
}

// reroute hands every open request over to another route. Those that hold slots go first,
// so that the new route doesn't grant these slots again. The old route frees the slots
// last, so that it doesn't grant them to a request that is about to leave.
func (c *Cell) reroute(to route) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.route
	if from == to {
		return
	}
	c.route = to
	if l, ok := to.(*link); ok {
		c.lastLink.Store(l)
		l.sendCrashes()
	}
	c.sendBars(to)
	if l, ok := from.(*link); ok {
		c.settings.Local.deposit(l.endShare())
	}
	if l, ok := to.(*link); ok {
		l.limit(c.settings.Local.knownLimits()...)
		l.pass(c.settings.Local.takeRepeats())
	}
	held, waiting := c.byHolding()
	c.settings.Logger.Info("the requests of this host are scheduled by another host now",
		zap.String("from", string(c.schedulerOf(from))), zap.String("to", string(c.schedulerOf(to))),
		zap.Int("held", len(held)), zap.Int("waiting", len(waiting)))
	var left []scheduler.RequestID
	for _, t := range append(held, waiting...) {
		if t.move(to) {
			left = append(left, t.request.ID)
		}
	}
	if l, ok := to.(*link); ok {
		l.complete()
	}
	for _, id := range left {
		from.handedOver(id)
	}
}

// byHolding returns the tickets that hold slots and those that don't. It leaves out those
// that stay with this host's scheduler.
func (c *Cell) byHolding() (held, waiting []*ticket) {
	for _, t := range c.tickets() {
		if t.keepsRoute() {
			continue
		}
		if t.holds() {
			held = append(held, t)
			continue
		}
		waiting = append(waiting, t)
	}
	return held, waiting
}
