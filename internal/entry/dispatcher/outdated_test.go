package dispatcher

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

func (f *fakeMembership) setOutdated(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outdated = on
}

// Guards against granting upstreams that may have left long ago, while the view is
// outdated, and against refused requests that keep their slots.
func TestOutdatedViewRefuses(t *testing.T) {
	view, all := newMembers(t, "a")
	view.setOutdated(true)
	began := time.Now()
	_, err := all["a"].cell.Acquire(t.Context(), request("r1"))
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, scheduler.Outdated)
	assert.Equal(t, refused.RetryAfter, viewRetry)
	assert.Assert(t, time.Since(began) >= viewHold && time.Since(began) < 2*viewHold)
	assert.Equal(t, all["a"].local.Used("engine"), 0)
	view.setOutdated(false)
	acquire(t, all["a"].cell, "r2").Release(scheduler.Completed, 1)
}

// Guards against refusing requests when the view is outdated only for a moment.
func TestRequestWaitsForAYoungerView(t *testing.T) {
	view, all := newMembers(t, "a")
	view.setOutdated(true)
	timer := time.AfterFunc(viewHold/2, func() { view.setOutdated(false) })
	defer timer.Stop()
	acquire(t, all["a"].cell, "r1").Release(scheduler.Completed, 1)
}

// Guards against a request that is sent on a view which became outdated while the request
// waited for its slot.
func TestViewIsLookedAtAfterTheGrant(t *testing.T) {
	view, all := newMembers(t, "a")
	var held []Slot
	for range slots {
		held = append(held, acquire(t, all["a"].cell, "holds"))
	}
	got := make(chan error, 1)
	go func() {
		s, err := all["a"].cell.Acquire(t.Context(), request("waits"))
		if err == nil {
			s.Release(scheduler.Completed, 1)
		}
		got <- err
	}()
	waitFor(t, "the request to wait", func() bool { return len(all["a"].cell.tickets()) == slots+1 })
	view.setOutdated(true)
	held[0].Release(scheduler.Completed, 1)
	var refused *RefusedError
	err := <-got
	assert.Assert(t, errors.As(err, &refused) && refused.Reason == scheduler.Outdated, "%v", err)
	for _, s := range held[1:] {
		s.Release(scheduler.Completed, 1)
	}
	waitFor(t, "the slots to be free", func() bool { return all["a"].local.Used("engine") == 0 })
}

// TestWaitsEndWithTheTimeOfTheRequest guards against requests that are held to the end of
// their callers' time where they wait for a current view, or for an owner that is late.
func TestWaitsEndWithTheTimeOfTheRequest(t *testing.T) {
	const patience = 150 * time.Millisecond
	for name, delay := range map[string]func(view *fakeMembership, owner *member) (stop func()){
		"view": func(view *fakeMembership, _ *member) func() {
			view.setOutdated(true)
			return func() { view.setOutdated(false) }
		},
		"owner": func(_ *fakeMembership, owner *member) func() {
			owner.local.mu.Lock()
			return owner.local.mu.Unlock
		},
	} {
		t.Run(name, func(t *testing.T) {
			view, all := newMembers(t, "a", "b")
			waitFor(t, "link", func() bool { return all["b"].linked() && all["a"].usesAllSlots() })
			defer delay(view, all["a"])()
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			began := time.Now()
			_, err := all["b"].cell.Acquire(ctx, request("r"))
			assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
			assert.Assert(t, time.Since(began) < 2*patience, "after %s", time.Since(began))
		})
	}
}
