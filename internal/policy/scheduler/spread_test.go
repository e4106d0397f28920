package scheduler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// TestLoneSchedulersSpread guards against hosts that all choose the same one of several
// equally loaded upstreams while each of them schedules on its own.
func TestLoneSchedulersSpread(t *testing.T) {
	const hosts, upstreams = 100, 5
	got := map[registrar.UpstreamID]int{}
	for i := range hosts {
		s := New(WithSeed(uint64(i)))
		s.Step(start, Configure{Document: document()})
		s.Step(start, Divide{Hosts: hosts})
		for j := range upstreams {
			s.Step(start, Observe{registrar.Upstream{Name: registrar.UpstreamID(fmt.Sprint("ledger-", j)), Services: []validator.PoolName{"ledger"}, Slots: 1, Incarnation: 1, Sequence: 1}})
		}
		for _, a := range s.Step(start, Submit{Request{ID: "r", Pool: "ledger", Class: "top", Organisation: "small", Arrived: start}}) {
			if g, ok := a.(Grant); ok {
				got[g.Upstream]++
			}
		}
	}
	for id, n := range got {
		assert.Assert(t, n <= 2*hosts/upstreams, "%s got %d of %d requests", id, n, hosts)
	}
	assert.Equal(t, len(got), upstreams)
}
