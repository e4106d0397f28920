package dispatcher

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

const (
	// effortInterval is the time over which the work of the scheduler is added up.
	effortInterval = time.Second
	// lateTick is the delay of a tick beyond its interval from which on it is logged.
	lateTick = 3 * scheduler.TickInterval
	// busyShare is the part of effortInterval in steps from which on the work is logged.
	busyShare = 0.2
)

// effort adds up how the scheduler spends its time, so that the log tells an owner that
// computes too much from one that gets no processor time.
type effort struct {
	since time.Time
	steps int
	busy  time.Duration
	// longest is the longest step, and latest the longest delay of a tick beyond its
	// interval.
	longest, latest time.Duration
	kinds           map[reflect.Type]kindEffort
}

// kindEffort is the work for one kind of event.
type kindEffort struct {
	steps int
	busy  time.Duration
}

// add records a step.
func (e *effort) add(event scheduler.Event, took time.Duration) {
	if e.kinds == nil {
		e.kinds = map[reflect.Type]kindEffort{}
	}
	kind := reflect.TypeOf(event)
	k := e.kinds[kind]
	k.steps++
	k.busy += took
	e.kinds[kind] = k
	e.steps++
	e.busy += took
	e.longest = max(e.longest, took)
}

// addTick records how much later than planned a tick began.
func (e *effort) addTick(late time.Duration) { e.latest = max(e.latest, late) }

// take returns the work since the last call once effortInterval has passed, and starts
// anew.
func (e *effort) take(now time.Time) (effort, bool) {
	if e.since.IsZero() {
		e.since = now
	}
	if now.Sub(e.since) < effortInterval {
		return effort{}, false
	}
	done := *e
	*e = effort{since: now}
	return done, true
}

// summary lists the kinds of events, those with the most work first.
func (e *effort) summary() []string {
	kinds := slices.SortedFunc(maps.Keys(e.kinds), func(a, b reflect.Type) int {
		return cmp.Or(cmp.Compare(e.kinds[b].busy, e.kinds[a].busy), cmp.Compare(a.Name(), b.Name()))
	})
	list := make([]string, 0, len(kinds))
	for _, t := range kinds {
		k := e.kinds[t]
		list = append(list, fmt.Sprintf("%s: %d in %s", t.Name(), k.steps, k.busy.Round(time.Microsecond)))
	}
	return list
}

// logEffort logs the scheduler's work of the last interval if it was a large part of it or
// a tick was late. The caller holds mu.
func (l *Local) logEffort(now time.Time) {
	done, ok := l.effort.take(now)
	if !ok {
		return
	}
	took := now.Sub(done.since)
	if done.busy.Seconds() < busyShare*took.Seconds() && done.latest < lateTick {
		return
	}
	l.logger.Info("the scheduler is busy or late",
		zap.Duration("interval", took), zap.Duration("busy", done.busy), zap.Int("steps", done.steps),
		zap.Duration("longest", done.longest), zap.Duration("late", done.latest),
		zap.Int("open", len(l.requests)), zap.Int64("hosts", l.linkedHosts.Load()), zap.Strings("events", done.summary()))
}
