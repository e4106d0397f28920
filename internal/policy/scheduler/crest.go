package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// crestPart is the part of the time that a request has until its target, without the time
// to read its prompt, that its predicted wait has to exceed for it to be refused on arrival.
// The rest is left for engines whose queue is longer than predicted. A request that waits
// until its target is missed takes the place of one that could still meet it, so that in a
// crest all would be late.
const crestPart = 0.7

// crestWaitPart is the same for classes without such a target, as a part of the maximum
// wait.
const crestWaitPart = 0.8

// tickBudget is the largest number of pairs of a waiting request and an engine that a tick
// compares in vain, which takes a small part of TickInterval. Beyond it the owner of a
// large cell would have no processor time left for its links and its part of the control
// group.
const tickBudget = 16_000

// dispatchTick grants free slots at a tick. During a crest it ends once it has tried as many
// requests in vain as tickBudget allows: half of them in the usual order, and half in the
// order in which they were last tried, so that requests that can't be placed don't hide
// those behind them.
func (s *Scheduler) dispatchTick(now time.Time, p *pool) {
	most := max(tickBudget/max(len(p.upstreams), 1), 2)
	if s.memory[p.name] == 0 || p.waiting <= most {
		s.dispatch(now, p)
		return
	}
	s.unpark(p)
	s.dispatchQueued(now, p, most/2)
	for _, r := range p.longestUntried() {
		if len(p.parked) >= most || !p.free(now) {
			return
		}
		if u := s.choose(now, r); u != nil {
			s.grant(now, r, u, false)
			continue
		}
		p.park(r)
	}
}

// longestUntried lists the waiting requests that are not parked, those first that were tried
// longest ago.
func (p *pool) longestUntried() []*request {
	list := make([]*request, 0, p.waiting)
	for _, waits := range p.waits {
		for _, r := range waits {
			if !r.parked {
				list = append(list, r)
			}
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Or(a.tried.Compare(b.tried), byUrgency(a, b)) })
	return list
}

// byUrgency orders requests by tier and then by the time left.
func byUrgency(a, b *request) int {
	return cmp.Or(cmp.Compare(a.class.tier, b.class.tier), a.due.Compare(b.due), strings.Compare(string(a.ID), string(b.ID)))
}

// crowdedEngines predicts whether a request like this one cannot begin in time, and notes what
// keeps it waiting. It returns false while there are requests of lower tiers to read, because these
// give way.
func (s *Scheduler) crowdedEngines(now time.Time, r *request) bool {
	p := r.pool
	for level := r.class.tier + 1; level <= validator.LowestTier; level++ {
		if p.pendingRead[level] > 0 || p.readSum(now, level).unread > 0 {
			return false
		}
	}
	if s.predictedWait(now, p, r) <= s.longestQueue(r) {
		return false
	}
	r.obstacle = Crest
	return true
}

// longestQueue returns the predicted wait up to which a request like this one waits for an
// engine.
func (s *Scheduler) longestQueue(r *request) time.Duration {
	c := r.class
	if c.first == 0 {
		return time.Duration(crestWaitPart * float64(c.wait))
	}
	left := max(c.first-startOverhead-s.leastRead(r), c.first/2)
	return min(time.Duration(crestPart*float64(left)), c.wait)
}

// predictedWait predicts how long the engines need to read what is ahead of a new
// request, assuming that each prompt is read on the engine that holds most of it and that
// the engines with the shortest backlogs take what waits. Requests of lower tiers are not
// counted, since they must not be the reason for a refusal. In its own tier each other
// organisation is ahead with no more than the request's organisation would have waiting, in
// proportion to their shares, because the organisations take turns.
func (s *Scheduler) predictedWait(now time.Time, p *pool, r *request) time.Duration {
	level := r.class.tier
	t := &p.tiers[level]
	queue := time.Duration(0)
	for i := range level {
		queue += p.pendingRead[i]
	}
	turn := t.reads[r.organisation]
	if !r.waiting {
		turn += s.leastRead(r)
	}
	for o, read := range t.reads {
		if o != r.organisation {
			read = min(read, time.Duration(float64(turn)*o.share/r.organisation.share))
		}
		queue += read
	}
	return p.readSum(now, level).drained(queue)
}

// addReads adds the reading time of a waiting request to the sums of its tier.
func (p *pool) addReads(r *request, d time.Duration) {
	if d == 0 {
		return
	}
	p.pendingRead[r.class.tier] += d
	t := &p.tiers[r.class.tier]
	if t.reads == nil {
		t.reads = make(map[*organisation]time.Duration)
	}
	if t.reads[r.organisation] += d; t.reads[r.organisation] <= 0 {
		delete(t.reads, r.organisation)
	}
}
