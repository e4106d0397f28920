package dispatcher

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// limitedRate is what the limited upstream of the tests takes in requests a second.
	limitedRate scheduler.Rate = 4
	// limitSlack is how many requests may come beyond the limit in any time: the first
	// of it, and one that was on its way.
	limitSlack = 2
	// limitSpan is how long the tests watch.
	limitSpan = 2 * time.Second
)

// arrivals are the times at which hosts were granted slots on the limited upstream.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, t)
}

// check checks that no span of time has more arrivals than the limit allows in it.
func (a *arrivals) check(t *testing.T, slack int) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.times {
		for j := i; j < len(a.times); j++ {
			span := a.times[j].Sub(a.times[i])
			allowed := float64(limitedRate)*span.Seconds() + float64(slack)
			if n := j - i + 1; float64(n) > allowed {
				t.Fatalf("%d requests in %v for an upstream that takes %v a second: %.1f are allowed", n, span, limitedRate, allowed)
			}
		}
	}
}

// press sends requests from the hosts without a pause until the context ends.
func press(ctx context.Context, got *arrivals, all ...*Cell) *conc.WaitGroup {
	group := &conc.WaitGroup{}
	for h, c := range all {
		for lane := range 2 {
			group.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					s, err := c.Acquire(ctx, request(fmt.Sprintf("%d-%d-%d", h, lane, i)))
					if err != nil {
						continue
					}
					if s.Upstream().Name == "engine" {
						got.add(time.Now())
					}
					time.Sleep(time.Millisecond)
					s.Release(scheduler.Completed, 1)
				}
			})
		}
	}
	return group
}

// name tells a host that the upstream takes few requests.
func name(c *Cell, u registrar.Upstream) {
	now := time.Now()
	c.Notice(Notice{Upstream: u, Rate: limitedRate, SentAt: now})
}

// TestRateLimitOfUpstreamIsKeptByAllHosts guards against an upstream that names how many
// requests a second it takes from all hosts together and gets far more.
func TestRateLimitOfUpstreamIsKeptByAllHosts(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	second(view, all)
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].full() })
	name(all["b"].cell, view.upstreams["engine"])
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), limitSpan)
	defer cancel()
	var got arrivals
	press(ctx, &got, all["a"].cell, all["b"].cell, all["c"].cell).Wait()
	got.check(t, limitSlack)
	assert.Assert(t, len(got.times) >= int(float64(limitedRate)*limitSpan.Seconds()/2), "the upstream got %d requests only", len(got.times))
}

// limited starts hosts of which one has been told the limit of the upstream.
func limited(t *testing.T) (*fakeMembership, map[registrar.HostName]*member) {
	t.Helper()
	view, all := newMembers(t, "a", "b", "c")
	second(view, all)
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].full() })
	name(all["b"].cell, view.upstreams["engine"])
	for n, m := range all {
		waitFor(t, "limit known at "+string(n), func() bool { return len(m.local.knownLimits()) == 1 })
	}
	return view, all
}

// TestRateLimitHoldsWhileTheOwnerChanges guards against hosts that each use a limit of
// their own, or use it up once more, around changes of the cell's owner and while there
// is none.
func TestRateLimitHoldsWhileTheOwnerChanges(t *testing.T) {
	view, all := limited(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var got arrivals
	group := press(ctx, &got, all["a"].cell, all["b"].cell, all["c"].cell)
	for _, owner := range []registrar.HostName{"b", "", "c", "a", "", "b", "a"} {
		view.setOwner(owner)
		time.Sleep(400 * time.Millisecond)
	}
	cancel()
	group.Wait()
	// Without an owner the turns of all hosts may come together.
	got.check(t, len(all)+1)
}

// TestRateLimitHoldsWithoutOwner guards against hosts that each use the whole limit while
// none of them reaches an owner.
func TestRateLimitHoldsWithoutOwner(t *testing.T) {
	view, all := limited(t)
	view.setOwner("")
	for n, m := range all {
		waitFor(t, "own scheduler of "+string(n), func() bool { return !m.linked() })
	}
	ctx, cancel := context.WithTimeout(t.Context(), limitSpan)
	defer cancel()
	var got arrivals
	press(ctx, &got, all["a"].cell, all["b"].cell, all["c"].cell).Wait()
	// The turns of all hosts may come together.
	got.check(t, len(all))
	assert.Assert(t, len(got.times) > 0, "the upstream got nothing")
}

// TestRateLimitHoldsBetweenTwoOwners guards against two owners of a cell that is split,
// each of which grants the whole limit.
func TestRateLimitHoldsBetweenTwoOwners(t *testing.T) {
	view, all := limited(t)
	split := &fakeMembership{owner: "c", addresses: view.addresses, upstreams: view.upstreams}
	all["c"].cell.Close()
	s := all["c"].cell.settings
	s.Membership = split
	other := NewCell(s)
	defer other.Close()
	waitFor(t, "second owner", func() bool { return !all["c"].linked() && all["a"].local.links.Load() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), limitSpan)
	defer cancel()
	var got arrivals
	press(ctx, &got, all["a"].cell, all["b"].cell, other).Wait()
	got.check(t, limitSlack)
}

// TestRateLimitIsWithdrawn guards against a limit that outlasts what the upstream says,
// at another host than the one that has heard of its end.
func TestRateLimitIsWithdrawn(t *testing.T) {
	view, all := limited(t)
	u := view.upstreams["engine"]
	all["c"].cell.Notice(Notice{Upstream: u, Unlimited: true, SentAt: time.Now().Add(-time.Minute)})
	known, _ := all["a"].local.scheduler.LimitOf(u.Name)
	assert.Equal(t, known.Rate, limitedRate, "an answer whose request was sent before the limit was named tells nothing of it")
	all["c"].cell.Notice(Notice{Upstream: u, Unlimited: true, SentAt: time.Now().Add(time.Minute)})
	for n, m := range all {
		waitFor(t, "withdrawn at "+string(n), func() bool {
			list := m.local.knownLimits()
			return len(list) == 1 && list[0].Rate == 0
		})
	}
}

// TestRateLimitBringsStaleHostUpToDate guards against a host that goes on with what it
// believes of a limit when the owner has later news.
func TestRateLimitBringsStaleHostUpToDate(t *testing.T) {
	view, all := limited(t)
	u := view.upstreams["engine"]
	now := time.Now()
	name(all["c"].cell, u)
	stale := scheduler.Limit{Upstream: u.Name, Incarnation: u.Incarnation, Rate: 100, At: now.Add(-time.Hour / 2)}
	all["b"].cell.mu.RLock()
	l := all["b"].cell.route.(*link)
	all["b"].cell.mu.RUnlock()
	l.limit(stale)
	time.Sleep(100 * time.Millisecond)
	for n, m := range all {
		list := m.local.knownLimits()
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].Rate, limitedRate, string(n))
	}
}

