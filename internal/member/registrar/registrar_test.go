package registrar_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const seeds = 6

// faultCase is a schedule of faults. The fleet checks throughout that no upstream
// is listed longer than a lease after its last announcement.
type faultCase struct {
	name string
	run  func(f *fleet)
	// steady is set when no live upstream may be missing at the end.
	steady bool
}

var faultCases = []faultCase{
	{"leaves at a host that dies next", func(f *fleet) {
		f.advance(4 * time.Second)
		f.leave(f.sources[0], f.hosts[0])
		f.advance(20 * time.Millisecond)
		f.hosts[0].dead = true
		f.advance(8 * time.Second)
	}, true},
	{"goes silent", func(f *fleet) {
		f.advance(4 * time.Second)
		f.sources[0].silent = true
		f.advance(8 * time.Second)
	}, true},
	{"loss and late copies", func(f *fleet) {
		f.loss, f.copies, f.late = 0.1, 0.2, 12*time.Second
		f.advance(8 * time.Second)
		f.leave(f.sources[0], f.hosts[0])
		f.sources[1].silent = true
		f.advance(20 * time.Second)
		f.loss, f.copies = 0, 0
		f.advance(4 * time.Second)
	}, true},
	{"parted halves", func(f *fleet) {
		f.advance(4 * time.Second)
		f.severed = func(a, b int) bool { return a%2 != b%2 }
		f.advance(6 * time.Second)
		f.leave(f.sources[0], f.hosts[0])
		f.sources[1].silent = true
		f.advance(8 * time.Second)
		f.severed = func(int, int) bool { return false }
		f.advance(6 * time.Second)
	}, true},
	{"one-way cut", func(f *fleet) {
		f.severed = func(a, b int) bool { return a == 0 || b == 1 }
		f.advance(6 * time.Second)
		f.leave(f.sources[0], f.hosts[0])
		f.sources[1].silent = true
		f.advance(8 * time.Second)
	}, false},
	{"a host freezes", func(f *fleet) {
		f.advance(4 * time.Second)
		f.hosts[0].frozen = true
		f.advance(2 * time.Second)
		// Every live upstream has tried the frozen host by now.
		for _, s := range f.sources {
			f.announce(f.hosts[0], s, s.news)
		}
		f.leave(f.sources[0], f.hosts[1])
		f.sources[1].silent = true
		f.advance(8 * time.Second)
		f.unfreeze(f.hosts[0])
		f.advance(6 * time.Second)
	}, true},
	{"a host freezes and copies are late", func(f *fleet) {
		f.copies, f.late = 0.2, 12*time.Second
		f.advance(4 * time.Second)
		f.hosts[0].frozen = true
		f.sources[1].silent = true
		f.advance(10 * time.Second)
		f.unfreeze(f.hosts[0])
		f.leave(f.sources[0], f.hosts[0])
		f.copies = 0
		f.advance(16 * time.Second)
	}, true},
}

func runCase(c faultCase, seed uint64, hosts int, options ...registrar.Option) error {
	f := newFleet(seed, hosts, 6, options...)
	c.run(f)
	if f.failure != "" {
		return fmt.Errorf("%s, seed %d, %d hosts: %s", c.name, seed, hosts, f.failure)
	}
	if !c.steady {
		return nil
	}
	if why := f.missing() + f.divided(); why != "" {
		return fmt.Errorf("%s, seed %d, %d hosts: %s", c.name, seed, hosts, why)
	}
	return nil
}

// Guards against a departed upstream that stays listed or is listed again on some host, and
// against views that don't converge after a fault.
func TestDepartedUpstreamsStayGone(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				for _, hosts := range []int{3, 9} {
					assert.NilError(t, runCase(c, seed, hosts))
				}
			}
		})
	}
}

