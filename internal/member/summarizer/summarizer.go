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
	// Interval is the time between two summaries of a cell if only its load changed.
	Interval = 5 * time.Second
	// UrgentInterval is the shortest time between two summaries of a host. It
	// applies if an upstream was added or removed, or if the dispatcher changed, and
	// bounds the traffic of a cell whose upstreams change all the time.
	UrgentInterval = 2 * time.Second
	// Lifetime is how long a summary is valid after it was made. It covers three
	// intervals, or one interval and the time that a summary takes to reach every host.
	Lifetime = 15 * time.Second
	// Retention is how long the stamp and the addresses of a summary are kept after it
	// was made, even if it has expired. The stamp keeps an older summary from being
	// accepted, and the addresses are needed to find a region again that was
	// partitioned for hours.
	Retention = 24 * time.Hour
)

// MaxCells is the largest number of cells that are remembered. It bounds the memory that
// summaries can take.
const MaxCells = 256

// smoothing is the weight of a new measurement in the moving average of the round trip.
const smoothing = 0.25

// Summarizer merges the summaries of all cells. Its methods must not be called
// concurrently, except for Known and Cells.
type Summarizer struct {
	cell   registrar.CellName
	region Region
	// stamp is that of the last summary that this host made, and published is when.
	stamp     Stamp
	published time.Time
	cells     map[registrar.CellName]*record
	view      atomic.Pointer[[]Cell]
	actions   []Action
}

// record is what this host remembers of a cell.
type record struct {
	Cell
	key     uint64
	expired bool
}

// New returns the summarizer of a host of the cell.
func New(cell registrar.CellName, region Region) *Summarizer {
	s := &Summarizer{cell: cell, region: region, cells: map[registrar.CellName]*record{}}
	s.publishView()
	return s
}

// Step applies an event at the given time and returns the resulting actions.
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

func (s *Summarizer) emit(a Action) { s.actions = append(s.actions, a) }

// publish makes a summary of the own cell if one is due.
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
	s.emit(Published{Stamp: s.stamp})
}

// due reports whether a summary has to be made. newest is set if the newest summary of the
// own cell is the last one that this host made.
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

// merge applies the response of another host.
func (s *Summarizer) merge(now time.Time, e Merge) {
	began := e.Began
	if began.After(now) {
		began = now
	}
	for _, n := range e.Summaries {
		s.learn(now, began.Add(-max(n.Age, 0)), n.Summary)
	}
	if r := s.cells[e.From]; r != nil && e.From != s.cell {
		r.measure(now.Sub(began))
	}
}

// learn stores a summary that was made at the given time, unless it has expired, is not
// newer than the known one or would exceed MaxCells.
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

// put stores a summary that was made at the given time.
func (s *Summarizer) put(n Summary, made time.Time) {
	r := s.cells[n.Cell]
	if r == nil {
		r = &record{key: keyOf(n.Cell), expired: true}
		s.cells[n.Cell] = r
	}
	if r.expired && n.Cell != s.cell {
		s.emit(Appeared{Cell: n.Cell})
	}
	r.Summary, r.Made, r.expired = n, made, false
}

// measure adds a measurement to the average round trip.
func (r *record) measure(d time.Duration) {
	if r.RoundTrip == 0 {
		r.RoundTrip = d
		return
	}
	r.RoundTrip += time.Duration(smoothing * float64(d-r.RoundTrip))
}

// expire marks expired summaries and forgets cells after Retention.
func (s *Summarizer) expire(now time.Time) {
	for name, r := range s.cells {
		switch {
		case now.Sub(r.Made) >= Retention:
			delete(s.cells, name)
		case !r.expired && !r.Live(now):
			r.expired = true
			if name != s.cell {
				s.emit(Expired{Cell: name})
			}
		}
	}
}

// KnownStamps lists the newest summaries that this host has, sorted by key, for a request to
// another host.
func (s *Summarizer) KnownStamps() []KnownStamp {
	list := make([]KnownStamp, 0, len(s.cells))
	for _, r := range s.cells {
		list = append(list, KnownStamp{Key: r.key, Stamp: r.Stamp})
	}
	slices.SortFunc(list, func(a, b KnownStamp) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// Answer lists the valid summaries that a host with the given stamps lacks. If only is set,
// cells that the stamps don't name are left out.
func (s *Summarizer) Answer(now time.Time, marks []KnownStamp, only bool) []AgedSummary {
	known := make(map[uint64]Stamp, len(marks))
	for _, m := range marks {
		known[m.Key] = m.Stamp
	}
	var list []AgedSummary
	for _, r := range s.cells {
		have, named := known[r.key]
		if r.Live(now) && r.Stamp.newer(have) && (named || !only) {
			list = append(list, AgedSummary{Summary: r.Summary, Age: now.Sub(r.Made)})
		}
	}
	slices.SortFunc(list, func(a, b AgedSummary) int { return cmp.Compare(a.Summary.Cell, b.Summary.Cell) })
	return list
}

// Wanted lists the cells of which a host with the given stamps has a newer summary, with
// the stamps that this host has.
func (s *Summarizer) Wanted(marks []KnownStamp) []KnownStamp {
	known := make(map[uint64]Stamp, len(s.cells))
	for _, r := range s.cells {
		known[r.key] = r.Stamp
	}
	var list []KnownStamp
	for _, m := range marks {
		if m.Stamp.newer(known[m.Key]) {
			list = append(list, KnownStamp{Key: m.Key, Stamp: known[m.Key]})
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

// Known lists the other cells, including those whose summaries have expired. The
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