// TestRateLimitIsToldToNewHosts guards against a host that is added or has restarted, and
// uses its part of a limit that it doesn't know as if there were none.
func TestRateLimitIsToldToNewHosts(t *testing.T) {
	view, _ := limited(t)
	l, err := dialer.Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	view.mu.Lock()
	view.addresses["d"] = l.Addr().String()
	view.mu.Unlock()
	d := newMember(t, "d", view, l, view.upstreams["engine"])
	waitFor(t, "limit", func() bool { return len(d.local.knownLimits()) == 1 })
}

// TestDecodeLimits guards against a message whose age or rate overflows: a report from the
// future would outlast all later ones.
func TestDecodeLimits(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	list := decodeLimits([]*wire.SlotLimit{
		{Upstream: "a", Incarnation: 2, Rate: 0.5, Age: 1500},
		{Upstream: "b", Rate: math.Inf(1), Age: math.MaxInt64},
		{Upstream: "c", Rate: 1, Age: math.MinInt64},
		{Upstream: "d", Rate: math.NaN()},
		{Upstream: "e", Rate: -1},
	}, now)
	assert.DeepEqual(t, list, []scheduler.Limit{
		{Upstream: "a", Incarnation: 2, Rate: 0.5, At: now.Add(-1500 * time.Millisecond)},
		{Upstream: "b", Rate: maxRate, At: now.Add(-maxAge)},
		{Upstream: "c", Rate: 1, At: now},
	})
}

// TestFleetSize guards against a part of the limit that is freed as soon as a host is out
// of sight, since it may only be cut off, and against one that is too small for a minute
// because hosts were counted twice for a moment.
func TestFleetSize(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var f fleetSize
	for _, c := range []struct {
		after time.Duration
		hosts int
		want  int
	}{
		{0, 7, 7}, {time.Second, 9, 7}, {fleetRise, 9, 7}, {2 * fleetRise, 9, 7}, {3 * fleetRise, 9, 9},
		{10 * time.Second, 4, 9},
		{11 * time.Second, 18, 9}, {12 * time.Second, 9, 9},
		{13 * time.Second, 14, 9}, {14 * time.Second, 12, 9}, {13*time.Second + fleetRise, 13, 12},
		{20 * time.Second, 12, 12},
		{20*time.Second + fleetMemory - 1, 6, 12}, {20*time.Second + fleetMemory, 6, 6},
	} {
		f.observe(now.Add(c.after), c.hosts)
		assert.Equal(t, f.count(), c.want, "after %v", c.after)
	}
}

// Guards against a report on a limit that has waited on its way, as in a host that stood
// still, and replaces a later one.
func TestReportOfALimitAgesWhileItWaits(t *testing.T) {
	clock := clockwork.NewFakeClock()
	const waited = 3 * time.Second
	e := scheduler.Limit{Upstream: "a", Incarnation: 1, Rate: 100, At: clock.Now()}
	l := &link{settings: Settings{Clock: clock}, wake: make(chan struct{}, 1)}
	l.limit(e)
	n := newSession(&Server{settings: Settings{Clock: clock}}, "h")
	n.tellLimits(e)
	clock.Advance(waited)
	for _, list := range [][]*wire.SlotLimit{l.batch().Limits, n.batch().Limits} {
		assert.Equal(t, len(list), 1)
		assert.Equal(t, clock.Since(decodeLimits(list, clock.Now())[0].At), waited)
	}
}
