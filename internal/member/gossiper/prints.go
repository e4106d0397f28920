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
	// printsInterval is how often unchanged fingerprints are sent to the same host
	// again, in case they were lost.
	printsInterval = time.Minute
	// maxPrints bounds the fingerprints in one message, to about 5 KB. In a wave of
	// crashes each host meets thousands; sent whole they fill the links of all hosts.
	maxPrints = 64
)

// PrintLog numbers the fingerprints in the order in which they became known or
// changed, so that another host is sent each of them once.
type PrintLog struct {
	mu      sync.Mutex
	last    uint64
	entries map[string]printEntry
	sent    map[string]printMark
}

// printEntry is the content of a fingerprint and the number that it has since.
type printEntry struct {
	content uint64
	number  uint64
}

// printMark is the last number that a host was sent, and when it began to be sent all.
type printMark struct {
	number uint64
	since  time.Time
}

// NewPrintLog returns a log that has sent nothing.
func NewPrintLog() *PrintLog {
	return &PrintLog{entries: map[string]printEntry{}, sent: map[string]printMark{}}
}

// contentOf identifies what a fingerprint tells, without its age.
func contentOf(p *wire.Fingerprint) uint64 {
	return xxhash.Sum64String(strings.Join(p.GetUpstreams(), " ")) + uint64(p.GetCrashes())
}

// Lacks returns the fingerprints of the list that the peer was not sent yet, the
// oldest ones first, as many as a message may have.
func (l *PrintLog) Lacks(peer string, list []*wire.Fingerprint, now time.Time) []*wire.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(list)
	mark := l.sent[peer]
	if now.Sub(mark.since) >= printsInterval {
		mark = printMark{since: now}
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
	lacking = lacking[:min(len(lacking), maxPrints)]
	if n := len(lacking); n > 0 {
		mark.number = l.entries[lacking[n-1].GetDigest()].number
	}
	l.sent[peer] = mark
	return lacking
}

// update numbers what is new in the list and forgets what is not in it any more.
func (l *PrintLog) update(list []*wire.Fingerprint) {
	for _, p := range list {
		content := contentOf(p)
		if e, ok := l.entries[p.GetDigest()]; ok && e.content == content {
			continue
		}
		l.last++
		l.entries[p.GetDigest()] = printEntry{content: content, number: l.last}
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

// Forget drops what was sent to hosts that are gone.
func (l *PrintLog) Forget(peers ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range peers {
		delete(l.sent, p)
	}
}
