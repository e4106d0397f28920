package publisher

import (
	"strconv"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// Guards against a whole view that doesn't tell which upstreams leave after the leases of a
// large site's upstreams have ended at once.
func TestWholeViewTellsDeparturesAfterManyLeasesEnded(t *testing.T) {
	j := newJournal(1, clockwork.NewFakeClock())
	j.depart(registrar.Departure{UpstreamID: "leaving", Incarnation: 1, Leaving: true})
	const upstreams = 1_100
	for i := range upstreams {
		j.depart(registrar.Departure{UpstreamID: registrar.UpstreamID(strconv.Itoa(i)), Incarnation: 1})
	}
	a := &wire.MembersResponse{}
	j.tell(0, a)
	assert.Assert(t, a.Full)
	assert.Equal(t, len(a.Departures), 1)
}
