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
	// reviewInterval is how often the owner of the cell is looked up; a
	// broken link is noticed at once.
	reviewInterval = 50 * time.Millisecond
	// steadyInterval is the same on a host that may not own the cell, while its link
	// to the owner is in use. Changes of the membership are looked at at once.
	steadyInterval = time.Second
	// collectTime is how long a new owner dispatches only its own part of the
	// slots, unless all other hosts have reported the slots that they hold before.
	collectTime = time.Second
	// retryInterval is the shortest time between two attempts to open a link. It doubles
	// with each one that fails, up to maxRetryInterval: each failure moves all requests
	// of the host to its own scheduler and back.
	retryInterval    = 100 * time.Millisecond
	maxRetryInterval = 1600 * time.Millisecond
	// settleTime covers the gossip of crash records to all hosts of a cell,
	// which took at most 1.36 s in the seeded runs with 55 hosts.
	settleTime = 1500 * time.Millisecond
	// ticketShards spreads the open requests over several locks.
	ticketShards = 16
)

// Membership is the view of the hosts that choose the owner of a cell.
type Membership interface {
	// Owner names the host that runs the scheduler of the cell.
	Owner(c registrar.CellName) (registrar.HostName, bool)
	// Successor names the host that would own the cell without its owner.
	Successor(c registrar.CellName) (registrar.HostName, bool)
	// Address is where the host serves other hosts.
	Address(h registrar.HostName) (string, bool)
	// Hosts counts the live entry hosts.
	Hosts() int
	// Counted reports whether the number of hosts is known; for some seconds after a
	// start it is too low.
	Counted() bool
	// Schedulers counts those that may own a cell, and so know of crashes.
	Schedulers() int
	// Upstream looks an upstream up.
	Upstream(id registrar.UpstreamID) (registrar.Upstream, bool)
	// Current reports whether the view is young enough to send new requests on: an
	// upstream that it lists may have left otherwise.
	Current() bool
}

// Settings configures a Cell.
type Settings struct {
	Host       registrar.HostName
	Cell       registrar.CellName
	Membership Membership
	Local      *Local
	Client     connect.HTTPClient
	// AllowSpill is set when requests of this host may be sent to other cells.
	AllowSpill bool
	// Standby is set when this host may own the cell.
	Standby bool
	// ReportDeparture tells the membership that an upstream has said in an answer that it leaves;
	// nil where nobody is told.
	ReportDeparture func(registrar.Departure)
	// Inventory tells what upstreams keep of prompts; nil where they don't tell.
	Inventory Inventory
	Clock     clockwork.Clock
	Logger    *zap.Logger
}

// Cell implements Dispatcher for the upstreams of one cell. It schedules
// requests at the owner of the cell, or on this host while no owner can be
// reached.
type Cell struct {
	settings Settings
	shards   [ticketShards]ticketShard
	serial   atomic.Uint64
	bars     bars
	// find and ended are the same for all tickets.
	find  finder
	ended func(scheduler.RequestID)

	// Guards the choice of the route; requests are admitted under its read
	// lock so that none is missed by a hand-over.
	mu    sync.RWMutex
	route route
	// linked is the link that gave the last grants, or nil.
	linked atomic.Pointer[link]

	// reviews wakes the goroutine that chooses the route.
	reviews chan struct{}
	stop    context.CancelFunc
	group   conc.WaitGroup
}

type ticketShard struct {
	mu      sync.Mutex
	tickets map[scheduler.RequestID]*ticket
}

// NewCell starts to follow the owner of the cell until Close.
func NewCell(s Settings) *Cell {
	ctx, stop := context.WithCancel(context.Background())
	c := &Cell{settings: s, route: s.Local, reviews: make(chan struct{}, 1), stop: stop}
	c.find = c.upstream
	c.ended = c.remove
	for i := range c.shards {
		c.shards[i].tickets = map[scheduler.RequestID]*ticket{}
	}
	again := restarter.New(s.Logger, s.Clock)
	c.group.Go(func() { again.Run(ctx, "review of the owner", func() { c.follow(ctx) }) })
	return c
}

// Close stops following the owner and waits. Requests must have ended.
func (c *Cell) Close() {
	c.stop()
	c.group.Wait()
}

// Acquire implements Dispatcher. A slot at an upstream that this host stays away
// from is declined: the owner may not have heard of it yet, or may have forgotten.
// While the view is too old to send on, requests wait for a short time.
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
		left = c.bars.left(c.settings.Clock.Now(), s.Upstream())
		if left == 0 {
			return s, nil
		}
		c.decline(s, left)
	}
	return nil, &RefusedError{Reason: scheduler.NoUpstream, RetryAfter: left}
}

