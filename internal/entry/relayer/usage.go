package relayer

import (
	"context"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// noteBegun counts the request for usage reports, at most once whatever becomes of its
// attempts.
func (c *call) noteBegun() {
	if c.counted || c.relayer.options.Begun == nil || c.organisation == nil {
		return
	}
	c.counted = true
	c.relayer.options.Begun(c.organisation.Name)
}

// noteLost counts a plain call whose connection ended without an answer: the upstream may
// have run it. A stream begins with its first event.
func (a *attempt) noteLost(ctx context.Context, cause error) {
	r := a.call.route
	if !r.Stream && r.Repeat != validator.Resumable && a.failureOutcome(ctx, cause) == scheduler.Crashed {
		a.call.noteBegun()
	}
}
