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

// CellSelector decides which requests of a cell are sent to another one. It is called
// with the lock of a Local held, so it must neither block nor call back.
type CellSelector interface {
	// Any reports whether another live cell is known.
	Any() bool
	// Choose returns the cell to ask instead of this one; false when there is none.
	Choose(p validator.PoolName, own scheduler.Forecast) (registrar.CellName, bool)
	// Refused records that a cell did not serve a request. busy is set when it may still
	// serve others.
	Refused(c registrar.CellName, p validator.PoolName, busy bool)
}

// Cells is this host's view of the other cells.
type Cells interface {
	// Known lists the other cells, including those whose summaries have expired.
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

// Refused implements CellSelector. A request that another cell has sent here names this
// cell and says nothing about others.
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
	l.cellSelector = e
}

// Loads returns the load of each model and service for the summary of the cell.
func (l *Local) Loads() []summarizer.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Loads(l.clock.Now())
}

// spillNew answers a new request that another cell should run, and reports whether it
// did. For a request that was sent to another cell and came back it only records the
// refusal.
func (l *Local) spillNew(r scheduler.Request, n sink) bool {
	if l.cellSelector == nil {
		return false
	}
	if r.Spilled != "" {
		l.cellSelector.Refused(r.Spilled, r.Pool, r.Busy)
		return false
	}
	a, ok := l.otherCell(r)
	if ok {
		n(a)
	}
	return ok
}

// otherCell returns a refusal that names the cell which should run the request instead of
// this one; false when there is none.
func (l *Local) otherCell(r scheduler.Request) (scheduler.Refuse, bool) {
	if !l.cellSelector.Any() {
		return scheduler.Refuse{}, false
	}
	c, ok := l.cellSelector.Choose(r.Pool, l.scheduler.Forecast(l.clock.Now(), r))
	return scheduler.Refuse{ID: r.ID, Reason: scheduler.Elsewhere, Cell: c}, ok
}

// spillRefused replaces a refusal for want of upstreams or time by one that names the
// cell which can run the request, if any. Other refusals hold in every cell.
func (l *Local) spillRefused(o *openRequest, e scheduler.Refuse) scheduler.Action {
	if o.request == nil || e.Reason != scheduler.NoUpstream && e.Reason != scheduler.Overloaded {
		return e
	}
	if a, ok := l.otherCell(*o.request); ok {
		return a
	}
	return e
}

// spillStranded sends requests that wait in a pool without a usable upstream to other
// cells. After a crash they would otherwise wait for the end of the lease. The caller
// holds mu.
func (l *Local) spillStranded() {
	if l.cellSelector == nil || !l.cellSelector.Any() {
		return
	}
	kept := map[validator.PoolName]bool{}
	for _, r := range l.scheduler.Stranded() {
		o := l.requests[r.ID]
		if o == nil || o.request == nil || len(o.held) > 0 || kept[r.Pool] {
			continue
		}
		a, ok := l.otherCell(r)
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
