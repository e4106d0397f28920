package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// TestLateHello guards against requests that wait for ever on a link that the owner
// considers replaced: the first message of an earlier link can arrive after that of the
// link in use.
func TestLateHello(t *testing.T) {
	_, all := newMembers(t, "a", "b")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["a"].usesAllSlots() })
	all["a"].server.finish(all["a"].server.begin("b", false))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	s, err := all["b"].cell.Acquire(ctx, request("r"))
	assert.NilError(t, err)
	s.Release(scheduler.Completed, 1)
	waitFor(t, "slots freed", func() bool { return all["a"].occupied() == 0 && all["b"].occupied() == 0 })
}

// inbox returns the actions that a session has not sent yet.
func (n *session) inbox() *wire.DispatchResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pending
}

// TestLostGrant guards against requests that the owner withdraws when their grant was
// lost with a link: the host submits the request again, or reports a slot that it granted
// itself in the meantime.
func TestLostGrant(t *testing.T) {
	cases := map[string]struct {
		held   string
		grants int
	}{
		"still waits":        {held: "", grants: 1},
		"granted elsewhere":  {held: "other", grants: 0},
		"grant had arrived":  {held: "engine", grants: 0},
		"released meanwhile": {held: "-", grants: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, all := newMembers(t, "a")
			m := all["a"]
			m.local.Observe(registrar.Upstream{Name: "other", Incarnation: 1, Slots: 0})
			sent := encodeRequest(request("r"), holding{}, time.Now())
			n := m.server.begin("b", false)
			n.take(&wire.DispatchRequest{Submits: []*wire.SlotRequest{sent}, Complete: true})
			assert.Equal(t, len(n.inbox().Grants), 1)
			again := m.server.begin("b", false)
			defer m.server.finish(again)
			news := &wire.DispatchRequest{Complete: true}
			if c.held != "-" {
				sent.Held = c.held
				news.Submits = []*wire.SlotRequest{sent}
			}
			again.take(news)
			assert.Equal(t, len(again.inbox().Grants), c.grants)
			want := 1
			if c.held == "-" {
				want = 0
			}
			assert.Equal(t, m.local.Used("engine")+m.local.Used("other"), want)
			again.take(&wire.DispatchRequest{Progress: []*wire.SlotProgress{encodeProgress(scheduler.Cancel{ID: "r"})}})
			assert.Equal(t, m.local.Used("engine")+m.local.Used("other"), 0)
			assert.Equal(t, m.occupied(), 0)
		})
	}
}

// TestFormerOwner guards against slots that stay occupied at a former owner of the cell:
// the other hosts report their ends only to the next owner.
func TestFormerOwner(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() && all["a"].usesAllSlots() })
	s := acquire(t, all["c"].cell, "r")
	view.setOwner("b")
	waitFor(t, "adopted by the new owner", func() bool { return all["c"].linked() && all["b"].occupied() == 1 })
	s.Release(scheduler.Completed, 1)
	for _, m := range all {
		waitFor(t, "slots freed", func() bool { return m.occupied() == 0 && m.local.Used("engine") == 0 })
	}
}

// recorder is a route that stands in for an owner. It records all reports in events, and
// in lost the ends of requests that it does not know.
type recorder struct {
	mu      sync.Mutex
	enter   func()
	known   map[scheduler.RequestID]bool
	events  []scheduler.Event
	lost    []scheduler.Event
	notify  sink
	adopted holding
}

func newRecorder(enter func()) *recorder {
	return &recorder{enter: enter, known: map[scheduler.RequestID]bool{}}
}

func (r *recorder) submit(q scheduler.Request, n sink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known[q.ID], r.notify = true, n
}

func (r *recorder) adopt(q scheduler.Request, h holding, n sink) {
	r.adopted = h
	r.enter()
	r.submit(q, n)
}

func (r *recorder) report(e scheduler.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
	switch e := e.(type) {
	case scheduler.Finished:
		if !r.known[e.ID] {
			r.lost = append(r.lost, e)
		}
	case scheduler.Cancel:
		delete(r.known, e.ID)
	}
}

func (r *recorder) setBars([]scheduler.Bar) {}

func (r *recorder) handedOver(id scheduler.RequestID) { r.report(scheduler.Cancel{ID: id}) }

func (r *recorder) finish(f scheduler.Finished, last bool) {
	r.report(f)
	if last {
		r.report(scheduler.Cancel{ID: f.ID})
	}
}

// testTicket returns a ticket that finds every upstream.
func testTicket() *ticket {
	find := func(id registrar.UpstreamID) (registrar.Upstream, bool) { return registrar.Upstream{Name: id}, true }
	return newTicket(request("r"), clockwork.NewRealClock(), find, func(scheduler.RequestID) {})
}

// TestCrashDuringHandOver guards against a crash report that reaches the new owner before
// the slot that it concerns: the owner would ignore it and go on granting slots to a
// request that crashes upstreams.
func TestCrashDuringHandOver(t *testing.T) {
	k := testTicket()
	first := newRecorder(func() {})
	k.move(first)
	first.notify(scheduler.Grant{ID: "r", Upstream: "engine"})
	s := (<-k.result).slot
	var group conc.WaitGroup
	released := make(chan struct{})
	second := newRecorder(func() {
		group.Go(func() {
			defer close(released)
			s.Release(scheduler.Crashed, 3)
		})
		// Gives a release that wrongly does not wait for the hand-over the time to
		// overtake it.
		select {
		case <-released:
		case <-time.After(100 * time.Millisecond):
		}
	})
	k.move(second)
	group.Wait()
	assert.Equal(t, len(second.lost), 0, "the crash was reported for a request that the owner does not know")
	assert.Equal(t, len(second.known), 0)
}