func (c *Cell) acquire(ctx context.Context, r scheduler.Request) (Slot, error) {
	// Each call has an ID of its own: a late end of the last attempt must not
	// withdraw the next one of the same request.
	r.Origin = identify(r.ID)
	r.ID = c.unique(r.Origin)
	t := newTicket(r, c.settings.Clock, c.find, c.ended)
	t.stays = c.staysAway
	c.admit(t)
	select {
	case g := <-t.result:
		return c.granted(t, g)
	case <-ctx.Done():
		if s := t.withdraw(); s != nil {
			s.Release(scheduler.Abandoned, 0)
		}
		c.remove(r.ID)
		return nil, ctx.Err()
	}
}

// attemptSeparator stands between the caller's request and the number of the
// attempt in an ID.
const attemptSeparator = '/'

// originOf returns the caller's request of an attempt's ID.
func originOf(id string) scheduler.RequestID {
	if i := strings.LastIndexByte(id, attemptSeparator); i >= 0 {
		return scheduler.RequestID(id[:i])
	}
	return scheduler.RequestID(id)
}

// maxID bounds a caller's ID in messages between hosts, in bytes.
const maxID = 256

// identify returns the caller's ID of a request as messages between hosts can carry it.
// What is no text, or too long, is replaced by its hash.
func identify(id scheduler.RequestID) scheduler.RequestID {
	if len(id) <= maxID && utf8.ValidString(string(id)) {
		return id
	}
	return scheduler.RequestID(strconv.FormatUint(xxhash.Sum64String(string(id)), 16))
}

// unique returns an ID for one attempt of a request.
func (c *Cell) unique(id scheduler.RequestID) scheduler.RequestID {
	b := make([]byte, 0, 64)
	b = append(b, id...)
	b = append(b, attemptSeparator)
	b = strconv.AppendUint(b, c.serial.Add(1), 10)
	return scheduler.RequestID(b)
}

func (c *Cell) granted(t *ticket, g grant) (Slot, error) {
	if g.refusal != nil {
		c.remove(t.request.ID)
		return nil, g.refusal
	}
	return g.slot, nil
}

func (c *Cell) admit(t *ticket) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	s := c.shard(t.request.ID)
	s.mu.Lock()
	s.tickets[t.request.ID] = t
	s.mu.Unlock()
	t.move(c.route)
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

// upstream returns an upstream that was granted. The owner may know it, or a later process
// of it, before this host does, and longer.
func (c *Cell) upstream(id registrar.UpstreamID) (registrar.Upstream, bool) {
	u, ok := c.settings.Membership.Upstream(id)
	if l := c.linked.Load(); l != nil {
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
		t.lost(id)
	}
}

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

// follow keeps the route pointed at the owner of the cell.
func (c *Cell) follow(ctx context.Context) {
	f := follower{cell: c, since: c.settings.Clock.Now(), surveyor: newSurveyor(c.settings)}
	defer f.surveyor.close()
	t := c.settings.Clock.NewTimer(reviewInterval)
	defer t.Stop()
	defer f.drop()
	for {
		f.review(ctx)
		t.Reset(f.interval())
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		case <-c.reviews:
		case <-f.broken():
			f.drop()
		}
	}
}

// ReviewOwner looks at once whether the cell has another owner, after a change of the
// membership.
func (c *Cell) ReviewOwner() {
	select {
	case c.reviews <- struct{}{}:
	default:
	}
}

// follower is the state of the goroutine that chooses the route.
type follower struct {
	cell *Cell
	// owning is whether this host owns the cell, and since when it does or
	// does not.
	owning bool
	since  time.Time
	// hosts is the number of live hosts that may own a cell, and changed is when it or
	// the owner last changed.
	hosts   int
	changed time.Time
	link    *link
	// surveyor learns the caches once this host owns the cell.
	surveyor *surveyor
	// opened is when the link was opened.
	opened time.Time
	// retry is the earliest time for a new link after one has failed, and pause how long
	// after its attempt that is.
	retry time.Time
	pause time.Duration
	// fleet is the number of hosts that share the upstreams' rate limits.
	fleet fleetSize
}

// interval is the time to the next review.
func (f *follower) interval() time.Duration {
	s := f.cell.settings
	if s.Standby || f.link == nil || !f.link.ready() || s.Clock.Since(f.since) < collectTime {
		return reviewInterval
	}
	return steadyInterval
}

func (f *follower) review(ctx context.Context) {
	s := f.cell.settings
	owner, ok := s.owner()
	owning := ok && owner == s.Host
	if owning != f.owning {
		f.owning = owning
		f.since = s.Clock.Now()
		f.pause = 0
		s.Logger.Info("cell owner changed", zap.String("cell", string(s.Cell)), zap.String("owner", string(owner)), zap.Bool("self", owning))
	}
	f.fleet.observe(s.Clock.Now(), s.Membership.Hosts())
	f.divide()
	f.settle()
	if owning || !ok {
		f.drop()
		f.apportion()
		f.cell.reroute(s.Local)
	} else {
		f.connect(ctx, owner)
	}
	f.disown()
	f.surveyor.review(ctx, owning)
}

