package dispatcher

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// maxQueued bounds the messages that wait for the other side of a link. It
	// is several times what one host has open at 10,000 requests a second with
	// answers of a second, since all of them are queued at once when the owner
	// changes; at about 200 bytes each it holds 13 MB.
	maxQueued = 1 << 16
	// maxBatch bounds the size of one message in bytes, well under what the
	// receiving side accepts.
	maxBatch = 1 << 20
	// entryBytes is the assumed size of an entry apart from its lists.
	entryBytes = 256
	// prefixBytes is the largest size of a prefix hash in a message.
	prefixBytes = 10
)

// entry is a submission or a report that waits to be sent.
type entry struct {
	submit   *wire.SlotRequest
	progress *wire.SlotProgress
}

func (e entry) bytes() int {
	if e.submit == nil {
		return entryBytes
	}
	return entryBytes + prefixBytes*len(e.submit.Prefix)
}

// attemptKey identifies one slot of a request.
type attemptKey struct{ id, upstream string }

// outbox holds in order what waits to be sent to the owner.
type outbox struct {
	entries []entry
	// latest finds the waiting progress of a slot; newer progress replaces it,
	// so that a slow owner does not make the queue grow with every token.
	latest map[attemptKey]*wire.SlotProgress
	// crashes go before everything else.
	crashes []*wire.Fingerprint
	// bars replace those that were told before; they go with the crashes.
	bars []*wire.SlotBar
	// limits go with them. Their ages count up to when they are sent.
	limits []scheduler.Limit
	// complete is sent once the number of entries before it is zero.
	complete bool
	before   int
}

func (o *outbox) full() bool { return len(o.entries) >= maxQueued }

func (o *outbox) submit(m *wire.SlotRequest) { o.entries = append(o.entries, entry{submit: m}) }

func (o *outbox) report(m *wire.SlotProgress) {
	if m.Kind == wire.SlotProgress_KIND_PROGRESS && o.merge(m) {
		return
	}
	o.entries = append(o.entries, entry{progress: m})
}

// merge adds progress to what waits for the same slot, if anything does.
func (o *outbox) merge(m *wire.SlotProgress) bool {
	k := attemptKey{m.Id, m.Upstream}
	if w := o.latest[k]; w != nil {
		w.Tokens = max(w.Tokens, m.Tokens)
		return true
	}
	if o.latest == nil {
		o.latest = map[attemptKey]*wire.SlotProgress{}
	}
	o.latest[k] = m
	return false
}

func (o *outbox) finish() { o.complete, o.before = true, len(o.entries) }

// batch removes the next message. The owner takes the submissions of a message
// before its reports. An ID is submitted once on a link, so only the next
// attempt of a request must wait for the message after the end of its last one.
func (o *outbox) batch(now time.Time) *wire.DispatchRequest {
	m := &wire.DispatchRequest{Fingerprints: o.crashes, Bars: o.bars, Limits: encodeLimits(o.limits, now)}
	o.crashes, o.bars, o.limits = nil, nil, nil
	size, n := 0, 0
	for n < len(o.entries) && size < maxBatch {
		e := o.entries[n]
		if e.submit != nil && continues(e.submit, m.Progress) {
			break
		}
		o.entries[n] = entry{}
		size += e.bytes()
		n++
		if e.submit != nil {
			m.Submits = append(m.Submits, e.submit)
			continue
		}
		m.Progress = append(m.Progress, e.progress)
		if e.progress.Kind == wire.SlotProgress_KIND_PROGRESS {
			delete(o.latest, attemptKey{e.progress.Id, e.progress.Upstream})
		}
	}
	o.advance(n)
	if o.complete && o.before == 0 {
		m.Complete, o.complete = true, false
	}
	return m
}

// continues reports whether a submission is the next attempt of a request whose
// last one ends in the reports.
func continues(r *wire.SlotRequest, reports []*wire.SlotProgress) bool {
	if !r.Retry && r.Emitted == 0 {
		return false
	}
	origin := originOf(r.Id)
	return slices.ContainsFunc(reports, func(p *wire.SlotProgress) bool { return originOf(p.Id) == origin })
}

func (o *outbox) advance(n int) {
	o.before = max(o.before-n, 0)
	if n == len(o.entries) {
		// The array of a large hand-over is not kept for the usual few entries.
		o.entries = nil
		return
	}
	o.entries = o.entries[n:]
}

func (o *outbox) empty() bool {
	return len(o.entries) == 0 && !o.complete && len(o.crashes) == 0 && len(o.bars) == 0 && len(o.limits) == 0
}
