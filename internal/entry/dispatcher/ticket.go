package dispatcher

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// reportInterval bounds how often the progress of one attempt is reported, so that the
// owner's work does not grow with every token. The scheduler's estimate of an upstream's
// speed was measured with this interval.
const reportInterval = 500 * time.Millisecond

// route is where requests are scheduled: on this host or at the owner of the cell.
type route interface {
	// submit queues a request. Its actions go to n.
	submit(r scheduler.Request, n sink)
	// adopt records a slot of a request that another route granted.
	adopt(r scheduler.Request, h holding, n sink)
	// report passes an event of an attempt on.
	report(e scheduler.Event)
	// handedOver makes the route forget a request whose slots another route has adopted.
	handedOver(id scheduler.RequestID)
	// finish reports the end of a slot; with the last one the request ends.
	finish(f scheduler.Finished, last bool)
	// setBars reports the upstreams that this host sends no new requests to.
	setBars(list []scheduler.Bar)
}

// holding is a slot in use, as it is reported to another route.
type holding struct {
	upstream registrar.UpstreamID
	// unread is set until the upstream has returned the first token.
	unread bool
	// granted is when the slot was granted, or the zero time if that is not known.
	granted time.Time
}

// finder looks up an upstream in this host's view.
type finder func(registrar.UpstreamID) (registrar.Upstream, bool)

// ticket is one request of this host that waits or holds slots.
type ticket struct {
	request scheduler.Request
	clock   clockwork.Clock
	find    finder
	// isBarred reports whether this host sends an upstream no new requests; nil when no
	// upstream is barred.
	isBarred func(registrar.Upstream) bool

	// orderMu is held while the request is handed over and while its events are reported,
	// so that a route learns of the request before any event of it. It is taken before mu
	// and the locks of the routes; sinks do not take it.
	orderMu sync.Mutex

	mu sync.Mutex
	// route is where the request is scheduled now. Actions from an earlier route carry a
	// lower epoch and are ignored. It changes only with orderMu held.
	route route
	epoch int
	// asked is when the route got the request.
	asked  time.Time
	slots  []*slot
	closed bool
	// own is set once the request has a slot that its host had beforehand.
	own    bool
	result chan grant
	// ended is called once when the request holds no slot any more.
	ended func(scheduler.RequestID)
	// released is called with the time for which a slot was held and how that ended; nil
	// when nobody wants to know.
	released func(*ticket, time.Duration, scheduler.Outcome)

	// first and inline save the usual request two allocations.
	first  slot
	inline [2]*slot
}

// grant is the answer to Acquire; one of its fields is nil.
type grant struct {
	slot    *slot
	refusal *RefusedError
}

// newTicket returns a ticket without a route; move submits it.
func newTicket(r scheduler.Request, c clockwork.Clock, find finder, ended func(scheduler.RequestID)) *ticket {
	t := &ticket{
		request: r,
		clock:   c,
		find:    find,
		ended:   ended,
		result:  make(chan grant, 1),
	}
	t.slots = t.inline[:0]
	return t
}

// slot returns the request's slot at an upstream, or nil. The caller holds mu.
func (t *ticket) slot(id registrar.UpstreamID) *slot {
	for _, s := range t.slots {
		if s.upstream.Name == id {
			return s
		}
	}
	return nil
}

