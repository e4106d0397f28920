package accountant

import (
	"fmt"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
)

const (
	// settleShare is the share of the time between the end of a window and its due time
	// that late counts have. The rest is for the settling and for repeated calls.
	settleShare = 0.3
	// giveUpAfter is how long after its end a window is reported at all. It is well below
	// the retention of settled counts.
	giveUpAfter = 5 * time.Minute
	// minBackoff and maxBackoff bound the time from a call to its repeat. The repeat does
	// not wait for the end of the call: a provider that is silent for a while may answer
	// the repeat. After promptAttempts, repeats follow each other after slowBackoff. Each
	// has its price, and only one host makes calls, so that there is no jitter.
	minBackoff     = 700 * time.Millisecond
	maxBackoff     = 2 * time.Second
	promptAttempts = 8
	slowBackoff    = 8 * time.Second
)

// counts holds the requests of each organisation.
type counts = map[validator.OrganisationName]uint64

// watermark says how far the windows have been dealt with. It is kept in the log.
type watermark struct {
	// Settled is the last window whose counts were settled. Without its counts a window up
	// to there is never reported: it may have been, with counts that are forgotten.
	Settled provider.Window `json:"settled"`
	// Closed is the last window up to which all were reported or given up.
	Closed provider.Window `json:"closed"`
}

// action is the next thing to do for a usage report.
type action interface{ isAction() }

// resume reads the watermark at the beginning of a holding.
type resume struct{}

// recall reads the counts that were settled for a window.
type recall struct{ window provider.Window }

// settle keeps the counts of a window, which never change from then on.
type settle struct{ window provider.Window }

// advance writes the watermark.
type advance struct{ mark watermark }

// send reports a window.
type send struct {
	report provider.UsageReport
	// attempt counts the calls of this holding for the window, from 1.
	attempt int
}

func (resume) isAction()  {}
func (recall) isAction()  {}
func (settle) isAction()  {}
func (advance) isAction() {}
func (send) isAction()    {}

// entry is a window with settled counts that has not been reported.
type entry struct {
	window  provider.Window
	counts  counts
	recall  bool
	attempt int
	next    time.Time
}

// book decides what is done next under one holding of the duty. It has no goroutines and
// no clock, and knows nothing of an earlier holding: what that has settled is read again.
type book struct {
	length time.Duration
	late   time.Duration

	resumed bool
	// written is the watermark in the log; settled and closed are how far this holding is.
	written watermark
	settled provider.Window
	entries []*entry
}

func newBook(length, late time.Duration) *book { return &book{length: length, late: late} }

// next returns what has to be done now, or nil. wall is the time of day and now that of
// the steady clock. No call to the provider begins unless mayCall is set.
func (b *book) next(now, wall time.Time, mayCall bool) action {
	if !b.resumed {
		return resume{}
	}
	for _, e := range b.entries {
		if e.recall {
			return recall{window: e.window}
		}
	}
	if b.written.Settled < b.settled {
		return advance{mark: watermark{Settled: b.settled, Closed: b.closed()}}
	}
	if k := b.settled + 1; !wall.Before(k.End(b.length).Add(b.settleTime())) {
		return settle{window: k}
	}
	if !mayCall {
		return nil
	}
	return b.nextSend(now)
}

// settleTime is how long after the end of a window its counts are settled.
func (b *book) settleTime() time.Duration { return time.Duration(settleShare * float64(b.late)) }

// nextSend returns the call that has waited longest, or nil if none is due.
func (b *book) nextSend(now time.Time) action {
	var first *entry
	for _, e := range b.entries {
		if !e.next.After(now) && (first == nil || e.next.Before(first.next)) {
			first = e
		}
	}
	if first == nil {
		return nil
	}
	first.attempt++
	first.next = now.Add(backoff(first.attempt))
	return send{report: provider.UsageReport{Window: first.window, Counts: first.counts}, attempt: first.attempt}
}

// backoff is the pause after an attempt.
func backoff(attempt int) time.Duration {
	if attempt > promptAttempts {
		return slowBackoff
	}
	d := minBackoff
	for range attempt - 1 {
		d = min(2*d, maxBackoff)
	}
	return d
}

// begin starts from the watermark in the log. Without one, the first window is the present
// one, which nobody can have reported; an earlier one may have been reported before the
// group lost its disks. The watermark is then written at once, so that the next holder
// knows the first window.
func (b *book) begin(wall time.Time, mark watermark, found bool) (skipped int) {
	b.resumed = true
	if !found {
		b.settled = provider.WindowAt(wall, b.length) - 1
		return 0
	}
	b.written, b.settled = mark, mark.Settled
	oldest := provider.WindowAt(wall.Add(-giveUpAfter), b.length)
	if b.settled < oldest {
		skipped = int(oldest - b.settled)
		b.settled = oldest
	}
	for k := max(mark.Closed, oldest) + 1; k <= mark.Settled; k++ {
		b.entries = append(b.entries, &entry{window: k, recall: true})
	}
	return skipped
}

// recalled takes over the counts that were settled for a window. Without them the window
// is left out.
func (b *book) recalled(k provider.Window, n counts, found bool) {
	if !found {
		b.close(k)
		return
	}
	for _, e := range b.entries {
		if e.window == k {
			e.counts, e.recall = n, false
		}
	}
}

// keep takes over the counts that are settled for the window after the last one.
func (b *book) keep(k provider.Window, n counts) error {
	if k != b.settled+1 {
		return fmt.Errorf("window %d is settled out of order", k)
	}
	b.settled = k
	b.entries = append(b.entries, &entry{window: k, counts: n})
	return nil
}

// advanced notes the watermark that the log has.
func (b *book) advanced(mark watermark) { b.written = mark }

// close notes that a window needs no more calls. It reports false if that was known.
func (b *book) close(k provider.Window) bool {
	for i, e := range b.entries {
		if e.window == k {
			b.entries = append(b.entries[:i], b.entries[i+1:]...)
			return true
		}
	}
	return false
}

// expire gives up the windows that ended too long ago, and returns them.
func (b *book) expire(wall time.Time) []provider.Window {
	var given []provider.Window
	for _, e := range b.entries {
		if wall.After(e.window.End(b.length).Add(giveUpAfter)) {
			given = append(given, e.window)
		}
	}
	for _, k := range given {
		b.close(k)
	}
	return given
}

// closed is the last window up to which all were reported or given up.
func (b *book) closed() provider.Window {
	last := b.settled
	for _, e := range b.entries {
		last = min(last, e.window-1)
	}
	return last
}
