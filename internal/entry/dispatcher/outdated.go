package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

const (
	// viewHold is how long a request waits for the membership view to become current.
	viewHold = 500 * time.Millisecond
	// viewPoll is how often a waiting request checks the view.
	viewPoll = 20 * time.Millisecond
	// viewRetry is when a caller should retry after a refusal because of an outdated
	// view. Its next attempt usually reaches another host.
	viewRetry = 500 * time.Millisecond
)

// errBarred and errOutdated are the reasons why a request must not be sent to the
// upstream that it was granted.
var (
	errBarred   = errors.New("the upstream takes no new work from this host")
	errOutdated = errors.New("the view of the upstreams is too old")
)

// awaitView waits up to viewHold until the membership view is current, and reports
// whether it is. It returns early when ctx ends.
func (c *Cell) awaitView(ctx context.Context) bool {
	m, clock := c.settings.Membership, c.settings.Clock
	if m.Current() {
		return true
	}
	for end := clock.Now().Add(viewHold); clock.Now().Before(end); {
		select {
		case <-ctx.Done():
			return false
		case <-clock.After(viewPoll):
		}
		if m.Current() {
			return true
		}
	}
	return false
}

// outdated returns the error of a request whose wait for a current view failed: that of
// ctx, or a refusal.
func (c *Cell) outdated(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return &RefusedError{Reason: scheduler.Outdated, RetryAfter: viewRetry}
}

// Permit returns an error when a request must not be sent to the upstream. Callers check
// again once a connection is open, because the upstream may have left in the meantime.
func (c *Cell) Permit(u registrar.Upstream) error {
	switch {
	case !c.settings.Membership.Current():
		return errOutdated
	case c.bars.remaining(c.settings.Clock.Now(), u) > 0:
		return errBarred
	}
	return nil
}
