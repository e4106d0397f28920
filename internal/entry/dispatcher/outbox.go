package dispatcher

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// maxQueued bounds the messages that wait for the other side of a link. It is several
	// times what one host has open at 10,000 requests a second with answers of a second,
	// since all of them are queued at once when the owner changes; at about 200 bytes
	// each that is 13 MB.
	maxQueued = 1 << 16
	// maxBatch is the size of a message, in bytes, from which on no entry is added to it.
	// It is well under what the receiving side accepts.
	maxBatch = 1 << 20
	// entryBytes is the assumed size of an entry without its prefix hashes, in bytes.
	entryBytes = 256
	// prefixBytes is the largest size of a prefix hash in a message, in bytes.
	prefixBytes = 10
)

// outboxEntry is a submission or a report that waits to be sent; the other field is nil.
type outboxEntry struct {
	submit   *wire.SlotRequest
	progress *wire.SlotProgress
}

func (e outboxEntry) bytes() int {
	if e.submit == nil {
		return entryBytes
	}
	return entryBytes + prefixBytes*len(e.submit.Prefix)
}

// attemptKey identifies one slot of a request.
type attemptKey struct{ id, upstream string }

// outbox is the queue of messages to the owner, in order.
type outbox struct {
	entries []outboxEntry
	// latest finds the queued progress of a slot. Newer progress is merged into it, so
	// that the queue of a slow owner does not grow with every token.
	latest map[attemptKey]*wire.SlotProgress
	// crashes are sent before everything else.
	crashes []*wire.Fingerprint
	// bars replace the bars reported before. They are sent with the crashes.
	bars []*wire.SlotBar
	// limits are sent with the crashes. Their ages count up to when they are sent.
	limits []scheduler.Limit
	// retries is this host's part of the retry budgets. It is sent with the crashes.
	retries []*wire.RetryShare
	// complete is sent once entriesBefore, the number of entries queued ahead of it, is
	// 0.
	complete      bool
	entriesBefore int
}

func (o *outbox) full() bool { return len(o.entries) >= maxQueued }

func (o *outbox) submit(m *wire.SlotRequest) { o.entries = append(o.entries, outboxEntry{submit: m}) }

func (o *outbox) report(m *wire.SlotProgress) {
	if m.Kind == wire.SlotProgress_KIND_PROGRESS && o.merge(m) {
		return
	}
	o.entries = append(o.entries, outboxEntry{progress: m})
}

// merge adds progress to the queued progress of the same slot and reports whether there
// was any.
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

// markComplete queues the mark that all slots held by this host have been reported.
func (o *outbox) markComplete() { o.complete, o.entriesBefore = true, len(o.entries) }

// batch removes and returns the next message. The owner handles the submissions of a
// message before its reports. An ID is submitted once on a link, so only the next attempt
// of a request has to wait for the message after the one that ends its last attempt.
func (o *outbox) batch(now time.Time) *wire.DispatchRequest {
	m := &wire.DispatchRequest{Fingerprints: o.crashes, Bars: o.bars, Limits: encodeLimits(o.limits, now), Retries: o.retries}
	o.crashes, o.bars, o.limits, o.retries = nil, nil, nil, nil
	size, n := 0, 0
	for n < len(o.entries) && size < maxBatch {
		e := o.entries[n]
		if e.submit != nil && isNextAttempt(e.submit, m.Progress) {
			break
		}
		o.entries[n] = outboxEntry{}
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
	o.dropFirst(n)
	if o.complete && o.entriesBefore == 0 {
		m.Complete, o.complete = true, false
	}
	return m
}

// isNextAttempt reports whether a submission is the next attempt of a request that the
// reports concern.
func isNextAttempt(r *wire.SlotRequest, reports []*wire.SlotProgress) bool {
	if !r.Retry && r.Emitted == 0 {
		return false
	}
	origin := originOf(r.Id)
	return slices.ContainsFunc(reports, func(p *wire.SlotProgress) bool { return originOf(p.Id) == origin })
}

// dropFirst removes the first n entries.
func (o *outbox) dropFirst(n int) {
	o.entriesBefore = max(o.entriesBefore-n, 0)
	if n == len(o.entries) {
		// The array of a large hand-over is not kept for the usual few entries.
		o.entries = nil
		return
	}
	o.entries = o.entries[n:]
}

func (o *outbox) empty() bool {
	return len(o.entries) == 0 && !o.complete && len(o.crashes) == 0 && len(o.bars) == 0 && len(o.limits) == 0 && len(o.retries) == 0
}
