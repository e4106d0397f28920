package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// onlyServes makes hosts ones that may not own the cell, as most hosts of a large
// deployment are.
func onlyServes(all map[registrar.HostName]*member, names ...registrar.HostName) {
	for _, n := range names {
		m := all[n]
		m.cell.Close()
		s := m.cell.settings
		s.Standby = false
		m.cell = NewCell(s)
	}
}

// Pattern: the owner of the cell freezes while hosts that may not own it hold slots. Its
// successor must hear of these before it uses all slots, or engines get more than they
// take.
func TestSuccessorHearsOfHeldSlots(t *testing.T) {
	_, all, gates := newGatedMembers(t, "a", "b", "c", "d")
	onlyServes(all, "c", "d")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() && all["d"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].full() })
	var held []Slot
	for i := range slots {
		held = append(held, acquire(t, all["c"].cell, fmt.Sprint("held", i)))
	}
	gates["a"].silent.Store(true)
	waitFor(t, "the successor to own the cell", func() bool { return all["b"].full() })
	assert.Equal(t, all["b"].occupied(), slots)
	for _, s := range held {
		s.Release(scheduler.Completed, 5)
	}
	waitFor(t, "slots freed", func() bool { return all["b"].occupied() == 0 })
}

// Guards against a request that waits for long because its host, which had none before,
// has not noticed that the owner is lost.
func TestIdleHostNoticesALostOwner(t *testing.T) {
	_, all, gates := newGatedMembers(t, "a", "b", "c")
	onlyServes(all, "c")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].full() })
	gates["a"].silent.Store(true)
	waitFor(t, "the successor to own the cell", func() bool { return all["b"].full() })
	began := time.Now()
	acquire(t, all["c"].cell, "first").Release(scheduler.Completed, 1)
	assert.Assert(t, time.Since(began) < 2*silenceLimit, "granted after %s", time.Since(began))
}

// Guards against links of idle hosts that break although the owner lives: it sends
// little there.
func TestIdleLinkStays(t *testing.T) {
	_, all := newMembers(t, "a", "b", "c")
	onlyServes(all, "b")
	waitFor(t, "links", func() bool { return all["b"].linked() })
	first := all["b"].cell.linked.Load()
	end := time.Now().Add(idleSilence + 2*idleBeat)
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, all["b"].linked())
	}
	assert.Equal(t, all["b"].cell.linked.Load(), first)
	s := acquire(t, all["b"].cell, "held")
	time.Sleep(2 * heldSilence)
	assert.Equal(t, all["b"].cell.linked.Load(), first)
	s.Release(scheduler.Completed, 1)
}

// Guards against an owner that sends to each of hundreds of hosts ten times a second
// while hardly any waits for something.
func TestBeats(t *testing.T) {
	n := newSession(&Server{}, "c")
	assert.Equal(t, n.beat(), idleBeat)
	n.track("r", true)
	assert.Equal(t, n.beat(), beatInterval)
	n.answered("r")
	assert.Equal(t, n.beat(), heldBeat)
	n.answered("r")
	assert.Equal(t, n.waiting, 0, "counted once")
	n.untrack("r")
	assert.Equal(t, n.beat(), idleBeat)
	n.track("held", false)
	assert.Equal(t, n.beat(), heldBeat)
	n.standby = true
	assert.Equal(t, n.beat(), beatInterval)
}

// Guards against slots that are kept without end, or freed while they are in use, for a
// host that the membership doesn't list: only its link tells that it lives.
func TestSlotsOfUnlistedHost(t *testing.T) {
	view, all := newMembers(t, "a", "b")
	onlyServes(all, "b")
	waitFor(t, "link", func() bool { return all["b"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].full() })
	view.mu.Lock()
	delete(view.addresses, "b")
	view.mu.Unlock()
	s := acquire(t, all["b"].cell, "held")
	all["b"].cell.linked.Load().stop()
	time.Sleep(orphanTime + 200*time.Millisecond)
	assert.Equal(t, all["a"].occupied(), 1, "the host has opened another link and reported the slot")
	all["b"].cell.Close()
	assert.Equal(t, all["a"].occupied(), 1, "it may open another link soon")
	waitFor(t, "the slot to be freed", func() bool { return all["a"].occupied() == 0 })
	s.Release(scheduler.Completed, 1)
	onlyServes(all, "b")
}

// Guards against a new owner that uses all slots before it has heard of those in use,
// because it has just started and doesn't know how many hosts there are.
func TestStartedOwnerWaitsForUncountedHosts(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	view.mu.Lock()
	view.uncounted = true
	view.mu.Unlock()
	began := time.Now()
	view.setOwner("b")
	waitFor(t, "the next owner to use all slots", func() bool { return all["b"].full() })
	assert.Assert(t, time.Since(began) >= collectTime, "after %s", time.Since(began))
}
