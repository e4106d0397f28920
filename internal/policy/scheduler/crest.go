package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// tickBudget is the largest number of pairs of a waiting request and an engine that a tick
// compares, which takes a small part of TickInterval. Beyond it the owner of a large cell
// would have no processor time left for its links and its part of the control group.
const tickBudget = 16_000

// dispatchTick grants free slots at a tick. During a crest it tries only as many waiting
// requests as tickBudget allows: half of them the most urgent ones, and half those that
// were tried longest ago. The others are tried at one of the next ticks.
func (s *Scheduler) dispatchTick(now time.Time, p *pool) {
	s.unpark(p)
	if most := max(tickBudget/max(len(p.upstreams), 1), 2); s.memory[p.name] > 0 && p.waiting > most {
		for _, r := range p.postponed(now, most) {
			p.park(r)
		}
	}
	s.dispatchQueued(now, p)
}

// postponed lists the waiting requests that are not among the given number to be tried at
// a tick. It leaves out the oldest of each class once it is overdue.
func (p *pool) postponed(now time.Time, most int) []*request {
	var list []*request
	for c, waits := range p.waits {
		if now.Sub(waits[0].queued) >= c.overdue() {
			waits = waits[1:]
		}
		list = append(list, waits...)
	}
	slices.SortFunc(list, byUrgency)
	rest := list[min(most/2, len(list)):]
	slices.SortFunc(rest, func(a, b *request) int { return cmp.Or(a.tried.Compare(b.tried), byUrgency(a, b)) })
	return rest[min(most-most/2, len(rest)):]
}

// byUrgency orders requests by tier and then by the time left.
func byUrgency(a, b *request) int {
	return cmp.Or(cmp.Compare(a.class.tier, b.class.tier), a.due.Compare(b.due), strings.Compare(string(a.ID), string(b.ID)))
}
