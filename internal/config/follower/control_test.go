package follower

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// askRate simulates hosts that copy each other's latest confirmation every 200 ms.
// It returns how many times a second they ask control in all, and the greatest age
// of a confirmation. The first hosts, as many as unanswered, never get an
// answer from control.
func askRate(seed uint64, fleet, unanswered int, period time.Duration) (rate float64, oldest time.Duration) {
	const tick, exchange, answer = 100 * time.Millisecond, 2, 30 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 3))
	now := time.Unix(1000, 0)
	confirmed, plans := make([]time.Time, fleet), make([]askPlan, fleet)
	asked := 0
	warm := now.Add(10 * time.Second)
	end := warm.Add(period)
	for n := 0; now.Before(end); n++ {
		now = now.Add(tick)
		next := append([]time.Time(nil), confirmed...)
		for i := range fleet {
			if p := random.IntN(fleet); n%exchange == i%exchange && confirmed[p].After(next[i]) {
				next[i] = confirmed[p]
			}
			if plans[i].due(now, confirmed[i], random.Float64(), Rank{Place: i, Hosts: fleet}) {
				if i >= unanswered {
					next[i] = now.Add(-answer)
				}
				if now.After(warm) {
					asked++
				}
			}
			if now.After(warm) {
				oldest = max(oldest, now.Sub(confirmed[i]))
			}
		}
		confirmed = next
	}
	return float64(asked) / period.Seconds(), oldest
}

// TestFewHostsAskControl guards against a load on control that grows with the
// fleet, and against hosts that wait for their peers until the lease ends.
func TestFewHostsAskControl(t *testing.T) {
	for _, c := range []struct {
		hosts, unanswered int
		most              float64
	}{{1, 0, 1}, {3, 0, 2}, {9, 0, 2}, {20, 0, 2}, {55, 0, 2}, {20, 2, 14}, {55, 2, 24}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			rate, oldest := askRate(1, c.hosts, c.unanswered, 5*time.Minute)
			t.Logf("%d hosts, of which %d get no answer, ask %.2f times a second in all; the greatest age is %v", c.hosts, c.unanswered, rate, oldest)
			assert.Assert(t, rate <= c.most, "rate %v", rate)
			assert.Assert(t, oldest < LeaseDuration-CallTimeout, "age %v", oldest)
		})
	}
}
