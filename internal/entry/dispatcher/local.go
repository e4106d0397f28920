package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/restarter"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// idleInterval is the time between two ticks of a scheduler without requests, which
// most hosts have at most times. Little depends on it then.
const idleInterval = 500 * time.Millisecond

// sink receives the actions for one request and reports whether somebody takes
// the slot of a grant or hedge; otherwise the slot is freed. It is called with
// the lock of its route held, so it must neither block nor call back.
type sink func(a scheduler.Action) bool

// unattended is the sink of a request whose host is out of reach.
func unattended(scheduler.Action) bool { return false }

// open is a request that waits or holds slots.
type open struct {
	notify sink
	held   []registrar.UpstreamID
	// few is the array of held for the usual request: it and its hedge.
	few [2]registrar.UpstreamID
	// preempted lists the slots that have to be given up. A host whose link
	// broke is told again when it reports them.
	preempted []registrar.UpstreamID
	// request is kept only while another cell may take it.
	request *scheduler.Request
}

func newOpen(n sink) *open {
	o := &open{notify: n}
	o.held = o.few[:0]
	return o
}

func (o *open) holds(id registrar.UpstreamID) bool { return slices.Contains(o.held, id) }

func (o *open) hold(id registrar.UpstreamID) {
	if !o.holds(id) {
		o.held = append(o.held, id)
	}
}

func (o *open) drop(id registrar.UpstreamID) {
	o.held = slices.DeleteFunc(o.held, func(h registrar.UpstreamID) bool { return h == id })
}

// Local runs the scheduler of a cell on this host. The cell is the unit of
// sharding, so one lock guards it.
type Local struct {
	clock     clockwork.Clock
	logger    *zap.Logger
	restarter restarter.Restarter

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	// decide is the scheduler's Step.
	decide    func(time.Time, scheduler.Event) []scheduler.Action
	upstreams map[registrar.UpstreamID]registrar.Upstream
	// known holds the same for readers without the lock.
	known    sync.Map
	requests map[scheduler.RequestID]*open
	// declined lists the slots that nobody took in the current step.
	declined []scheduler.Finished
	hosts    int
	settled  bool
	disown   func()
	// ownership is shared by the two sides of the cell on this host.
	ownership ownership
	// limits is the number of limits that the scheduler knows, for readers without the
	// lock, and limitChanged takes those that change.
	limits atomic.Int64
	// links is the number of hosts that have a link to this one as the owner.
	links        atomic.Int64
	limitChanged func(scheduler.Limit)
	// elsewhere is nil on a host that works with no other cell.
	elsewhere CellSelector

	// busy wakes the ticks when the first request comes.
	busy  chan struct{}
	stop  chan struct{}
	group conc.WaitGroup
}

// LocalOption changes a new Local.
type LocalOption func(*Local)

// WithLogger logs the decisions of the scheduler that no host of a request can
// explain from what it sees itself.
func WithLogger(z *zap.Logger) LocalOption { return func(l *Local) { l.logger = z } }

// NewLocal starts a scheduler that ticks until Close.
func NewLocal(s *scheduler.Scheduler, c clockwork.Clock, options ...LocalOption) *Local {
	l := &Local{
		clock:     c,
		logger:    zap.NewNop(),
		scheduler: s,
		decide:    s.Step,
		upstreams: map[registrar.UpstreamID]registrar.Upstream{},
		requests:  map[scheduler.RequestID]*open{},
		hosts:     1,
		disown:    func() {},

		limitChanged: func(scheduler.Limit) {},
		busy:         make(chan struct{}, 1),
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

func (l *Local) tick() {
	t := l.clock.NewTimer(scheduler.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-l.busy:
			t.Reset(scheduler.TickInterval)
			continue
		case <-t.Chan():
		}
		t.Reset(l.pass())
	}
}

// pass lets time pass at the scheduler and returns when it has to again.
func (l *Local) pass() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(scheduler.Tick{})
	l.evacuate()
	if len(l.requests) > 0 {
		return scheduler.TickInterval
	}
	return idleInterval
}

// begin records a request of this host or another one.
func (l *Local) begin(id scheduler.RequestID, o *open) {
	l.requests[id] = o
	if len(l.requests) > 1 {
		return
	}
	select {
	case l.busy <- struct{}{}:
	default:
	}
}

// Configure puts a configuration in force.
func (l *Local) Configure(d *validator.Document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(scheduler.Configure{Document: d})
}

// Observe reports a new or changed upstream.
func (l *Local) Observe(u registrar.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upstreams[u.Name] = u
	l.known.Store(u.Name, u)
	l.step(scheduler.Observe{Upstream: l.divided(u)})
}

// Forget reports that an upstream has gone.
func (l *Local) Forget(id registrar.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.upstreams, id)
	l.known.Delete(id)
	l.step(scheduler.Forget{Upstream: id})
}

// upstream returns an upstream that the scheduler may grant.
func (l *Local) upstream(id registrar.UpstreamID) (registrar.Upstream, bool) {
	u, ok := l.known.Load(id)
	if !ok {
		return registrar.Upstream{}, false
	}
	return u.(registrar.Upstream), true
}

// engines lists the upstreams that keep parts of prompts.
func (l *Local) engines() []registrar.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Engines()
}

