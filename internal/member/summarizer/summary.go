// Package summarizer keeps the summaries that the dispatcher of each cell sends to
// the other cells: for each model or service the live upstreams, free slots and
// predicted waits, and the addresses at which to ask for a slot.
//
// # Usage
//
// A Summarizer is a pure state machine. The host that owns its cell publishes;
// every host asks others for what it lacks and merges the answers:
//
//	s := summarizer.New("east", "north")
//	s.Step(now, summarizer.Publish{Pools: pools, Dispatcher: address})
//	summaries := s.Answer(now, stamps, false) // stamps of another host
//	s.Step(now, summarizer.Merge{Began: began, Summaries: answer})
//	for _, c := range s.Cells(now) {
//		// the other cells whose summaries have not expired
//	}
package summarizer

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// Region is the name of a group of data centres that lose contact with others together.
type Region string

// Pool is the capacity of a cell for one model or service.
type Pool struct {
	Name validator.PoolName
	// Live counts the upstreams that take new work, and Leaving those that
	// only finish what they run.
	Live, Leaving int
	// Free counts the slots that are not in use.
	Free int
	// Delay is the predicted wait of a new request of each tier.
	Delay [validator.LowestTier + 1]time.Duration
}

// Stamp orders the summaries of a cell, first by incarnation and then by sequence. A new
// dispatcher uses a higher incarnation than any that it knows.
type Stamp struct {
	Incarnation uint64
	Sequence    uint64
}

// newer reports whether s is the stamp of a newer summary than o.
func (s Stamp) newer(o Stamp) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation > o.Incarnation
	}
	return s.Sequence > o.Sequence
}

// Summary is what a cell reports to the others.
type Summary struct {
	Cell   registrar.CellName
	Region Region
	Stamp  Stamp
	Pools  []Pool
	// Leaving is set when the last host of the cell is stopping.
	Leaving bool
	// Dispatcher is the peers address of the host that made the summary.
	// Fallbacks are those of hosts of the cell to ask if it does not respond.
	Dispatcher string
	Fallbacks  []string
}

// Pool returns the capacity for a model or service, and false if the cell has none.
func (s Summary) Pool(name validator.PoolName) (Pool, bool) {
	for _, p := range s.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Cell is another cell as this host knows it.
type Cell struct {
	Summary
	// Made is when the summary was made, by this host's clock. It may be too early by
	// the transit time.
	Made time.Time
	// RoundTrip is the average duration of an exchange with the cell; zero if
	// this host has made none.
	RoundTrip time.Duration
}

// Live reports whether the summary has not expired at now.
func (c Cell) Live(now time.Time) bool { return now.Sub(c.Made) < Lifetime }

// KnownStamp identifies the newest summary of a cell that a host has. Key is a hash of the
// name of the cell.
type KnownStamp struct {
	Key   uint64
	Stamp Stamp
}

// AgedSummary is a summary and its age when it was sent.
type AgedSummary struct {
	Summary Summary
	Age     time.Duration
}

// Event is an input of the summarizer.
type Event interface{ event() }

// Publish describes the own cell. Only the host that dispatches the cell uses this event.
// Most of these events make no summary, because the rate is bounded.
type Publish struct {
	Pools      []Pool
	Leaving    bool
	Dispatcher string
	Fallbacks  []string
}

// Merge is the response of another host.
type Merge struct {
	// From is the cell of the responding host.
	From registrar.CellName
	// Began is when the exchange started on this host. Ages count from it, so
	// that transit time never makes a summary younger.
	Began     time.Time
	Summaries []AgedSummary
}

// Tick only advances the time.
type Tick struct{}

func (Publish) event() {}
func (Merge) event()   {}
func (Tick) event()    {}

// Action is an output of the summarizer.
type Action interface{ action() }

// Published reports that a summary of the own cell was made.
type Published struct{ Stamp Stamp }

// Appeared reports that another cell has a valid summary, for the first time or again.
type Appeared struct{ Cell registrar.CellName }

// Expired reports that the summary of another cell has expired.
type Expired struct{ Cell registrar.CellName }

func (Published) action() {}
func (Appeared) action()  {}
func (Expired) action()   {}