// TestHedgeDuringRelease guards against a hedge that is granted while the first slot is
// being released and is then held for ever.
func TestHedgeDuringRelease(t *testing.T) {
	k := testTicket()
	owner := newRecorder(func() {})
	k.move(owner)
	owner.notify(scheduler.Grant{ID: "r", Upstream: "engine"})
	s := (<-k.result).slot
	arriving, released := make(chan struct{}), make(chan struct{})
	find := k.find
	k.find = func(id registrar.UpstreamID) (registrar.Upstream, bool) {
		close(arriving)
		// Lets the release go as far as it can before the slot of the hedge is open.
		time.Sleep(50 * time.Millisecond)
		return find(id)
	}
	var group conc.WaitGroup
	group.Go(func() { owner.notify(scheduler.Hedge{ID: "r", Upstream: "other"}) })
	<-arriving
	group.Go(func() {
		defer close(released)
		s.Release(scheduler.Completed, 3)
	})
	<-released
	group.Wait()
	assert.Equal(t, len(k.slots), 0)
	assert.Equal(t, len(owner.known), 0)
}

// TestUnwantedHedge guards against slots that stay in use because nobody can take the
// hedge: the request's host is out of reach, or the request runs on two upstreams
// already.
func TestUnwantedHedge(t *testing.T) {
	_, all := newMembers(t, "a")
	m := all["a"]
	hedge := func(id scheduler.RequestID, u registrar.UpstreamID) {
		m.local.mu.Lock()
		defer m.local.mu.Unlock()
		r := request(string(id))
		m.local.step(scheduler.Adopt{Request: r, Upstream: u})
		m.local.deliver(scheduler.Hedge{ID: id, Upstream: u})
		m.local.step(scheduler.Tick{})
	}
	n := m.server.begin("b", false)
	n.take(&wire.DispatchRequest{Submits: []*wire.SlotRequest{encodeRequest(request("far"), holding{}, time.Now())}})
	n.end()
	hedge("far", "second")
	assert.Equal(t, m.local.Used("second"), 0)
	assert.Equal(t, m.occupied(), 1)
	s := acquire(t, m.cell, "near")
	id := s.(*slot).requestID()
	hedge(id, "second")
	assert.Equal(t, m.local.Used("second"), 1)
	hedge(id, "third")
	assert.Equal(t, m.local.Used("third"), 0)
	s.Release(scheduler.Completed, 1)
	assert.Equal(t, m.local.Used("second"), 0)
	assert.Equal(t, m.occupied(), 1)
}

// TestAdmittedOnce guards against waiting requests that are refused at a change of owner
// because the new owner counts them against a rate limit again.
func TestAdmittedOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := document()
	d.Organisations[0].Rate = 2
	var locals []*Local
	var tickets []*ticket
	for i := range 2 {
		l := NewLocal(scheduler.New(), clock)
		defer l.Close()
		l.Configure(d)
		l.Observe(registrar.Upstream{Name: "engine", Models: []validator.PoolName{"m"}, Incarnation: 1})
		locals = append(locals, l)
		for j := range 2 {
			r := request(fmt.Sprint(i, j))
			k := newTicket(r, clock, nil, func(scheduler.RequestID) {})
			k.move(l)
			tickets = append(tickets, k)
		}
	}
	for _, k := range tickets {
		k.move(locals[1])
		assert.Equal(t, len(k.result), 0, "an admitted request was refused")
	}
}

// TestMovedIsNoRetry guards against queued requests that are refused at a change of owner
// because the new owner counts them as retries, whose budget is small.
func TestMovedIsNoRetry(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var locals []*Local
	for range 2 {
		l := NewLocal(scheduler.New(), clock)
		defer l.Close()
		l.Configure(document())
		l.Observe(registrar.Upstream{Name: "engine", Models: []validator.PoolName{"m"}, Incarnation: 1})
		locals = append(locals, l)
	}
	for i := range 50 {
		k := newTicket(request(fmt.Sprint("r", i)), clock, nil, func(scheduler.RequestID) {})
		k.move(locals[0])
		k.move(locals[1])
		assert.Equal(t, len(k.result), 0, "request %d was refused", i)
	}
}

// TestPreemptedWhileAway guards against an attempt that keeps the slot of a higher tier
// because its preemption was lost with its host's link.
func TestPreemptedWhileAway(t *testing.T) {
	_, all := newMembers(t, "a")
	m := all["a"]
	n := m.server.begin("b", false)
	sent := encodeRequest(request("r"), holding{}, time.Now())
	n.take(&wire.DispatchRequest{Submits: []*wire.SlotRequest{sent}})
	n.end()
	m.local.mu.Lock()
	m.local.deliver(scheduler.Preempt{ID: "r", Upstream: "engine"})
	m.local.mu.Unlock()
	again := m.server.begin("b", false)
	defer m.server.finish(again)
	sent.Held = "engine"
	again.take(&wire.DispatchRequest{Submits: []*wire.SlotRequest{sent}, Complete: true})
	assert.Equal(t, len(again.inbox().Preempted), 1)
}