// disown frees the slots that the last owner kept for other hosts, once no request
// of this host waits for them, or the others have had time to report them to the
// next owner.
func (f *follower) disown() {
	s := f.cell.settings
	if f.owning {
		return
	}
	s.Local.ownership.forget()
	linked := f.link != nil && f.link.ready()
	if linked || s.Clock.Since(f.since) >= collectTime {
		s.Local.disowned()
	}
}

// divide sets the part of the slots that this host's scheduler may use: all
// of them once it owns the cell and has collected the held slots.
func (f *follower) divide() {
	s := f.cell.settings
	hosts := s.Membership.Hosts()
	alone := hosts <= 1
	collected := f.owning && (s.Membership.Counted() && s.reported(hosts) || s.Clock.Since(f.since) >= collectTime)
	if alone || collected {
		hosts = 1
	}
	s.Local.Divide(hosts)
}

// settle holds back requests that have met a crash until this host has owned
// the cell, with the same hosts, for long enough to know of their crashes.
func (f *follower) settle() {
	s := f.cell.settings
	if n := s.Membership.Schedulers(); n != f.hosts || f.changed.Before(f.since) {
		f.hosts, f.changed = n, s.Clock.Now()
	}
	s.Local.Settle(f.owning && s.Clock.Since(f.changed) >= settleTime)
}

func (f *follower) connect(ctx context.Context, owner registrar.HostName) {
	s := f.cell.settings
	if f.link != nil && f.link.owner != owner {
		f.drop()
	}
	if f.link == nil && !s.Clock.Now().Before(f.retry) {
		f.open(ctx, owner)
	}
	if f.link != nil && f.link.ready() {
		s.Local.ownership.agree(s.Clock.Now())
		f.pause = 0
		f.cell.reroute(f.link)
		s.Local.apportion(0)
		return
	}
	f.apportion()
	if f.link != nil && s.Clock.Since(f.opened) > turnTime && s.Local.ownership.insist(s.Clock.Now(), owner) {
		f.drop()
	}
	f.cell.reroute(s.Local)
}

func (f *follower) open(ctx context.Context, owner registrar.HostName) {
	s := f.cell.settings
	f.pause = min(max(2*f.pause, retryInterval), maxRetryInterval)
	f.retry = s.Clock.Now().Add(f.pause)
	address, ok := s.Membership.Address(owner)
	if !ok {
		return
	}
	f.link, f.opened = openLink(ctx, s, owner, address), s.Clock.Now()
}

func (f *follower) broken() <-chan struct{} {
	if f.link == nil {
		return nil
	}
	return f.link.broken
}

// conclude draws conclusions from the end of the link.
func (f *follower) conclude() {
	s := f.cell.settings
	owner, ok := s.Membership.Owner(s.Cell)
	switch {
	case !ok:
	case f.link.owner == owner && f.link.lostOwner():
		s.Local.ownership.doubt(s.Clock.Now(), owner)
	case f.link.owner != owner && f.link.relinquished():
		s.Local.ownership.relent(s.Clock.Now())
	}
}

// drop leaves the link; its requests go back to this host's scheduler.
func (f *follower) drop() {
	if f.link == nil {
		return
	}
	s := f.cell.settings
	f.conclude()
	f.apportion()
	f.cell.reroute(s.Local)
	// The end of a call on a connection that went silent takes until a probe of the
	// connection fails, which is too long to go without an owner.
	f.link.stop()
	f.cell.group.Go(f.link.close)
	f.link = nil
}

// reroute hands every open request over to another route. Those that hold slots go
// first, so that the new route doesn't grant these slots again, and the old route
// frees them last, so that it grants them to none that is about to leave.
func (c *Cell) reroute(to route) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.route
	if from == to {
		return
	}
	c.route = to
	if l, ok := to.(*link); ok {
		c.linked.Store(l)
		l.introduce()
	}
	c.tellBars(to)
	if l, ok := to.(*link); ok {
		l.limit(c.settings.Local.knownLimits()...)
	}
	held, waiting := c.byHolding()
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
		from.leave(id)
	}
}

// byHolding returns the tickets that hold slots and those that don't.
func (c *Cell) byHolding() (held, waiting []*ticket) {
	for _, t := range c.tickets() {
		if t.holds() {
			held = append(held, t)
			continue
		}
		waiting = append(waiting, t)
	}
	return held, waiting
}
