package registrar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// viewOf returns the view of the first host, with known hosts of which some are dead.
func viewOf(known int, hosts ...Host) *View {
	v := &View{self: hosts[0].Name, hosts: hosts, known: known}
	for _, h := range hosts {
		v.countTerm(h.Term)
	}
	v.finishHosts()
	return v
}

// TestReturningHostReplacesNoOwner guards against a host that takes a cell back from an
// owner that lives: each change moves the requests of all hosts, and a host that was cut
// off came back again and again.
func TestReturningHostReplacesNoOwner(t *testing.T) {
	names := []HostName{"a", "b", "c", "d", "e"}
	for _, owner := range names {
		var hosts []Host
		for _, n := range names {
			h := Host{Name: n}
			if n == owner {
				h.Term = 1
			}
			hosts = append(hosts, h)
		}
		assert.Equal(t, viewOf(5, hosts...).Owner("cell"), owner)
	}
	old, next := Host{Name: "a", Term: 3}, Host{Name: "b", Term: 4}
	assert.Equal(t, viewOf(2, old, next).Owner("cell"), HostName("b"))
	assert.Equal(t, viewOf(2, old, next).Successors("cell")[0].Name, HostName("a"))
	next.Draining = true
	assert.Equal(t, viewOf(2, old, next).Owner("cell"), HostName("a"))
}

// TestMinorityTakesNoTerm guards against a host that is cut off with a few others, takes
// a term there, and replaces the owner of the rest once it is back.
func TestMinorityTakesNoTerm(t *testing.T) {
	cases := []struct {
		name  string
		known int
		hosts []Host
		term  uint64
		ok    bool
	}{
		{"first owner", 5, []Host{{Name: "a"}, {Name: "b", Draining: true}, {Name: "c", Draining: true}}, 1, true},
		{"minority", 5, []Host{{Name: "a"}, {Name: "b", Draining: true}}, 0, false},
		{"half", 4, []Host{{Name: "a"}, {Name: "b", Draining: true}}, 0, false},
		{"another owner lives", 3, []Host{{Name: "a"}, {Name: "b", Term: 1}}, 0, false},
		{"has its term", 3, []Host{{Name: "a", Term: 2}, {Name: "b", Term: 1}}, 0, false},
		{"after an owner that left", 3, []Host{{Name: "a", Term: 1}, {Name: "b", Term: 2, Draining: true}}, 3, true},
		{"two owners of one term", 2, []Host{{Name: "a", Term: 2}, {Name: "b", Term: 2, Draining: true}}, 3, true},
	}
	for _, c := range cases {
		term, ok := viewOf(c.known, c.hosts...).Claim("cell")
		assert.Equal(t, ok, c.ok, c.name)
		assert.Equal(t, term, c.term, c.name)
	}
}

// TestTermsSpread guards against terms that other hosts don't hear of, or forget with the
// host that had them.
func TestTermsSpread(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := New(now, Host{Name: "a", Incarnation: 1})
	r.Step(now, ObservePeer{Hosts: []HostDescription{{Host: Host{Name: "b", Incarnation: 1, Term: 7}, DescriptionVersion: 1}}})
	assert.Equal(t, r.Snapshot().Owner("cell"), HostName("b"))
	for range 2 * HostTimeout / Heartbeat {
		now = now.Add(Heartbeat)
		r.Step(now, Tick{})
	}
	_, ok := r.Snapshot().Claim("cell")
	assert.Assert(t, !ok, "one of two hosts")
	r.Step(now, ObservePeer{Hosts: []HostDescription{{Host: Host{Name: "c", Incarnation: 1, Draining: true}, DescriptionVersion: 1}}})
	term, ok := r.Snapshot().Claim("cell")
	assert.Assert(t, ok)
	assert.Equal(t, term, uint64(8))
	r.Step(now, Describe{Term: term})
	_, ok = r.Snapshot().Claim("cell")
	assert.Assert(t, !ok)
}
