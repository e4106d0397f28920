package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

// TestPoison guards against a request that costs more than two upstreams, however
// many copies of it are sent and whenever, and against innocent requests that are
// refused or lost because they shared an upstream with it.
func TestPoison(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(), start
		s.Step(now, Configure{Document: document()})
		running := map[registrar.UpstreamID][]Request{}
		open, poisonous, answered, lost, serial := map[RequestID]Request{}, 0, 0, 0, 0
		act := func(list []Action) {
			for _, a := range append([]Action(nil), list...) {
				switch a := a.(type) {
				case Grant:
					running[a.Upstream] = append(running[a.Upstream], open[a.ID])
				case Refuse:
					assert.Equal(t, a.Reason, Poisonous)
					assert.Equal(t, open[a.ID].Fingerprint, "poison")
					poisonous++
					delete(open, a.ID)
				}
			}
		}
		incarnations := map[registrar.UpstreamID]registrar.Incarnation{}
		observe := func(id registrar.UpstreamID) {
			incarnations[id]++
			u := engine(string(id), 3)
			u.Incarnation = incarnations[id]
			act(s.Step(now, Observe{u}))
		}
		for _, id := range []registrar.UpstreamID{"a", "b", "c", "d"} {
			observe(id)
		}
		submit := func(fingerprint string) {
			r := ask(fmt.Sprint("r", serial), "top", "small").Request
			serial++
			r.Fingerprint = fingerprint
			open[r.ID] = r
			act(s.Step(now, Submit{r}))
		}
		crash := func(id registrar.UpstreamID) {
			lost++
			batch := running[id]
			running[id] = nil
			for _, r := range batch {
				act(s.Step(now, Finished{ID: r.ID, Upstream: id, Outcome: Crashed}))
			}
			observe(id)
			for _, r := range batch {
				r.Retry = true
				act(s.Step(now, Submit{r}))
			}
		}
		complete := func(id registrar.UpstreamID) {
			r := running[id][0]
			if r.Fingerprint == "poison" {
				crash(id)
				return
			}
			running[id] = running[id][1:]
			answered++
			delete(open, r.ID)
			act(s.Step(now, Finished{ID: r.ID, Upstream: id, Outcome: Completed, Tokens: 5}))
		}
		innocents := 0
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				submit("poison")
			case 1:
				submit(fmt.Sprint("innocent", serial))
				innocents++
			default:
				id := rapid.SampledFrom([]registrar.UpstreamID{"a", "b", "c", "d"}).Draw(t, "upstream")
				if len(running[id]) > 0 {
					complete(id)
				}
			}
		}
		for range 1000 {
			now = now.Add(TickInterval)
			act(s.Step(now, Tick{}))
			for _, id := range []registrar.UpstreamID{"a", "b", "c", "d"} {
				if len(running[id]) > 0 {
					complete(id)
				}
			}
		}
		assert.Assert(t, lost <= 2, "%d upstreams lost", lost)
		assert.Equal(t, answered, innocents)
		assert.Equal(t, len(open), 0)
		assert.Equal(t, len(s.requests), 0)
	})
}

// TestUnreachable guards against innocent requests that are refused for lack of a
// retry budget because a crashed upstream, whose lease has not ended yet, refuses
// their connections.
func TestUnreachable(t *testing.T) {
	s := New()
	s.Step(start, Configure{Document: document()})
	s.Step(start, Observe{engine("a", 100)})
	assert.Equal(t, formatActions(s.Step(start, ask("r", "top", "large"))), "r>a")
	s.Step(start, Observe{engine("b", 1)})
	assert.Equal(t, formatActions(s.Step(start, done("r", "a", ConnectionRefused))), "")
	again := ask("r", "top", "large")
	again.Request.Retry = true
	again.Request.Avoid = []registrar.UpstreamID{"a"}
	assert.Equal(t, formatActions(s.Step(start, again)), "r>b")
	// The upstream that refused gets no more requests, although it has free slots.
	assert.Equal(t, formatActions(s.Step(start, ask("next", "top", "large"))), "")
	for i := range 50 {
		id := fmt.Sprint("q", i)
		s.Step(start, ask(id, "top", "large"))
		s.Step(start, Adopt{Request: ask(id, "top", "large").Request, Upstream: "a"})
		s.Step(start, done(id, "a", ConnectionRefused))
		retry := ask(id, "top", "large")
		retry.Request.Retry = true
		assert.Equal(t, formatActions(s.Step(start, retry)), "", "retry %d was refused", i)
	}
}

// TestUnsettled guards against two schedulers of a cell that each run a suspect a
// second time before they know of each other's crashes.
func TestUnsettled(t *testing.T) {
	s := New()
	s.Step(start, Configure{Document: document()})
	s.Step(start, Settle{})
	s.Step(start, Observe{engine("a", 1)})
	s.Step(start, Observe{engine("b", 1)})
	r := ask("r", "slow", "large")
	r.Request.Fingerprint = "f"
	assert.Equal(t, formatActions(s.Step(start, r)), "r>a")
	s.Step(start, done("r", "a", Crashed))
	r.Request.Retry = true
	assert.Equal(t, formatActions(s.Step(start, r)), "", "a suspect was granted before the cell was settled")
	s.Step(start, Settle{Settled: true})
	assert.Equal(t, formatActions(s.Step(start.Add(TickInterval), Tick{})), "r>b")
}

