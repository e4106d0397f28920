package registrar

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const mirrorLease = 5 * time.Second

var mirrorStart = time.Unix(1_700_000_000, 0)

func live(name string, i Incarnation) Upstream {
	return Upstream{Name: UpstreamID(name), Address: "10.0.0.1:1", Incarnation: i}
}

// names lists the live upstreams of a view.
func names(v *View, now time.Time) []string {
	var list []string
	for _, u := range v.Upstreams(now) {
		list = append(list, string(u.Name))
	}
	slices.Sort(list)
	return list
}

func TestMirror(t *testing.T) {
	type step struct {
		after  time.Duration
		update ViewUpdate
		want   []string
	}
	at := func(d time.Duration) time.Time { return mirrorStart.Add(d) }
	full := func(began time.Duration, list ...Upstream) ViewUpdate {
		return ViewUpdate{Began: at(began), Full: true, Changed: list}
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"everything, then changes", []step{
			{0, full(0, live("a", 1), live("b", 1)), []string{"a", "b"}},
			{1, ViewUpdate{Began: at(1), Changed: []Upstream{live("c", 1)}}, []string{"a", "b", "c"}},
			{2, ViewUpdate{Began: at(2), Departures: []Departure{{UpstreamID: "a", Incarnation: 1, Leaving: true}}}, []string{"b", "c"}},
		}},
		{"everything drops what it lacks", []step{
			{0, full(0, live("a", 1), live("b", 1)), []string{"a", "b"}},
			{1, full(1, live("b", 1)), []string{"b"}},
		}},
		{"the end of an earlier process", []step{
			{0, full(0, live("a", 2)), []string{"a"}},
			{1, ViewUpdate{Began: at(1), Departures: []Departure{{UpstreamID: "a", Incarnation: 1}}}, []string{"a"}},
		}},
		{"news of an earlier process", []step{
			{0, full(0, live("a", 2)), []string{"a"}},
			{1, ViewUpdate{Began: at(1), Changed: []Upstream{live("a", 1)}}, []string{"a"}},
		}},
		{"another host that knows the earlier process only", []step{
			{0, full(0, live("a", 2)), []string{"a"}},
			{1, full(1, live("a", 1)), []string{"a"}},
			{2, ViewUpdate{Began: at(2), Departures: []Departure{{UpstreamID: "a", Incarnation: 1}}}, nil},
		}},
		{"an empty exchange renews the lease", []step{
			{0, full(0, live("a", 1)), []string{"a"}},
			{4 * time.Second, ViewUpdate{Began: at(4 * time.Second)}, []string{"a"}},
			{8 * time.Second, ViewUpdate{Began: at(8 * time.Second)}, []string{"a"}},
		}},
		{"a lease counts from the start of the exchange", []step{
			{4 * time.Second, full(0, live("a", 1)), []string{"a"}},
			{mirrorLease, ViewUpdate{Began: at(0)}, nil},
		}},
		{"an answer that comes after its lease brings nothing", []step{
			{mirrorLease, full(0, live("a", 1)), nil},
		}},
		{"a late answer doesn't shorten the lease", []step{
			{time.Second, full(time.Second, live("a", 1)), []string{"a"}},
			{2 * time.Second, ViewUpdate{Began: at(0)}, []string{"a"}},
			{mirrorLease, ViewUpdate{Began: at(0)}, []string{"a"}},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := NewMirror(mirrorStart, Host{Name: "self"}, mirrorLease)
			for _, s := range c.steps {
				m.Apply(at(s.after), s.update)
				assert.DeepEqual(t, names(m.Snapshot(), at(s.after)), s.want)
			}
		})
	}
}

