package dispatcher

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// TestHandOverOfFullEngine guards against sending an engine more requests than it has
// slots while the owner of the cell changes. The last owner counted the slots that its
// hosts reported to the next one as free, and granted them to requests that waited there;
// in the engine these waited behind requests of a lower tier.
func TestHandOverOfFullEngine(t *testing.T) {
	view, all := newMembers(t, "a", "b")
	waitFor(t, "link", func() bool { return all["b"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].usesAllSlots() })
	var held []Slot
	for i := range slots {
		m := all[registrar.HostName([]string{"a", "b"}[i%2])]
		held = append(held, acquire(t, m.cell, fmt.Sprint("held", i)))
	}
	ctx, cancel := context.WithCancel(t.Context())
	granted := make(chan Slot, 2)
	for _, m := range all {
		m.local.group.Go(func() {
			if s, err := m.cell.Acquire(ctx, request("waiting")); err == nil {
				granted <- s
			}
		})
	}
	for i := range 8 {
		next := registrar.HostName([]string{"b", "a"}[i%2])
		// The hosts look the owner up at most 50 ms apart from each other, in either
		// order.
		view.setOwner(next)
		waitFor(t, "collected", func() bool { return all[next].usesAllSlots() && all[next].occupied() == slots })
		assert.Equal(t, len(granted), 0, "a fifth slot was granted in hand-over %d", i)
	}
	cancel()
	for _, s := range held {
		s.Release(scheduler.Completed, 5)
	}
	for _, m := range all {
		waitFor(t, "slots freed", func() bool { return m.occupied() == 0 })
	}
}

// TestMoveKeepsSlots guards against a route that counts a slot as free when its running
// request moves to another route.
func TestMoveKeepsSlots(t *testing.T) {
	from, to := newRecorder(func() {}), newRecorder(func() {})
	k := testTicket()
	k.move(from)
	assert.Assert(t, from.notify(scheduler.Grant{ID: "r", Upstream: "engine"}))
	assert.Assert(t, k.move(to), "the slot was freed before it was left")
	assert.Equal(t, len(from.events), 0, "%v", from.events)
	assert.Assert(t, to.known["r"])
}

// TestFormerOwnerGrantsNothing guards against a former owner of the cell that still
// grants slots to requests of other hosts that wait there.
func TestFormerOwnerGrantsNothing(t *testing.T) {
	view, all := newMembers(t, "a", "b")
	n := all["a"].server.begin("b", false)
	defer all["a"].server.finish(n)
	grant := scheduler.Grant{ID: "r", Upstream: "engine"}
	assert.Assert(t, n.notify(grant))
	view.setOwner("b")
	assert.Assert(t, !n.notify(grant))
}

// TestHandOverTellsWhatIsUnread guards against a new owner that counts the engines as
// idle while they read the prompts that the last one sent there.
func TestHandOverTellsWhatIsUnread(t *testing.T) {
	for _, begun := range []bool{false, true} {
		from, to := newRecorder(func() {}), newRecorder(func() {})
		k := testTicket()
		k.move(from)
		from.notify(scheduler.Grant{ID: "r", Upstream: "engine"})
		s := (<-k.result).slot
		if begun {
			s.FirstToken()
		}
		k.move(to)
		assert.Equal(t, to.adopted.unread, !begun)
		sent := encodeRequest(request("r"), to.adopted, k.clock.Now())
		assert.Equal(t, sent.Unread, !begun)
		assert.Equal(t, sent.Held, "engine")
	}
}
