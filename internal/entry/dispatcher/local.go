package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/restarter"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// idleInterval is the time between two ticks of a scheduler without requests, the usual
// state of most hosts. Little depends on the ticks then.
const idleInterval = 500 * time.Millisecond

// sink receives the actions for one request and reports whether somebody takes the slot
// of a grant or hedge; otherwise the slot is freed. It is called with the lock of its
// route held, so it must neither block nor call back.
type sink func(a scheduler.Action) bool

// discardAction is the sink of a request whose host is out of reach.
func discardAction(scheduler.Action) bool { return false }

// openRequest is a request that waits or holds slots.
type openRequest struct {
	notify sink
	held   []registrar.UpstreamID
	// inline is the array behind held for the usual request, which holds at most its own
	// slot and that of its hedge.
	inline [2]registrar.UpstreamID
	// preempted lists the slots that have to be given up. A host whose link broke is told
	// again when it reports them.
	preempted []registrar.UpstreamID
	// request is set only while another cell may take the request.
	request *scheduler.Request
}

func newOpenRequest(n sink) *openRequest {
	o := &openRequest{notify: n}
	o.held = o.inline[:0]
	return o
}

func (o *openRequest) holds(id registrar.UpstreamID) bool { return slices.Contains(o.held, id) }

func (o *openRequest) hold(id registrar.UpstreamID) {
	if !o.holds(id) {
		o.held = append(o.held, id)
	}
}

func (o *openRequest) drop(id registrar.UpstreamID) {
	o.held = slices.DeleteFunc(o.held, func(h registrar.UpstreamID) bool { return h == id })
}

// Local runs the scheduler of a cell on this host. The cell is the unit of sharding, so
// one lock guards it.
type Local struct {
	clock     clockwork.Clock
	logger    *zap.Logger
	restarter restarter.Restarter

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	// decide is the scheduler's Step.
	decide    func(time.Time, scheduler.Event) []scheduler.Action
	upstreams map[registrar.UpstreamID]registrar.Upstream
	// known is a copy of upstreams for readers without the lock.
	known    sync.Map
	requests map[scheduler.RequestID]*openRequest
	// declined lists the slots that nobody took in the current step.
	declined []scheduler.Finished
	hosts    int
	settled  bool
	notOwner func()
	// ownershipLost is called once when this host owns the cell no more.
	ownershipLost func()
	// unheard lists the hosts that can't be heard.
	unheard func() []registrar.HostName
	// shares is the part of the retry budgets that each linked host has; nil without any.
	shares atomic.Pointer[[]scheduler.Deposit]
	// ownership is shared by the two sides of the cell on this host.
	ownership ownership
	// limitCount is the number of rate limits that the scheduler knows, for readers
	// without the lock.
	limitCount atomic.Int64
	// linkedHosts is the number of hosts of the cell that have a link to this one as the
	// owner.
	linkedHosts atomic.Int64
	// limitChanged receives rate limits that have changed.
	limitChanged func(scheduler.Limit)
	effort       effort
	// lag is measured while other hosts ask this one.
	lag lag
	// cellSelector is nil on a host that works with no other cell.
	cellSelector CellSelector

	// wakeTicks shortens the tick interval when the first request comes.
	wakeTicks chan struct{}
	stop      chan struct{}
	group     conc.WaitGroup
}

// LocalOption configures a new Local.
type LocalOption func(*Local)

// WithLogger logs the decisions of the scheduler that the host of a request cannot
// explain from what it sees itself.
func WithLogger(z *zap.Logger) LocalOption { return func(l *Local) { l.logger = z } }

// NewLocal returns a Local whose scheduler ticks until Close.
func NewLocal(s *scheduler.Scheduler, c clockwork.Clock, options ...LocalOption) *Local {
	l := &Local{
		clock:     c,
		logger:    zap.NewNop(),
		scheduler: s,
		decide:    s.Step,
		upstreams: map[registrar.UpstreamID]registrar.Upstream{},
		requests:  map[scheduler.RequestID]*openRequest{},
		hosts:     1,
		notOwner:  func() {},
		unheard:   func() []registrar.HostName { return nil },

		ownershipLost: func() {},

		limitChanged: func(scheduler.Limit) {},
		wakeTicks:    make(chan struct{}, 1),
		stop:         make(chan struct{}),
	}
	for _, o := range options {
		o(l)
	}
	l.restarter = restarter.New(l.logger, c)
	l.step(scheduler.Settle{})
	l.group.Go(func() { l.restarter.Run(context.Background(), "ticks", l.tick) })
	return l
}

