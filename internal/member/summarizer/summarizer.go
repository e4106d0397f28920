package summarizer

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// Times of the summaries.
const (
	// Interval is how often a cell makes a summary when only its load changed.
	Interval = 5 * time.Second
	// UrgentInterval is the shortest time between two summaries of a host. It
	// applies when an upstream came or went, or the dispatcher changed, and
	// bounds the traffic of a cell whose upstreams come and go all the time.
	UrgentInterval = 2 * time.Second
	// Lifetime is how long a summary counts. It leaves three intervals, or one and
	// the time that a summary takes to reach every host.
	Lifetime = 15 * time.Second
	// Retention is how long the stamp and the addresses of an expired summary
	// are kept. An older summary must not come back, and a region that was
	// parted for hours must be found again.
	Retention = 24 * time.Hour
)

// MaxCells bounds the memory that summaries can take.
const MaxCells = 256

// smoothing is the weight of a new measurement of the round trip.
const smoothing = 0.25

// Summarizer merges the summaries of all cells. Step, Marks and Answer are for
// one goroutine at a time; Cells may be used by any.
type Summarizer struct {
	cell   registrar.CellName
	region Region
	// stamp is the last one that this host gave.
	stamp     Stamp
	published time.Time
	cells     map[registrar.CellName]*record
	view      atomic.Pointer[[]Cell]
	actions   []Action
}

// record is a cell with what this host remembers of it.
type record struct {
	Cell
	key     uint64
	expired bool
}

// New makes the summarizer of a host of the cell.
func New(cell registrar.CellName, region Region) *Summarizer {
	s := &Summarizer{cell: cell, region: region, cells: map[registrar.CellName]*record{}}
	s.publishView()
	return s
}

// Step takes an event and returns what follows from it.
func (s *Summarizer) Step(now time.Time, e Event) []Action {
	s.actions = nil
	switch e := e.(type) {
	case Publish:
		s.publish(now, e)
	case Merge:
		s.merge(now, e)
	case Tick:
	}
	s.expire(now)
	s.publishView()
	return s.actions
}

func (s *Summarizer) act(a Action) { s.actions = append(s.actions, a) }

func (s *Summarizer) publish(now time.Time, e Publish) {
	own := s.cells[s.cell]
	newest := own != nil && own.Stamp == s.stamp
	if !s.due(now, e, newest) {
		return
	}
	s.published = now
	if !newest {
		// Another host has dispatched the cell, or an earlier process of this
		// one, whose clock may have run ahead.
		s.stamp = Stamp{Incarnation: uint64(now.UnixNano())}
		if own != nil {
			s.stamp.Incarnation = max(s.stamp.Incarnation, own.Stamp.Incarnation+1)
		}
	}
	s.stamp.Sequence++
	s.put(Summary{
		Cell:       s.cell,
		Region:     s.region,
		Stamp:      s.stamp,
		Pools:      e.Pools,
		Leaving:    e.Leaving,
		Dispatcher: e.Dispatcher,
		Fallbacks:  e.Fallbacks,
	}, now)
	s.act(Published{Stamp: s.stamp})
}

func (s *Summarizer) due(now time.Time, e Publish, newest bool) bool {
	since := now.Sub(s.published)
	if s.published.IsZero() || since >= Interval {
		return true
	}
	return since >= UrgentInterval && (!newest || urgent(s.cells[s.cell].Summary, e))
}

// urgent reports whether the cell changed by more than its load.
func urgent(last Summary, e Publish) bool {
	return last.Leaving != e.Leaving || !slices.EqualFunc(last.Pools, e.Pools, func(a, b Pool) bool {
		return a.Name == b.Name && a.Live == b.Live
	})
}

func (s *Summarizer) merge(now time.Time, e Merge) {
	began := e.Began
	if began.After(now) {
		began = now
	}
	for _, n := range e.News {
		s.learn(now, began.Add(-max(n.Age, 0)), n.Summary)
	}
	if r := s.cells[e.From]; r != nil && e.From != s.cell {
		r.measure(now.Sub(began))
	}
}

