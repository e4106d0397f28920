package watcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// bounded starts a watching host with the given LeaveBound.
func (f *fleet) bounded(name string, bound time.Duration) *Watcher {
	f.t.Helper()
	var seeds []string
	for _, h := range f.list() {
		seeds = append(seeds, h.self.Address)
	}
	self := registrar.Host{Name: registrar.HostName(name), Draining: true, Cell: "main"}
	w := New(self, Options{Seeds: seeds, Lease: clusterLease, LeaveBound: bound, Caller: f, Clock: clockwork.NewRealClock()})
	w.Start()
	f.t.Cleanup(w.Close)
	return w
}

// settled waits until the host has a recent view and no excuse for an old one.
func settled(t *testing.T, w *Watcher) {
	t.Helper()
	eventually(t, "a young view", 2*startTime, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		now := time.Now()
		return !now.Before(w.age.excused) && w.age.permits(now, w.mirror.KnownUntil())
	})
}

// Guards against a bound that holds only while hosts and network are fast: a view that is
// checked sendTime before the upstream gets the request must contain everything that was
// acknowledged longer than the bound before the request arrives.
func TestAgeOfViewAndWayAreWithinTheBound(t *testing.T) {
	start := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		a := newAge(start.Add(-time.Minute), bound)
		for age := time.Duration(0); age <= 2*bound; age += 10 * time.Millisecond {
			arrives := start.Add(sendTime)
			acknowledged := start.Add(-age)
			late := arrives.Sub(acknowledged) > bound
			assert.Assert(t, !(late && a.permits(start, acknowledged)), "bound %v: sent on a view of %v", bound, age)
		}
	}
}

// Guards against a bound that is kept by refusing requests without need: the view stays
// recent while control hosts respond in time, and a single silent one causes no refusals.
func TestViewStaysYoungWhileOneHostFallsSilent(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second} {
		a := newAge(time.Time{}, bound)
		calm := gossipTime + a.hold() + transitTime
		assert.Assert(t, calm <= a.maxAge, "bound %v: %v in calm, %v allowed", bound, calm, a.maxAge)
		assert.Assert(t, gossipTime < time.Duration(agedShare*float64(a.maxAge)), "bound %v: a sound host counts as old", bound)
		// A request waits for half a second for the view of the next host.
		silent := calm + transitTime - a.maxAge
		assert.Assert(t, silent < 400*time.Millisecond, "bound %v: requests wait for %v", bound, silent)
	}
}

// Guards against requests that reach an upstream which left long ago: all control hosts
// accept connections but don't respond, as if they had no processor time, and one of them
// has acknowledged the departure.
func TestNothingIsSentOnAnOldView(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second} {
		t.Run(bound.String(), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, "a", "b", "c")
			f.announce(engine("u1"))
			w := f.bounded("w", bound)
			eventually(t, "the upstream", startTime, knows(w, "u1"))
			settled(t, w)
			for _, n := range []string{"a", "b", "c"} {
				f.set(n, silent)
			}
			f.announce(left(engine("u1")))
			acknowledged := time.Now()
			for time.Since(acknowledged) < bound+time.Second {
				now := time.Now()
				sends := w.Current() && knows(w, "u1")()
				assert.Assert(t, !sends || now.Sub(acknowledged)+sendTime <= bound,
					"a request may be sent %s after the acknowledgement", now.Sub(acknowledged))
				time.Sleep(5 * time.Millisecond)
			}
			f.set("b", sound)
			eventually(t, "a young view", 2*time.Second, w.Current)
			assert.Assert(t, lacks(w, "u1")())
		})
	}
}

// Guards against the loss of the control hosts stopping all work: a host that reaches none
// of them continues with what it knows until its lease ends.
func TestLostControlHostsExcuseAnOldView(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "a", "b", "c")
	f.announce(engine("u1"))
	w := f.bounded("w", 2*time.Second)
	eventually(t, "the upstream", startTime, knows(w, "u1"))
	settled(t, w)
	f.set("a", refuses)
	f.set("b", refuses)
	f.set("c", silent)
	lost := time.Now()
	for time.Since(lost) < clusterLease-time.Second {
		assert.Assert(t, w.Current(), "nothing is sent %s after most control hosts were lost", time.Since(lost))
		time.Sleep(5 * time.Millisecond)
	}
	f.set("a", silent)
	f.set("b", silent)
	eventually(t, "the end of the excuse", 2*excuseTime, func() bool { return !w.Current() })
}

