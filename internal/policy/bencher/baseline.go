// Package bencher measures the scheduler in virtual time.
//
// Simulated engines and callers run under a router: one of two baselines, the
// scheduler of this project as the only dispatcher of a cell with its network round
// trips, or a bound with perfect knowledge. Workloads are data and seeds are fixed,
// so that a measurement gives the same result each time.
//
// # Usage
//
//	list := bencher.Measure(bencher.Workloads(), bencher.Policies(), []uint64{11, 12, 13}, 3)
//	err := bencher.WriteTable(os.Stdout, list)
package bencher

import (
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// roundRobin is a baseline with a first-in first-out queue on each entry host,
// which may use an equal part of the slots and takes the engines in turn.
type roundRobin struct {
	*system
	hosts []hostQueue
}

// hostQueue is the state of one entry host: its waiting calls, the number of its
// running calls, and the number of the engine that is next.
type hostQueue struct {
	queue   []*call
	running int
	next    int
}

func newRoundRobin(s *system) router {
	r := &roundRobin{system: s, hosts: make([]hostQueue, s.workload.Hosts)}
	for i := range r.hosts {
		r.hosts[i].next = i
	}
	return r
}

func (b *roundRobin) report(registrar.Upstream) {}

func (b *roundRobin) arrive(c *call) {
	h := &b.hosts[c.host]
	h.queue = append(h.queue, c)
	b.dispatch(h)
}

func (b *roundRobin) dispatch(h *hostQueue) {
	limit := (len(b.engines)*b.workload.Slots + len(b.hosts) - 1) / len(b.hosts)
	for h.running < limit && len(h.queue) > 0 {
		c := h.queue[0]
		h.queue = h.queue[1:]
		if c.ended() {
			continue
		}
		e := b.engines[h.next%len(b.engines)]
		h.next++
		h.running++
		b.launch(c, e, 0, hooks{end: func(r *run, o scheduler.Outcome) {
			h.running--
			if o != scheduler.Completed && !c.ended() {
				h.queue = append([]*call{c}, h.queue...)
			}
			b.dispatch(h)
		}})
	}
}

func (b *roundRobin) leave(c *call) {
	h := &b.hosts[c.host]
	for len(c.runs) > 0 {
		b.drop(c.runs[0])
		h.running--
	}
	b.dispatch(h)
}

// leastRequests is a baseline that sends each call to the engine with the fewest
// requests, according to the engine's last report and what the host itself has sent
// since. It passes the tier as the priority.
type leastRequests struct {
	*system
	reports map[registrar.UpstreamID]registrar.Load
	sent    []map[registrar.UpstreamID]int
}

func newLeastRequests(s *system) router {
	l := &leastRequests{system: s, reports: make(map[registrar.UpstreamID]registrar.Load)}
	for range s.workload.Hosts {
		l.sent = append(l.sent, make(map[registrar.UpstreamID]int))
	}
	return l
}

func (b *leastRequests) report(u registrar.Upstream) {
	b.reports[u.Name] = u.Load
	for _, sent := range b.sent {
		sent[u.Name] = 0
	}
}

func (b *leastRequests) leave(c *call) {
	for len(c.runs) > 0 {
		b.drop(c.runs[0])
	}
}

func (b *leastRequests) arrive(c *call) {
	sent := b.sent[c.host]
	start := b.random.IntN(len(b.engines))
	var best *engine
	least := 0
	for i := range b.engines {
		e := b.engines[(start+i)%len(b.engines)]
		l := b.reports[e.id]
		if n := l.Running + l.Waiting + sent[e.id]; best == nil || n < least {
			best, least = e, n
		}
	}
	sent[best.id]++
	b.launch(c, best, int(tier(c)), hooks{end: func(_ *run, o scheduler.Outcome) {
		if o != scheduler.Completed && !c.ended() {
			// A lost connection counts as a long queue until the next report.
			sent[best.id] += b.workload.Slots
			b.arrive(c)
		}
	}})
}
