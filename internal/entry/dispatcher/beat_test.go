package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// makeNonOwners restarts the cells of the named hosts as ones that may not own the cell,
// which is what most hosts of a large deployment are.
func makeNonOwners(all map[registrar.HostName]*member, names ...registrar.HostName) {
	for _, n := range names {
		m := all[n]
		m.cell.Close()
		view := m.cell.settings.Membership.(*fakeMembership)
		view.mu.Lock()
		if m.cell.settings.Standby {
			view.nonOwners++
		}
		view.mu.Unlock()
		s := m.cell.settings
		s.Standby = false
		m.cell = NewCell(s)
	}
}

// Guards against engines that get more requests than they have slots when the owner of
// the cell freezes while hosts that may not own it hold slots. The successor must hear of
// these before it uses all slots.
func TestSuccessorHearsOfHeldSlots(t *testing.T) {
	_, all, gates := newGatedMembers(t, "a", "b", "c", "d")
	makeNonOwners(all, "c", "d")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() && all["d"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].usesAllSlots() })
	var held []Slot
	for i := range slots {
		held = append(held, acquire(t, all["c"].cell, fmt.Sprint("held", i)))
	}
	gates["a"].silent.Store(true)
	waitFor(t, "the successor to own the cell", func() bool { return all["b"].usesAllSlots() })
	assert.Equal(t, all["b"].occupied(), slots)
	for _, s := range held {
		s.Release(scheduler.Completed, 5)
	}
	waitFor(t, "slots freed", func() bool { return all["b"].occupied() == 0 })
}

// Guards against a long wait of the first request of an idle host that has not noticed
// that the owner is lost.
func TestIdleHostNoticesALostOwner(t *testing.T) {
	_, all, gates := newGatedMembers(t, "a", "b", "c")
	makeNonOwners(all, "c")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].usesAllSlots() })
	gates["a"].silent.Store(true)
	waitFor(t, "the successor to own the cell", func() bool { return all["b"].usesAllSlots() })
	began := time.Now()
	acquire(t, all["c"].cell, "first").Release(scheduler.Completed, 1)
	assert.Assert(t, time.Since(began) < 2*maxSilence, "granted after %s", time.Since(began))
}

// Guards against links of idle hosts that fail although the owner lives: it sends rarely
// on them.
func TestIdleLinkStays(t *testing.T) {
	_, all := newMembers(t, "a", "b", "c")
	makeNonOwners(all, "b")
	waitFor(t, "links", func() bool { return all["b"].linked() })
	first := all["b"].cell.lastLink.Load()
	end := time.Now().Add(maxIdleSilence + 2*idleHeartbeat)
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, all["b"].linked())
	}
	assert.Equal(t, all["b"].cell.lastLink.Load(), first)
	s := acquire(t, all["b"].cell, "held")
	time.Sleep(2 * maxHeldSilence)
	assert.Equal(t, all["b"].cell.lastLink.Load(), first)
	s.Release(scheduler.Completed, 1)
}

// Guards against an owner that sends to each of hundreds of hosts ten times a second
// while hardly any of them waits for an answer.
func TestBeats(t *testing.T) {
	n := newSession(&Server{}, "c")
	assert.Equal(t, n.heartbeat(), idleHeartbeat)
	n.track("r", true)
	assert.Equal(t, n.heartbeat(), heartbeatInterval)
	n.answered("r")
	assert.Equal(t, n.heartbeat(), heldHeartbeat)
	n.answered("r")
	assert.Equal(t, n.waiting, 0, "counted once")
	n.untrack("r")
	assert.Equal(t, n.heartbeat(), idleHeartbeat)
	n.track("held", false)
	assert.Equal(t, n.heartbeat(), heldHeartbeat)
	n.standby = true
	assert.Equal(t, n.heartbeat(), heartbeatInterval)
}

// Guards against slots that are never freed, or freed while they are in use, for a host
// that the membership doesn't list: only its link shows that it lives.
func TestSlotsOfUnlistedHost(t *testing.T) {
	view, all := newMembers(t, "a", "b")
	makeNonOwners(all, "b")
	waitFor(t, "link", func() bool { return all["b"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].usesAllSlots() })
	view.mu.Lock()
	delete(view.addresses, "b")
	view.mu.Unlock()
	s := acquire(t, all["b"].cell, "held")
	all["b"].cell.lastLink.Load().stop()
	time.Sleep(orphanTime + 200*time.Millisecond)
	assert.Equal(t, all["a"].occupied(), 1, "the host has opened another link and reported the slot")
	all["b"].cell.Close()
	assert.Equal(t, all["a"].occupied(), 1, "it may open another link soon")
	waitFor(t, "the slot to be freed", func() bool { return all["a"].occupied() == 0 })
	s.Release(scheduler.Completed, 1)
	makeNonOwners(all, "b")
}

// Guards against a new owner that uses all slots before it has heard of those in use,
// because it has just started and doesn't know the number of hosts.
func TestStartedOwnerWaitsForUncountedHosts(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	view.mu.Lock()
	view.uncounted = true
	view.mu.Unlock()
	began := time.Now()
	view.setOwner("b")
	waitFor(t, "the next owner to use all slots", func() bool { return all["b"].usesAllSlots() })
	assert.Assert(t, time.Since(began) >= collectTime, "after %s", time.Since(began))
}