func (s *Summarizer) learn(now, made time.Time, n Summary) {
	r := s.cells[n.Cell]
	switch {
	case n.Cell == "", now.Sub(made) >= Lifetime:
		return
	case r == nil && len(s.cells) >= MaxCells:
		return
	case r != nil && !n.Stamp.newer(r.Stamp):
		return
	}
	s.put(n, made)
}

func (s *Summarizer) put(n Summary, made time.Time) {
	r := s.cells[n.Cell]
	if r == nil {
		r = &record{key: keyOf(n.Cell), expired: true}
		s.cells[n.Cell] = r
	}
	if r.expired && n.Cell != s.cell {
		s.act(Appeared{Cell: n.Cell})
	}
	r.Summary, r.Made, r.expired = n, made, false
}

func (r *record) measure(d time.Duration) {
	if r.RoundTrip == 0 {
		r.RoundTrip = d
		return
	}
	r.RoundTrip += time.Duration(smoothing * float64(d-r.RoundTrip))
}

func (s *Summarizer) expire(now time.Time) {
	for name, r := range s.cells {
		switch {
		case now.Sub(r.Made) >= Retention:
			delete(s.cells, name)
		case !r.expired && !r.Live(now):
			r.expired = true
			if name != s.cell {
				s.act(Expired{Cell: name})
			}
		}
	}
}

// Marks lists what this host has, for the question to another one.
func (s *Summarizer) Marks() []Mark {
	list := make([]Mark, 0, len(s.cells))
	for _, r := range s.cells {
		list = append(list, Mark{Key: r.key, Stamp: r.Stamp})
	}
	slices.SortFunc(list, func(a, b Mark) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// Answer lists what a host with the marks lacks; only leaves out the cells that
// the marks don't name.
func (s *Summarizer) Answer(now time.Time, marks []Mark, only bool) []News {
	known := make(map[uint64]Stamp, len(marks))
	for _, m := range marks {
		known[m.Key] = m.Stamp
	}
	var list []News
	for _, r := range s.cells {
		have, named := known[r.key]
		if r.Live(now) && r.Stamp.newer(have) && (named || !only) {
			list = append(list, News{Summary: r.Summary, Age: now.Sub(r.Made)})
		}
	}
	slices.SortFunc(list, func(a, b News) int { return cmp.Compare(a.Summary.Cell, b.Summary.Cell) })
	return list
}

// Wanted lists, with the stamps that this host has, the cells of which a host
// with the marks has a newer summary.
func (s *Summarizer) Wanted(marks []Mark) []Mark {
	known := make(map[uint64]Stamp, len(s.cells))
	for _, r := range s.cells {
		known[r.key] = r.Stamp
	}
	var list []Mark
	for _, m := range marks {
		if m.Stamp.newer(known[m.Key]) {
			list = append(list, Mark{Key: m.Key, Stamp: known[m.Key]})
		}
	}
	return list
}

func keyOf(c registrar.CellName) uint64 { return xxhash.Sum64String(string(c)) }

func (s *Summarizer) publishView() {
	list := make([]Cell, 0, len(s.cells))
	for name, r := range s.cells {
		if name != s.cell {
			list = append(list, r.Cell)
		}
	}
	slices.SortFunc(list, func(a, b Cell) int { return cmp.Compare(a.Cell, b.Cell) })
	s.view.Store(&list)
}

// Known lists the other cells, those included whose summaries have expired. The
// list is shared and must not be changed.
func (s *Summarizer) Known() []Cell { return *s.view.Load() }

// Cells lists the other cells whose summaries have not expired.
func (s *Summarizer) Cells(now time.Time) []Cell {
	var list []Cell
	for _, c := range s.Known() {
		if c.Live(now) {
			list = append(list, c)
		}
	}
	return list
}
