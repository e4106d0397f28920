package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

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
