package bencher

import (
	"slices"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// cell is the measured policy: one scheduler for all engines, on a host that the
// entry hosts reach after the workload's one-way delay.
type cell struct {
	*system
	scheduler *scheduler.Scheduler
	running   map[attemptKey]*run
	counts    Counts
}

// Counts holds the number of actions of each kind during a run.
type Counts struct{ Grants, Refusals, Preemptions, Hedges int }

type attemptKey struct {
	id     scheduler.RequestID
	engine registrar.UpstreamID
}

func newCell(s *system) router {
	c := &cell{system: s, scheduler: scheduler.New(), running: make(map[attemptKey]*run)}
	c.step(scheduler.Configure{Document: s.workload.document()})
	s.after(scheduler.TickInterval, c.tick)
	return c
}

func (p *cell) tick() {
	p.step(scheduler.Tick{})
	if p.now < p.workload.Duration+drainTime {
		p.after(scheduler.TickInterval, p.tick)
	}
}

// send delivers an event from an entry host to the scheduler.
func (p *cell) send(events ...scheduler.Event) {
	p.after(p.workload.OneWay, func() {
		for _, e := range events {
			p.step(e)
		}
	})
}

// step applies an event to the scheduler and delivers the actions to the entry
// hosts.
func (p *cell) step(e scheduler.Event) {
	for _, a := range slices.Clone(p.scheduler.Step(p.wall(), e)) {
		p.after(p.workload.OneWay, func() { p.act(a) })
	}
}

func (p *cell) act(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Grant:
		p.counts.Grants++
		p.begin(p.call(a.ID), a.Upstream, a.Priority)
	case scheduler.Hedge:
		p.hedge(p.call(a.ID), a)
	case scheduler.Refuse:
		p.counts.Refusals++
		p.call(a.ID).refuse(p.now)
	case scheduler.Preempt:
		if r := p.running[attemptKey{a.ID, a.Upstream}]; r != nil {
			p.counts.Preemptions++
			p.stop(r, scheduler.Preempted)
			p.resubmit(r)
		}
	}
}

func (p *cell) call(id scheduler.RequestID) *call {
	i := 0
	for k := len(id) - 6; k < len(id); k++ {
		i = i*10 + int(id[k]-'0')
	}
	return p.calls[i]
}

func (p *cell) arrive(c *call) { p.send(scheduler.Submit{Request: c.request()}) }

func (p *cell) leave(c *call) {
	for len(c.runs) > 0 {
		p.stop(c.runs[0], scheduler.Abandoned)
	}
	p.send(scheduler.Cancel{ID: c.id})
}

func (p *cell) report(u registrar.Upstream) { p.step(scheduler.Observe{Upstream: u}) }

// stop cancels an attempt and reports its end.
func (p *cell) stop(r *run, o scheduler.Outcome) {
	delete(p.running, attemptKey{r.call.id, r.engine.id})
	p.drop(r)
	p.send(scheduler.Finished{ID: r.call.id, Upstream: r.engine.id, Outcome: o, Tokens: r.tokens})
}

// resubmit asks for another slot to continue with the tokens received so far.
func (p *cell) resubmit(r *run) {
	c := r.call
	if c.ended() || len(c.runs) > 0 {
		return
	}
	c.emitted += r.tokens
	p.send(scheduler.Submit{Request: c.request()})
}

func (p *cell) begin(c *call, id registrar.UpstreamID, priority int) {
	if c.ended() {
		p.send(scheduler.Finished{ID: c.id, Upstream: id, Outcome: scheduler.Abandoned})
		return
	}
	r := p.launch(c, p.find(id), priority, hooks{token: p.token, end: p.end})
	p.running[attemptKey{c.id, id}] = r
}

// hedge starts a second attempt if the first one has no token yet. Otherwise it
// returns the slot, as an entry host does.
func (p *cell) hedge(c *call, a scheduler.Hedge) {
	if len(c.runs) != 1 || c.runs[0].tokenReceived || c.runs[0].engine.id == a.Upstream {
		p.send(scheduler.Finished{ID: c.id, Upstream: a.Upstream, Outcome: scheduler.Abandoned})
		return
	}
	p.counts.Hedges++
	p.begin(c, a.Upstream, a.Priority)
}

func (p *cell) token(r *run, n int) {
	r.tokenReceived = true
	if n > 1 {
		p.send(scheduler.Progress{ID: r.call.id, Upstream: r.engine.id, Tokens: n})
		return
	}
	p.send(scheduler.FirstToken{ID: r.call.id, Upstream: r.engine.id})
	for _, q := range slices.Clone(r.call.runs) {
		if q != r {
			p.stop(q, scheduler.Abandoned)
		}
	}
}

func (p *cell) end(r *run, o scheduler.Outcome) {
	delete(p.running, attemptKey{r.call.id, r.engine.id})
	p.send(scheduler.Finished{ID: r.call.id, Upstream: r.engine.id, Outcome: o, Tokens: r.tokens})
	if o == scheduler.Completed {
		for len(r.call.runs) > 0 {
			p.stop(r.call.runs[0], scheduler.Abandoned)
		}
		return
	}
	r.call.retried = true
	p.resubmit(r)
}
