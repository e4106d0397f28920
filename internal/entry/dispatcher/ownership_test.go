package dispatcher

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
)

// membershipNoticeTime is less than the membership takes to notice a lost host.
const membershipNoticeTime = 1500 * time.Millisecond

// newGatedMembers starts members whose connections can be cut or made silent. The second
// one is the successor.
func newGatedMembers(t *testing.T, names ...registrar.HostName) (*fakeMembership, map[registrar.HostName]*member, map[registrar.HostName]*gate) {
	t.Helper()
	gates := map[registrar.HostName]*gate{}
	next := 0
	view, all := startMembers(t, slots, func(l net.Listener) net.Listener {
		g := &gate{Listener: l, open: map[net.Conn]bool{}}
		gates[names[next]] = g
		next++
		return g
	}, names...)
	view.mu.Lock()
	view.successor = names[1]
	view.mu.Unlock()
	return view, all, gates
}

// Guards against hosts that schedule on their own, under a peak of load, from the time
// when the owner of the cell freezes until the membership notices. They spread the
// prompts, so that engines had to read again what others had in their caches.
func TestSuccessorTakesOverFromSilentOwner(t *testing.T) {
	_, all, gates := newGatedMembers(t, "a", "b", "c", "d")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() && all["d"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].usesAllSlots() })
	var held []Slot
	for i := range slots {
		held = append(held, acquire(t, all["c"].cell, fmt.Sprint("held", i)))
	}
	began := time.Now()
	gates["a"].silent.Store(true)
	waitFor(t, "the successor to have the whole cell", func() bool {
		return all["c"].linked() && all["d"].linked() && all["b"].usesAllSlots() && all["b"].occupied() == slots
	})
	assert.Assert(t, time.Since(began) < membershipNoticeTime, "took %v", time.Since(began))
	for _, s := range held {
		s.Release(scheduler.Completed, 5)
	}
	waitFor(t, "slots freed", func() bool { return all["b"].occupied() == 0 })
	s := acquire(t, all["d"].cell, "next")
	s.Release(scheduler.Completed, 5)
	// Host a still sees itself as the owner once it sends again.
	gates["a"].silent.Store(false)
}

// Guards against a host that takes the successor for the owner although only its own
// connection to the owner is cut, and against one that stays without an owner.
func TestDoubtOfOneHost(t *testing.T) {
	_, all, gates := newGatedMembers(t, "a", "b", "c")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	began := time.Now()
	all["c"].cell.lastLink.Load().failSilent()
	waitFor(t, "c to leave a", func() bool { return !all["c"].linked() })
	waitFor(t, "c to go back to a", func() bool { return all["c"].linked() })
	assert.Assert(t, time.Since(began) < suspicionTime/2, "took %v", time.Since(began))
	assert.Assert(t, !all["b"].server.owns(), "b never lost a")
	gates["a"].cut()
	waitFor(t, "links again", func() bool { return all["b"].linked() && all["c"].linked() })
	assert.Assert(t, all["a"].server.owns())
}

// Guards against a new owner that leaves most slots unused for a second although all
// hosts have reported the slots they hold.
func TestCollectedEarly(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	began := time.Now()
	view.setOwner("b")
	waitFor(t, "collected", func() bool { return all["b"].usesAllSlots() })
	assert.Assert(t, time.Since(began) < collectTime/2, "took %v", time.Since(began))
}

// Guards against links that are opened again at once each time they fail, as when two
// halves of the hosts can't reach each other. Each failure moved all requests of a host
// back and forth, and only a third of the calls that may run at most once was served.
func TestFailingLinksBackOff(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	clock := clockwork.NewRealClock()
	local := NewLocal(scheduler.New(), clock)
	defer local.Close()
	view := &fakeMembership{owner: "x", addresses: map[registrar.HostName]string{"x": "127.0.0.1:1"}}
	cell := NewCell(Settings{
		Host: "me", Cell: "main", Membership: view, Local: local, Client: dialer.New(), Clock: clock, Logger: zap.New(core),
	})
	defer cell.Close()
	const attempts = 6
	time.Sleep(2 * time.Second)
	n := logs.FilterMessage("link to cell owner ended").Len()
	assert.Assert(t, n > 1 && n <= attempts, "%d links in 2 s", n)
}

// Guards against a successor that acts as the owner because it and one other host have
// no path to an owner that all others reach.
func TestFewHostsDontReplaceTheOwner(t *testing.T) {
	_, all := newMembers(t, "a", "b", "c", "d", "e")
	view := all["a"].cell.settings.Membership.(*fakeMembership)
	view.mu.Lock()
	view.successor = "b"
	view.mu.Unlock()
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() && all["d"].linked() })
	now := time.Now()
	all["b"].local.ownership.suspect(now, "a")
	all["b"].local.ownership.doubt(now, "c", true)
	assert.Assert(t, !all["b"].server.owns(), "two of four other hosts")
	all["b"].local.ownership.doubt(now, "d", true)
	assert.Assert(t, all["b"].server.owns(), "three of four other hosts")
}

// Guards against a successor that acts for seconds beside an owner that stalled for a
// moment and answers again.
func TestOwnerThatAnswersAgainIsNotReplaced(t *testing.T) {
	_, all, gates := newGatedMembers(t, "a", "b", "c", "d")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() && all["d"].linked() })
	gates["a"].silent.Store(true)
	waitFor(t, "the successor to act", func() bool { return all["b"].server.owns() && all["c"].linked() })
	gates["a"].silent.Store(false)
	began := time.Now()
	waitFor(t, "one owner", func() bool { return !all["b"].server.owns() })
	assert.Assert(t, time.Since(began) < actingOwnerTime/2, "took %v", time.Since(began))
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() && all["d"].linked() })
	assert.Equal(t, all["d"].cell.lastLink.Load().owner, registrar.HostName("a"))
}

// Guards against a host that leaves an owner which answers it because the control host
// whose view it follows names another one, or because its own view does not list the owner
// for a moment.
func TestWorkingLinkIsKept(t *testing.T) {
	_, all := newMembers(t, "a", "b", "c")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() })
	all["c"].cell.Close()
	other := &fakeMembership{owner: "a", addresses: map[registrar.HostName]string{}, upstreams: map[registrar.UpstreamID]registrar.Upstream{}}
	view := all["c"].cell.settings.Membership.(*fakeMembership)
	for _, n := range []registrar.HostName{"a", "b", "c"} {
		other.addresses[n], _ = view.Address(n)
	}
	s := all["c"].cell.settings
	s.Membership = other
	all["c"].cell = NewCell(s)
	waitFor(t, "link", all["c"].linked)
	first := all["c"].cell.lastLink.Load()
	for _, named := range []registrar.HostName{"b", "c"} {
		other.setOwner(named)
		time.Sleep(10 * ownerCheckInterval)
		assert.Assert(t, all["c"].linked(), "the view names %s", named)
		assert.Equal(t, all["c"].cell.lastLink.Load(), first)
		assert.Assert(t, !all["c"].cell.settings.owns())
	}
}
