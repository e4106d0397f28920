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

// second gives every host another upstream.
func second(view *fakeMembership, all map[registrar.HostName]*member) registrar.Upstream {
	u := registrar.Upstream{Name: "other", Models: []validator.PoolName{"m"}, Slots: slots, Incarnation: 1}
	view.upstreams[u.Name] = u
	for _, m := range all {
		m.local.Observe(u)
	}
	return u
}

// granted asks for a slot and gives it back.
func granted(t *testing.T, c *Cell, id string) registrar.UpstreamID {
	t.Helper()
	s := acquire(t, c, id)
	defer s.Release(scheduler.Completed, 1)
	return s.Upstream().Name
}

// refusal asks for a slot that must be refused.
func refusal(t *testing.T, c *Cell, id string) *RefusedError {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := c.Acquire(ctx, request(id))
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	return refused
}

// Guards against new work for an upstream that said in an answer that it leaves: from
// the host that has the answer at once, from the others once the owner knows.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	other := second(view, all)
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].full() })
	all["b"].cell.Notice(Notice{Upstream: view.upstreams["engine"], Leaving: true})
	for range 2 * slots {
		assert.Equal(t, granted(t, all["b"].cell, "at-b"), other.Name)
		assert.Equal(t, granted(t, all["c"].cell, "at-c"), other.Name)
	}
	all["c"].cell.Notice(Notice{Upstream: other, Leaving: true})
	assert.Assert(t, refusal(t, all["c"].cell, "none-left").RetryAfter > 0)
}

// Guards against a host that is cut off from the owner and sends work to an upstream
// that has told it not to.
func TestLeavingUpstreamWithoutOwner(t *testing.T) {
	view, all := newMembers(t, "a")
	other := second(view, all)
	view.setOwner("")
	waitFor(t, "own scheduler", func() bool { return !all["a"].linked() })
	all["a"].cell.Notice(Notice{Upstream: view.upstreams["engine"], Leaving: true})
	for range 2 * slots {
		assert.Equal(t, granted(t, all["a"].cell, "alone"), other.Name)
	}
}

// Guards against a new owner that grants what the last one knew not to: a host tells
// each owner what it was told.
func TestBarOutlivesTheOwner(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	other := second(view, all)
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	all["c"].cell.Notice(Notice{Upstream: view.upstreams["engine"], Pause: time.Minute})
	view.setOwner("b")
	waitFor(t, "new owner", func() bool { return all["b"].full() && all["c"].linked() })
	for range 2 * slots {
		assert.Equal(t, granted(t, all["c"].cell, "at-c"), other.Name)
	}
}

// Guards against a pause that keeps other hosts away too, and one that never ends.
func TestPauseConcernsOneHost(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].full() })
	const pause = 300 * time.Millisecond
	began := time.Now()
	all["b"].cell.Notice(Notice{Upstream: view.upstreams["engine"], Pause: pause})
	assert.Equal(t, granted(t, all["c"].cell, "at-c"), registrar.UpstreamID("engine"))
	assert.Equal(t, granted(t, all["b"].cell, "at-b"), registrar.UpstreamID("engine"))
	assert.Assert(t, time.Since(began) >= pause, "the upstream got work %s after it asked for %s without", time.Since(began), pause)
}

// Guards against an owner that grants a barred upstream again and again: the host
// declines, and the request gets its answer.
func TestBarredGrantIsDeclined(t *testing.T) {
	view, all := newMembers(t, "a", "b")
	waitFor(t, "link", func() bool { return all["b"].linked() })
	all["b"].cell.bars.add(time.Now(), Notice{Upstream: view.upstreams["engine"], Pause: 2 * maxBar})
	e := refusal(t, all["b"].cell, "r")
	assert.Equal(t, e.Reason, scheduler.NoUpstream)
	assert.Assert(t, e.RetryAfter > 0)
	waitFor(t, "declined slots freed", func() bool { return all["a"].occupied() == 0 })
}

// Guards against a second attempt at an upstream that this host knows to leave: the owner
// of the cell, which has missed that, grants it as a hedge.
func TestBarredHedgeIsDeclined(t *testing.T) {
	view, all := newMembers(t, "a")
	other := second(view, all)
	c := all["a"].cell
	s := acquire(t, c, "r")
	barred := other
	if s.Upstream().Name == other.Name {
		barred = view.upstreams["engine"]
	}
	c.bars.add(time.Now(), Notice{Upstream: barred, Leaving: true})
	l := all["a"].local
	l.mu.Lock()
	l.deliver(scheduler.Hedge{ID: s.(*slot).identity(), Upstream: barred.Name})
	l.mu.Unlock()
	select {
	case h := <-s.Hedged():
		t.Fatalf("a hedge at %s", h.Upstream().Name)
	default:
	}
	s.Release(scheduler.Completed, 1)
}

// Guards against work for an upstream that this host knows to leave, because the owner of
// the cell has missed it: a grant is declined, and the owner learns why.
func TestOwnerThatMissedALeavingIsDeclined(t *testing.T) {
	view, all := newMembers(t, "a", "b")
	other := second(view, all)
	waitFor(t, "link", func() bool { return all["b"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].full() })
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

// Guards against a grant for a restarted upstream that goes to, and whose answer is taken
// for one of, the earlier process in the view of this host.
func TestGrantNamesTheLaterProcess(t *testing.T) {
	view := &fakeMembership{upstreams: map[registrar.UpstreamID]registrar.Upstream{
		"a": {Name: "a", Address: "10.0.0.1:1", Incarnation: 1},
	}}
	c := &Cell{settings: Settings{Membership: view, Logger: zap.NewNop()}}
	l := &link{}
	l.granted.Store(registrar.UpstreamID("a"), location{"10.0.0.2:1", 2})
	c.linked.Store(l)
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
		{"a year", []Notice{{Upstream: at(1), Pause: 365 * 24 * time.Hour}}, 0, at(1), maxBar},
		{"leaving after a pause", []Notice{{Upstream: at(1), Pause: time.Second}, {Upstream: at(1), Leaving: true}}, time.Minute, at(1), maxBar - time.Minute},
		{"pause after leaving", []Notice{{Upstream: at(1), Leaving: true}, {Upstream: at(1), Pause: time.Second}}, time.Minute, at(1), maxBar - time.Minute},
		{"next process", []Notice{{Upstream: at(1), Leaving: true}}, 0, at(2), 0},
		{"earlier process", []Notice{{Upstream: at(2), Leaving: true}}, 0, at(1), maxBar},
		{"process that is not known", []Notice{{Upstream: at(0), Leaving: true}}, 0, at(2), maxBar},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b bars
			for _, n := range c.notices {
				b.add(now, n)
			}
			assert.Equal(t, b.left(now.Add(c.after), c.asked), c.left)
		})
	}
}

// Guards against a notice of an earlier process, which came late, in the place of that of
// the process that leaves now.
func TestBarOfNewerProcessStays(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	at := func(i registrar.Incarnation) registrar.Upstream { return registrar.Upstream{Name: "u", Incarnation: i} }
	var b bars
	b.add(now, Notice{Upstream: at(2), Leaving: true})
	b.add(now, Notice{Upstream: at(1), Leaving: true})
	assert.Equal(t, b.left(now, at(2)), maxBar)
	b.add(now, Notice{Upstream: at(1), Pause: time.Second})
	assert.Equal(t, b.left(now, at(2)), maxBar)
}

// Guards against a leaving that an answer tells and the membership isn't told, and against
// one that is taken from an answer to another request.
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
