package dispatcher

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// Guards against bars that are kept after their end where only the membership tells of
// leaving upstreams.
func TestBarsOfTheMembershipAreForgotten(t *testing.T) {
	var b bars
	now := time.Unix(1_700_000_000, 0)
	const upstreams = 100
	for i := range upstreams {
		// What Cell.Leave notes.
		b.put(now, registrar.UpstreamID(strconv.Itoa(i)), barEntry{incarnation: 1, leaving: true, known: true, until: now.Add(maxBar)})
		now = now.Add(maxBar)
	}
	assert.Assert(t, len(b.list) <= 2, "%d bars are kept, all but one of which have ended", len(b.list))
}