// Guards against refused requests after all control hosts have restarted at once: they
// accept connections before they know any upstreams.
func TestStartedControlHostsExcuseAnOldView(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "a", "b", "c")
	f.announce(engine("u1"))
	w := f.bounded("w", 2*time.Second)
	eventually(t, "the upstream", startTime, knows(w, "u1"))
	settled(t, w)
	for _, n := range []string{"a", "b", "c"} {
		f.set(n, refuses)
	}
	time.Sleep(300 * time.Millisecond)
	for _, n := range []string{"a", "b", "c"} {
		f.start(n)
	}
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, w.Current() && knows(w, "u1")(), "nothing is sent %s after the start", time.Since(began))
	}
}

// Guards against a host that keeps following one whose own view is outdated while other
// hosts have recent views.
func TestHostWithAnOldViewIsLeft(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "a", "b", "c")
	f.announce(engine("u1"))
	w := f.bounded("w", 2*time.Second)
	eventually(t, "the upstream", startTime, knows(w, "u1"))
	settled(t, w)
	w.mu.Lock()
	followed := w.source.address
	w.mu.Unlock()
	f.deafen(followed)
	for began := time.Now(); time.Since(began) < 4*time.Second; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, w.Current(), "the view is %s old, %s after its host heard the others last", w.Age(), time.Since(began))
	}
}

// Guards against hosts that are forgotten one after the other, until the remaining ones
// count as the whole group.
func TestLostHostsCountAsPartOfTheGroup(t *testing.T) {
	start := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
	a := newAge(start, 2*time.Second)
	for i, hosts := range []int{5, 4, 2, 2} {
		a.count(start.Add(time.Duration(i)*time.Second), hosts)
		assert.Equal(t, a.group, 5, fmt.Sprint(hosts, " hosts"))
	}
	a.count(start.Add(groupTime+time.Second), 2)
	assert.Equal(t, a.group, 2)
}

// Guards against a host that counts as up to date although it has dropped a response. The
// response came after the lease had ended, for example because the machine was suspended,
// and the next one contains only later changes.
func TestDroppedAnswerIsAskedForAgain(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := New(registrar.Host{Name: "w", Cell: "main"}, Options{Lease: clusterLease, LeaveBound: 2 * time.Second, Caller: &recordingCaller{told: map[string]bool{}, during: func() {}}, Clock: clock})
	defer w.Close()
	known := int64(0)
	answer := &wire.MembersResponse{Epoch: 7, Number: 3, Known: &known, Departures: gossiper.EncodeDepartures([]registrar.Departure{{UpstreamID: "u1", Incarnation: 1, Leaving: true}})}
	q := &wire.MembersRequest{Host: "w", Epoch: 7, Number: 2}
	began := clock.Now()
	clock.Advance(clusterLease)
	w.applyResponse(began, "a:1", q, answer)
	assert.Assert(t, w.mirror.KnownUntil().IsZero())
	assert.Equal(t, w.request(clock.Now(), "a:1", false).GetEpoch(), uint64(0), "the next answer tells only what is newer")
	w.applyResponse(clock.Now(), "a:1", q, answer)
	assert.Equal(t, w.request(clock.Now(), "a:1", false).GetNumber(), uint64(3))
}

// Guards against a host that refuses all requests because the bound is shorter than the time
// in which control hosts exchange with each other.
func TestShortBoundIsNoReasonToRefuseAll(t *testing.T) {
	start := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
	for _, bound := range []time.Duration{100 * time.Millisecond, time.Second} {
		a := newAge(start.Add(-time.Minute), bound)
		assert.Assert(t, a.permits(start, start.Add(-gossipTime-a.hold())), "bound %v", bound)
	}
}
