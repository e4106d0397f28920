package runner

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// suspendClock is a clock that also counts the time for which the machine was
// suspended. The monotonic clock stops meanwhile, so that a lease would seem
// valid although it has long ended for the other hosts.
type suspendClock struct {
	clockwork.Clock
	// suspended is the time for which the machine was suspended since it booted.
	suspended func() time.Duration
	start     time.Duration
}

func newSuspendClock(c clockwork.Clock, suspended func() time.Duration) clockwork.Clock {
	return suspendClock{Clock: c, suspended: suspended, start: suspended()}
}

// Now implements clockwork.Clock.
func (c suspendClock) Now() time.Time { return c.Clock.Now().Add(c.suspended() - c.start) }

// Since implements clockwork.Clock.
func (c suspendClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c suspendClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// suspendedTime returns how long the machine was suspended since it booted: the difference
// between the kernel's clocks with and without suspension.
func suspendedTime() time.Duration {
	var boot, steady unix.Timespec
	// Neither call can fail with these arguments.
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady)
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot)
	d := time.Duration(boot.Nano() - steady.Nano())
	// The clocks are read one after the other.
	return d.Truncate(suspendResolution)
}

// suspendResolution is coarse enough to hide the time between the readings of the two
// clocks.
const suspendResolution = 10 * time.Millisecond
