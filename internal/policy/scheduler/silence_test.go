package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// timeOut ends an attempt whose connection could not be made in time.
func (f *engineFleet) timeOut(id RequestID) {
	u := f.running[id]
	delete(f.running, id)
	f.step(Finished{ID: id, Upstream: u, Outcome: ConnectTimeout})
}

// TestDarkIdleEngineIsLeftAlone guards against an engine that becomes unreachable
// while it is idle. It looks free, so without counting the connections that timed
// out it would get one request after another.
func TestDarkIdleEngineIsLeftAlone(t *testing.T) {
	f := newEngineFleet(t, 3)
	const dark registrar.UpstreamID = "engine-1"
	send := func() (atDark int) {
		for range 60 {
			id := f.hint()
			if f.running[id] == dark {
				atDark++
				continue
			}
			f.first(id)
			f.finish(id)
		}
		return atDark
	}
	f.timeOut(f.hintAt(dark))
	f.timeOut(f.hintAt(dark))
	assert.Equal(t, f.silences[dark], 1)
	assert.Equal(t, send(), 0)

	f.pass(silentPause)
	assert.Equal(t, send(), 1, "one request at a time tells whether it is back")
}

// hintAt submits hints until one is granted on the engine.
func (f *engineFleet) hintAt(u registrar.UpstreamID) RequestID {
	for range 100 {
		id := f.hint()
		if f.running[id] == u {
			return id
		}
		f.first(id)
		f.finish(id)
	}
	f.t.Fatalf("no request at %s", u)
	return ""
}

// TestOneHostCutOffFromAnEngine guards against an engine that counts as silent
// because one host cannot reach it.
func TestOneHostCutOffFromAnEngine(t *testing.T) {
	f := newEngineFleet(t, 1)
	for range 3 {
		f.timeOut(f.hint())
		f.first(f.hint())
	}
	assert.Equal(t, f.silences["engine-0"], 0)
}

// TestUnconnectedIsNoRetry guards against connections that time out and use up the
// retry budget although nothing was sent to an upstream.
func TestUnconnectedIsNoRetry(t *testing.T) {
	f := newEngineFleet(t, 3)
	for range 200 {
		id := f.hint()
		f.timeOut(id)
		f.step(Submit{Request{ID: id, Pool: "m", Class: "hint", Prompt: 1_200, Limit: 200, Retry: true, Arrived: f.now}})
		_, refused := f.refused[id]
		assert.Assert(t, !refused)
		f.first(id)
		f.finish(id)
	}
}

// TestSlowStreamIsNoSilence guards against a slow but healthy stream that is taken
// off its engine although its class allows pauses longer than silenceTimeout.
func TestSlowStreamIsNoSilence(t *testing.T) {
	f := newEngineFleet(t, 2)
	second := validator.Duration(time.Second)
	f.step(Configure{&validator.Document{
		Classes: []validator.Class{
			{Name: "hint", Tier: 0, First: second / 3, Gap: second / 6, Wait: second, Late: true},
			{Name: "summary", Tier: 2, First: 3 * second / 2, Gap: second, Wait: 4 * second, Late: true},
		},
		Models: []validator.Model{{Name: "m", Class: "hint", Memory: engineMemory}},
	}})
	id := f.summary(1)
	f.first(id)
	f.pass(1900 * time.Millisecond)
	assert.Equal(t, f.preempts[id], 0, "asked to continue elsewhere within the pause that its class allows")
	f.pass(200 * time.Millisecond)
	assert.Equal(t, f.preempts[id], 1, "an engine that says nothing at all has to be noticed")
}

// TestSilenceIsNoticedByTheTightestStream guards against a silent engine that is
// noticed late because one of its streams allows long pauses: the stream with the
// shortest target between tokens decides.
func TestSilenceIsNoticedByTheTightestStream(t *testing.T) {
	f := newEngineFleet(t, 1)
	slow, quick := f.summary(1), f.hint()
	f.first(slow)
	f.first(quick)
	f.pass(silenceTimeout + 2*TickInterval)
	assert.Equal(t, f.silences["engine-0"], 1)
}

// TestLoneSchedulerJudgesNoSilence guards against entry hosts without an owner that end
// live attempts: each sees its own requests alone, and took sound engines for silent.
func TestLoneSchedulerJudgesNoSilence(t *testing.T) {
	f := newEngineFleet(t, 2)
	f.step(Divide{Hosts: 9})
	id := f.hint()
	f.first(id)
	f.pass(4 * silenceTimeout)
	assert.Equal(t, f.preempts[id], 0)
}

// TestNextOwnerHearsTheHostsFirst guards against a next owner that ends attempts because
// of the time before the hosts reported them.
func TestNextOwnerHearsTheHostsFirst(t *testing.T) {
	f := newEngineFleet(t, 2)
	f.step(Divide{Hosts: 9})
	id := f.hint()
	f.first(id)
	f.pass(2 * silenceTimeout)
	f.step(Divide{Hosts: 1})
	f.pass(silenceTimeout - 2*TickInterval)
	assert.Equal(t, f.preempts[id], 0)
	f.pass(4 * TickInterval)
	assert.Equal(t, f.preempts[id], 1, "an engine that says nothing at all has to be noticed")
}

// TestUnheardHostsTellNothingOfSilence guards against an owner that is cut off from the
// hosts and takes all engines for silent.
func TestUnheardHostsTellNothingOfSilence(t *testing.T) {
	f := newEngineFleet(t, 2)
	f.step(Submit{Request{ID: "r", Pool: "m", Class: "hint", Prompt: 1_200, Limit: 200, Rescue: true, Host: "h", Arrived: f.now}})
	f.first("r")
	for range 4 * silenceTimeout / TickInterval {
		f.now = f.now.Add(TickInterval)
		f.step(Tick{Unheard: []registrar.HostName{"h"}})
	}
	assert.Equal(t, f.preempts["r"], 0)
	f.pass(silenceTimeout - 2*TickInterval)
	assert.Equal(t, f.preempts["r"], 0, "the host has only just been heard again")
	f.pass(4 * TickInterval)
	assert.Equal(t, f.preempts["r"], 1)
}

// TestWaitGoesOnAtTheNextScheduler guards against requests that wait to the end of their
// time because each scheduler that takes them over counts their wait anew.
func TestWaitGoesOnAtTheNextScheduler(t *testing.T) {
	began, now := start, start
	for range 4 {
		s := New()
		s.Step(now, Configure{Document: document()})
		s.Step(now, Observe{engine("a", 1)})
		s.Step(now, ask("running", "top", "small"))
		e := ask("r", "top", "small")
		e.Request.Waiting, e.Request.Moved = began, true
		s.Step(now, e)
		assert.Equal(t, s.requests["r"].queued, began)
		now = now.Add(300 * time.Millisecond)
	}
}
