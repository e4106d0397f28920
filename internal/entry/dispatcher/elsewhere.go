package dispatcher

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/policy/spiller"
)

// CellSelector decides which requests of a cell are sent to another one. It is
// called with the lock of a Local held, so it must neither block nor call back.
type CellSelector interface {
	// Any reports whether another cell is known.
	Any() bool
	// Choose returns the cell to ask in place of this one.
	Choose(p validator.PoolName, own scheduler.Forecast) (registrar.CellName, bool)
	// Refused reports that a cell did not serve a request; busy tells that it
	// takes others.
	Refused(c registrar.CellName, p validator.PoolName, busy bool)
}

// Cells is what this host knows of the other cells.
type Cells interface {
	// Known lists the other cells, those included whose summaries have expired.
	Known() []summarizer.Cell
}

// SpillSelector implements CellSelector with a Spiller.
type SpillSelector struct {
	cell   registrar.CellName
	region summarizer.Region
	cells  Cells
	clock  clockwork.Clock

	mu      sync.Mutex
	spiller *spiller.Spiller
}

// NewSpillSelector returns the CellSelector of a host of the cell.
func NewSpillSelector(cell registrar.CellName, region summarizer.Region, cells Cells, s *spiller.Spiller, c clockwork.Clock) *SpillSelector {
	return &SpillSelector{cell: cell, region: region, cells: cells, spiller: s, clock: c}
}

// Any implements CellSelector.
func (d *SpillSelector) Any() bool {
	now := d.clock.Now()
	for _, c := range d.cells.Known() {
		if c.Live(now) {
			return true
		}
	}
	return false
}

// Choose implements CellSelector.
func (d *SpillSelector) Choose(p validator.PoolName, own scheduler.Forecast) (registrar.CellName, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := spiller.Ask{Pool: p, Own: own, Region: d.region, Others: d.cells.Known()}
	a, ok := d.spiller.Step(d.clock.Now(), e).(spiller.Spill)
	return a.Cell, ok
}

// Refused implements CellSelector. A request that another cell has sent here names
// this cell and tells nothing.
func (d *SpillSelector) Refused(c registrar.CellName, p validator.PoolName, busy bool) {
	if c == d.cell {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spiller.Step(d.clock.Now(), spiller.Refused{Cell: c, Pool: p, Busy: busy})
}

// SetCellSelector lets the scheduler of this host send requests to other cells.
func (l *Local) SetCellSelector(e CellSelector) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.elsewhere = e
}

// Loads describes each model and service for the summary of the cell.
func (l *Local) Loads() []summarizer.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Loads(l.clock.Now())
}

// divert answers a new request that another cell should run.
func (l *Local) divert(r scheduler.Request, n sink) bool {
	if l.elsewhere == nil {
		return false
	}
	if r.Spilled != "" {
		l.elsewhere.Refused(r.Spilled, r.Pool, r.Busy)
		return false
	}
	a, ok := l.other(r)
	if ok {
		n(a)
	}
	return ok
}

// other names the cell that should run a request in place of this one.
func (l *Local) other(r scheduler.Request) (scheduler.Refuse, bool) {
	if !l.elsewhere.Any() {
		return scheduler.Refuse{}, false
	}
	c, ok := l.elsewhere.Choose(r.Pool, l.scheduler.Forecast(l.clock.Now(), r))
	return scheduler.Refuse{ID: r.ID, Reason: scheduler.Elsewhere, Cell: c}, ok
}

// reconsider replaces a refusal for want of upstreams or time by the cell that
// can run the request. Other refusals hold in every cell.
func (l *Local) reconsider(o *open, e scheduler.Refuse) scheduler.Action {
	if o.request == nil || e.Reason != scheduler.NoUpstream && e.Reason != scheduler.Overloaded {
		return e
	}
	if a, ok := l.other(*o.request); ok {
		return a
	}
	return e
}

// evacuate sends requests that wait in a pool without a usable upstream to other
// cells. After a crash they would wait for the end of the lease.
func (l *Local) evacuate() {
	if l.elsewhere == nil || !l.elsewhere.Any() {
		return
	}
	kept := map[validator.PoolName]bool{}
	for _, r := range l.scheduler.Stranded() {
		o := l.requests[r.ID]
		if o == nil || o.request == nil || len(o.held) > 0 || kept[r.Pool] {
			continue
		}
		a, ok := l.other(r)
		if !ok {
			// No cell has a usable upstream for any request of the pool.
			kept[r.Pool] = true
			continue
		}
		delete(l.requests, r.ID)
		l.step(scheduler.Cancel{ID: r.ID})
		o.notify(a)
	}
}
