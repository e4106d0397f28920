package restarter_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/ops/restarter"
)

// TestLoopBeginsAgain guards against a loop that ends with a panic while its process goes on.
func TestLoopBeginsAgain(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	r := restarter.New(zap.New(core), clockwork.NewRealClock())
	calls := 0
	r.Run(t.Context(), "review", func() {
		calls++
		if calls < 3 {
			panic("a fault")
		}
	})
	assert.Equal(t, calls, 3)
	assert.Equal(t, logs.Len(), 2)
	assert.Equal(t, logs.All()[0].ContextMap()["in"], "review")
}

// TestLoopEndsWithItsContext guards against a loop that panics repeatedly and outlives its
// context.
func TestLoopEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*restarter.Pause/2)
	defer cancel()
	r := restarter.New(zap.NewNop(), clockwork.NewRealClock())
	began := time.Now()
	r.Run(ctx, "review", func() { panic("again") })
	assert.Assert(t, time.Since(began) < 3*restarter.Pause)
}
