package gossiper

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// resendInterval is how often unchanged fingerprints are sent to the same host
	// again, in case they were lost.
	resendInterval = time.Minute
	// maxFingerprints bounds the fingerprints in one message, to about 5 KB. In a wave of
	// crashes each host collects thousands, which would saturate the links of all hosts
	// if sent at once.
	maxFingerprints = 64
)

// FingerprintLog numbers crash fingerprints in the order in which they became known or
// changed, so that each is sent to another host only once. It is safe for concurrent use.
type FingerprintLog struct {
	mu      sync.Mutex
	last    uint64
	entries map[string]fingerprintEntry
	sent    map[string]sentMark
}

// fingerprintEntry is the content hash of a fingerprint and the number that it got when the
// content last changed.
type fingerprintEntry struct {
	content uint64
	number  uint64
}

// sentMark is the last number that was sent to a host, and when sending to it last began
// from the first fingerprint.
type sentMark struct {
	number uint64
	since  time.Time
}

// NewFingerprintLog returns a log that has sent nothing.
func NewFingerprintLog() *FingerprintLog {
	return &FingerprintLog{entries: map[string]fingerprintEntry{}, sent: map[string]sentMark{}}
}

// contentOf returns a hash of the content of a fingerprint, without ages.
func contentOf(p *wire.Fingerprint) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(strings.Join(p.GetUpstreams(), " "))
	for _, c := range p.GetPart().GetCrashes() {
		_, _ = h.WriteString(" " + c.GetUpstream())
	}
	return h.Sum64() + uint64(p.GetCrashes())
}

// TakeUnsent returns the fingerprints of the list that have not been sent to the peer, the
// oldest first and at most maxFingerprints, and records them as sent.
func (l *FingerprintLog) TakeUnsent(peer string, list []*wire.Fingerprint, now time.Time) []*wire.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(list)
	mark := l.sent[peer]
	if now.Sub(mark.since) >= resendInterval {
		mark = sentMark{since: now}
	}
	var lacking []*wire.Fingerprint
	for _, p := range list {
		if l.entries[p.GetDigest()].number > mark.number {
			lacking = append(lacking, p)
		}
	}
	slices.SortFunc(lacking, func(a, b *wire.Fingerprint) int {
		return cmp.Compare(l.entries[a.GetDigest()].number, l.entries[b.GetDigest()].number)
	})
	lacking = lacking[:min(len(lacking), maxFingerprints)]
	if n := len(lacking); n > 0 {
		mark.number = l.entries[lacking[n-1].GetDigest()].number
	}
	l.sent[peer] = mark
	return lacking
}

// update numbers the fingerprints of the list that are new or changed, and forgets those
// that are no longer in the list.
func (l *FingerprintLog) update(list []*wire.Fingerprint) {
	for _, p := range list {
		content := contentOf(p)
		if e, ok := l.entries[p.GetDigest()]; ok && e.content == content {
			continue
		}
		l.last++
		l.entries[p.GetDigest()] = fingerprintEntry{content: content, number: l.last}
	}
	if len(l.entries) == len(list) {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, p := range list {
		listed[p.GetDigest()] = true
	}
	for digest := range l.entries {
		if !listed[digest] {
			delete(l.entries, digest)
		}
	}
}

// Forget drops the record of what was sent to the peers.
func (l *FingerprintLog) Forget(peers ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range peers {
		delete(l.sent, p)
	}
}
