package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// quantum is how far, in tokens divided by share, an organisation's debt may exceed
// the least one before it has to let the others pass. Between organisations within
// a quantum the order by slack decides.
const quantum = 2048

// overdueSpacing is the number of grants in normal order between two grants to
// overdue requests. Without it, a backlog of overdue low-tier requests would take
// every slot that becomes free and starve the top tier.
const overdueSpacing = 8

// pool holds the requests that wait for one model or service, and the upstreams
// that serve it.
type pool struct {
	name      validator.PoolName
	upstreams []*upstream
	// hashes are the hashes of the upstreams' names, in the same order.
	hashes []uint64
	tiers  [validator.LowestTier + 1]tier
	// waits lists the waiting requests of each class, oldest first.
	waits   map[*class][]*request
	parked  []*request
	waiting int
	retries *retryBudget
	// served is set once the pool has had an upstream.
	served bool
	hedges hedgeBudget
	// queued is the number of waiting requests of each tier.
	queued [validator.LowestTier + 1]int
	// suspects is the number of those that are suspects, which run alone after a
	// crash.
	suspects [validator.LowestTier + 1]int
	// grantsSinceOverdue is the number of grants since an overdue request was last
	// granted out of order.
	grantsSinceOverdue int
	// credits is, for each class with a floor, the number of grants that it is
	// owed.
	credits map[*class]float64
	// rates measures the grants per second to each tier.
	rates [validator.LowestTier + 1]meter
	// meanHold is the mean time in seconds for which a request holds its slot; 0
	// until one has ended.
	meanHold float64
	// pendingRead is the reading time that the waiting requests of each tier will
	// need.
	pendingRead [validator.LowestTier + 1]time.Duration
	// reading estimates how fast the engines read prompts, and reported is the time
	// per token that was last reported.
	reading  reading
	reported time.Duration
	// observed is the same without an assumption, to compare single engines with.
	observed reading
	// preempting is the number of attempts that were asked to free their slot and
	// still hold it; protected is the number of attempts that are never asked.
	preempting, protected int
	// looks is the number of requests for which the last tick looked for an attempt to
	// preempt.
	looks int
	// repeatable is the number of attempts whose requests may be repeated. Only
	// these can be preempted.
	repeatable int
	// typicalGap is the median time between tokens over the upstreams.
	typicalGap time.Duration
	comparedAt time.Time
	// turn is the index of the next engine that is compared in a large pool, and reads the
	// last sums over all engines.
	turn  int
	reads [validator.LowestTier + 1]readSum
}

// tier holds the waiting requests of a tier by organisation.
type tier struct {
	queues []*organisationQueue
	// reads is the reading time that the waiting requests of each organisation will need.
	reads map[*organisation]time.Duration
}

// organisationQueue is a heap of the waiting requests of one organisation in one
// tier, with the least slack first.
type organisationQueue struct {
	organisation *organisation
	requests     []*request
}

func (l *organisationQueue) Len() int           { return len(l.requests) }
func (l *organisationQueue) Less(i, j int) bool { return earlier(l.requests[i], l.requests[j]) }
func (l *organisationQueue) Swap(i, j int) {
	l.requests[i], l.requests[j] = l.requests[j], l.requests[i]
	l.requests[i].index, l.requests[j].index = i, j
}

// Push implements heap.Interface.
func (l *organisationQueue) Push(x any) {
	r := x.(*request)
	r.index = len(l.requests)
	l.requests = append(l.requests, r)
}

// Pop implements heap.Interface.
func (l *organisationQueue) Pop() any {
	last := len(l.requests) - 1
	r := l.requests[last]
	l.requests[last] = nil
	l.requests = l.requests[:last]
	return r
}

// earlier orders by slack, and by ID where the slack is equal, so that runs are
// reproducible.
func earlier(a, b *request) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.ID < b.ID
}

func (t *tier) queue(o *organisation) *organisationQueue {
	for _, l := range t.queues {
		if l.organisation == o {
			return l
		}
	}
	return nil
}

// next returns the request with the least slack among the organisations whose debt
// exceeds the least one by at most a quantum. It returns nil when nothing waits.
func (t *tier) next(level validator.Tier) *request {
	if len(t.queues) == 0 {
		return nil
	}
	least := t.queues[0].organisation.debt[level]
	for _, l := range t.queues[1:] {
		least = min(least, l.organisation.debt[level])
	}
	var best *request
	for _, l := range t.queues {
		if l.organisation.debt[level] > least+quantum {
			continue
		}
		if best == nil || earlier(l.requests[0], best) {
			best = l.requests[0]
		}
	}
	return best
}

