package gossiper

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

func crashFingerprints(n int) []*wire.Fingerprint {
	var list []*wire.Fingerprint
	for i := range n {
		list = append(list, &wire.Fingerprint{Digest: fmt.Sprint("f", i), Crashes: 1, Upstreams: []string{"u@1"}, Remaining: int64(1000 - i)})
	}
	return list
}

// Guards against messages that each carry all fingerprints. With 45 engines that lost
// responses in a fleet of 83 hosts, the full list in each message saturated the hosts' links.
func TestPrintsAreSentOnce(t *testing.T) {
	l, now := NewFingerprintLog(), time.Unix(1_700_000_000, 0)
	list := crashFingerprints(150)
	got := map[string]int{}
	for range 10 {
		part := l.TakeUnsent("peer", list, now)
		assert.Assert(t, len(part) <= maxFingerprints)
		for _, p := range part {
			got[p.Digest]++
		}
		now = now.Add(time.Second)
	}
	assert.Equal(t, len(got), 150)
	for digest, n := range got {
		assert.Equal(t, n, 1, digest)
	}
	assert.Equal(t, len(l.TakeUnsent("other", list, now)), maxFingerprints, "another host has none yet")
}

// Guards against fingerprints that don't spread: new ones, changed ones, and ones whose
// message was lost.
func TestPrintsThatChange(t *testing.T) {
	l, now := NewFingerprintLog(), time.Unix(1_700_000_000, 0)
	list := crashFingerprints(3)
	assert.Equal(t, len(l.TakeUnsent("peer", list, now)), 3)
	list[1].Remaining = 5
	assert.Equal(t, len(l.TakeUnsent("peer", list, now)), 0, "its age is no news")
	list[1].Upstreams = append(list[1].Upstreams, "v@1")
	list = append(list, &wire.Fingerprint{Digest: "new"})
	assert.Equal(t, len(l.TakeUnsent("peer", list, now)), 2)
	assert.Equal(t, len(l.TakeUnsent("peer", list, now.Add(resendInterval))), 4, "all again after a time")
	assert.Equal(t, len(l.TakeUnsent("peer", list[:1], now.Add(resendInterval))), 0)
	assert.Equal(t, len(l.entries), 1)
	l.Forget("peer")
	assert.Equal(t, len(l.TakeUnsent("peer", list[:1], now.Add(resendInterval))), 1)
}
