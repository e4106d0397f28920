package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// newBarScheduler returns a scheduler with two upstreams, a and b, which are
// engines if memory is not 0.
func newBarScheduler(t *testing.T, memory int) *Scheduler {
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

// from returns the submission of a request that the given host will send to its
// upstream.
func from(host, id string) Submit {
	e := ask(id, "top", "small")
	e.Request.Host = registrar.HostName(host)
	return e
}

// TestBarConcernsOneHost guards against requests that reach an upstream within the
// time for which it asked their host to stay away, and against keeping other hosts
// away as well.
func TestBarConcernsOneHost(t *testing.T) {
	for name, memory := range map[string]int{"plain": 0, "engine": 100_000} {
		t.Run(name, func(t *testing.T) {
			s := newBarScheduler(t, memory)
			s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 1, For: time.Second})
			for _, id := range []string{"r1", "r2", "r3"} {
				assert.Equal(t, formatActions(s.Step(start, from("h1", id))), id+">b")
			}
			got := formatActions(s.Step(start, from("h2", "s1"))) + " " + formatActions(s.Step(start, from("h2", "s2")))
			assert.Assert(t, got == "s1>a s2>a" || got == "s1>a s2>b", got)
			s.Step(start, Forget{"b"})
			assert.Equal(t, formatActions(s.Step(start, from("h1", "r4"))), "", "it waits for the end of the bar")
			assert.Equal(t, formatActions(s.Step(start.Add(time.Second), Tick{})), "r4>a")
		})
	}
}

// TestBarOfOnlyUpstream guards against a refusal that comes late, or that lacks the
// time after which the only upstream accepts requests again.
func TestBarOfOnlyUpstream(t *testing.T) {
	s := newBarScheduler(t, 0)
	s.Step(start, Forget{"b"})
	wait := s.class("top").wait
	assert.Equal(t, formatActions(s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 1, For: wait + time.Second})), "")
	actions := s.Step(start, from("h1", "r1"))
	assert.Equal(t, formatActions(actions), "r1!unavailable")
	assert.Assert(t, actions[0].(Refuse).RetryAfter >= wait+time.Second)
	assert.Equal(t, formatActions(s.Step(start, from("h2", "r2"))), "r2>a")
}

// TestBarRefusesWhatWaits guards against a waiting request that is not refused at
// once when no upstream is left that its host may use in time.
func TestBarRefusesWhatWaits(t *testing.T) {
	s := newBarScheduler(t, 0)
	s.Step(start, Forget{"b"})
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		assert.Equal(t, formatActions(s.Step(start, from("h1", id))), id+">a")
	}
	assert.Equal(t, formatActions(s.Step(start, from("h1", "r5"))), "")
	assert.Equal(t, formatActions(s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 1, For: time.Minute})), "r5!unavailable")
}

// TestLeavingIsToldToAllHosts guards against requests of other hosts that reach an
// upstream which has told one host that it is shutting down, and against keeping
// requests away from its next process.
func TestLeavingIsToldToAllHosts(t *testing.T) {
	s := newBarScheduler(t, 100_000)
	s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 1, Leaving: true})
	again := engine("a", 4)
	again.Sequence = 9
	s.Step(start, Observe{again})
	for _, id := range []string{"r1", "r2", "r3"} {
		assert.Equal(t, formatActions(s.Step(start, from("h2", id))), id+">b")
	}
	restarted := engine("a", 4)
	restarted.Incarnation = 2
	s.Step(start, Observe{restarted})
	s.Step(start, Forget{"b"})
	assert.Equal(t, formatActions(s.Step(start, from("h1", "r4"))), "r4>a")
}

// TestBarOfAnotherProcess guards against a delayed notice of an earlier process
// that affects the process started since, and against losing a notice that arrives
// before the first announcement of its process.
func TestBarOfAnotherProcess(t *testing.T) {
	s := newBarScheduler(t, 0)
	s.Step(start, Forget{"b"})
	restarted := engine("a", 4)
	restarted.Incarnation = 5
	s.Step(start, Observe{restarted})
	s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 4, Leaving: true})
	assert.Equal(t, formatActions(s.Step(start, from("h1", "r1"))), "r1>a")

	s.Step(start, Bar{Host: "h1", Upstream: "c", Incarnation: 1, Leaving: true})
	s.Step(start, Observe{engine("c", 4)})
	s.Step(start, Forget{"a"})
	assert.Equal(t, formatActions(s.Step(start, from("h1", "r2"))), "r2!unavailable")
}

// TestBarsExpire guards against bars that take memory after their end.
func TestBarsExpire(t *testing.T) {
	s := newBarScheduler(t, 0)
	s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 1, For: time.Second})
	s.Step(start, Bar{Host: "h1", Upstream: "nobody", Incarnation: 1, Leaving: true})
	s.Step(start.Add(leavingTime), Tick{})
	assert.Equal(t, len(s.bars), 0)
}

// TestLeavingIsKeptForUnknownUpstream guards against a new owner of the cell that
// learns from one host that an upstream is shutting down before it knows the
// upstream, and then grants it to other hosts.
func TestLeavingIsKeptForUnknownUpstream(t *testing.T) {
	s := newBarScheduler(t, 0)
	s.Step(start, Bar{Host: "h1", Upstream: "c", Incarnation: 1, Leaving: true})
	s.Step(start, Observe{engine("c", 4)})
	s.Step(start, Forget{"a"})
	s.Step(start, Forget{"b"})
	assert.Equal(t, formatActions(s.Step(start, from("h2", "r1"))), "r1!unavailable")
}

// TestLeavingOutlivesTheLease guards against an upstream that is shutting down and
// gets work from hosts that it has not told, because its lease ended for a moment.
func TestLeavingOutlivesTheLease(t *testing.T) {
	s := newBarScheduler(t, 0)
	s.Step(start, Bar{Host: "h1", Upstream: "a", Incarnation: 1, Leaving: true})
	s.Step(start, Forget{"a"})
	s.Step(start, Forget{"b"})
	s.Step(start, Observe{engine("a", 4)})
	assert.Equal(t, formatActions(s.Step(start, from("h2", "r1"))), "r1!unavailable")
}
