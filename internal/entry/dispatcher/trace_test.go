package dispatcher

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// TestTraceNamesTheScheduler guards against a log in which a request that waited to the
// end of its time can't be told from one that nobody scheduled.
func TestTraceNamesTheScheduler(t *testing.T) {
	view, all := newMembers(t, "a", "b")
	waitFor(t, "link", func() bool { return all["b"].linked() && all["a"].usesAllSlots() })
	asked := func() registrar.HostName {
		var trace Trace
		s, err := all["b"].cell.Acquire(WithTrace(t.Context(), &trace), request("r"))
		assert.NilError(t, err)
		s.Release(scheduler.Completed, 5)
		assert.Assert(t, !trace.Asked.IsZero())
		return trace.Scheduler
	}
	assert.Equal(t, asked(), registrar.HostName("a"))
	view.setOwner("b")
	waitFor(t, "the next owner", func() bool { return !all["b"].linked() })
	assert.Equal(t, asked(), registrar.HostName("b"))
}
