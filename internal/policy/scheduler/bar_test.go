package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// barRig is a scheduler with two plain upstreams or engines.
func barRig(t *testing.T, memory int) *Scheduler {
	t.Helper()
	d := document()
	d.Models = []validator.Model{{Name: "m", Class: "top", Memory: memory}}
	s := New(WithSeed(1))
	s.Step(start, Configure{d})
	s.Step(start, Settle{Settled: true})
	s.Step(start, Observe{engine("a", 4)})
	s.Step(start, Observe{engine("b", 4)})
	return s
}

// from is a request that the host sends to its upstream.
func from(host, id string) Submit {
	e := ask(id, "top", "small")
	e.Request.Host = registrar.HostName(host)
	return e
}

// Guards against requests that reach an upstream within the time for which it asked
// their host to stay away, and against keeping other hosts away with it.
func TestBarConcernsOneHost(t *testing.T) {
	for name, memory := range map[string]int{"plain": 0, "engine": 100_000} {
		t.Run(name, func(t *testing.T) {
			s := barRig(t, memory)
			s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 1, For: time.Second})
			for _, id := range []string{"r1", "r2", "r3"} {
				assert.Equal(t, script(s.Step(start, from("h1", id))), id+">b")
			}
			got := script(s.Step(start, from("h2", "s1"))) + " " + script(s.Step(start, from("h2", "s2")))
			assert.Assert(t, got == "s1>a s2>a" || got == "s1>a s2>b", got)
			s.Step(start, Forget{"b"})
			assert.Equal(t, script(s.Step(start, from("h1", "r4"))), "", "it waits for the end of the bar")
			assert.Equal(t, script(s.Step(start.Add(time.Second), Tick{})), "r4>a")
		})
	}
}

// Guards against a refusal that comes late, or without the time after which the only
// upstream takes requests again.
func TestBarOfOnlyUpstream(t *testing.T) {
	s := barRig(t, 0)
	s.Step(start, Forget{"b"})
	wait := s.class("top").wait
	assert.Equal(t, script(s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 1, For: wait + time.Second})), "")
	actions := s.Step(start, from("h1", "r1"))
	assert.Equal(t, script(actions), "r1!unavailable")
	assert.Assert(t, actions[0].(Refuse).RetryAfter >= wait+time.Second)
	assert.Equal(t, script(s.Step(start, from("h2", "r2"))), "r2>a")
}

// A request that waits already is refused as soon as no upstream is left that its
// host may use in time.
func TestBarRefusesWhatWaits(t *testing.T) {
	s := barRig(t, 0)
	s.Step(start, Forget{"b"})
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		assert.Equal(t, script(s.Step(start, from("h1", id))), id+">a")
	}
	assert.Equal(t, script(s.Step(start, from("h1", "r5"))), "")
	assert.Equal(t, script(s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 1, For: time.Minute})), "r5!unavailable")
}

// Guards against requests of other hosts that reach an upstream which has told one
// host that it leaves, and against keeping its next process out.
func TestLeavingIsToldToAllHosts(t *testing.T) {
	s := barRig(t, 100_000)
	s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 1, Leaving: true})
	again := engine("a", 4)
	again.Sequence = 9
	s.Step(start, Observe{again})
	for _, id := range []string{"r1", "r2", "r3"} {
		assert.Equal(t, script(s.Step(start, from("h2", id))), id+">b")
	}
	restarted := engine("a", 4)
	restarted.Incarnation = 2
	s.Step(start, Observe{restarted})
	s.Step(start, Forget{"b"})
	assert.Equal(t, script(s.Step(start, from("h1", "r4"))), "r4>a")
}

// A notice of an earlier process, delayed on its way, doesn't concern the one that
// has started since; one that comes before the first announcement is kept.
func TestBarOfAnotherProcess(t *testing.T) {
	s := barRig(t, 0)
	s.Step(start, Forget{"b"})
	restarted := engine("a", 4)
	restarted.Incarnation = 5
	s.Step(start, Observe{restarted})
	s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 4, Leaving: true})
	assert.Equal(t, script(s.Step(start, from("h1", "r1"))), "r1>a")

	s.Step(start, Bar{Host: "h1", Upstream: "c", Incarnation: 1, Leaving: true})
	s.Step(start, Observe{engine("c", 4)})
	s.Step(start, Forget{"a"})
	assert.Equal(t, script(s.Step(start, from("h1", "r2"))), "r2!unavailable")
}

// Bars take no memory after their end.
func TestBarsExpire(t *testing.T) {
	s := barRig(t, 0)
	s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 1, For: time.Second})
	s.Step(start, Bar{Host: "h1", Upstream: "nobody", Incarnation: 1, Leaving: true})
	s.Step(start.Add(leavingTime), Tick{})
	assert.Equal(t, len(s.bars), 0)
}

// Guards against a new owner of the cell that hears from one host that an upstream leaves
// before it has heard of the upstream, and grants it to the others.
func TestLeavingIsKeptForUnknownUpstream(t *testing.T) {
	s := barRig(t, 0)
	s.Step(start, Bar{Host: "h1", Upstream: "c", Incarnation: 1, Leaving: true})
	s.Step(start, Observe{engine("c", 4)})
	s.Step(start, Forget{"a"})
	s.Step(start, Forget{"b"})
	assert.Equal(t, script(s.Step(start, from("h2", "r1"))), "r1!unavailable")
}

// Guards against an upstream that gets work again from hosts that it hasn't told that it
// leaves, because its lease ended for a moment.
func TestLeavingOutlivesTheLease(t *testing.T) {
	s := barRig(t, 0)
	s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 1, Leaving: true})
	s.Step(start, Forget{"a"})
	s.Step(start, Forget{"b"})
	s.Step(start, Observe{engine("a", 4)})
	assert.Equal(t, script(s.Step(start, from("h2", "r1"))), "r1!unavailable")
}