func (s *Scheduler) pool(name validator.PoolName) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, reading: newReading(s.perToken), reported: s.perToken, retries: s.budget(name), waits: make(map[*class][]*request), credits: make(map[*class]float64)}
		for _, u := range s.upstreams {
			if !u.gone && u.Serves(name) {
				p.upstreams = append(p.upstreams, u)
				p.served = true
			}
		}
		p.order()
		s.pools[name] = p
	}
	return p
}

// live reports whether the pool has an upstream that is not shutting down, so that
// it can run requests now or soon.
func (p *pool) live() bool {
	for _, u := range p.upstreams {
		if !u.Leaving {
			return true
		}
	}
	return false
}

// enqueue adds a request to the queue of its organisation. The debt of an
// organisation that had nothing waiting is raised to the current virtual time, so
// that it cannot save up unused share; a larger debt is kept.
func (s *Scheduler) enqueue(r *request) {
	p, level := r.pool, r.class.tier
	t := &p.tiers[level]
	l := t.queue(r.organisation)
	if l == nil {
		l = &organisationQueue{organisation: r.organisation}
		t.queues = append(t.queues, l)
		r.organisation.debt[level] = max(r.organisation.debt[level], s.virtualTime[level])
	}
	heap.Push(l, r)
	p.addWait(r)
	p.waiting++
	p.queued[level]++
	if s.memory[p.name] > 0 {
		r.pendingRead = s.leastRead(r)
		p.addReads(r, r.pendingRead)
	}
	if r.suspect {
		p.suspects[level]++
	}
	r.waiting = true
}

func (s *Scheduler) dequeue(r *request) {
	p := r.pool
	if r.parked {
		r.parked = false
		for i := range p.parked {
			if p.parked[i] == r {
				p.parked = append(p.parked[:i], p.parked[i+1:]...)
				break
			}
		}
	} else {
		p.removeFromQueue(r)
	}
	p.waiting--
	p.queued[r.class.tier]--
	p.addReads(r, -r.pendingRead)
	r.pendingRead = 0
	if r.suspect {
		p.suspects[r.class.tier]--
	}
	r.waiting = false
	p.removeWait(r)
}

func (p *pool) removeFromQueue(r *request) {
	t := &p.tiers[r.class.tier]
	l := t.queue(r.organisation)
	heap.Remove(l, r.index)
	if len(l.requests) > 0 {
		return
	}
	for i := range t.queues {
		if t.queues[i] == l {
			last := len(t.queues) - 1
			t.queues[i] = t.queues[last]
			t.queues[last] = nil
			t.queues = t.queues[:last]
			return
		}
	}
}

// park sets aside a request that no upstream may run now although there are free
// slots.
func (p *pool) park(r *request) {
	p.removeFromQueue(r)
	r.parked = true
	p.parked = append(p.parked, r)
}

// unpark returns all parked requests to their queues.
func (s *Scheduler) unpark(p *pool) {
	for _, r := range p.parked {
		t := &p.tiers[r.class.tier]
		l := t.queue(r.organisation)
		if l == nil {
			l = &organisationQueue{organisation: r.organisation}
			t.queues = append(t.queues, l)
		}
		r.parked = false
		heap.Push(l, r)
	}
	clear(p.parked)
	p.parked = p.parked[:0]
}

// addWait inserts the request into the list of its class by the start of its wait.
// Every request is the youngest, except one that waits again: after a preemption
// before its first token, or because it missed its target.
func (p *pool) addWait(r *request) {
	list := p.waits[r.class]
	i := len(list)
	for i > 0 && list[i-1].queued.After(r.queued) {
		i--
	}
	p.waits[r.class] = slices.Insert(list, i, r)
}

// removeWait removes the request from the list of its class.
func (p *pool) removeWait(r *request) {
	list := p.waits[r.class]
	switch i := slices.Index(list, r); {
	case i < 0:
		return
	case len(list) == 1:
		delete(p.waits, r.class)
	case i == 0:
		list[0] = nil
		p.waits[r.class] = list[1:]
	default:
		p.waits[r.class] = slices.Delete(list, i, i+1)
	}
}

// overdue returns the request, of any tier, that has waited longest among those
// that are close to the maximum wait of their class, or nil when there is none.
func (p *pool) overdue(now time.Time) *request {
	var oldest *request
	for c, list := range p.waits {
		if list[0].parked || now.Sub(list[0].queued) < c.overdue() {
			continue
		}
		r := list[0]
		if oldest == nil || r.queued.Before(oldest.queued) || r.queued.Equal(oldest.queued) && earlier(r, oldest) {
			oldest = r
		}
	}
	return oldest
}

