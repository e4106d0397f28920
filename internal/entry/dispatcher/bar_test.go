package dispatcher

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// addSecondUpstream gives every host another upstream.
func addSecondUpstream(view *fakeMembership, all map[registrar.HostName]*member) registrar.Upstream {
	u := registrar.Upstream{Name: "other", Models: []validator.PoolName{"m"}, Slots: slots, Incarnation: 1}
	view.upstreams[u.Name] = u
	for _, m := range all {
		m.local.Observe(u)
	}
	return u
}

// granted acquires a slot, releases it and returns its upstream.
func granted(t *testing.T, c *Cell, id string) registrar.UpstreamID {
	t.Helper()
	s := acquire(t, c, id)
	defer s.Release(scheduler.Completed, 1)
	return s.Upstream().Name
}

// refusal requests a slot and expects a refusal.
func refusal(t *testing.T, c *Cell, id string) *RefusedError {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := c.Acquire(ctx, request(id))
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	return refused
}

// Guards against new requests to an upstream that said in a response that it is leaving.
// The host that got the response stops at once, the others once the owner knows.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	other := addSecondUpstream(view, all)
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].usesAllSlots() })
	all["b"].cell.Notice(Notice{Upstream: view.upstreams["engine"], Leaving: true})
	for range 2 * slots {
		assert.Equal(t, granted(t, all["b"].cell, "at-b"), other.Name)
		assert.Equal(t, granted(t, all["c"].cell, "at-c"), other.Name)
	}
	all["c"].cell.Notice(Notice{Upstream: other, Leaving: true})
	assert.Assert(t, refusal(t, all["c"].cell, "none-left").RetryAfter > 0)
}

// Guards against a host without an owner of its cell that sends requests to an upstream
// which has asked for none.
func TestLeavingUpstreamWithoutOwner(t *testing.T) {
	view, all := newMembers(t, "a")
	other := addSecondUpstream(view, all)
	view.setOwner("")
	waitFor(t, "own scheduler", func() bool { return !all["a"].linked() })
	all["a"].cell.Notice(Notice{Upstream: view.upstreams["engine"], Leaving: true})
	for range 2 * slots {
		assert.Equal(t, granted(t, all["a"].cell, "alone"), other.Name)
	}
}

// Guards against a new owner of the cell that grants slots at a barred upstream: a host
// reports its bars to each new owner.
func TestBarOutlivesTheOwner(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	other := addSecondUpstream(view, all)
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	all["c"].cell.Notice(Notice{Upstream: view.upstreams["engine"], Pause: time.Minute})
	view.setOwner("b")
	waitFor(t, "new owner", func() bool { return all["b"].usesAllSlots() && all["c"].linked() })
	for range 2 * slots {
		assert.Equal(t, granted(t, all["c"].cell, "at-c"), other.Name)
	}
}

// Guards against a pause that also applies to other hosts, and against one that never
// ends.
func TestPauseConcernsOneHost(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].usesAllSlots() })
	const pause = 300 * time.Millisecond
	began := time.Now()
	all["b"].cell.Notice(Notice{Upstream: view.upstreams["engine"], Pause: pause})
	assert.Equal(t, granted(t, all["c"].cell, "at-c"), registrar.UpstreamID("engine"))
	assert.Equal(t, granted(t, all["b"].cell, "at-b"), registrar.UpstreamID("engine"))
	assert.Assert(t, time.Since(began) >= pause, "the upstream got work %s after it asked for %s without", time.Since(began), pause)
}

// Guards against an owner that grants a barred upstream again and again: the host
// declines the slots and answers the request with a refusal.
func TestBarredGrantIsDeclined(t *testing.T) {
	view, all := newMembers(t, "a", "b")
	waitFor(t, "link", func() bool { return all["b"].linked() })
	all["b"].cell.bars.add(time.Now(), Notice{Upstream: view.upstreams["engine"], Pause: 2 * maxBarTime})
	e := refusal(t, all["b"].cell, "r")
	assert.Equal(t, e.Reason, scheduler.NoUpstream)
	assert.Assert(t, e.RetryAfter > 0)
	waitFor(t, "declined slots freed", func() bool { return all["a"].occupied() == 0 })
}

// Guards against a hedge at an upstream that is leaving as far as this host knows,
// granted by an owner of the cell that has not heard of it.
func TestBarredHedgeIsDeclined(t *testing.T) {
	view, all := newMembers(t, "a")
	other := addSecondUpstream(view, all)
	c := all["a"].cell
	s := acquire(t, c, "r")
	barred := other
	if s.Upstream().Name == other.Name {
		barred = view.upstreams["engine"]
	}
	c.bars.add(time.Now(), Notice{Upstream: barred, Leaving: true})
	l := all["a"].local
	l.mu.Lock()
	l.deliver(scheduler.Hedge{ID: s.(*slot).requestID(), Upstream: barred.Name})
	l.mu.Unlock()
	select {
	case h := <-s.Hedged():
		t.Fatalf("a hedge at %s", h.Upstream().Name)
	default:
	}
	s.Release(scheduler.Completed, 1)
}

