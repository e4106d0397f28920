package forwarder

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// gapTimer ends an attempt whose upstream is silent. It runs only while the
// upstream is waited for: a caller that reads slowly says nothing about the
// upstream.
type gapTimer struct {
	mu     sync.Mutex
	timer  clockwork.Timer
	length time.Duration
	cause  error
	armed  bool
}

// newGapTimer returns a timer that is not armed; fire gets the cause.
func newGapTimer(clock clockwork.Clock, length time.Duration, fire func(error)) *gapTimer {
	g := &gapTimer{length: length, cause: errSilent}
	g.timer = clock.AfterFunc(length, func() {
		g.mu.Lock()
		cause, armed := g.cause, g.armed
		g.mu.Unlock()
		if armed {
			fire(cause)
		}
	})
	g.timer.Stop()
	return g
}

// arm starts the wait for the upstream.
func (g *gapTimer) arm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = true
	g.timer.Reset(g.length)
}

// disarm ends the wait.
func (g *gapTimer) disarm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = false
	g.timer.Stop()
}

// shorten changes the present wait and the later ones.
func (g *gapTimer) shorten(length time.Duration, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.length = length
	g.cause = cause
	if g.armed {
		g.timer.Reset(length)
	}
}
