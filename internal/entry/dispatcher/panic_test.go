package dispatcher

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// Guards against an owner of the cell that ends, or stalls, because of one request: its
// host would bring the request to the next owner, and so to all of them in turn.
func TestPanicOfTheScheduler(t *testing.T) {
	_, all := newMembers(t, "a", "b")
	waitFor(t, "link", func() bool { return all["b"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].usesAllSlots() })
	owner := all["a"].local
	owner.mu.Lock()
	decide, ticks := owner.decide, 0
	owner.decide = func(now time.Time, e scheduler.Event) []scheduler.Action {
		switch e := e.(type) {
		case scheduler.Submit:
			if originOf(string(e.Request.ID)) == "bad" {
				panic("a fault")
			}
		case scheduler.Tick:
			if ticks++; ticks < 3 {
				panic("a fault of the tick")
			}
		}
		return decide(now, e)
	}
	owner.mu.Unlock()
	assert.Equal(t, refusal(t, all["b"].cell, "bad").Reason, scheduler.Poisonous)
	for range 2 * slots {
		s := acquire(t, all["b"].cell, "good")
		s.Release(scheduler.Completed, 1)
	}
	waitFor(t, "ticks after the panics", func() bool {
		owner.mu.Lock()
		defer owner.mu.Unlock()
		return ticks > 3
	})
	assert.Assert(t, all["b"].linked(), "the link broke")
}

// Guards against a message that ends the receiving process: the owner goes on whatever
// another host sends.
func FuzzDispatchRequest(f *testing.F) {
	seeds := []*wire.DispatchRequest{
		{Host: "h"},
		{Submits: []*wire.SlotRequest{{Id: "r/1", Pool: "m", Class: "chat", Prefix: []uint64{1, 2}, Ends: []uint32{10}, Age: -1 << 62}}},
		{Submits: []*wire.SlotRequest{{Id: "r/1", Held: "engine", Unread: true}}, Complete: true},
		{Progress: []*wire.SlotProgress{{Id: "r/1", Upstream: "engine", Kind: 3, Outcome: 1 << 31, Tokens: 1 << 31}}},
		{Bars: []*wire.SlotBar{{Upstream: "engine", Incarnation: 1 << 63, Remaining: -1 << 62}, {Leaving: true}}},
		{Fingerprints: []*wire.Fingerprint{{Digest: "d", Crashes: 1 << 31, Upstreams: []string{"", "engine"}, Remaining: 1 << 62}}},
	}
	for _, m := range seeds {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	_, all := newMembersTB(f, "a")
	owner := all["a"]
	decide := owner.local.decide
	f.Fuzz(func(t *testing.T, data []byte) {
		var m wire.DispatchRequest
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		// A panic that is contained in service has to be found here.
		owner.local.mu.Lock()
		owner.local.decide = func(now time.Time, e scheduler.Event) []scheduler.Action {
			defer func() {
				if p := recover(); p != nil {
					t.Errorf("panic at %T %+v: %v", e, e, p)
				}
			}()
			return decide(now, e)
		}
		owner.local.mu.Unlock()
		n := owner.server.begin("h", false)
		n.take(&m)
		owner.server.finish(n)
	})
}

// Guards against an answer that ends a host: the host goes on whatever an owner sends.
func FuzzDispatchResponse(f *testing.F) {
	seeds := []*wire.DispatchResponse{
		{Moved: true},
		{Grants: []*wire.SlotGrant{{Id: "r", Upstream: "engine", Priority: -1 << 31, Predicted: 1 << 62}, {Id: "r", Hedge: true}}},
		{Refusals: []*wire.SlotRefusal{{Id: "r", Retry: -1 << 62}}, Preempted: []*wire.SlotPreemption{{Id: "r", Upstream: "engine"}}},
	}
	for _, m := range seeds {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	_, all := newMembersTB(f, "a")
	f.Fuzz(func(t *testing.T, data []byte) {
		var m wire.DispatchResponse
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		l := idleLink()
		l.settings.Local = all["a"].local
		l.accepted = make(chan struct{})
		k := newTicket(request("r"), l.settings.Clock, l.find, func(scheduler.RequestID) {})
		k.move(l)
		l.take(&m)
		select {
		case g := <-k.result:
			var refused *RefusedError
			if g.refusal != nil {
				assert.Assert(t, errors.As(g.refusal, &refused))
			}
		default:
		}
		l.fail("closed")
	})
}
