package applier

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

func lease(name, token string, d time.Duration) *wire.LeaseRequest {
	return &wire.LeaseRequest{Name: name, Holder: "host of " + token, Token: token, Duration: d.Milliseconds()}
}

func release(name, token string) *wire.LeaseRequest {
	return &wire.LeaseRequest{Name: name, Token: token, Release: true}
}

// TestLeases guards against two holders of one lease at the same time, and
// against a fencing number that is issued twice or decreases, also across
// snapshots, a full table and leaders with different clocks. Each step runs on
// a state restored from a snapshot of the previous one.
func TestLeases(t *testing.T) {
	const s = time.Second
	type step struct {
		at   time.Duration
		term uint64
		ask  *wire.LeaseRequest
		// fence is the position of the fencing number among those issued, from
		// 1; 0 means that the lease wasn't granted.
		fence int
		left  time.Duration
		held  string
	}
	for name, steps := range map[string][]step{
		"renewal keeps the number": {
			{0, 1, lease("n", "a", 5*s), 1, 5 * s, "a"}, {4 * s, 1, lease("n", "a", 5*s), 1, 5 * s, "a"},
			{5 * s, 1, lease("n", "b", 5*s), 0, 4 * s, "a"}, {9*s - 1, 1, lease("n", "b", 5*s), 0, 0, "a"},
			{9 * s, 1, lease("n", "b", 5*s), 2, 5 * s, "b"}, {9 * s, 1, lease("n", "a", 5*s), 0, 5 * s, "b"},
		},
		"a delayed request does not shorten": {
			{0, 1, lease("n", "a", 9*s), 1, 9 * s, "a"}, {s, 1, lease("n", "a", s), 1, 8 * s, "a"},
		},
		"release by the holder only": {
			{0, 1, lease("n", "a", 5*s), 1, 5 * s, "a"}, {s, 1, release("n", "b"), 0, 4 * s, "a"},
			{s, 1, release("n", "a"), 0, 0, ""}, {s, 1, lease("n", "b", 5*s), 2, 5 * s, "b"},
			{s, 1, release("n", "a"), 0, 5 * s, "b"}, {2 * s, 1, lease("m", "a", 5*s), 3, 5 * s, "a"},
		},
		"clock of a new leader ahead": {
			{0, 1, lease("n", "a", 5*s), 1, 5 * s, "a"}, {3600 * s, 2, lease("n", "b", 5*s), 0, 5 * s, "a"},
			{3605 * s, 2, lease("n", "b", 5*s), 2, 5 * s, "b"},
		},
		"clock of a new leader behind": {
			{3600 * s, 1, lease("n", "a", 5*s), 1, 5 * s, "a"}, {0, 2, lease("n", "b", 5*s), 0, 5 * s, "a"},
			{3604 * s, 2, lease("n", "b", 5*s), 0, s, "a"}, {3605 * s, 2, lease("n", "b", 5*s), 2, 5 * s, "b"},
		},
		"duration is bounded": {{0, 1, lease("n", "a", 9*MaximumLease), 1, MaximumLease, "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			state := New()
			numbers := []uint64{0}
			for i, c := range steps {
				e := command(t, uint64(i+1), c.at, &record.Command{Change: &record.Command_Lease{Lease: c.ask}})
				e.Term = c.term
				r := state.Apply(e).Lease
				assert.Equal(t, r.Granted, c.fence > 0, "step %d", i)
				if c.fence == len(numbers) {
					assert.Assert(t, r.Fence > numbers[c.fence-1], "step %d", i)
					numbers = append(numbers, r.Fence)
				}
				if r.Granted {
					assert.Equal(t, r.Fence, numbers[c.fence], "step %d", i)
				}
				holder := ""
				if c.held != "" {
					holder = "host of " + c.held
				}
				assert.Equal(t, r.Holder, holder, "step %d", i)
				assert.Equal(t, r.Remaining, c.left.Milliseconds(), "step %d", i)
				state = reload(t, state)
			}
		})
	}
	state := New()
	ask := func(at time.Duration, q *wire.LeaseRequest) Result {
		return state.Apply(command(t, 1, at, &record.Command{Change: &record.Command_Lease{Lease: q}}))
	}
	for i := range maximumLeases {
		assert.Assert(t, ask(0, lease(fmt.Sprint(i), "a", s)).Lease.Granted)
	}
	assert.Assert(t, ask(0, lease("more", "a", s)).Full)
	assert.Assert(t, ask(0, lease("0", "a", s)).Lease.Granted)
	first := ask(s, lease("0", "b", s)).Lease.Fence
	assert.Assert(t, first > maximumLeases)
	assert.Assert(t, ask(s, lease("more", "a", s)).Lease.Fence > first)
	// A group that lost all its data continues above the numbers of the previous one.
	state = New()
	assert.Assert(t, ask(time.Minute, lease("0", "c", s)).Lease.Fence > first+1)
}
