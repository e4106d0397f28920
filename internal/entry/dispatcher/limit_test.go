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
	// limitedRate is the rate limit of the tests' upstream, in requests a second.
	limitedRate scheduler.Rate = 4
	// limitSlack is how many requests may exceed the limit in any span of time: the first
	// one of the span, and one that was already on its way.
	limitSlack = 2
	// limitSpan is how long the tests send requests.
	limitSpan = 2 * time.Second
)

// arrivals holds the times at which hosts were granted slots on the limited upstream.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, t)
}

// check fails the test when any span of time has more arrivals than the limit and the
// slack allow.
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

// sendWithoutPause acquires slots from all cells without a pause until the context ends.
func sendWithoutPause(ctx context.Context, got *arrivals, all ...*Cell) *conc.WaitGroup {
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

// reportRate tells a host that the upstream limits its rate to limitedRate.
func reportRate(c *Cell, u registrar.Upstream) {
	now := time.Now()
	c.Notice(Notice{Upstream: u, Rate: limitedRate, SentAt: now})
}

// TestRateLimitOfUpstreamIsKeptByAllHosts guards against sending an upstream far more
// requests a second than the rate that it takes from all hosts together.
func TestRateLimitOfUpstreamIsKeptByAllHosts(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	addSecondUpstream(view, all)
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].usesAllSlots() })
	reportRate(all["b"].cell, view.upstreams["engine"])
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), limitSpan)
	defer cancel()
	var got arrivals
	sendWithoutPause(ctx, &got, all["a"].cell, all["b"].cell, all["c"].cell).Wait()
	got.check(t, limitSlack)
	assert.Assert(t, len(got.times) >= int(float64(limitedRate)*limitSpan.Seconds()/2), "the upstream got %d requests only", len(got.times))
}

// newRateLimitedMembers starts three hosts that know the rate limit of the upstream,
// which one of them was told.
func newRateLimitedMembers(t *testing.T) (*fakeMembership, map[registrar.HostName]*member) {
	t.Helper()
	view, all := newMembers(t, "a", "b", "c")
	addSecondUpstream(view, all)
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].usesAllSlots() })
	reportRate(all["b"].cell, view.upstreams["engine"])
	for n, m := range all {
		waitFor(t, "limit known at "+string(n), func() bool { return len(m.local.knownLimits()) == 1 })
	}
	return view, all
}

