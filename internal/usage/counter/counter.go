// Package counter counts, at an entry host, the requests that upstreams began, for each
// organisation and window of wall clock time.
//
// # What counts
//
// A request counts once, when the first part of an answer arrives: the first event of a
// stream, or the whole answer of a plain call. A stream that goes on at another upstream
// is the same request. A request that an upstream rejected has not begun. A plain call
// whose answer was lost after it was sent counts, because it may have run; a stream
// without any event does not.
//
// # Messages
//
// Counts are cumulative for a host, a start of its process and a window. A message may
// therefore be lost, repeated or overtaken by a later one: the largest count is right.
//
// # Time
//
// The wall clock of a single machine may be wrong by any amount and may be set at any
// time. A counter reads it only at its start. From then on it follows the steady clock,
// corrected by what the owner of the cell says.
//
// # Usage
//
//	c := counter.New(5*time.Second, steady, wall)
//	c.Begun("org")
//	changed, mark := c.Changes(0) // all counts; next time those since mark
//	c.Correct(at) // what the owner says the time of day is
package counter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
)

const (
	// maxWindows is how many windows are kept for an owner that was not reached yet.
	maxWindows = 12
	// maxOrganisations bounds the counts of a window.
	maxOrganisations = 4096
	// corrections is the number of the owner's last messages of which the median counts.
	// A message that waited at either side for long says too early a time.
	corrections = 5
)

// Count is how many requests of an organisation began in a window.
type Count struct {
	Window       provider.Window
	Organisation validator.OrganisationName
	Count        uint64
}

// Mark is a position in the changes of a counter.
type Mark uint64

// tally is one count and the position of its last change.
type tally struct {
	count   uint64
	changed Mark
}

// Counter counts the requests of one process. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	steady clockwork.Clock
	wall   clockwork.Clock
	start  time.Time
	boot   int64

	mu      sync.Mutex
	last    Mark
	windows map[provider.Window]map[validator.OrganisationName]*tally
	// offset is the wall clock time at start on the steady clock, in Unix nanoseconds, and
	// offsets are the last ones that the owner's messages gave.
	offset  int64
	offsets []int64
}

// New returns a counter of windows of the length. The steady clock must count the time for
// which the machine was suspended; wall is the machine's own wall clock.
func New(length time.Duration, steady, wall clockwork.Clock) *Counter {
	now := wall.Now().UnixNano()
	return &Counter{
		length: length, steady: steady, wall: wall, start: steady.Now(), boot: now, offset: now,
		windows: map[provider.Window]map[validator.OrganisationName]*tally{},
	}
}

// Boot identifies the start of the process.
func (c *Counter) Boot() int64 { return c.boot }

// Wall returns the machine's own wall clock.
func (c *Counter) Wall() time.Time { return c.wall.Now() }

// Begun counts a request of the organisation that an upstream began now. Requests without
// an organisation don't count.
func (c *Counter) Begun(name validator.OrganisationName) {
	if name == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w := provider.WindowAt(c.now(), c.length)
	counts := c.windows[w]
	if counts == nil {
		counts = map[validator.OrganisationName]*tally{}
		c.windows[w] = counts
		c.forget(w)
	}
	t := counts[name]
	if t == nil {
		if len(counts) >= maxOrganisations {
			return
		}
		t = &tally{}
		counts[name] = t
	}
	c.last++
	t.count++
	t.changed = c.last
}

// forget drops the oldest windows beyond maxWindows, but not the present one. The caller
// holds mu.
func (c *Counter) forget(present provider.Window) {
	for len(c.windows) > maxWindows {
		oldest := provider.Window(0)
		first := true
		for w := range c.windows {
			if w != present && (first || w < oldest) {
				oldest, first = w, false
			}
		}
		delete(c.windows, oldest)
	}
}

// Changes returns the counts that have changed since the mark, and the mark for the next
// call. Mark 0 stands before all changes.
func (c *Counter) Changes(since Mark) ([]Count, Mark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since == c.last {
		return nil, since
	}
	var all []Count
	for w, counts := range c.windows {
		for name, t := range counts {
			if t.changed > since {
				all = append(all, Count{Window: w, Organisation: name, Count: t.count})
			}
		}
	}
	return all, c.last
}

// Changed reports whether there are changes since the mark.
func (c *Counter) Changed(since Mark) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return since != c.last
}

// Correct takes over the wall clock time that the owner of the cell says it is.
func (c *Counter) Correct(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offsets = append(c.offsets, at.UnixNano()-int64(c.steady.Since(c.start)))
	if len(c.offsets) > corrections {
		c.offsets = c.offsets[1:]
	}
	sorted := slices.Sorted(slices.Values(c.offsets))
	c.offset = sorted[len(sorted)/2]
	// Windows that lie ahead come from a wall clock that was wrong at the start.
	present := provider.WindowAt(c.now(), c.length)
	maps.DeleteFunc(c.windows, func(w provider.Window, _ map[validator.OrganisationName]*tally) bool { return w > present+1 })
}

// Now returns the wall clock time as this host knows it from the owner.
func (c *Counter) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

// now is Now for callers that hold mu.
func (c *Counter) now() time.Time {
	return time.Unix(0, c.offset+int64(c.steady.Since(c.start)))
}
