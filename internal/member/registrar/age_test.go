package registrar

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against departures that hosts return to each other with a new age each time, so
// that they are never forgotten.
func TestDeparturesToldAgainAreForgotten(t *testing.T) {
	now := mirrorStart
	r := New(now, Host{Name: "a", Address: "a:1", Incarnation: 1}, WithLease(mirrorLease))
	mirrors := []*Mirror{NewMirror(now, Host{Name: "w1"}, mirrorLease), NewMirror(now, Host{Name: "w2"}, mirrorLease)}
	gone := live("u", 5)
	gone.Leaving = true
	r.Step(now, Announce{Upstream: gone})
	list := []Departure{{UpstreamID: "u", Incarnation: 5, Leaving: true}}
	// Each mirror in turn begins to follow the host: it sends the departures that it knows
	// and receives those that the host knows.
	for i := range 12 {
		now = now.Add(4 * time.Minute)
		r.Step(now, Tick{})
		m := mirrors[i%len(mirrors)]
		r.Step(now, Depart{Departures: m.Departures(now)})
		if len(r.upstreams) > 0 {
			m.Depart(now, list)
		}
	}
	assert.Equal(t, len(r.upstreams), 0, "kept %s after the upstream left", now.Sub(mirrorStart))
}

// Guards against live upstreams that are rejected because departures fill the table, which
// may be of upstreams that never existed.
func TestDeparturesMakeRoom(t *testing.T) {
	now := mirrorStart
	r := New(now, Host{Name: "a", Address: "a:1", Incarnation: 1}, WithLease(mirrorLease))
	r.Step(now, Announce{Upstream: live("live", 1)})
	for i := range MaxUpstreams {
		now = now.Add(time.Microsecond)
		r.Step(now, Announce{Upstream: Upstream{Name: UpstreamID(strconv.Itoa(i)), Incarnation: 1, Leaving: true}})
	}
	r.Step(now, Announce{Upstream: live("new", 1)})
	assert.DeepEqual(t, names(r.Snapshot(), now), []string{"live", "new"})
	assert.Equal(t, len(r.upstreams), MaxUpstreams)
}
