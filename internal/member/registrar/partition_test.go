package registrar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a late announcement that lists a departed upstream again on a host that
// was partitioned from the others when the upstream left, for longer than departures are
// relayed.
func TestHostPartedForLongLearnsDepartures(t *testing.T) {
	now := mirrorStart
	host := func(n string) *Registrar {
		return New(now, Host{Name: HostName(n), Address: n + ":1", Incarnation: 1}, WithLease(mirrorLease))
	}
	a, b := host("a"), host("b")
	exchange := func(to, from *Registrar) {
		known := to.Vector()
		to.Step(now, Merge{From: from.Self().Host.Name, Began: now, Update: from.Update(now, known)})
	}
	// advance lets time pass in steps, with exchanges unless the hosts are partitioned.
	advance := func(d time.Duration, parted bool) {
		for end := now.Add(d); now.Before(end); now = now.Add(200 * time.Millisecond) {
			a.Step(now, Tick{})
			b.Step(now, Tick{})
			if !parted {
				exchange(a, b)
				exchange(b, a)
			}
		}
	}
	announce := func(r *Registrar, sequence uint64, leaving bool) {
		u := live("u", 5)
		u.Sequence, u.Leaving = sequence, leaving
		r.Step(now, Announce{Upstream: u})
	}
	advance(time.Second, false)
	announce(a, 1, false)
	advance(time.Second, false)
	assert.DeepEqual(t, names(b.Snapshot(), now), []string{"u"})
	announce(a, 3, true)
	advance(DepartureRelayTime+5*time.Second, true)
	advance(5*time.Second, false)
	// Sent before the upstream left, and delayed in transit.
	announce(b, 2, false)
	advance(time.Second, false)
	assert.Equal(t, len(names(a.Snapshot(), now)), 0)
	assert.Equal(t, len(names(b.Snapshot(), now)), 0, "listed again after %s of exchanges", 5*time.Second)
}