// move hands the request over to another route: held slots are adopted there, and a
// request that still waits is queued again. It reports whether the last route still
// counts slots of the request. If so, the caller has to call its handedOver once no
// request waits there that could be granted them.
func (t *ticket) move(to route) bool {
	t.orderMu.Lock()
	defer t.orderMu.Unlock()
	t.mu.Lock()
	from := t.route
	if t.closed || from == to {
		t.mu.Unlock()
		return false
	}
	t.route = to
	t.asked = t.clock.Now()
	t.epoch++
	notify := t.sink(t.epoch)
	held := make([]holding, 0, len(t.slots))
	for _, s := range t.slots {
		held = append(held, holding{upstream: s.upstreamID(), unread: !s.begun, granted: s.granted})
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

// sink returns the sink for the route of an epoch. It ignores actions after that epoch.
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

// take handles an action and reports whether a granted slot is taken; true for other
// actions. The caller holds mu.
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

// grant answers Acquire. A second grant is not taken, unless it is for the slot that the
// request holds.
func (t *ticket) grant(g scheduler.Grant) bool {
	if len(t.slots) > 0 {
		return t.slot(g.Upstream) != nil
	}
	s := t.openSlot(g.Upstream, g.Priority)
	s.predicted = g.Predicted
	t.result <- grant{slot: s}
	return true
}

// hedge passes a second slot to the holder of the first. It is not taken when the request
// holds no slot or two, or when the upstream is barred.
func (t *ticket) hedge(h scheduler.Hedge) bool {
	if len(t.slots) != 1 {
		return t.slot(h.Upstream) != nil
	}
	s := t.slots[0]
	if s.upstreamID() == h.Upstream {
		return true
	}
	if t.barred(h.Upstream) {
		return false
	}
	s.hedged <- t.openSlot(h.Upstream, h.Priority)
	return true
}

// barred reports whether this host knows the upstream and sends it no new requests.
func (t *ticket) barred(id registrar.UpstreamID) bool {
	if t.isBarred == nil {
		return false
	}
	u, ok := t.find(id)
	return ok && t.isBarred(u)
}

// openSlot adds a slot to the request. The caller holds mu.
func (t *ticket) openSlot(id registrar.UpstreamID, priority int) *slot {
	u, ok := t.find(id)
	if !ok {
		// The owner knows an upstream that this host has not learned yet or has just
		// removed; the attempt fails and is tried on another upstream.
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
	s.granted = t.clock.Now()
	s.reported = s.granted
	t.slots = append(t.slots, s)
	return s
}

// upstreamLost closes the Gone channel of the slot on an upstream.
func (t *ticket) upstreamLost(id registrar.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.slot(id); s != nil && !s.goneClosed {
		s.goneClosed = true
		close(s.gone)
	}
}

// withdraw ends a request whose caller no longer waits. It returns the slot that was
// granted meanwhile, if any.
func (t *ticket) withdraw() *slot {
	t.orderMu.Lock()
	defer t.orderMu.Unlock()
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
	t.orderMu.Lock()
	defer t.orderMu.Unlock()
	t.mu.Lock()
	t.slots = slices.DeleteFunc(t.slots, func(o *slot) bool { return o == s })
	last := len(t.slots) == 0
	t.closed = t.closed || last
	t.mu.Unlock()
	t.route.finish(f, last)
	return last
}

// report passes an event to the current route.
func (t *ticket) report(e scheduler.Event) {
	t.orderMu.Lock()
	defer t.orderMu.Unlock()
	t.route.report(e)
}

// slot implements Slot.
type slot struct {
	ticket    *ticket
	upstream  registrar.Upstream
	priority  int
	predicted time.Duration
	granted   time.Time
	preempted chan struct{}
	gone      chan struct{}
	hedged    chan Slot

	// preemptedClosed, goneClosed and begun are guarded by the ticket's lock.
	preemptedClosed bool
	goneClosed      bool
	// begun is set from the first token on.
	begun bool

	mu       sync.Mutex
	released bool
	reported time.Time
}

// Upstream implements Slot.
func (s *slot) Upstream() registrar.Upstream { return s.upstream }
func (s *slot) Priority() int                { return s.priority }

// Predicted implements Slot.
func (s *slot) Predicted() time.Duration { return s.predicted }

// Preempted implements Slot.
func (s *slot) Preempted() <-chan struct{}       { return s.preempted }
func (s *slot) Gone() <-chan struct{}            { return s.gone }
func (s *slot) Hedged() <-chan Slot              { return s.hedged }
func (s *slot) requestID() scheduler.RequestID   { return s.ticket.request.ID }
func (s *slot) upstreamID() registrar.UpstreamID { return s.upstream.Name }

// preempt closes the Preempted channel. The caller holds the ticket's lock.
func (s *slot) preempt() {
	if !s.preemptedClosed {
		s.preemptedClosed = true
		close(s.preempted)
	}
}

// FirstToken implements Slot.
func (s *slot) FirstToken() {
	s.ticket.mu.Lock()
	s.begun = true
	s.ticket.mu.Unlock()
	s.ticket.report(scheduler.FirstToken{ID: s.requestID(), Upstream: s.upstreamID()})
}

// Progress implements Slot. It reports tokens at most once in a reportInterval.
func (s *slot) Progress(tokens int) {
	now := s.ticket.clock.Now()
	s.mu.Lock()
	due := now.Sub(s.reported) >= reportInterval
	if due {
		s.reported = now
	}
	s.mu.Unlock()
	if due {
		s.ticket.report(scheduler.Progress{ID: s.requestID(), Upstream: s.upstreamID(), Tokens: tokens})
	}
}

// Release implements Slot.
func (s *slot) Release(o scheduler.Outcome, tokens int) {
	s.mu.Lock()
	if s.released {
		s.mu.Unlock()
		return
	}
	s.released = true
	s.mu.Unlock()
	last := s.ticket.finish(s, scheduler.Finished{ID: s.requestID(), Upstream: s.upstreamID(), Outcome: o, Tokens: tokens})
	if s.ticket.released != nil {
		s.ticket.released(s.ticket, s.ticket.clock.Since(s.granted), o)
	}
	if last {
		s.ticket.ended(s.requestID())
		return
	}
	// No hedge is handed to a slot that has ended, so that none is missed here.
	s.drainHedge()
}

// drainHedge releases a hedge that was granted but never received.
func (s *slot) drainHedge() {
	select {
	case h := <-s.hedged:
		h.Release(scheduler.Abandoned, 0)
	default:
	}
}
