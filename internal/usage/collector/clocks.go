package collector

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// clockLife is how long the clock of a host counts without news of it.
	clockLife = time.Minute
	// minClocks is the number of clocks from which on their median is told to others. It
	// outvotes one clock that is wrong.
	minClocks = 3
	// maxDrift is the largest change of the median that is taken over at once, and
	// proveTime is how long a larger one has to last: the clocks of single hosts are set
	// at any time, but the time of day does not jump.
	maxDrift  = time.Second
	proveTime = 10 * time.Second
)

// reading is what a host's wall clock showed when the steady clock here stood at zero.
type reading struct {
	offset time.Duration
	at     time.Time
}

// Clocks estimates the time of day as the median of the wall clocks of hosts. Clocks that
// are wrong, in whichever direction, move it little while they are less than half.
type Clocks struct {
	zero     time.Time
	readings map[registrar.HostName]reading
	// offset is the time of day at zero, once known is set. doubted is since when the
	// median has differed from it by more than maxDrift; zero while it doesn't.
	offset  time.Duration
	known   bool
	doubted time.Time
}

// NewClocks returns an estimate without clocks. The steady clock stands at zero now.
func NewClocks(now time.Time) *Clocks {
	return &Clocks{zero: now, readings: map[registrar.HostName]reading{}}
}

// Read notes the wall clock of a host.
func (c *Clocks) Read(now time.Time, h registrar.HostName, wall time.Time) {
	offset := time.Duration(wall.UnixNano()) - now.Sub(c.zero)
	c.readings[h] = reading{offset: offset, at: now}
}

// Time returns the time of day. It reports false while too few clocks are known.
func (c *Clocks) Time(now time.Time) (time.Time, bool) {
	var all []time.Duration
	for h, r := range c.readings {
		if now.Sub(r.at) > clockLife {
			delete(c.readings, h)
			continue
		}
		all = append(all, r.offset)
	}
	if len(all) >= minClocks {
		slices.Sort(all)
		// A message that waited makes a clock seem slow, so that the later of the two in
		// the middle is the better one.
		c.adopt(now, all[len(all)/2])
	}
	return time.Unix(0, int64(c.offset+now.Sub(c.zero))), c.known
}

// adopt takes over a new median.
func (c *Clocks) adopt(now time.Time, offset time.Duration) {
	far := c.known && (offset-c.offset).Abs() > maxDrift
	switch {
	case !far:
		c.doubted = time.Time{}
	case c.doubted.IsZero():
		c.doubted = now
		return
	case now.Sub(c.doubted) < proveTime:
		return
	}
	c.offset, c.known, c.doubted = offset, true, time.Time{}
}