// keep passes on what an upstream keeps of prompts.
func (l *Local) keep(k scheduler.Kept) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(k)
}

// Divide limits the scheduler to one host's part of each upstream's slots
// while several hosts dispatch on their own.
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

func (l *Local) divided(u registrar.Upstream) registrar.Upstream {
	u.Slots = (u.Slots + l.hosts - 1) / l.hosts
	return u
}

// onDisowned sets what is called, again and again, while this host does not own
// the cell.
func (l *Local) onDisowned(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disown = f
}

func (l *Local) disowned() {
	l.mu.Lock()
	f := l.disown
	l.mu.Unlock()
	f()
}

// submit queues a request.
func (l *Local) submit(r scheduler.Request, n sink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.divert(r, n) {
		return
	}
	o := newOpen(n)
	if l.elsewhere != nil && r.Spilled == "" {
		// A copy, so that requests are not moved to the heap without need.
		kept := r
		o.request = &kept
	}
	l.begin(r.ID, o)
	l.step(scheduler.Submit{Request: r})
}

// adopt records a slot that another owner granted.
func (l *Local) adopt(r scheduler.Request, h holding, n sink) {
	id := h.upstream
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.requests[r.ID]
	if !ok {
		o = newOpen(n)
		l.begin(r.ID, o)
	}
	o.notify = n
	if o.holds(id) {
		if slices.Contains(o.preempted, id) {
			n(scheduler.Preempt{ID: r.ID, Upstream: id})
		}
		return
	}
	o.hold(id)
	l.step(scheduler.Adopt{Request: r, Upstream: id, Unread: h.unread})
}

// report passes on news of an attempt.
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

// bar implements route.
func (l *Local) bar(list []scheduler.Bar) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range list {
		l.step(b)
	}
}

// leave implements route.
func (l *Local) leave(id scheduler.RequestID) { l.report(scheduler.Cancel{ID: id}) }

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

// detach ends the notification of a request whose host is out of reach. It
// returns the slots that the request holds; one that only waits is withdrawn.
func (l *Local) detach(id scheduler.RequestID) []registrar.UpstreamID {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.requests[id]
	if !ok {
		return nil
	}
	if len(o.held) > 0 {
		o.notify = unattended
		return slices.Clone(o.held)
	}
	delete(l.requests, id)
	l.step(scheduler.Cancel{ID: id})
	return nil
}

// step feeds the scheduler and hands its actions to the requests' sinks.
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

func (l *Local) apply(now time.Time, e scheduler.Event) {
	var actions []scheduler.Action
	if !l.restarter.Contain(fmt.Sprintf("scheduler, event %T", e), func() { actions = l.decide(now, e) }) {
		l.reject(e)
	}
	for _, a := range actions {
		l.deliver(a)
	}
}

// reject ends the request of an event that the scheduler failed at: its host would bring
// it to the next owner of the cell, and that would fail as well.
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

func (l *Local) deliver(a scheduler.Action) {
	switch e := a.(type) {
	case scheduler.Grant:
		l.granted(e.ID, e.Upstream, a)
	case scheduler.Hedge:
		l.granted(e.ID, e.Upstream, a)
	case scheduler.Refuse:
		if o, ok := l.requests[e.ID]; ok {
			delete(l.requests, e.ID)
			o.notify(l.reconsider(o, e))
		}
	case scheduler.Silence:
		l.logger.Warn("an upstream with work shows no sign of life; it gets no more for a time",
			zap.String("upstream", string(e.Upstream)), zap.Duration("quiet", e.Quiet), zap.Duration("pause", e.Pause))
	case scheduler.LimitChanged:
		l.logger.Info("an upstream takes another number of requests a second from all hosts together",
			zap.String("upstream", string(e.Upstream)), zap.Uint64("incarnation", uint64(e.Incarnation)),
			zap.Float64("before", float64(e.Before)), zap.Float64("rate", float64(e.Rate)),
			zap.Duration("age", l.clock.Since(e.At)), zap.Float64("share", e.Part))
		l.limitChanged(e.Limit)
	case scheduler.ReadingSpeed:
		l.logger.Info("the time that engines take to read a prompt is believed to have changed",
			zap.String("pool", string(e.Pool)), zap.Duration("before", e.Before), zap.Duration("after", e.After), zap.Int("tokens", e.Tokens))
	case scheduler.Preempt:
		l.logger.Info("a request is asked to go on elsewhere",
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

func (l *Local) granted(id scheduler.RequestID, u registrar.UpstreamID, a scheduler.Action) {
	o, ok := l.requests[id]
	if ok {
		o.hold(u)
	}
	if !ok || !o.notify(a) {
		l.declined = append(l.declined, scheduler.Finished{ID: id, Upstream: u, Outcome: scheduler.Abandoned})
	}
}

// Settle tells the scheduler whether it is the only one of the cell.
func (l *Local) Settle(settled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if settled != l.settled {
		l.settled = settled
		l.step(scheduler.Settle{Settled: settled})
	}
}

// Crashes returns what the scheduler knows about requests that crash upstreams.
func (l *Local) Crashes() []detector.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Crashes(l.clock.Now())
}

// Learn reports what other hosts know about requests that crash upstreams.
func (l *Local) Learn(records []detector.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(scheduler.Learn{Records: records})
}

// Explain tells what the scheduler would do with a request.
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
