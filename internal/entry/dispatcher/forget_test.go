package dispatcher

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// Guards against ended bars that are never removed on a host that hears of leaving
// upstreams only from the membership.
func TestBarsOfTheMembershipAreForgotten(t *testing.T) {
	var b bars
	now := time.Unix(1_700_000_000, 0)
	const upstreams = 100
	for i := range upstreams {
		// The entry that Cell.ObserveDeparture records.
		b.put(now, registrar.UpstreamID(strconv.Itoa(i)), barEntry{incarnation: 1, leaving: true, ownerKnows: true, until: now.Add(maxBarTime)})
		now = now.Add(maxBarTime)
	}
	assert.Assert(t, len(b.list) <= 2, "%d bars are kept, all but one of which have ended", len(b.list))
}
