package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// idleLink returns a link without a stream to an owner that never reads. Nothing checks
// the silence of the owner, as if it sent heartbeats.
func idleLink() *link {
	l := &link{
		settings: Settings{Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Standby: true},
		broken:   make(chan struct{}),
		wake:     make(chan struct{}, 1),
		sinks:    map[scheduler.RequestID]sink{},
		waiting:  map[scheduler.RequestID]bool{},
	}
	l.alarm = l.settings.Clock.AfterFunc(maxIdleSilence, l.checkAlarm)
	return l
}

// TestSlowOwner guards against memory use that grows with every token, and without bound,
// while an owner sends heartbeats but does not read.
func TestSlowOwner(t *testing.T) {
	l := idleLink()
	l.submit(request("r"), discardAction)
	for tokens := range 1000 {
		l.report(scheduler.Progress{ID: "r", Upstream: "engine", Tokens: tokens})
	}
	m := l.batch()
	assert.Equal(t, len(m.Submits), 1)
	assert.Equal(t, len(m.Progress), 1)
	assert.Equal(t, m.Progress[0].Tokens, uint32(999))
	l.report(scheduler.Progress{ID: "r", Upstream: "engine", Tokens: 1001})
	assert.Equal(t, l.batch().Progress[0].Tokens, uint32(1001))
	for i := range maxQueued {
		l.submit(request(fmt.Sprint(i)), discardAction)
	}
	assert.Equal(t, len(l.pending.entries), maxQueued)
	l.submit(request("last"), discardAction)
	assert.Equal(t, len(l.pending.entries), 0)
	<-l.broken
}

// TestLargeHandOver guards against a hand-over in one message that the owner refuses for
// its size, against ends that are sent before their requests, and against a report that
// is marked complete too early.
func TestLargeHandOver(t *testing.T) {
	l := idleLink()
	const requests = 3000
	for i := range requests {
		r := request(fmt.Sprint(i))
		r.Prefix = make([]uint64, 100)
		l.adopt(r, holding{upstream: "engine"}, discardAction)
	}
	l.complete()
	for i := range requests {
		l.finish(scheduler.Finished{ID: scheduler.RequestID(fmt.Sprint(i)), Upstream: "engine"}, true)
	}
	known := map[string]bool{}
	ends, messages := 0, 0
	for complete := false; !l.pending.empty(); messages++ {
		m := l.batch()
		for _, s := range m.Submits {
			known[s.Id] = true
		}
		complete = complete || m.Complete
		assert.Equal(t, complete, len(known) == requests)
		for _, p := range m.Progress {
			assert.Assert(t, known[p.Id])
			ends++
		}
	}
	assert.Equal(t, ends, 2*requests)
	assert.Assert(t, messages > 1)
}

// TestSlowHost guards against answers that pile up for a host that does not read, and
// against losing those that are dropped then.
func TestSlowHost(t *testing.T) {
	_, all := newMembers(t, "a")
	m := all["a"]
	n := m.server.begin("b", false)
	defer m.server.finish(n)
	for range maxQueued {
		assert.Assert(t, n.notify(scheduler.Preempt{ID: "other", Upstream: "engine"}))
	}
	submit := &wire.DispatchRequest{Submits: []*wire.SlotRequest{encodeRequest(request("r"), holding{}, time.Now())}}
	n.take(submit)
	assert.Equal(t, m.local.Used("engine"), 0, "a slot whose grant was dropped stays in use")
	n.batch()
	assert.Assert(t, n.full(), "the host is not told to submit again")
	again := m.server.begin("b", false)
	defer m.server.finish(again)
	again.take(submit)
	assert.Equal(t, len(again.inbox().Grants), 1)
	again.take(&wire.DispatchRequest{Progress: []*wire.SlotProgress{encodeProgress(scheduler.Cancel{ID: "r"})}})
	assert.Equal(t, m.occupied(), 0)
}
