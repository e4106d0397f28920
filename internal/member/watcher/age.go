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
	// sendTime is the longest time from the last check of the view until a request reaches
	// the upstream, including the wait for this host's processor and the queue of its link.
	sendTime = 400 * time.Millisecond
	// holdShare bounds the time for which a response may wait, as a share of the greatest
	// age of a view. gossipTime is the time in which a healthy host exchanges with enough
	// of the others.
	holdShare  = 0.4
	gossipTime = 3 * gossiper.Interval * 5 / 4
	// minHold is the shortest hold time. It bounds how often a host asks if the bound on
	// the age is short.
	minHold = 100 * time.Millisecond
	// agedShare is the share of the greatest age above which this host follows another
	// host and probes all hosts that may own a cell.
	agedShare = 0.6
	// minAge is the age that is always allowed, whatever the bound. Younger views are the
	// exception, and a host that required one would refuse all requests.
	minAge = gossipTime + transitTime + minHold
	// reachTimeout bounds the opening of a connection that probes a host.
	reachTimeout = 500 * time.Millisecond
	// excuseTime is how long an old view is allowed after a sign that the hosts that may
	// own a cell are lost or have just started. Each further sign renews it.
	excuseTime = time.Second
	// startExcuse is how long after its start this host may send requests without a recent
	// view of its own: it asks the owner of the cell, which has one.
	startExcuse = 2500 * time.Millisecond
	// groupTime is how long hosts that are no longer listed still count as part of the
	// group.
	groupTime = 10 * time.Second
)

// age decides whether a view is recent enough to send requests on.
//
// No request may reach an upstream later than the bound after its departure was
// acknowledged. This host checks its view at most sendTime before a request reaches the
// upstream, so the view, which contains everything that was acknowledged longer ago than
// its age, must not be older than the rest of the bound.
//
// While most of the hosts that may own a cell can't be reached, or have just started, no
// view can be recent. Either they are lost or this host is cut off from them, and it
// continues with what it knows.
type age struct {
	// maxAge is the greatest age of a view to send requests on; 0 for no bound.
	maxAge time.Duration
	// excused is the time until which an old view is allowed.
	excused time.Time
	// group is the largest number of hosts that may own a cell that was reported within
	// groupTime, and groupAt is when it was last reported.
	group   int
	groupAt time.Time
	// outdated is set while the view is too old and that is not excused. It is only for
	// the log.
	outdated bool
}

// newAge returns the age for the LeaveBound of the options.
func newAge(now time.Time, bound time.Duration) age {
	if bound == 0 {
		return age{}
	}
	return age{maxAge: max(bound-sendTime, minAge), excused: now.Add(startExcuse)}
}

// permits reports whether requests may be sent on a view that contains all departures
// acknowledged until known.
func (a *age) permits(now, known time.Time) bool {
	return a.maxAge == 0 || now.Sub(known) <= a.maxAge || now.Before(a.excused)
}

// excuse allows an old view for excuseTime after at, when there was a sign that the other
// hosts are lost or have just started.
func (a *age) excuse(at time.Time) {
	if until := at.Add(excuseTime); until.After(a.excused) {
		a.excused = until
	}
}

// count records how many hosts may own a cell.
func (a *age) count(now time.Time, hosts int) {
	if hosts >= a.group || now.Sub(a.groupAt) > groupTime {
		a.group, a.groupAt = hosts, now
	}
}

// hold returns how long the response to a call may wait, so that the view of a healthy host
// stays recent enough until the next response. It is 0 if the other host may decide.
func (a *age) hold() time.Duration {
	if a.maxAge == 0 {
		return 0
	}
	return max(min(time.Duration(holdShare*float64(a.maxAge)), a.maxAge-gossipTime-transitTime), minHold)
}

// isAged reports whether a view that contains all departures acknowledged until known is so
// old that another host has to be followed.
func (a *age) isAged(now, known time.Time) bool {
	return a.maxAge > 0 && now.Sub(known) > time.Duration(agedShare*float64(a.maxAge))
}

// Current reports whether the view of this host is recent enough to send new requests to
// the upstreams that it lists. It is not if one of them may have left so long ago that it
// must no longer receive requests.
func (w *Watcher) Current() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.age.permits(w.clock.Now(), w.mirror.KnownUntil())
}

// Age returns the age of this host's view: the view contains every departure that was
// acknowledged longer ago than that. It is negative while the age is not known.
func (w *Watcher) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.mirror.KnownUntil()
	if known.IsZero() {
		return -1
	}
	return w.clock.Since(known)
}

// checkAge probes the other hosts if the view is getting old, and logs changes.
func (w *Watcher) checkAge() {
	if addresses := w.hostsToProbe(); len(addresses) > 0 {
		w.probeHosts(addresses)
	}
	w.logAge()
}

// hostsToProbe lists the addresses of the hosts that may own a cell, if the view is so old
// that this host has to know whether they can be reached.
func (w *Watcher) hostsToProbe() []string {
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

// probeHosts excuses an old view if at most half of the group accepts a connection. A host
// that accepts one but is slow to respond is not lost: it may have acknowledged departures.
func (w *Watcher) probeHosts(addresses []string) {
	began := w.clock.Now()
	reached := w.reached(addresses)
	w.mu.Lock()
	defer w.mu.Unlock()
	lost := 2*reached <= w.age.group
	if lost {
		w.age.excuse(began)
	}
	w.logger.Debug("the view is getting old; probed the hosts that may own a cell",
		zap.Int("reached", reached), zap.Int("group", w.age.group), zap.Bool("lost", lost))
}

// reached counts the addresses that accept a connection.
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

// logAge logs when the view has become too old to send requests on, and when it is recent
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
		w.logger.Info("the view became too old to send requests on, or recent enough again", zap.Bool("outdated", outdated),
			zap.Duration("age", now.Sub(known)), zap.Bool("excused", excused), zap.String("address", address))
	}
}

// observeResponse records the hosts of a response. A response of a host that has just
// started excuses an old view.
func (a *age) observeResponse(now time.Time, hosts []registrar.Host, incomplete bool) {
	if len(hosts) > 0 {
		a.count(now, len(hosts))
	}
	if incomplete && a.group > 0 {
		a.excuse(now)
	}
}
