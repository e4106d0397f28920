package dispatcher

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// reportInterval bounds how often the progress of one attempt is reported, so
// that the owner's work does not grow with every token. The scheduler's view of
// an upstream's speed was measured with this interval.
const reportInterval = 500 * time.Millisecond

// route is the place where a request is scheduled: this host or the owner.
type route interface {
	submit(r scheduler.Request, n sink)
	adopt(r scheduler.Request, h holding, n sink)
	report(e scheduler.Event)
	// leave ends the part of the route in a request whose slots another route has
	// adopted.
	leave(id scheduler.RequestID)
	// finish reports the end of a slot; with the last one the request ends.
	finish(f scheduler.Finished, last bool)
	// bar tells which upstreams this host stays away from.
	bar(list []scheduler.Bar)
}

// holding is a slot in use, as another route is told of it.
type holding struct {
	upstream registrar.UpstreamID
	// unread is set while the upstream has brought no token.
	unread bool
}

// finder looks an upstream up in this host's view.
type finder func(registrar.UpstreamID) (registrar.Upstream, bool)

// ticket is one request of this host that waits or holds slots.
type ticket struct {
	request scheduler.Request
	clock   clockwork.Clock
	find    finder
	// stays reports whether this host stays away from an upstream; nil for none.
	stays func(registrar.Upstream) bool

	// order is held while the request is handed over and while news of it is
	// reported, so that a route learns of the request before any news of it.
	// It is taken before mu and the locks of the routes; sinks do not take it.
	order sync.Mutex

	mu sync.Mutex
	// route is where the request is scheduled now; actions from an earlier
	// route carry a lower epoch and are ignored. It changes only with order
	// held.
	route  route
	epoch  int
	slots  []*slot
	closed bool
	result chan grant
	// ended is called once when the request holds no slot any more.
	ended func(scheduler.RequestID)

	// first and few save the usual request two allocations.
	first slot
	few   [2]*slot
}

// grant is the answer to Acquire.
type grant struct {
	slot    *slot
	refusal *RefusedError
}

func newTicket(r scheduler.Request, c clockwork.Clock, find finder, ended func(scheduler.RequestID)) *ticket {
	t := &ticket{
		request: r,
		clock:   c,
		find:    find,
		ended:   ended,
		result:  make(chan grant, 1),
	}
	t.slots = t.few[:0]
	return t
}

func (t *ticket) slot(id registrar.UpstreamID) *slot {
	for _, s := range t.slots {
		if s.upstream.Name == id {
			return s
		}
	}
	return nil
}

// move hands the request over to another route: held slots are adopted there
// and a request that still waits is queued again. It reports whether the last route
// still counts slots of the request; it has to leave them once no request waits
// there that could be granted them.
func (t *ticket) move(to route) bool {
	t.order.Lock()
	defer t.order.Unlock()
	t.mu.Lock()
	from := t.route
	if t.closed || from == to {
		t.mu.Unlock()
		return false
	}
	t.route = to
	t.epoch++
	notify := t.sink(t.epoch)
	held := make([]holding, 0, len(t.slots))
	for _, s := range t.slots {
		held = append(held, holding{upstream: s.location(), unread: !s.begun})
	}
	t.mu.Unlock()
	for _, h := range held {
		to.adopt(t.request, h, notify)
	}
	if len(held) > 0 {
		return from != nil
	}
	if from != nil {
		from.report(scheduler.Cancel{ID: t.request.ID})
	}
	r := t.request
	// The request has passed the limits for new ones at the last route.
	r.Moved = r.Moved || from != nil
	to.submit(r, notify)
	return false
}

// holds reports whether the request has a slot.
func (t *ticket) holds() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.slots) > 0
}

func (t *ticket) sink(epoch int) sink {
	return func(a scheduler.Action) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.closed || epoch != t.epoch {
			return false
		}
		return t.take(a)
	}
}

func (t *ticket) take(a scheduler.Action) bool {
	switch a := a.(type) {
	case scheduler.Grant:
		return t.grant(a)
	case scheduler.Refuse:
		t.closed = true
		t.result <- grant{refusal: &RefusedError{Reason: a.Reason, RetryAfter: a.RetryAfter, Cell: a.Cell, Predicted: a.Predicted, Ahead: a.Ahead, Obstacle: a.Obstacle}}
	case scheduler.Preempt:
		if s := t.slot(a.Upstream); s != nil {
			s.preempt()
		}
	case scheduler.Hedge:
		return t.hedge(a)
	}
	return true
}

// grant answers Acquire. A second grant finds nobody who waits for it.
func (t *ticket) grant(g scheduler.Grant) bool {
	if len(t.slots) > 0 {
		return t.slot(g.Upstream) != nil
	}
	s := t.open(g.Upstream, g.Priority)
	s.predicted = g.Predicted
	t.result <- grant{slot: s}
	return true
}

