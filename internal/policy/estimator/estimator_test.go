package estimator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEstimates guards against estimates that ignore the organisation, that do not
// follow a change, or that fall below what an answer already has.
func TestEstimates(t *testing.T) {
	e := New()
	assert.Equal(t, e.Remaining("c", "short", 0), DefaultOutput)
	assert.Equal(t, e.Start("c", 0.9), time.Duration(0))
	for i := range 200 {
		e.Answered("c", "short", 90+i%20)
		e.Answered("c", "long", 900+i)
		e.Started("c", time.Duration(i)*time.Millisecond)
	}
	near := func(got, want int) {
		t.Helper()
		assert.Assert(t, got > want*9/10 && got < want*11/10, "got %d, want about %d", got, want)
	}
	near(e.Remaining("c", "short", 0), 100)
	near(e.Remaining("c", "long", 500), 500)
	near(e.Output("c", "long", 0.5), 1000)
	near(int(e.Start("c", 0.9).Milliseconds()), 180)
	assert.Assert(t, e.Remaining("c", "short", 5000) > 0)
	assert.Assert(t, e.Remaining("c", "unknown", 0) > 300, "the class stands in for an unknown organisation")
	for range 2 * window {
		e.Answered("c", "short", 400)
	}
	near(e.Remaining("c", "short", 0), 400)
}