// TestRateLimitHoldsWhileTheOwnerChanges guards against hosts that each use the whole
// limit, or use it a second time, when the cell changes its owner or has none.
func TestRateLimitHoldsWhileTheOwnerChanges(t *testing.T) {
	view, all := newRateLimitedMembers(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var got arrivals
	group := sendWithoutPause(ctx, &got, all["a"].cell, all["b"].cell, all["c"].cell)
	for _, owner := range []registrar.HostName{"b", "", "c", "a", "", "b", "a"} {
		view.setOwner(owner)
		time.Sleep(400 * time.Millisecond)
	}
	cancel()
	group.Wait()
	// Without an owner all hosts may send at the same time.
	got.check(t, len(all)+1)
}

// TestRateLimitHoldsWithoutOwner guards against hosts that each use the whole limit while
// none of them reaches an owner.
func TestRateLimitHoldsWithoutOwner(t *testing.T) {
	view, all := newRateLimitedMembers(t)
	view.setOwner("")
	for n, m := range all {
		waitFor(t, "own scheduler of "+string(n), func() bool { return !m.linked() })
	}
	ctx, cancel := context.WithTimeout(t.Context(), limitSpan)
	defer cancel()
	var got arrivals
	sendWithoutPause(ctx, &got, all["a"].cell, all["b"].cell, all["c"].cell).Wait()
	// All hosts may send at the same time.
	got.check(t, len(all))
	assert.Assert(t, len(got.times) > 0, "the upstream got nothing")
}

// TestRateLimitHoldsBetweenTwoOwners guards against two owners of a partitioned cell that
// each grant the whole limit.
func TestRateLimitHoldsBetweenTwoOwners(t *testing.T) {
	view, all := newRateLimitedMembers(t)
	split := &fakeMembership{owner: "c", addresses: view.addresses, upstreams: view.upstreams}
	all["c"].cell.Close()
	s := all["c"].cell.settings
	s.Membership = split
	other := NewCell(s)
	defer other.Close()
	waitFor(t, "second owner", func() bool { return !all["c"].linked() && all["a"].local.linkedHosts.Load() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), limitSpan)
	defer cancel()
	var got arrivals
	sendWithoutPause(ctx, &got, all["a"].cell, all["b"].cell, other).Wait()
	got.check(t, limitSlack)
}

// TestRateLimitIsWithdrawn guards against a limit that other hosts keep after the
// upstream has withdrawn it in a response to one of them.
func TestRateLimitIsWithdrawn(t *testing.T) {
	view, all := newRateLimitedMembers(t)
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

// TestRateLimitBringsStaleHostUpToDate guards against a host that keeps an outdated limit
// although the owner knows a later one.
func TestRateLimitBringsStaleHostUpToDate(t *testing.T) {
	view, all := newRateLimitedMembers(t)
	u := view.upstreams["engine"]
	now := time.Now()
	reportRate(all["c"].cell, u)
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

// TestRateLimitIsToldToNewHosts guards against a host that was added or restarted,
// doesn't know a limit and uses its share as if there were none.
func TestRateLimitIsToldToNewHosts(t *testing.T) {
	view, _ := newRateLimitedMembers(t)
	l, err := dialer.Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	view.mu.Lock()
	view.addresses["d"] = l.Addr().String()
	view.mu.Unlock()
	d := newMember(t, "d", view, l, view.upstreams["engine"])
	waitFor(t, "limit", func() bool { return len(d.local.knownLimits()) == 1 })
}

// TestDecodeLimits guards against a message whose age or rate overflows: a report from
// the future would supersede all later ones.
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

// TestFleetSize guards against reusing the share of a host as soon as it is out of sight,
// since it may only be cut off, and against shares that are too small for a minute
// because hosts were counted twice for a moment.
func TestFleetSize(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var f hostCount
	for _, c := range []struct {
		after time.Duration
		hosts int
		want  int
	}{
		{0, 7, 7}, {time.Second, 9, 7}, {hostCountRise, 9, 7}, {2 * hostCountRise, 9, 7}, {3 * hostCountRise, 9, 9},
		{10 * time.Second, 4, 9},
		{11 * time.Second, 18, 9}, {12 * time.Second, 9, 9},
		{13 * time.Second, 14, 9}, {14 * time.Second, 12, 9}, {13*time.Second + hostCountRise, 13, 12},
		{20 * time.Second, 12, 12},
		{20*time.Second + hostCountHold - 1, 6, 12}, {20*time.Second + hostCountHold, 6, 6},
	} {
		f.observe(now.Add(c.after), c.hosts)
		assert.Equal(t, f.count(), c.want, "after %v", c.after)
	}
}

// Guards against a report on a limit that waits before it is sent, for instance because
// the host stalled, and then replaces a later report.
func TestReportOfALimitAgesWhileItWaits(t *testing.T) {
	clock := clockwork.NewFakeClock()
	const waited = 3 * time.Second
	e := scheduler.Limit{Upstream: "a", Incarnation: 1, Rate: 100, At: clock.Now()}
	l := &link{settings: Settings{Clock: clock}, wake: make(chan struct{}, 1)}
	l.limit(e)
	local := NewLocal(scheduler.New(), clock)
	defer local.Close()
	n := newSession(&Server{settings: Settings{Clock: clock, Local: local}}, "h")
	n.queueLimits(e)
	clock.Advance(waited)
	for _, list := range [][]*wire.SlotLimit{l.batch().Limits, n.batch().Limits} {
		assert.Equal(t, len(list), 1)
		assert.Equal(t, clock.Since(decodeLimits(list, clock.Now())[0].At), waited)
	}
}
