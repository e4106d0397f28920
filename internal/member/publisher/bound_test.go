package publisher

import (
	"strconv"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// Guards against a whole view that lacks announced departures after the leases of all
// upstreams of a large site have ended at once.
func TestWholeViewTellsDeparturesAfterManyLeasesEnded(t *testing.T) {
	j := newJournal(1, clockwork.NewFakeClock())
	j.depart(registrar.Departure{UpstreamID: "leaving", Incarnation: 1, Leaving: true})
	const upstreams = 1_100
	for i := range upstreams {
		j.depart(registrar.Departure{UpstreamID: registrar.UpstreamID(strconv.Itoa(i)), Incarnation: 1})
	}
	a := &wire.MembersResponse{}
	j.addChanges(0, a)
	assert.Assert(t, a.Full)
	assert.Equal(t, len(a.Departures), 1)
}
