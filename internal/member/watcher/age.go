package watcher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// sendTime is the longest way from the last look at the view to the upstream: the
	// wait for this host's processor and the queue of its link.
	sendTime = 400 * time.Millisecond
	// holdShare is the part of the greatest age of a view for which an answer may wait at
	// most, and heardTime the time in which a sound host has heard enough of the others.
	holdShare = 0.4
	heardTime = 3 * gossiper.Interval * 5 / 4
	// minHold bounds how often a host asks where the bound is short.
	minHold = 100 * time.Millisecond
	// agedShare is the part of the greatest age from which on the host that told the view
	// is left for another one, and this host looks for all of them.
	agedShare = 0.6
	// leastAge is the age that is allowed whatever the bound: younger views are the
	// exception, and a host without one serves nobody.
	leastAge = heardTime + wayTime + minHold
	// reachTimeout bounds the start of a connection that only shows that a host is there.
	reachTimeout = 500 * time.Millisecond
	// excuseTime is how long a sign that the hosts that may own a cell are lost, or have
	// just started, allows an old view. It is renewed while the sign lasts.
	excuseTime = time.Second
	// startExcuse is how long after its start this host sends without a view of its own:
	// the owner of the cell, which it asks, has one.
	startExcuse = 2500 * time.Millisecond
	// groupTime is how long hosts that are not listed any more count as a part of the
	// group.
	groupTime = 10 * time.Second
)

// age judges whether a view is young enough to send on.
//
// A departure that is acknowledged must be obeyed within the bound. This host has looked
// at its view by sendTime before a request reaches the upstream, so that the view must not
// be older than the rest of the bound: everything that was acknowledged before is in it.
//
// While most of the hosts that may own a cell can't be reached, or have just started, no
// view can be young. They are lost then, or this host is cut off from them, and it goes on
// with what it knows.
type age struct {
	// most is the greatest age of a view to send on; 0 for no bound.
	most time.Duration
	// excused is until when an old view is allowed.
	excused time.Time
	// group is the largest number of hosts that may own a cell which was told lately, and
	// told when that was last.
	group int
	told  time.Time
	// outdated is set while the view is too old and nothing excuses that, for the log.
	outdated bool
}

func newAge(now time.Time, bound time.Duration) age {
	if bound == 0 {
		return age{}
	}
	return age{most: max(bound-sendTime, leastAge), excused: now.Add(startExcuse)}
}

// permits reports whether a view of that time may be sent on.
func (a *age) permits(now, known time.Time) bool {
	return a.most == 0 || now.Sub(known) <= a.most || now.Before(a.excused)
}

// excuse notes a sign from the time that the other hosts are lost or have just started.
func (a *age) excuse(at time.Time) {
	if until := at.Add(excuseTime); until.After(a.excused) {
		a.excused = until
	}
}

// count notes how many hosts may own a cell.
func (a *age) count(now time.Time, hosts int) {
	if hosts >= a.group || now.Sub(a.told) > groupTime {
		a.group, a.told = hosts, now
	}
}

// hold is how long the answer to a call may wait, so that the view of a sound host is young
// enough until the next answer; 0 where the other host decides.
func (a *age) hold() time.Duration {
	if a.most == 0 {
		return 0
	}
	return max(min(time.Duration(holdShare*float64(a.most)), a.most-heardTime-wayTime), minHold)
}

// isAged reports whether a view of that time is so old that another one has to be found.
func (a *age) isAged(now, known time.Time) bool {
	return a.most > 0 && now.Sub(known) > time.Duration(agedShare*float64(a.most))
}

// Current reports whether the view of this host is young enough to send new requests to
// the upstreams that it lists. It is not when an upstream may have left so long ago that
// it must get nothing any more.
func (w *Watcher) Current() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.age.permits(w.clock.Now(), w.mirror.KnownUntil())
}

// Age returns how old the view of this host is: each departure that was acknowledged before
// is in it. It is negative while that is not known.
func (w *Watcher) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.mirror.KnownUntil()
	if known.IsZero() {
		return -1
	}
	return w.clock.Since(known)
}

// attend looks for the other hosts while the view grows old.
func (w *Watcher) attend() {
	if addresses := w.lookFor(); len(addresses) > 0 {
		w.reachOut(addresses)
	}
	w.logAge()
}

// lookFor lists the hosts that may own a cell if the view is so old that this host has to
// know whether they are there.
func (w *Watcher) lookFor() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	hosts := w.mirror.Hosts()
	w.age.count(w.clock.Now(), len(hosts))
	if !w.age.isAged(w.clock.Now(), w.mirror.KnownUntil()) {
		return nil
	}
	var all []string
	for _, h := range hosts {
		all = append(all, h.Address)
	}
	return all
}

// reachOut notes an excuse if most of the hosts take no connection. One that takes it and
// is slow to answer is none: it may have acknowledged departures.
func (w *Watcher) reachOut(addresses []string) {
	began := w.clock.Now()
	reached := w.reached(addresses)
	w.mu.Lock()
	defer w.mu.Unlock()
	lost := 2*reached <= w.age.group
	if lost {
		w.age.excuse(began)
	}
	w.logger.Debug("the view grows old; looked for the hosts that may own a cell",
		zap.Int("reached", reached), zap.Int("group", w.age.group), zap.Bool("lost", lost))
}

// reached counts the addresses that take a connection.
func (w *Watcher) reached(addresses []string) int {
	ctx, cancel := context.WithTimeout(w.context, reachTimeout)
	defer cancel()
	var count atomic.Int64
	var group conc.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			if err := w.caller.Reach(ctx, address); err == nil {
				count.Add(1)
			}
		})
	}
	group.Wait()
	return int(count.Load())
}

// logAge writes a line when the view has become too old to send on, and when it is young
// enough again.
func (w *Watcher) logAge() {
	w.mu.Lock()
	now, known := w.clock.Now(), w.mirror.KnownUntil()
	outdated := !known.IsZero() && !w.age.permits(now, known)
	changed := outdated != w.age.outdated
	w.age.outdated = outdated
	excused, address := now.Before(w.age.excused), w.source.address
	w.mu.Unlock()
	if changed {
		w.logger.Info("whether the view is too old to send on has changed", zap.Bool("outdated", outdated),
			zap.Duration("age", now.Sub(known)), zap.Bool("excused", excused), zap.String("address", address))
	}
}

// copied notes the hosts of an answer and what it excuses.
func (a *age) copied(now time.Time, hosts []registrar.Host, incomplete bool) {
	if len(hosts) > 0 {
		a.count(now, len(hosts))
	}
	if incomplete && a.group > 0 {
		a.excuse(now)
	}
}
