package runner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// joinTimeout is how long a starting host waits for an answer from another host.
	// It is long enough for several exchanges with each seed.
	joinTimeout = 3 * time.Second
	// candidacyPoll is the time between two reviews of whether the host offers itself as
	// owner of its cell.
	candidacyPoll = 50 * time.Millisecond
	// viewDelay is how long a host leaves the cell to the others after it has joined them
	// or has stalled. It is long enough for a gossip exchange, so that a host that
	// takes over the cell knows its upstreams.
	viewDelay = time.Second
	// stallThreshold is the time between two reviews above which the host counts as
	// stalled: the others have another owner by then.
	stallThreshold = 600 * time.Millisecond
	// stallBackoff is how long a host that has stalled leaves the cell to another owner.
	// With each change of owner, the cell loses what the last one knew of the engines.
	stallBackoff = 30 * time.Second
)

// candidacy decides whether a host offers itself as owner of its cell.
type candidacy struct {
	// joinedAt is when the host first met another one, or last recovered from a stall.
	joinedAt time.Time
	// backoffUntil is the end of the backoff after a stall; it is zero without one.
	backoffUntil time.Time
	lastReview   time.Time
	// offered is set while the host offers itself as owner.
	offered bool
}

// review decides anew, given whether the host has joined the others and whether the cell
// has an owner. It reports whether the host has stalled since the last review.
func (c *candidacy) review(now time.Time, joined, owned bool) (stalled bool) {
	stalled = c.offered && now.Sub(c.lastReview) > stallThreshold
	c.lastReview = now
	switch {
	case stalled:
		c.offered, c.joinedAt, c.backoffUntil = false, now, now.Add(stallBackoff)
	case c.offered || !joined:
	case c.joinedAt.IsZero():
		c.joinedAt = now
		c.offered = !owned
	case c.backoffUntil.IsZero():
		c.offered = !owned || now.Sub(c.joinedAt) >= viewDelay
	default:
		c.offered = now.Sub(c.joinedAt) >= viewDelay && (!owned || !now.Before(c.backoffUntil))
	}
	return stalled
}

// joined reports whether this host has met another entry host, has tried for joinTimeout,
// or is alone. Before that it would take itself for the owner of the cell and dispatch
// beside the real one, without knowing which requests crash upstreams.
func (e *entry) joined() bool {
	if len(e.members.Snapshot().Hosts()) > 1 || e.clock.Since(e.started) > joinTimeout {
		return true
	}
	return e.alone()
}

// alone reports whether the settings name no other entry host.
func (e *entry) alone() bool {
	return !slices.ContainsFunc(e.settings.Seeds, func(address string) bool { return address != e.settings.Advertise })
}

// runCandidacy offers this host as owner of its cell once it knows the cell, or at once
// if it has met another host and the cell has no owner. A host that has stalled
// leaves the cell to the others for stallBackoff.
func (e *entry) runCandidacy(ctx context.Context) {
	ticker := e.clock.NewTicker(candidacyPoll)
	defer ticker.Stop()
	var candidacy candidacy
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		before := candidacy.offered
		owned := e.members.Snapshot().Owner(e.settings.Cell) != ""
		if candidacy.review(e.leaseClock.Now(), e.joined(), owned) {
			e.logger.Info("host was stalled; leaving the cell to the other hosts", zap.Duration("rest", stallBackoff))
		}
		if candidacy.offered != before {
			e.members.Drain(!candidacy.offered)
		}
		if term, ok := e.members.Snapshot().Claim(e.settings.Cell); ok && candidacy.offered && e.server.Owns() {
			e.logger.Info("this host takes over the cell", zap.Uint64("term", term))
			e.gossiper.Claim(term)
		}
	}
}

// endCandidacy stops runCandidacy and waits for it, so that it can't offer a host that is
// stopping.
func (e *entry) endCandidacy() {
	if e.cancelCandidacy != nil {
		e.cancelCandidacy()
	}
	e.group.Wait()
}
