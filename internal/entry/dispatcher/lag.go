package dispatcher

import (
	"sync"
	"time"
)

// lagWindow is the time over which the largest lag counts, at least once and at most twice.
const lagWindow = 100 * time.Millisecond

// lag measures how long messages wait at present until the scheduler has handled them. The
// owner tells its hosts, which then ask it only for what can wait as long.
type lag struct {
	mu sync.Mutex
	// since is when the current window began. current and last are the largest values of
	// this window and the one before it.
	since         time.Time
	current, last time.Duration
	// collecting is set while the scheduler may not use all slots yet, so that asking it
	// is of little use.
	collecting bool
}

// add records that a message was handled with the delay d.
func (l *lag) add(now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shift(now)
	l.current = max(l.current, d)
}

// shift begins a new window when the current one is over. The caller holds mu.
func (l *lag) shift(now time.Time) {
	switch passed := now.Sub(l.since); {
	case passed < lagWindow:
		return
	case passed < 2*lagWindow:
		l.last = l.current
	default:
		l.last = 0
	}
	l.current, l.since = 0, now
}

// value returns the largest recent delay.
func (l *lag) value(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shift(now)
	d := max(l.current, l.last)
	if l.collecting {
		d = max(d, collectTime)
	}
	return d
}

// setCollecting records whether the scheduler may not use all slots yet.
func (l *lag) setCollecting(collecting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collecting = collecting
}