// Guards against requests to an upstream that is leaving as far as this host knows, when
// the owner of the cell has not heard of it: the host declines the grant and reports the
// bar.
func TestOwnerThatMissedALeavingIsDeclined(t *testing.T) {
	view, all := newMembers(t, "a", "b")
	other := addSecondUpstream(view, all)
	waitFor(t, "link", func() bool { return all["b"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].usesAllSlots() })
	delete(view.upstreams, "engine")
	all["b"].local.Forget("engine")
	all["b"].cell.ObserveDeparture(registrar.Departure{UpstreamID: "engine", Incarnation: 1, Leaving: true})
	for range 2 * slots {
		assert.Equal(t, granted(t, all["b"].cell, "at-b"), other.Name)
	}
	for range 2 * slots {
		assert.Equal(t, granted(t, all["a"].cell, "at-a"), other.Name)
	}
}

// Guards against a grant for a restarted upstream that is resolved to the earlier process
// in this host's view, so that the request goes there or its response is attributed to
// it.
func TestGrantNamesTheLaterProcess(t *testing.T) {
	view := &fakeMembership{upstreams: map[registrar.UpstreamID]registrar.Upstream{
		"a": {Name: "a", Address: "10.0.0.1:1", Incarnation: 1},
	}}
	c := &Cell{settings: Settings{Membership: view, Logger: zap.NewNop()}}
	l := &link{}
	l.locations.Store(registrar.UpstreamID("a"), location{"10.0.0.2:1", 2})
	c.lastLink.Store(l)
	u, ok := c.upstream("a")
	assert.Assert(t, ok)
	assert.Equal(t, u.Incarnation, registrar.Incarnation(2))
	assert.Equal(t, u.Address, "10.0.0.2:1")
}

func TestBars(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	at := func(i registrar.Incarnation) registrar.Upstream { return registrar.Upstream{Name: "u", Incarnation: i} }
	cases := []struct {
		name    string
		notices []Notice
		after   time.Duration
		asked   registrar.Upstream
		left    time.Duration
	}{
		{"none", nil, 0, at(1), 0},
		{"pause", []Notice{{Upstream: at(1), Pause: time.Second}}, 400 * time.Millisecond, at(1), 600 * time.Millisecond},
		{"pause that has ended", []Notice{{Upstream: at(1), Pause: time.Second}}, time.Second, at(1), 0},
		{"shorter pause later", []Notice{{Upstream: at(1), Pause: time.Second}, {Upstream: at(1), Pause: time.Millisecond}}, 0, at(1), time.Second},
		{"a year", []Notice{{Upstream: at(1), Pause: 365 * 24 * time.Hour}}, 0, at(1), maxBarTime},
		{"leaving after a pause", []Notice{{Upstream: at(1), Pause: time.Second}, {Upstream: at(1), Leaving: true}}, time.Minute, at(1), maxBarTime - time.Minute},
		{"pause after leaving", []Notice{{Upstream: at(1), Leaving: true}, {Upstream: at(1), Pause: time.Second}}, time.Minute, at(1), maxBarTime - time.Minute},
		{"next process", []Notice{{Upstream: at(1), Leaving: true}}, 0, at(2), 0},
		{"earlier process", []Notice{{Upstream: at(2), Leaving: true}}, 0, at(1), maxBarTime},
		{"process that is not known", []Notice{{Upstream: at(0), Leaving: true}}, 0, at(2), maxBarTime},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b bars
			for _, n := range c.notices {
				b.add(now, n)
			}
			assert.Equal(t, b.remaining(now.Add(c.after), c.asked), c.left)
		})
	}
}

// Guards against a late notice of an earlier process that replaces the one of the process
// that is leaving now.
func TestBarOfNewerProcessStays(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	at := func(i registrar.Incarnation) registrar.Upstream { return registrar.Upstream{Name: "u", Incarnation: i} }
	var b bars
	b.add(now, Notice{Upstream: at(2), Leaving: true})
	b.add(now, Notice{Upstream: at(1), Leaving: true})
	assert.Equal(t, b.remaining(now, at(2)), maxBarTime)
	b.add(now, Notice{Upstream: at(1), Pause: time.Second})
	assert.Equal(t, b.remaining(now, at(2)), maxBarTime)
}

// Guards against a departure heard in a response that is not passed to the membership,
// and against one passed on from a response that is not certain to answer this host's
// request.
func TestLeavingInAnAnswerReachesTheMembership(t *testing.T) {
	var told []registrar.Departure
	clock := clockwork.NewFakeClock()
	local := NewLocal(scheduler.New(), clock)
	defer local.Close()
	c := &Cell{route: local, settings: Settings{
		Local: local, Clock: clock, Logger: zap.NewNop(),
		ReportDeparture: func(d registrar.Departure) { told = append(told, d) },
	}}
	engine := registrar.Upstream{Name: "engine", Incarnation: 3}
	c.Notice(Notice{Upstream: registrar.Upstream{Name: "other", Incarnation: 1}, Leaving: true})
	c.Notice(Notice{Upstream: engine, Attributed: true, Pause: time.Second})
	assert.Equal(t, len(told), 0)
	c.Notice(Notice{Upstream: engine, Attributed: true, Leaving: true})
	assert.DeepEqual(t, told, []registrar.Departure{{UpstreamID: "engine", Incarnation: engine.Incarnation, Leaving: true}})
}