func (t *ticket) hedge(h scheduler.Hedge) bool {
	if len(t.slots) != 1 {
		return t.slot(h.Upstream) != nil
	}
	s := t.slots[0]
	if s.location() == h.Upstream {
		return true
	}
	if t.barred(h.Upstream) {
		return false
	}
	s.hedged <- t.open(h.Upstream, h.Priority)
	return true
}

// barred reports whether this host stays away from an upstream that it knows.
func (t *ticket) barred(id registrar.UpstreamID) bool {
	if t.stays == nil {
		return false
	}
	u, ok := t.find(id)
	return ok && t.stays(u)
}

func (t *ticket) open(id registrar.UpstreamID, priority int) *slot {
	u, ok := t.find(id)
	if !ok {
		// The owner knows an upstream that this host has not learned yet
		// or has just removed; the attempt fails and is tried elsewhere.
		u = registrar.Upstream{Name: id}
	}
	s := &t.first
	if s.ticket != nil {
		s = &slot{}
	}
	s.ticket = t
	s.upstream = u
	s.priority = priority
	s.preempted = make(chan struct{})
	s.gone = make(chan struct{})
	s.hedged = make(chan Slot, 1)
	s.reported = t.clock.Now()
	t.slots = append(t.slots, s)
	return s
}

// lost closes the Gone channel of slots on an upstream.
func (t *ticket) lost(id registrar.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.slot(id); s != nil && !s.left {
		s.left = true
		close(s.gone)
	}
}

// withdraw ends a request whose caller no longer waits. It returns the slot
// that was granted meanwhile, if any.
func (t *ticket) withdraw() *slot {
	t.order.Lock()
	defer t.order.Unlock()
	t.mu.Lock()
	select {
	case g := <-t.result:
		t.mu.Unlock()
		return g.slot
	default:
	}
	t.closed = true
	t.mu.Unlock()
	if t.route != nil {
		t.route.report(scheduler.Cancel{ID: t.request.ID})
	}
	return nil
}

// finish ends a slot and reports whether it was the last one.
func (t *ticket) finish(s *slot, f scheduler.Finished) bool {
	t.order.Lock()
	defer t.order.Unlock()
	t.mu.Lock()
	t.slots = slices.DeleteFunc(t.slots, func(o *slot) bool { return o == s })
	last := len(t.slots) == 0
	t.closed = t.closed || last
	t.mu.Unlock()
	t.route.finish(f, last)
	return last
}

func (t *ticket) report(e scheduler.Event) {
	t.order.Lock()
	defer t.order.Unlock()
	t.route.report(e)
}

// slot implements Slot.
type slot struct {
	ticket    *ticket
	upstream  registrar.Upstream
	priority  int
	predicted time.Duration
	preempted chan struct{}
	gone      chan struct{}
	hedged    chan Slot

	// Guarded by the ticket's lock.
	yielded bool
	left    bool
	// begun is set from the first token on.
	begun bool

	mu       sync.Mutex
	released bool
	reported time.Time
}

func (s *slot) Upstream() registrar.Upstream { return s.upstream }
func (s *slot) Priority() int                { return s.priority }

// Predicted implements Slot.
func (s *slot) Predicted() time.Duration { return s.predicted }

func (s *slot) Preempted() <-chan struct{}     { return s.preempted }
func (s *slot) Gone() <-chan struct{}          { return s.gone }
func (s *slot) Hedged() <-chan Slot            { return s.hedged }
func (s *slot) identity() scheduler.RequestID  { return s.ticket.request.ID }
func (s *slot) location() registrar.UpstreamID { return s.upstream.Name }

func (s *slot) preempt() {
	if !s.yielded {
		s.yielded = true
		close(s.preempted)
	}
}

// FirstToken reports the first token.
func (s *slot) FirstToken() {
	s.ticket.mu.Lock()
	s.begun = true
	s.ticket.mu.Unlock()
	s.ticket.report(scheduler.FirstToken{ID: s.identity(), Upstream: s.location()})
}

// Progress reports tokens, at most once in an interval.
func (s *slot) Progress(tokens int) {
	now := s.ticket.clock.Now()
	s.mu.Lock()
	due := now.Sub(s.reported) >= reportInterval
	if due {
		s.reported = now
	}
	s.mu.Unlock()
	if due {
		s.ticket.report(scheduler.Progress{ID: s.identity(), Upstream: s.location(), Tokens: tokens})
	}
}

// Release ends the attempt; only the first call counts.
func (s *slot) Release(o scheduler.Outcome, tokens int) {
	s.mu.Lock()
	if s.released {
		s.mu.Unlock()
		return
	}
	s.released = true
	s.mu.Unlock()
	if s.ticket.finish(s, scheduler.Finished{ID: s.identity(), Upstream: s.location(), Outcome: o, Tokens: tokens}) {
		s.ticket.ended(s.identity())
		return
	}
	// No hedge is handed to a slot that has ended, so that none is missed here.
	s.drainHedge()
}

// drainHedge releases a hedge that arrived but was never taken.
func (s *slot) drainHedge() {
	select {
	case h := <-s.hedged:
		h.Release(scheduler.Abandoned, 0)
	default:
	}
}
