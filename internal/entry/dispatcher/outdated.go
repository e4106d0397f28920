package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

const (
	// viewHold is how long a request waits for a younger view.
	viewHold = 500 * time.Millisecond
	// viewPoll is how often a request that waits looks again.
	viewPoll = 20 * time.Millisecond
	// viewRetry is when a caller should come back to a host whose view stays too old. Its
	// next attempt usually meets another host.
	viewRetry = 500 * time.Millisecond
)

// errBarred and errOutdated tell why a request must not be sent to the upstream that it
// was granted.
var (
	errBarred   = errors.New("the upstream takes no new work from this host")
	errOutdated = errors.New("the view of the upstreams is too old")
)

// awaitView waits until the view is young enough to send on, for a short time, and reports
// whether it is.
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

// outdated is the refusal of a request that has waited in vain.
func (c *Cell) outdated(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return &RefusedError{Reason: scheduler.Outdated, RetryAfter: viewRetry}
}

// Permit tells why a request must not be sent to the upstream, if so. It is asked once
// more when a connection has been made, for the upstream may have left in the meantime.
func (c *Cell) Permit(u registrar.Upstream) error {
	switch {
	case !c.settings.Membership.Current():
		return errOutdated
	case c.bars.left(c.settings.Clock.Now(), u) > 0:
		return errBarred
	}
	return nil
}