// Guards against upstreams that stay in the scheduler of a host that is cut off: it would
// send them work for as long as the partition lasts.
func TestMirrorExpires(t *testing.T) {
	m := NewMirror(mirrorStart, Host{Name: "self"}, mirrorLease)
	m.Apply(mirrorStart, ViewUpdate{Began: mirrorStart, Full: true, Changed: []Upstream{live("a", 1)}})
	assert.Equal(t, len(m.Expire(mirrorStart.Add(mirrorLease-1))), 0)
	ended := m.Expire(mirrorStart.Add(mirrorLease))
	assert.DeepEqual(t, ended, []Action{Removed{UpstreamID: "a", Incarnation: 1}})
	assert.Equal(t, len(m.Expire(mirrorStart.Add(2*mirrorLease))), 0)
	list, left := m.LiveUpstreams(mirrorStart.Add(mirrorLease))
	assert.Equal(t, len(list), 0)
	assert.Equal(t, left, time.Duration(0))
}

func TestMirrorOfHosts(t *testing.T) {
	m := NewMirror(mirrorStart, Host{Name: "self", Draining: true}, mirrorLease)
	a, b := Host{Name: "a", Address: "10.0.0.1:1", Watchers: 3}, Host{Name: "b", Address: "10.0.0.2:1", Watchers: 2}
	assert.DeepEqual(t, m.ApplyHosts(mirrorStart, []Host{a, b}), []Action{HostUp{Host: a}, HostUp{Host: b}})
	v := m.Snapshot()
	assert.Equal(t, len(v.Hosts()), 3)
	assert.Equal(t, v.FleetSize(), 7, "two that schedule, five that watch, this one among them")
	owner := v.Owner("main")
	assert.Assert(t, owner == "a" || owner == "b")

	drained := a
	drained.Draining = true
	assert.DeepEqual(t, m.ApplyHosts(mirrorStart, []Host{drained, b}), []Action{HostChanged{Host: drained}})
	assert.Equal(t, m.Snapshot().Owner("main"), HostName("b"))
	assert.DeepEqual(t, m.ApplyHosts(mirrorStart, []Host{b}), []Action{HostDown{Host: drained}})
	assert.Equal(t, len(m.ApplyHosts(mirrorStart, []Host{b})), 0)
	assert.Equal(t, len(m.ApplyHosts(mirrorStart, nil)), 0, "they have not changed")
	assert.Equal(t, m.Snapshot().Owner("main"), HostName("b"))
}

// Guards against a started host that lists an upstream that has left, or an earlier
// incarnation of one, because another host that doesn't know so restores it.
func TestRestore(t *testing.T) {
	r := New(mirrorStart, Host{Name: "self", Incarnation: 1})
	gone := live("gone", 1)
	gone.Leaving = true
	newer := live("newer", 2)
	newer.Sequence = 7
	for _, u := range []Upstream{gone, newer} {
		r.Step(mirrorStart, Announce{u})
	}
	r.Step(mirrorStart, Restore{
		Upstreams: []Upstream{live("gone", 1), live("newer", 1), live("newer", 2), live("known", 1), {}},
		Began:     mirrorStart, Remaining: time.Second,
	})
	assert.DeepEqual(t, names(r.Snapshot(), mirrorStart), []string{"known", "newer"})
	u, _ := r.Snapshot().Upstream(mirrorStart, "newer")
	assert.Equal(t, u.Sequence, uint64(7))
	r.Step(mirrorStart.Add(time.Second), Tick{})
	assert.DeepEqual(t, names(r.Snapshot(), mirrorStart.Add(time.Second)), []string{"newer"})
}

// Guards against an upstream that crashed before all control hosts restarted and is used
// for another whole lease.
func TestRestoredUpstreamsGetPartOfALease(t *testing.T) {
	r := New(mirrorStart, Host{Name: "self", Incarnation: 1}, WithLease(mirrorLease))
	r.Step(mirrorStart, Restore{Upstreams: []Upstream{live("crashed", 1), live("live", 1)}, Began: mirrorStart, Remaining: mirrorLease})
	renewed := live("live", 1)
	renewed.Sequence++
	end := mirrorStart.Add(mirrorLease / 2)
	for t := mirrorStart; t.Before(end); t = t.Add(StallThreshold / 2) {
		r.Step(t, Tick{})
	}
	r.Step(end.Add(-time.Millisecond), Announce{renewed})
	assert.DeepEqual(t, names(r.Snapshot(), end.Add(-time.Millisecond)), []string{"crashed", "live"})
	r.Step(end, Tick{})
	assert.DeepEqual(t, names(r.Snapshot(), end), []string{"live"})
}