// Close stops the ticks and waits for them.
func (l *Local) Close() {
	close(l.stop)
	l.group.Wait()
}

// tick lets time pass at the scheduler until Close.
func (l *Local) tick() {
	t := l.clock.NewTimer(scheduler.TickInterval)
	defer t.Stop()
	due := l.clock.Now().Add(scheduler.TickInterval)
	for {
		select {
		case <-l.stop:
			return
		case <-l.wakeTicks:
			t.Reset(scheduler.TickInterval)
			due = l.clock.Now().Add(scheduler.TickInterval)
			continue
		case <-t.Chan():
		}
		pause := l.tickOnce(due)
		t.Reset(pause)
		due = l.clock.Now().Add(pause)
	}
}

// tickOnce lets time pass at the scheduler, which was due at the given time, and returns
// the time until the next tick.
func (l *Local) tickOnce(due time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	late := now.Sub(due)
	l.effort.addTick(late)
	l.lag.add(now, late)
	l.logEffort(now)
	l.step(scheduler.Tick{Unheard: l.unheard(), Late: late})
	l.publishShares()
	l.spillStranded()
	if len(l.requests) > 0 {
		return scheduler.TickInterval
	}
	return idleInterval
}

// addRequest records a request of this host or another one. The caller holds mu.
func (l *Local) addRequest(id scheduler.RequestID, o *openRequest) {
	l.requests[id] = o
	if len(l.requests) > 1 {
		return
	}
	select {
	case l.wakeTicks <- struct{}{}:
	default:
	}
}

// Configure puts a configuration in force.
func (l *Local) Configure(d *validator.Document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(scheduler.Configure{Document: d})
}

// Observe records a new or changed upstream.
func (l *Local) Observe(u registrar.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upstreams[u.Name] = u
	l.known.Store(u.Name, u)
	l.step(scheduler.Observe{Upstream: l.divided(u)})
}

// Forget removes an upstream.
func (l *Local) Forget(id registrar.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.upstreams, id)
	l.known.Delete(id)
	l.step(scheduler.Forget{Upstream: id})
}

// upstream returns an upstream that the scheduler may grant; false when there is none.
func (l *Local) upstream(id registrar.UpstreamID) (registrar.Upstream, bool) {
	u, ok := l.known.Load(id)
	if !ok {
		return registrar.Upstream{}, false
	}
	return u.(registrar.Upstream), true
}

// engines lists the upstreams that cache prompts, as far as the scheduler knows.
func (l *Local) engines() []registrar.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Engines()
}

// recordKept passes an upstream's list of cached prompts to the scheduler.
func (l *Local) recordKept(k scheduler.Kept) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(k)
}

// Divide limits the scheduler to one host's part of each upstream's slots, while so many
// hosts schedule on their own. With one host or less it uses all slots.
func (l *Local) Divide(hosts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if hosts = max(hosts, 1); hosts == l.hosts {
		return
	}
	l.hosts = hosts
	l.step(scheduler.Divide{Hosts: hosts})
	for _, u := range l.upstreams {
		l.step(scheduler.Observe{Upstream: l.divided(u)})
	}
}

// divided returns the upstream with this host's part of its slots, rounded up.
func (l *Local) divided(u registrar.Upstream) registrar.Upstream {
	u.Slots = (u.Slots + l.hosts - 1) / l.hosts
	return u
}

// onNotOwner sets the function that is called repeatedly while this host does not own the
// cell.
func (l *Local) onNotOwner(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notOwner = f
}

// signalNotOwner calls the function set by onNotOwner.
func (l *Local) signalNotOwner() {
	l.mu.Lock()
	f := l.notOwner
	l.mu.Unlock()
	f()
}

// onOwnershipLost sets the function that is called when this host owns the cell no more.
func (l *Local) onOwnershipLost(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownershipLost = f
}

// signalOwnershipLost calls the function set by onOwnershipLost.
func (l *Local) signalOwnershipLost() {
	l.mu.Lock()
	f := l.ownershipLost
	l.mu.Unlock()
	f()
}