// TestUnsettledWithoutUpstream guards against refusals by a host that has just
// taken over a cell and has not learned of its upstreams yet.
func TestUnsettledWithoutUpstream(t *testing.T) {
	for _, c := range []struct {
		name  string
		class string
		event Event
		after time.Duration
		want  string
	}{
		{"an upstream is announced", "slow", Observe{engine("a", 1)}, time.Second, "r>a"},
		{"the cell is settled without one", "slow", Settle{Settled: true}, time.Second, "r!unavailable"},
		{"the time is up", "slow", Tick{}, strandTime, "r!unavailable"},
		{"the time is not up", "slow", Tick{}, strandTime - time.Millisecond, ""},
		{"the target is missed before", "top", Tick{}, strandTime - time.Millisecond, "r!unavailable"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			s.Step(start, Configure{Document: document()})
			s.Step(start, Settle{})
			assert.Equal(t, formatActions(s.Step(start, ask("r", c.class, "large"))), "")
			assert.Equal(t, formatActions(s.Step(start.Add(c.after), c.event)), c.want)
		})
	}
}

// TestLostAnswerIsNoCrash guards against engines that count as crashed when they
// only reset the connections of a few requests while all others continue. Each such
// loss took the engine out of service for seconds and made suspects of all requests
// there, which then could not share an engine.
func TestLostAnswerIsNoCrash(t *testing.T) {
	f := newEngineFleet(t, 2)
	ids := make([]RequestID, 0, 20)
	for i := range cap(ids) {
		id := f.submit(Request{Class: "hint", Prompt: 1_200, Limit: 200, Fingerprint: fmt.Sprint("f", i)})
		f.first(id)
		ids = append(ids, id)
	}
	victim := ids[0]
	engine := f.running[victim]
	f.step(Finished{ID: victim, Upstream: engine, Outcome: Crashed})
	assert.Equal(t, f.s.upstreams[engine].down, true, "nothing new until it is known whether it lives")
	for _, id := range ids[1:] {
		assert.Equal(t, f.s.detector.Verdict(f.now, f.s.requests[id].Fingerprint), detector.Clean)
	}
	// A report that was already on its way proves nothing; a later one does.
	f.progress(ids, engine, 5)
	assert.Equal(t, f.s.upstreams[engine].down, true)
	f.now = f.now.Add(staleReportTime)
	f.progress(ids, engine, 6)
	assert.Equal(t, f.s.upstreams[engine].down, false)
	assert.Equal(t, f.s.detector.Verdict(f.now, "f0"), detector.Clean)
	assert.Equal(t, len(f.s.Crashes(f.now)), 0)
}

func (f *engineFleet) progress(ids []RequestID, u registrar.UpstreamID, tokens int) {
	for _, id := range ids {
		if f.running[id] == u {
			f.step(Progress{ID: id, Upstream: u, Tokens: tokens})
		}
	}
}

// TestCrashUnderWork guards against a crash that is mistaken for a lost answer.
// After a crash, everything that was in flight on the engine is a suspect,
// including requests that no host reports any more.
func TestCrashUnderWork(t *testing.T) {
	for _, c := range []struct {
		name    string
		confirm func(f *engineFleet, engine registrar.UpstreamID)
	}{
		{"nobody listens", func(f *engineFleet, engine registrar.UpstreamID) {
			id := f.hint()
			f.step(Adopt{Request: Request{ID: id, Pool: "m", Class: "hint"}, Upstream: engine})
			f.step(Finished{ID: id, Upstream: engine, Outcome: ConnectionRefused})
		}},
		{"it is still", func(f *engineFleet, _ registrar.UpstreamID) { f.pass(crashTimeout + 2*TickInterval) }},
		{"it starts again", func(f *engineFleet, engine registrar.UpstreamID) {
			f.step(Observe{registrar.Upstream{Name: engine, Models: []validator.PoolName{"m"}, Slots: 48, Incarnation: 2, Sequence: 1}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newEngineFleet(t, 2)
			var here []RequestID
			for i := range 10 {
				id := f.submit(Request{Class: "hint", Prompt: 1_200, Limit: 200, Fingerprint: fmt.Sprint("f", i)})
				if f.running[id] == "engine-0" {
					here = append(here, id)
				}
			}
			assert.Assert(t, len(here) > 1)
			f.step(Finished{ID: here[0], Upstream: "engine-0", Outcome: Crashed})
			c.confirm(f, "engine-0")
			assert.Equal(t, f.s.detector.Verdict(f.now, f.s.requests[here[1]].Fingerprint), detector.Suspect)
		})
	}
}

// TestRestartWhileReading guards against an upstream that restarts while it is
// reading a prompt that other requests share. When the attempt from before the
// restart ended, the owner of the cell panicked (seed 306 of the soak test).
func TestRestartWhileReading(t *testing.T) {
	f := newEngineFleet(t, 1)
	id := f.summary(1)
	again := registrar.Upstream{Name: "engine-0", Models: []validator.PoolName{"m"}, Slots: 48, Incarnation: 2, Sequence: 1}
	f.step(Observe{again})
	next := f.summary(1)
	f.step(Finished{ID: id, Upstream: "engine-0", Outcome: Crashed})
	u := f.s.upstreams["engine-0"]
	assert.Equal(t, len(u.unreadAttempts), 1, "the new one is still read")
	f.step(Cancel{next})
	assert.Equal(t, len(u.unreadAttempts), 0)
	assert.Equal(t, u.pendingRead[2], time.Duration(0))

	f.step(Observe{registrar.Upstream{Name: "engine-0", Models: []validator.PoolName{"m"}, Slots: 48, Incarnation: 3, Sequence: 1}})
	f.step(Adopt{Request: Request{ID: "adopted", Pool: "m", Class: "summary", Prompt: 100, Prefix: []uint64{5, 6}, Ends: []int{50, 100}}, Upstream: "unknown", Unread: true})
	f.step(Observe{registrar.Upstream{Name: "unknown", Models: []validator.PoolName{"m"}, Slots: 48, Incarnation: 1, Sequence: 1}})
	f.step(Cancel{"adopted"})
}