// Guards against hosts that each take a large part of the upstreams' slots and of the
// retries, because all control hosts have restarted and count the watching hosts from 0.
func TestMirrorKeepsTheSizeOfTheFleet(t *testing.T) {
	m := NewMirror(mirrorStart, Host{Name: "self", Draining: true}, mirrorLease)
	fleetSize := func(after time.Duration, watchers int) int {
		now := mirrorStart.Add(after)
		m.Apply(now, ViewUpdate{Began: now, Hosts: []Host{{Name: "a", Watchers: watchers}}})
		return m.Snapshot().FleetSize()
	}
	assert.Equal(t, fleetSize(0, 100), 101)
	assert.Equal(t, fleetSize(time.Second, 0), 101)
	assert.Equal(t, fleetSize(2*time.Second, 40), 101)
	assert.Equal(t, fleetSize(3*time.Second, 120), 121, "more count at once")
	assert.Equal(t, fleetSize(4*time.Second, 90), 121)
	assert.Equal(t, fleetSize(3*time.Second+watcherCountTime, 90), 91)
	m.Apply(mirrorStart.Add(30*time.Second), ViewUpdate{Began: mirrorStart.Add(30 * time.Second)})
	assert.Equal(t, m.Snapshot().FleetSize(), 91)
}

// Guards against a watching host that forgets that an upstream has left, and lists it again
// when it follows a host that doesn't know so.
func TestMirrorRemembersDepartures(t *testing.T) {
	m := NewMirror(mirrorStart, Host{Name: "self"}, mirrorLease)
	m.Apply(mirrorStart, ViewUpdate{Began: mirrorStart, Full: true, Changed: []Upstream{live("a", 1), live("b", 1)}})
	m.Apply(mirrorStart, ViewUpdate{Began: mirrorStart, Departures: []Departure{{UpstreamID: "a", Incarnation: 1, Leaving: true}}})
	m.Apply(mirrorStart, ViewUpdate{Began: mirrorStart, Full: true, Changed: []Upstream{live("a", 1), live("b", 1)}})
	assert.DeepEqual(t, names(m.Snapshot(), mirrorStart), []string{"b"})
	m.Apply(mirrorStart, ViewUpdate{Began: mirrorStart, Changed: []Upstream{live("a", 2)}})
	assert.DeepEqual(t, names(m.Snapshot(), mirrorStart), []string{"a", "b"})
}

// Guards against leases that grow with each restart of the control hosts: an upstream
// that has not announced itself for nearly a lease must not get a whole one.
func TestRestoreKeepsLeases(t *testing.T) {
	at := func(d time.Duration) time.Time { return mirrorStart.Add(d) }
	const left = 500 * time.Millisecond
	a := New(mirrorStart, Host{Name: "a", Incarnation: 1}, WithLease(mirrorLease))
	a.Step(mirrorStart, Announce{live("silent", 1)})
	m := NewMirror(mirrorStart, Host{Name: "self"}, mirrorLease)
	m.Apply(mirrorStart, ViewUpdate{Began: mirrorStart, Full: true, Changed: a.Snapshot().Upstreams(mirrorStart)})
	asked := at(mirrorLease - left)
	m.Apply(asked, ViewUpdate{Began: asked})
	b := New(asked, Host{Name: "a", Incarnation: 2}, WithLease(mirrorLease))
	list, remaining := m.LiveUpstreams(asked)
	b.Step(asked, Restore{Upstreams: list, Began: asked, Remaining: remaining})
	end := at(mirrorLease)
	b.Step(end, Tick{})
	assert.Equal(t, len(names(b.Snapshot(), end)), 0, "the upstream has been silent for a lease and is listed")
}