// submit implements route.
func (l *Local) submit(r scheduler.Request, n sink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spillNew(r, n) {
		return
	}
	o := newOpenRequest(n)
	if l.cellSelector != nil && r.Spilled == "" {
		// A copy, so that requests are not moved to the heap without need.
		kept := r
		o.request = &kept
	}
	l.addRequest(r.ID, o)
	l.step(scheduler.Submit{Request: r})
}

// adopt implements route. It records a slot that another owner granted.
func (l *Local) adopt(r scheduler.Request, h holding, n sink) {
	id := h.upstream
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.requests[r.ID]
	if !ok {
		o = newOpenRequest(n)
		l.addRequest(r.ID, o)
	}
	o.notify = n
	if o.holds(id) {
		if slices.Contains(o.preempted, id) {
			n(scheduler.Preempt{ID: r.ID, Upstream: id})
		}
		return
	}
	o.hold(id)
	l.step(scheduler.Adopt{Request: r, Upstream: id, Unread: h.unread, Granted: h.granted})
}

// report implements route.
func (l *Local) report(e scheduler.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e := e.(type) {
	case scheduler.Finished:
		l.free(e)
	case scheduler.Cancel:
		delete(l.requests, e.ID)
	}
	l.step(e)
}

// setBars implements route.
func (l *Local) setBars(list []scheduler.Bar) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range list {
		l.step(b)
	}
}

// handedOver implements route.
func (l *Local) handedOver(id scheduler.RequestID) { l.report(scheduler.Cancel{ID: id}) }

// finish implements route.
func (l *Local) finish(f scheduler.Finished, last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free(f)
	l.step(f)
	if _, open := l.requests[f.ID]; last && open {
		delete(l.requests, f.ID)
		l.step(scheduler.Cancel{ID: f.ID})
	}
}

// free removes the slot of a finished attempt, and its request when that was the last
// slot. The caller holds mu.
func (l *Local) free(e scheduler.Finished) {
	o, ok := l.requests[e.ID]
	if !ok || !o.holds(e.Upstream) {
		return
	}
	o.drop(e.Upstream)
	if len(o.held) == 0 {
		delete(l.requests, e.ID)
	}
}

// detach ends the notification of a request whose host is out of reach. It returns the
// slots that the request holds; a request that only waits is withdrawn.
func (l *Local) detach(id scheduler.RequestID) []registrar.UpstreamID {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.requests[id]
	if !ok {
		return nil
	}
	if len(o.held) > 0 {
		o.notify = discardAction
		return slices.Clone(o.held)
	}
	delete(l.requests, id)
	l.step(scheduler.Cancel{ID: id})
	return nil
}

// step passes an event to the scheduler and the resulting actions to the requests' sinks.
// It then frees the slots that nobody took. The caller holds mu.
func (l *Local) step(e scheduler.Event) {
	now := l.clock.Now()
	l.apply(now, e)
	for len(l.declined) > 0 {
		last := len(l.declined) - 1
		f := l.declined[last]
		l.declined = l.declined[:last]
		l.free(f)
		l.apply(now, f)
	}
}

// apply passes one event to the scheduler and delivers the resulting actions. It contains
// a panic of the scheduler.
func (l *Local) apply(now time.Time, e scheduler.Event) {
	var actions []scheduler.Action
	began := l.clock.Now()
	defer func() { l.effort.add(e, l.clock.Since(began)) }()
	if !l.restarter.Contain(fmt.Sprintf("scheduler, event %T", e), func() { actions = l.decide(now, e) }) {
		l.reject(e)
	}
	for _, a := range actions {
		l.deliver(a)
	}
}

// reject refuses the submitted request of an event at which the scheduler panicked. Its
// host would otherwise bring it to the next owner of the cell, where the same would
// happen.
func (l *Local) reject(e scheduler.Event) {
	s, ok := e.(scheduler.Submit)
	if !ok {
		return
	}
	if o, open := l.requests[s.Request.ID]; open {
		delete(l.requests, s.Request.ID)
		o.notify(scheduler.Refuse{ID: s.Request.ID, Reason: scheduler.Poisonous})
	}
}

