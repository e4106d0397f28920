// Package dispatcher obtains slots on upstreams for the entry host's requests.
//
// # Usage
//
//	slot, err := d.Acquire(ctx, request)
//	if err != nil {
//		// a *RefusedError carries the reason and when to come back
//	}
//	defer slot.Release(scheduler.Completed, tokens)
package dispatcher

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// Dispatcher grants slots.
type Dispatcher interface {
	// Acquire waits until the request is granted a slot, is refused or ctx ends. Unless
	// ctx has ended, the error is a *RefusedError. Ending ctx withdraws a request that
	// waits; a granted slot is held until its Release.
	Acquire(ctx context.Context, r scheduler.Request) (Slot, error)
}

// Slot is the right to run one attempt on an upstream.
type Slot interface {
	// Upstream is where the attempt runs.
	Upstream() registrar.Upstream
	// Priority is passed to the engine; a lower one is served earlier.
	Priority() int
	// Predicted is the predicted time to the first token; 0 when unknown.
	Predicted() time.Duration
	// FirstToken reports the first token.
	FirstToken()
	// Progress reports the total number of tokens received so far.
	Progress(tokens int)
	// Preempted is closed when the attempt has to make room for a higher tier or should
	// continue on another upstream.
	Preempted() <-chan struct{}
	// Gone is closed when the upstream's lease has ended.
	Gone() <-chan struct{}
	// Hedged yields at most one further slot, on another upstream.
	Hedged() <-chan Slot
	// Release ends the attempt after a total of tokens. Only the first call counts.
	Release(o scheduler.Outcome, tokens int)
}

// RefusedError is the final refusal of a request that was never sent.
type RefusedError struct {
	Reason scheduler.Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	// Cell is the one to ask when the reason is scheduler.Elsewhere.
	Cell registrar.CellName
	// Predicted is the wait that was predicted, and Ahead the number of requests that
	// waited.
	Predicted time.Duration
	Ahead     int
	// Obstacle is what kept the request from a slot.
	Obstacle scheduler.Obstacle
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	if e.Predicted > 0 {
		return fmt.Sprintf("request refused: %s (%d waiting, predicted wait %v, obstacle %s)", e.Reason, e.Ahead, e.Predicted, e.Obstacle)
	}
	return fmt.Sprintf("request refused: %s", e.Reason)
}
