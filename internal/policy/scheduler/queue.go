package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// quantum is the lead in tokens by share that an organisation may have over the
// one with the least debt before it has to let the others pass. It lets the
// order by slack decide between organisations that use about the same.
const quantum = 2048

// overdueSpacing is the number of grants in the usual order between two grants
// to overdue work. Without it a backlog of overdue low-tier work would take
// every slot that frees and starve the top tier.
const overdueSpacing = 8

// pool holds the requests that wait for one model or service, and the
// upstreams that serve it.
type pool struct {
	name      validator.PoolName
	upstreams []*upstream
	tiers     [validator.LowestTier + 1]tier
	// ages lists the waiting requests of each class, oldest first.
	ages    map[*class][]age
	parked  []*request
	waiting int
	retries retryBudget
	hedges  hedgeBudget
	// queued counts the waiting requests of each tier.
	queued [validator.LowestTier + 1]int
	// suspects counts those of them that run alone after a crash.
	suspects [validator.LowestTier + 1]int
	// sinceOverdue counts the grants since the last one that was made out of
	// order to overdue work.
	sinceOverdue int
	// credits count, for each class with a floor, the grants that it is owed.
	credits map[*class]float64
	// rates are the grants a second to each tier.
	rates [validator.LowestTier + 1]meter
	// hold is the mean time in seconds for which a request holds its slot.
	hold float64
	// toRead is what the engines have to read for the waiting requests of each
	// tier.
	toRead [validator.LowestTier + 1]time.Duration
	// reading is how fast the engines read prompts, and reported the time for one
	// token that was reported last.
	reading  reading
	reported time.Duration
	// preempting counts the attempts that were asked to give way and still
	// hold their slot; protected counts those that are never asked.
	preempting, protected int
	// repeatable counts the attempts of requests that may be repeated; only those
	// can give way.
	repeatable int
	// typical is the median time between tokens of the upstreams.
	typical  time.Duration
	compared time.Time
}

// age is the start of a wait; it is void once the request waits no more.
type age struct {
	request *request
	queued  time.Time
}

func (a age) valid() bool { return a.request.waiting && a.request.queued.Equal(a.queued) }

// tier holds the waiting requests of a tier by organisation.
type tier struct{ lanes []*lane }

// lane holds the waiting requests of an organisation, least slack first.
type lane struct {
	organisation *organisation
	requests     []*request
}

func (l *lane) Len() int           { return len(l.requests) }
func (l *lane) Less(i, j int) bool { return earlier(l.requests[i], l.requests[j]) }
func (l *lane) Swap(i, j int) {
	l.requests[i], l.requests[j] = l.requests[j], l.requests[i]
	l.requests[i].index, l.requests[j].index = i, j
}

// Push implements heap.Interface.
func (l *lane) Push(x any) {
	r := x.(*request)
	r.index = len(l.requests)
	l.requests = append(l.requests, r)
}

// Pop implements heap.Interface.
func (l *lane) Pop() any {
	last := len(l.requests) - 1
	r := l.requests[last]
	l.requests[last] = nil
	l.requests = l.requests[:last]
	return r
}

// earlier orders by slack, then by ID so that runs can be repeated.
func earlier(a, b *request) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.ID < b.ID
}

func (t *tier) lane(o *organisation) *lane {
	for _, l := range t.lanes {
		if l.organisation == o {
			return l
		}
	}
	return nil
}

// next returns the request with the least slack among the organisations whose
// debt is within a quantum of the least.
func (t *tier) next(level validator.Tier) *request {
	if len(t.lanes) == 0 {
		return nil
	}
	least := t.lanes[0].organisation.debt[level]
	for _, l := range t.lanes[1:] {
		least = min(least, l.organisation.debt[level])
	}
	var best *request
	for _, l := range t.lanes {
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
		p = &pool{name: name, reading: newReading(), reported: defaultPerToken, ages: make(map[*class][]age), credits: make(map[*class]float64)}
		for _, u := range s.upstreams {
			if !u.gone && u.Serves(name) {
				p.upstreams = append(p.upstreams, u)
			}
		}
		sortUpstreams(p.upstreams)
		s.pools[name] = p
	}
	return p
}

// live reports whether any upstream can take work now or soon.
func (p *pool) live() bool {
	for _, u := range p.upstreams {
		if !u.Leaving {
			return true
		}
	}
	return false
}

// enqueue adds a request to its lane. An organisation that had nothing waiting
// starts at the current virtual time, so that it cannot save up unused share,
// and keeps a debt that is larger.
func (s *Scheduler) enqueue(r *request) {
	p, level := r.pool, r.class.tier
	t := &p.tiers[level]
	l := t.lane(r.organisation)
	if l == nil {
		l = &lane{organisation: r.organisation}
		t.lanes = append(t.lanes, l)
		r.organisation.debt[level] = max(r.organisation.debt[level], s.virtual[level])
	}
	heap.Push(l, r)
	p.addAge(r)
	p.waiting++
	p.queued[level]++
	if s.memory[p.name] > 0 {
		r.toRead = s.leastRead(r)
		p.toRead[level] += r.toRead
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
		p.leaveLane(r)
	}
	p.waiting--
	p.queued[r.class.tier]--
	p.toRead[r.class.tier] -= r.toRead
	r.toRead = 0
	if r.suspect {
		p.suspects[r.class.tier]--
	}
	r.waiting = false
	p.trimAges(r.class)
}