// deliver logs an action or passes it to the sink of its request.
func (l *Local) deliver(a scheduler.Action) {
	switch e := a.(type) {
	case scheduler.Grant:
		l.granted(e.ID, e.Upstream, a)
	case scheduler.Hedge:
		l.granted(e.ID, e.Upstream, a)
	case scheduler.Refuse:
		if o, ok := l.requests[e.ID]; ok {
			delete(l.requests, e.ID)
			o.notify(l.spillRefused(o, e))
		}
	case scheduler.Silence:
		l.logger.Warn("an upstream with running requests shows no sign of life; it gets no new ones for a while",
			zap.String("upstream", string(e.Upstream)), zap.Duration("quiet", e.Quiet), zap.Duration("pause", e.Pause))
	case scheduler.LimitChanged:
		l.logger.Info("the rate limit of an upstream has changed (requests a second from all hosts together)",
			zap.String("upstream", string(e.Upstream)), zap.Uint64("incarnation", uint64(e.Incarnation)),
			zap.Float64("before", float64(e.Before)), zap.Float64("rate", float64(e.Rate)),
			zap.Duration("age", l.clock.Since(e.At)), zap.Float64("share", e.Part))
		l.limitChanged(e.Limit)
	case scheduler.Withhold:
		l.logWithhold(e)
	case scheduler.ReadingSpeed:
		l.logger.Info("the estimate of the time that engines take to read a prompt token has changed",
			zap.String("pool", string(e.Pool)), zap.Duration("before", e.Before), zap.Duration("after", e.After), zap.Int("tokens", e.Tokens))
	case scheduler.Preempt:
		l.logger.Info("asked a running request to continue on another upstream",
			zap.String("request", string(e.ID)), zap.String("upstream", string(e.Upstream)),
			zap.String("cause", string(e.Cause)), zap.String("urgent", string(e.Urgent)))
		if o, ok := l.requests[e.ID]; ok {
			if !slices.Contains(o.preempted, e.Upstream) {
				o.preempted = append(o.preempted, e.Upstream)
			}
			o.notify(a)
		}
	}
}

// logWithhold logs a new verdict on a part of prompts with the crashes that led to it.
func (l *Local) logWithhold(w scheduler.Withhold) {
	fields := []zap.Field{zap.String("pool", string(w.Part.Pool)), zap.String("part", strconv.FormatUint(w.Part.Hash, 16))}
	if !w.Blamed {
		l.logger.Info("requests with a part of a prompt are no longer withheld", fields...)
		return
	}
	var crashes []string
	for _, c := range w.Crashes {
		crashes = append(crashes, fmt.Sprintf("%s at %s by %s", c.Process.Upstream, c.At.UTC().Format(time.RFC3339Nano), c.Organisation))
	}
	l.logger.Warn("requests with a part of a prompt crash upstreams; they are withheld",
		append(fields, zap.Strings("crashes", crashes), zap.Time("until", w.Until))...)
}

// granted records a granted slot and passes it to its request, or to declined when nobody
// takes it.
func (l *Local) granted(id scheduler.RequestID, u registrar.UpstreamID, a scheduler.Action) {
	o, ok := l.requests[id]
	if ok {
		o.hold(u)
	}
	if !ok || !o.notify(a) {
		l.declined = append(l.declined, scheduler.Finished{ID: id, Upstream: u, Outcome: scheduler.Abandoned})
	}
}

// Settle tells the scheduler whether it is the only one of the cell and knows of its
// crashes.
func (l *Local) Settle(settled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if settled != l.settled {
		l.settled = settled
		l.step(scheduler.Settle{Settled: settled})
	}
}

// Crashes returns what the scheduler knows about requests that crash upstreams.
func (l *Local) Crashes() CrashRecords {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	return CrashRecords{Requests: l.scheduler.Crashes(now), Parts: l.scheduler.PartRecords(now)}
}

// Learn passes what other hosts know about requests that crash upstreams to the
// scheduler.
func (l *Local) Learn(records CrashRecords) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(scheduler.Learn{Records: records.Requests, Parts: records.Parts})
}

// Explain returns what the scheduler would do with a request.
func (l *Local) Explain(r scheduler.Request) scheduler.Explanation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Explain(l.clock.Now(), r)
}

// Used counts the slots in use on an upstream, as far as this host knows.
func (l *Local) Used(id registrar.UpstreamID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.UsedSlots(id)
}