// Guards against checks that can't fail: some case must detect a registrar that lacks one
// of its rules.
func TestChecksCatchBrokenRegistrars(t *testing.T) {
	for name, faults := range map[string]registrar.Faults{
		"forgets tombstones":   {ForgetTombstones: true},
		"extends leases":       {ExtendLeases: true},
		"accepts older news":   {AcceptOlder: true},
		"trusts after a stall": {TrustStalled: true},
	} {
		t.Run(name, func(t *testing.T) {
			var caught error
			for _, c := range faultCases {
				for seed := uint64(0); seed < seeds && caught == nil; seed++ {
					caught = runCase(c, seed, 9, registrar.WithFaults(faults))
				}
			}
			assert.Assert(t, caught != nil)
			t.Log(caught)
		})
	}
}

// Guards against leases that end between two renewals when nothing is wrong or
// a tenth of the messages is lost.
func TestRenewedUpstreamsStayVisible(t *testing.T) {
	for _, c := range []struct {
		hosts int
		loss  float64
		seeds uint64
	}{{1, 0, 3}, {3, 0, 3}, {3, 0.1, 3}, {9, 0, 3}, {9, 0.1, 3}, {20, 0, 2}, {55, 0, 1}} {
		for seed := range c.seeds {
			f := newFleet(seed, c.hosts, 12)
			f.loss = c.loss
			f.advance(5 * time.Second)
			for range 50 {
				f.advance(150 * time.Millisecond)
				assert.Equal(t, f.missing()+f.divided()+f.failure, "", "hosts %d, loss %v, seed %d", c.hosts, c.loss, seed)
			}
		}
	}
}

// Guards against a dead or stopped host that keeps cells, and against ownership
// that moves between hosts that stay.
func TestOwnerFollowsHosts(t *testing.T) {
	f := newFleet(1, 9, 0)
	f.advance(3 * time.Second)
	before := map[registrar.CellName]registrar.HostName{}
	for i := range 100 {
		c := registrar.CellName(fmt.Sprint(i))
		before[c] = f.hosts[0].Snapshot().Owner(c)
	}
	f.hosts[3].dead = true
	f.hosts[4].Step(f.now, registrar.Describe{Draining: true})
	f.advance(3 * time.Second)
	places := map[int]bool{}
	for _, m := range f.hosts {
		if place, hosts := m.Snapshot().Rank(); !m.dead {
			places[place] = true
			assert.Equal(t, hosts, 8)
		}
	}
	assert.Equal(t, len(places), 8)
	moved := 0
	for c, old := range before {
		owner := f.hosts[0].Snapshot().Owner(c)
		gone := old == "entry-03" || old == "entry-04"
		assert.Equal(t, owner != old, gone, "cell %s went from %s to %s", c, old, owner)
		if gone {
			moved++
		}
	}
	assert.Assert(t, moved > 5 && moved < 50, "%d of 100 cells moved", moved)
}

// Guards against announcements of which the order of arrival decides which one wins.
func TestAnnouncementOrder(t *testing.T) {
	u := func(incarnation, sequence int, leaving bool) registrar.Upstream {
		return registrar.Upstream{Name: "hay", Incarnation: registrar.Incarnation(incarnation), Sequence: uint64(sequence), Leaving: leaving}
	}
	for _, c := range []struct {
		name        string
		first, then registrar.Upstream
		reason      registrar.Reason
		live        bool
	}{
		{"newer", u(1, 1, false), u(1, 2, false), "", true},
		{"same", u(1, 1, false), u(1, 1, false), registrar.Repeated, true},
		{"older", u(1, 2, false), u(1, 1, false), registrar.Older, true},
		{"older process", u(2, 1, false), u(1, 9, false), registrar.Older, true},
		{"older process leaves", u(2, 1, false), u(1, 9, true), registrar.Older, true},
		{"leaves with an older sequence", u(1, 5, false), u(1, 4, true), "", false},
		{"renewal after leaving", u(1, 5, true), u(1, 6, false), registrar.AlreadyLeft, false},
		{"new process after leaving", u(1, 5, true), u(2, 1, false), "", true},
		{"no incarnation", u(1, 5, false), u(0, 6, false), registrar.Malformed, true},
	} {
		now := time.Unix(1000, 0)
		r := registrar.New(now, registrar.Host{Name: "a", Incarnation: 1})
		r.Step(now, registrar.Announce{Upstream: c.first})
		var reason registrar.Reason
		for _, a := range r.Step(now.Add(time.Millisecond), registrar.Announce{Upstream: c.then}) {
			if i, ok := a.(registrar.Ignored); ok {
				reason = i.Reason
			}
		}
		_, live := r.Snapshot().Upstream(now, "hay")
		assert.Equal(t, reason, c.reason, c.name)
		assert.Equal(t, live, c.live, c.name)
	}
}

