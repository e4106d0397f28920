// Package summarizer keeps what the dispatcher of each cell tells the other
// cells: for each model or service the live upstreams, free slots and predicted
// waits, and where to ask for a slot.
//
// # Usage
//
// A Summarizer is a pure state machine. The host that owns its cell publishes;
// every host asks others for what it lacks and merges the answers:
//
//	s := summarizer.New("east", "north")
//	s.Step(now, summarizer.Publish{Pools: pools, Dispatcher: address})
//	news := s.Answer(now, marksOfAnotherHost)
//	s.Step(now, summarizer.Merge{Began: began, News: answer})
//	for _, c := range s.Cells(now) {
//		// the other cells whose summaries have not expired
//	}
package summarizer

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// Region names a group of data centres that lose contact with others together.
type Region string

// Pool is what a cell can do for one model or service.
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

// Stamp orders the summaries of a cell. A new dispatcher takes a higher
// incarnation than any that it has heard of.
type Stamp struct {
	Incarnation uint64
	Sequence    uint64
}

func (s Stamp) newer(o Stamp) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation > o.Incarnation
	}
	return s.Sequence > o.Sequence
}

// Summary is what a cell tells the others.
type Summary struct {
	Cell   registrar.CellName
	Region Region
	Stamp  Stamp
	Pools  []Pool
	// Leaving is set when the last host of the cell is stopping.
	Leaving bool
	// Dispatcher is the peers address of the host that made the summary;
	// Fallbacks are hosts of the cell to ask when it does not answer.
	Dispatcher string
	Fallbacks  []string
}

// Pool returns the summary of a model or service.
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
	// Made is when the summary was made at the latest count of this host.
	Made time.Time
	// RoundTrip is the measured time of an exchange with the cell; zero when
	// this host has made none.
	RoundTrip time.Duration
}

// Live reports whether the summary still counts.
func (c Cell) Live(now time.Time) bool { return now.Sub(c.Made) < Lifetime }

// Mark is the newest summary of a cell that a host has.
type Mark struct {
	Key   uint64
	Stamp Stamp
}

// News is a summary and its age when it was sent.
type News struct {
	Summary Summary
	Age     time.Duration
}

// Event is an input of the summarizer.
type Event interface{ event() }

// Publish describes the own cell. Only the host that owns it sends this event;
// most of them make no summary, since the rate is bounded.
type Publish struct {
	Pools      []Pool
	Leaving    bool
	Dispatcher string
	Fallbacks  []string
}

// Merge is the answer of another host.
type Merge struct {
	// From is the cell of the answering host.
	From registrar.CellName
	// Began is when the exchange started on this host. Ages count from it, so
	// that time on the way never makes a summary younger.
	Began time.Time
	News  []News
}

// Tick lets time pass.
type Tick struct{}

func (Publish) event() {}
func (Merge) event()   {}
func (Tick) event()    {}

// Action is an output of the summarizer.
type Action interface{ action() }

// Published tells that a summary of the own cell was made.
type Published struct{ Stamp Stamp }

// Appeared tells that another cell is known again.
type Appeared struct{ Cell registrar.CellName }

// Expired tells that nothing was heard of another cell for too long.
type Expired struct{ Cell registrar.CellName }

func (Published) action() {}
func (Appeared) action()  {}
func (Expired) action()   {}
