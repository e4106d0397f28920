package forwarder

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// gapTimer ends an attempt whose upstream sends nothing. It runs only while the
// forwarder waits for the upstream: a caller that reads slowly says nothing about the
// upstream.
type gapTimer struct {
	mu     sync.Mutex
	timer  clockwork.Timer
	length time.Duration
	cause  error
	armed  bool
}

// newGapTimer returns a timer that is not armed; fire is called with the cause when the
// time has passed.
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

// arm starts waiting for the upstream.
func (g *gapTimer) arm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = true
	g.timer.Reset(g.length)
}

// disarm stops waiting.
func (g *gapTimer) disarm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = false
	g.timer.Stop()
}

// shorten sets the length and cause of the current wait and of later ones.
func (g *gapTimer) shorten(length time.Duration, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.length = length
	g.cause = cause
	if g.armed {
		g.timer.Reset(length)
	}
}