// next returns the request that gets the next slot, and whether it is overdue.
func (p *pool) next(now time.Time) (*request, bool) {
	if p.grantsSinceOverdue >= overdueSpacing {
		if r := p.overdue(now); r != nil {
			return r, true
		}
	}
	if r := p.owed(); r != nil {
		return r, false
	}
	for level := range p.tiers {
		if r := p.tiers[level].next(validator.Tier(level)); r != nil {
			return r, false
		}
	}
	return nil, false
}

// maxCredit bounds the grants that a class is owed or has received in advance, so
// that a floor reflects the present and not the last minutes.
const maxCredit = 2

// owed returns the oldest waiting request of the class that is owed the most
// grants, or nil when none is owed one. The floor of a lower tier does not apply
// while the top tier waits: top-tier requests are never refused to make room for
// it.
func (p *pool) owed() *request {
	var best *request
	most := 0.0
	for c, credit := range p.credits {
		list := p.waits[c]
		if credit < 1 || len(list) == 0 || list[0].parked || c.tier > 0 && p.queued[0] > 0 {
			continue
		}
		r := list[0]
		if best == nil || credit > most || credit == most && earlier(r, best) {
			best, most = r, credit
		}
	}
	return best
}

// credit counts a grant to a class against the floors of all classes that wait.
func (p *pool) credit(granted *class) {
	for c, list := range p.waits {
		if c.floor > 0 && len(list) > 0 {
			p.credits[c] = min(p.credits[c]+c.floor, maxCredit)
		}
	}
	if granted.floor > 0 {
		p.credits[granted] = max(p.credits[granted]-1, -maxCredit)
	}
}

// eventBudget is the largest number of pairs of a waiting request and an engine
// that may be compared at each event, which takes about 0.1 ms. With more pairs,
// waiting requests are placed only at ticks: during a crest there are as many
// events as requests.
const eventBudget = 1000

// busy reports whether the pool has so many waiting requests and engines that
// waiting requests are placed only at ticks.
func (s *Scheduler) busy(p *pool) bool {
	return s.memory[p.name] > 0 && p.waiting*len(p.upstreams) > eventBudget
}

// dispatchNew grants a slot to a request that has just been queued, if there is
// one. In a busy pool the request only goes ahead of requests in lower tiers: the
// others have waited longer.
func (s *Scheduler) dispatchNew(now time.Time, r *request) {
	p := r.pool
	switch {
	case !s.busy(p):
		s.dispatch(now, p)
	case p.waitingUpTo(r.class.tier) > 1:
	default:
		if u := s.choose(now, r); u != nil {
			s.grant(now, r, u, false)
		}
	}
}

// waitingUpTo returns the number of requests that wait in a tier and in the tiers
// above it.
func (p *pool) waitingUpTo(level validator.Tier) int {
	n := 0
	for i := range level + 1 {
		n += p.queued[i]
	}
	return n
}

// dispatchSoon grants free slots after an event, or leaves them to the next tick
// when the pool is busy.
func (s *Scheduler) dispatchSoon(now time.Time, p *pool) {
	if !s.busy(p) {
		s.dispatch(now, p)
	}
}

// dispatch grants free slots to the waiting requests in order.
func (s *Scheduler) dispatch(now time.Time, p *pool) {
	s.unpark(p)
	s.dispatchQueued(now, p, p.waiting)
}

// dispatchQueued grants free slots to the waiting requests in order, until the given number
// of them is parked.
func (s *Scheduler) dispatchQueued(now time.Time, p *pool, most int) {
	for p.waiting > len(p.parked) && len(p.parked) < most && p.free(now) {
		r, overdue := p.next(now)
		u := s.choose(now, r)
		if u == nil {
			p.park(r)
			continue
		}
		s.grant(now, r, u, overdue)
	}
}

// grant gives a waiting request a slot on u.
func (s *Scheduler) grant(now time.Time, r *request, u *upstream, overdue bool) {
	p := r.pool
	s.virtualTime[r.class.tier] = max(s.virtualTime[r.class.tier], r.organisation.debt[r.class.tier])
	p.credit(r.class)
	s.dequeue(r)
	a := s.start(now, r, u)
	a.paid, r.prepaid = r.payRepeat(), false
	u.spend(now)
	p.grantsSinceOverdue++
	if overdue {
		p.grantsSinceOverdue = 0
		p.protect(a)
	}
	p.rates[r.class.tier].add(now)
	s.actions = append(s.actions, Grant{ID: r.ID, Upstream: u.Name, Priority: r.class.priority, Predicted: a.predicted()})
}
