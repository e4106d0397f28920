package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHopelessBehindResumed guards against hopeless requests that are kept, and
// granted too late to be of use, because a request that has tokens already is
// at the head of their lane.
func TestHopelessBehindResumed(t *testing.T) {
	s := New()
	s.Step(start, Configure{Document: document()})
	s.Step(start, Observe{engine("a", 1)})
	assert.Equal(t, script(s.Step(start, ask("running", "top", "small"))), "running>a")
	begun := ask("begun", "top", "small")
	begun.Request.Emitted, begun.Request.Moved = 5, true
	s.Step(start, begun)
	s.Step(start.Add(time.Millisecond), ask("fresh", "top", "small"))
	now := start.Add(2 * time.Second)
	assert.Equal(t, script(s.Step(now, Tick{})), "fresh!overloaded")
	assert.Equal(t, script(s.Step(now, done("running", "a", Completed))), "begun>a")
}
