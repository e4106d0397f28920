package dispatcher

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// A slot that the owner grants is held while the grant travels to the host and the report
// of its end travels back. Where the work is short and the owner late, a few slots so serve
// a small part of their rate. Each host of a cell therefore has a part of the slots of each
// service beforehand, the same that it has without an owner, and uses it without asking
// when asking takes longer than the work. The upstream's own queue and refusals have the
// last word.

const (
	// assumedWork is the time of a request of a service until one has ended on this host.
	assumedWork = 20 * time.Millisecond
	// workWeight is the weight of a new observation in the mean time of a request.
	workWeight = 0.1
	// askedAgain is how often a request that waits at the owner checks whether this host
	// has a slot for it.
	askedAgain = 50 * time.Millisecond
)

// workTimes holds the mean time for which a request of each pool holds its slot.
type workTimes struct {
	mu    sync.Mutex
	means map[validator.PoolName]time.Duration
}

// observe records that a request of the pool held its slot for d.
func (w *workTimes) observe(p validator.PoolName, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.means == nil {
		w.means = map[validator.PoolName]time.Duration{}
	}
	mean, ok := w.means[p]
	if !ok {
		mean = d
	}
	w.means[p] = mean + time.Duration(workWeight*float64(d-mean))
}

// mean returns the mean time of the pool's requests, or assumedWork.
func (w *workTimes) mean(p validator.PoolName) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d, ok := w.means[p]; ok {
		return d
	}
	return assumedWork
}

// lag returns how long the owner's answers take at present, as it last said or as its
// silence shows.
func (l *link) lag() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.ownerLag
	if len(l.waiting) > 0 {
		now := l.settings.Clock.Now()
		quiet := min(now.Sub(l.lastHeard), now.Sub(l.since))
		d = max(d, quiet-heartbeatInterval)
	}
	return d
}

// offers reports whether this host's scheduler would give the request a slot of a service
// at once.
func (l *Local) offers(r scheduler.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Offers(l.clock.Now(), r)
}

// prefersOwnSlot reports whether a request takes one of the slots that this host has
// beforehand: the slot would be held longer for the messages to and from the owner than for
// the work. Repeats ask the owner, which has the retry budget. The caller holds mu.
func (c *Cell) prefersOwnSlot(r scheduler.Request) bool {
	l, ok := c.route.(*link)
	if !ok || r.Retry || r.Emitted > 0 || r.Spilled != "" || !r.Whole {
		return false
	}
	return 2*l.lag() > c.work.mean(r.Pool) && c.settings.Local.offers(r)
}

// submitOwn submits a request to this host's scheduler if it prefers a slot of this host,
// and reports whether it was answered at once. The caller holds mu.
func (c *Cell) submitOwn(t *ticket) bool {
	return c.prefersOwnSlot(t.request) && t.takeOwn(c.settings.Local)
}

// checkAgain returns the timer of a request that may take a slot of this host while it waits
// at the owner; nil for other requests.
func (c *Cell) checkAgain(r scheduler.Request) clockwork.Timer {
	if !r.Whole || r.Retry {
		return nil
	}
	return c.settings.Clock.NewTimer(askedAgain)
}

// chanOf returns the channel of a timer; nil without one.
func chanOf(t clockwork.Timer) <-chan time.Time {
	if t == nil {
		return nil
	}
	return t.Chan()
}

// noteRelease records how long a request held its slot, and reports a crash on a slot that
// the owner doesn't know.
func (c *Cell) noteRelease(t *ticket, held time.Duration, o scheduler.Outcome) {
	switch {
	case o == scheduler.Completed && t.request.Whole:
		c.work.observe(t.request.Pool, held)
	case o == scheduler.Crashed && t.keepsRoute():
		c.mu.RLock()
		defer c.mu.RUnlock()
		if l, ok := c.route.(*link); ok {
			l.sendCrashes()
		}
	}
}

// reconsider takes a slot of this host for a request that still waits at the owner.
func (c *Cell) reconsider(t *ticket) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if !t.waits() || c.submitOwn(t) {
		return
	}
	t.move(c.route)
}

// takeOwn submits the request to this host's scheduler and reports whether it was answered
// at once. A slot granted so stays with that scheduler, whichever host owns the cell.
func (t *ticket) takeOwn(l *Local) bool {
	t.move(l)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own = len(t.slots) > 0
	return t.own || t.closed
}

// waits reports whether the request has neither a slot nor a refusal.
func (t *ticket) waits() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.closed && len(t.slots) == 0
}

// keepsRoute reports whether the request stays with this host's scheduler when the route
// changes.
func (t *ticket) keepsRoute() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own
}
