package follower

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFailingConfirmationsAreNoStorm guards against hosts that keep a late group of control
// hosts late: while no call is answered, the calls of all hosts together have a bound.
func TestFailingConfirmationsAreNoStorm(t *testing.T) {
	const (
		hosts  = 1100
		length = 20 * time.Second
		step   = 50 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	confirmed := time.Unix(1_700_000_000, 0)
	plans := make([]askPlan, hosts)
	busiest, inSecond := 0, 0
	for passed := time.Duration(0); passed < length; passed += step {
		if passed%time.Second == 0 {
			busiest, inSecond = max(busiest, inSecond), 0
		}
		for i := range plans {
			if plans[i].due(confirmed.Add(passed), confirmed, random.Float64(), Rank{Place: i, Hosts: hosts}) {
				inSecond++
			}
		}
	}
	const bound = 200
	assert.Assert(t, busiest <= bound, "%d attempts in a second; at most %d are allowed", busiest, bound)
}