func (p *pool) leaveLane(r *request) {
	t := &p.tiers[r.class.tier]
	l := t.lane(r.organisation)
	heap.Remove(l, r.index)
	if len(l.requests) > 0 {
		return
	}
	for i := range t.lanes {
		if t.lanes[i] == l {
			last := len(t.lanes) - 1
			t.lanes[i] = t.lanes[last]
			t.lanes[last] = nil
			t.lanes = t.lanes[:last]
			return
		}
	}
}

// park sets aside a request that no upstream may run now although there are
// free slots.
func (p *pool) park(r *request) {
	p.leaveLane(r)
	r.parked = true
	p.parked = append(p.parked, r)
}

// unpark returns all parked requests to their lanes.
func (s *Scheduler) unpark(p *pool) {
	for _, r := range p.parked {
		t := &p.tiers[r.class.tier]
		l := t.lane(r.organisation)
		if l == nil {
			l = &lane{organisation: r.organisation}
			t.lanes = append(t.lanes, l)
		}
		r.parked = false
		heap.Push(l, r)
	}
	clear(p.parked)
	p.parked = p.parked[:0]
}

// addAge keeps the list of the class in order; only a request that was preempted
// before its first token is not the youngest.
func (p *pool) addAge(r *request) {
	list := p.ages[r.class]
	i := len(list)
	for i > 0 && list[i-1].queued.After(r.queued) {
		i--
	}
	p.ages[r.class] = slices.Insert(list, i, age{request: r, queued: r.queued})
}

// trimAges drops the requests at the front that no longer wait.
func (p *pool) trimAges(c *class) {
	list := p.ages[c]
	i := 0
	for i < len(list) && !list[i].valid() {
		list[i] = age{}
		i++
	}
	if i == len(list) {
		delete(p.ages, c)
		return
	}
	p.ages[c] = list[i:]
}

// overdue returns the oldest waiting request that nears the wait of its class,
// whatever its tier.
func (p *pool) overdue(now time.Time) *request {
	var oldest *request
	for c, list := range p.ages {
		if len(list) == 0 || list[0].request.parked || now.Sub(list[0].queued) < c.overdue() {
			continue
		}
		r := list[0].request
		if oldest == nil || r.queued.Before(oldest.queued) || r.queued.Equal(oldest.queued) && earlier(r, oldest) {
			oldest = r
		}
	}
	return oldest
}

// next returns the request that takes the next slot, and whether it is overdue.
func (p *pool) next(now time.Time) (*request, bool) {
	if p.sinceOverdue >= overdueSpacing {
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

// maxCredit bounds the grants that a class is owed, or has had in advance, so
// that a floor acts on the present and not on the last minutes.
const maxCredit = 2

// owed returns the oldest waiting request of the class that is owed most. The
// floor of a lower tier does not count while the top tier waits, which is never
// refused to make room for it.
func (p *pool) owed() *request {
	var best *request
	most := 0.0
	for c, credit := range p.credits {
		list := p.ages[c]
		if credit < 1 || len(list) == 0 || list[0].request.parked || c.tier > 0 && p.queued[0] > 0 {
			continue
		}
		r := list[0].request
		if best == nil || credit > most || credit == most && earlier(r, best) {
			best, most = r, credit
		}
	}
	return best
}

// credit counts a grant to a class against the floors of all waiting ones.
func (p *pool) credit(granted *class) {
	for c, list := range p.ages {
		if c.floor > 0 && len(list) > 0 {
			p.credits[c] = min(p.credits[c]+c.floor, maxCredit)
		}
	}
	if granted.floor > 0 {
		p.credits[granted] = max(p.credits[granted]-1, -maxCredit)
	}
}

// eventBudget is the number of pairs of a waiting request and an engine that may be
// compared at each event, about 0.1 ms. With more only a tick places the waiting
// requests: in a crest there are as many events as requests.
const eventBudget = 1000

// busy reports whether only ticks place what waits for the engines of the pool.
func (s *Scheduler) busy(p *pool) bool {
	return s.memory[p.name] > 0 && p.waiting*len(p.upstreams) > eventBudget
}

// dispatchNew grants a slot to a request that has just begun to wait, if there is one.
// In a busy pool it goes before what waits in lower tiers only: the others have
// waited for longer.
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

// waitingUpTo counts what waits in a tier and those above it.
func (p *pool) waitingUpTo(level validator.Tier) int {
	n := 0
	for i := range level + 1 {
		n += p.queued[i]
	}
	return n
}

// dispatchSoon grants free slots after an event, or leaves that to the next tick.
func (s *Scheduler) dispatchSoon(now time.Time, p *pool) {
	if !s.busy(p) {
		s.dispatch(now, p)
	}
}

// dispatch grants free slots to waiting requests in order.
func (s *Scheduler) dispatch(now time.Time, p *pool) {
	s.unpark(p)
	for p.waiting > len(p.parked) && p.free(now) {
		r, overdue := p.next(now)
		u := s.choose(now, r)
		if u == nil {
			p.park(r)
			continue
		}
		s.grant(now, r, u, overdue)
	}
}

// grant gives a waiting request a slot.
func (s *Scheduler) grant(now time.Time, r *request, u *upstream, overdue bool) {
	p := r.pool
	s.virtual[r.class.tier] = max(s.virtual[r.class.tier], r.organisation.debt[r.class.tier])
	p.credit(r.class)
	s.dequeue(r)
	a := s.start(now, r, u)
	u.spend(now)
	p.sinceOverdue++
	if overdue {
		p.sinceOverdue = 0
		p.protect(a)
	}
	p.rates[r.class.tier].add(now)
	s.actions = append(s.actions, Grant{ID: r.ID, Upstream: u.Name, Priority: r.class.priority, Predicted: a.predicted()})
}
