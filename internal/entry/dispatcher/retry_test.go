package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// saved returns the repeats that the host's scheduler has saved up.
func (m *member) saved() float64 {
	m.local.mu.Lock()
	defer m.local.mu.Unlock()
	sum := 0.0
	for _, d := range m.local.scheduler.SavedRepeats() {
		sum += d.Repeats
	}
	return sum
}

// spendRepeats uses n repeats of the cell's budget through a host.
func spendRepeats(t *testing.T, m *member, n int) {
	t.Helper()
	for range n {
		r := request("again")
		r.Retry = true
		s, err := m.cell.Acquire(t.Context(), r)
		assert.NilError(t, err)
		s.Release(scheduler.Completed, 1)
	}
}

// TestNextOwnerHasWhatTheLastOneLeft guards against owners that each begin with the whole
// retry budget, and against an owner change after which nothing is left of it.
func TestNextOwnerHasWhatTheLastOneLeft(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() && all["a"].usesAllSlots() })
	waitFor(t, "the parts", func() bool { return all["a"].saved() > scheduler.DefaultRetryBurst-0.1 })
	spendRepeats(t, all["c"], 4)
	const left = scheduler.DefaultRetryBurst - 4
	time.Sleep(2 * heartbeatInterval)
	for _, next := range []registrar.HostName{"b", "c", "a"} {
		view.setOwner(next)
		waitFor(t, "the next owner", func() bool {
			linked := 0
			for _, m := range all {
				if m.linked() {
					linked++
				}
			}
			return linked == 2 && all[next].usesAllSlots()
		})
		time.Sleep(2 * heartbeatInterval)
		sum := all["a"].saved() + all["b"].saved() + all["c"].saved()
		assert.Assert(t, sum <= left+0.01, "%g repeats of %d", sum, left)
		assert.Assert(t, all[next].saved() > left-1, "%g repeats of %d", all[next].saved(), left)
	}
}

// TestLostOwnerLeavesItsBudgetToTheHosts guards against hosts that allow the repeats again
// that an owner had allowed before it was lost.
func TestLostOwnerLeavesItsBudgetToTheHosts(t *testing.T) {
	_, all, gates := newGatedMembers(t, "a", "b", "c", "d")
	waitFor(t, "links", func() bool {
		return all["b"].linked() && all["c"].linked() && all["d"].linked() && all["a"].usesAllSlots()
	})
	waitFor(t, "the parts", func() bool { return all["a"].saved() > scheduler.DefaultRetryBurst-0.1 })
	spendRepeats(t, all["d"], 6)
	time.Sleep(2 * heartbeatInterval)
	gates["a"].silent.Store(true)
	waitFor(t, "the successor", func() bool { return all["c"].linked() && all["d"].linked() && all["b"].usesAllSlots() })
	time.Sleep(2 * heartbeatInterval)
	got := all["b"].saved() + all["c"].saved() + all["d"].saved()
	assert.Assert(t, got <= (scheduler.DefaultRetryBurst-6)*3/4.0+0.2, "%g repeats", got)
	assert.Assert(t, got > 2, "%g repeats", got)
	gates["a"].silent.Store(false)
}
