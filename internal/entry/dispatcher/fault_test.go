package dispatcher

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// TestLateHello guards against requests that wait for ever on a link that the
// owner considers replaced: the hello of an earlier link can arrive after that
// of the link in use.
func TestLateHello(t *testing.T) {
	_, all := newMembers(t, "a", "b")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["a"].full() })
	all["a"].server.finish(all["a"].server.begin("b"))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	s, err := all["b"].cell.Acquire(ctx, request("r"))
	assert.NilError(t, err)
	s.Release(scheduler.Completed, 1)
	waitFor(t, "slots freed", func() bool { return all["a"].occupied() == 0 && all["b"].occupied() == 0 })
}