// Guards against unbounded growth from departed upstreams.
func TestTombstonesAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registrar.New(now, registrar.Host{Name: "a", Incarnation: 1})
	r.Step(now, registrar.Announce{Upstream: registrar.Upstream{Name: "hay", Incarnation: 1, Sequence: 1, Leaving: true}})
	assert.Equal(t, len(r.Update(now, nil).Announcements), 1)
	for range 700 {
		now = now.Add(time.Second)
		r.Step(now, registrar.Tick{})
	}
	assert.Equal(t, len(r.Update(now, nil).Announcements), 0)
}

// Guards against a host that the others ignore because another process used its name with
// a higher incarnation.
func TestTakenNameIsOutbid(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registrar.New(now, registrar.Host{Name: "a", Incarnation: 1})
	key := r.Key()
	actions := r.Step(now, registrar.ObservePeer{Hosts: []registrar.HostDescription{{Host: registrar.Host{Name: "a", Incarnation: 9}, DescriptionVersion: 1}}})
	assert.DeepEqual(t, actions, []registrar.Action{registrar.NameConflict{Incarnation: 10}})
	assert.Assert(t, r.Key() != key && r.Self().DescriptionVersion > 1)
}

// Guards against departures that take longer to spread than the two seconds within which
// every host has to know them.
func TestNewsSpreadsWithinTwoSeconds(t *testing.T) {
	for _, hosts := range []int{3, 9, 20, 55} {
		var times []time.Duration
		for seed := range uint64(3) {
			f := newFleet(seed, hosts, 8)
			f.advance(4 * time.Second)
			for _, s := range f.sources {
				f.leave(s, f.hosts[f.random.IntN(hosts)])
				began := f.now
				for f.shown(s) > 0 {
					f.advance(10 * time.Millisecond)
				}
				times = append(times, f.now.Sub(began))
			}
		}
		slices.Sort(times)
		t.Logf("%d hosts: a departure is known everywhere after %v in the median and %v at most", hosts, times[len(times)/2], times[len(times)-1])
		assert.Assert(t, times[len(times)-1] <= 2*time.Second, "%d hosts: %v", hosts, times)
	}
}

// Guards against a restarted host that doesn't learn that an upstream left before the
// restart, and lists it again when an announcement arrives late.
func TestRestartedHostLearnsWhatHasLeft(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	u := registrar.Upstream{Name: "hay", Address: "a:1", Incarnation: 1, Sequence: 1}
	a := registrar.New(now, registrar.Host{Name: "a", Address: "a", Incarnation: 1})
	a.Step(now, registrar.Announce{Upstream: u})
	gone := u
	gone.Leaving = true
	a.Step(now, registrar.Announce{Upstream: gone})
	now = now.Add(registrar.DepartureRelayTime + time.Second)
	a.Step(now, registrar.Tick{})
	b := registrar.New(now, registrar.Host{Name: "b", Address: "b", Incarnation: 2})
	// It may know the description of the other host before it has merged any update of it.
	b.Step(now, registrar.ObservePeer{Hosts: []registrar.HostDescription{a.Self()}})
	b.Step(now, registrar.Merge{From: "a", Began: now, Update: a.Update(now, b.Vector())})
	u.Sequence++
	b.Step(now, registrar.Announce{Upstream: u})
	_, ok := b.Snapshot().Upstream(now, "hay")
	assert.Assert(t, !ok, "the upstream is back on the host that has restarted")
}
