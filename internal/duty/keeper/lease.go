package keeper

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
)

const (
	// renewalsPerLease is how often a lease is renewed within its duration, so that two
	// renewals in a row may fail.
	renewalsPerLease = 4
	// ticksPerLease is how often the lease is looked at within its duration.
	ticksPerLease = 12
	// marginShare is the share of the lease by which its holder stops early. It covers
	// clocks that run at different rates.
	marginShare = 6
	// maxFailures is how many calls in a row, and failingLeases for how many durations of
	// the lease they, may have no clear answer before the duty is left to another host. It
	// mostly finds the provider in the same state.
	maxFailures   = 8
	failingLeases = 4
	// MaxDelivery is the longest time for which a call of the holder is under way. It is
	// added to the rest between two holdings.
	MaxDelivery = 2 * time.Second
)

// event is what a lease is told.
type event interface{ isEvent() }

// offer says whether this host wants the duty.
type offer struct{ wanted bool }

// tick says that time has passed.
type tick struct{}

// answer is what control said to a request that began at sent.
type answer struct {
	token     string
	sent      time.Time
	granted   bool
	fence     provider.Fence
	remaining time.Duration
}

// unanswered says that a request had no answer. The lease may have been granted.
type unanswered struct{ token string }

// refused says that the provider has seen a higher fencing number.
type refused struct{}

// failed and succeeded say how a call to the provider ended.
type (
	failed    struct{}
	succeeded struct{}
)

func (offer) isEvent()      {}
func (tick) isEvent()       {}
func (answer) isEvent()     {}
func (unanswered) isEvent() {}
func (refused) isEvent()    {}
func (failed) isEvent()     {}
func (succeeded) isEvent()  {}

// action is what follows from an event.
type action interface{ isAction() }

// request asks control for the lease.
type request struct {
	token string
	sent  time.Time
}

// release gives a lease back to control.
type release struct{ token string }

func (request) isAction() {}
func (release) isAction() {}

// lease decides when this host holds a duty. It has no goroutines and no clock.
type lease struct {
	duration time.Duration
	newToken func() string

	wanted bool
	// token is kept until it is released, so that a grant whose answer was lost is found
	// again. A released token is never reused, because the release may arrive late.
	token string
	fence provider.Fence
	// until is the end of the lease as this host counts it.
	until time.Time
	// next is when control is asked again, and pending is set while it is being asked.
	next    time.Time
	pending bool
	// acted is when a call was last permitted, under the fencing number actedFence. It
	// begins with the start of the process, for the calls of the process before it.
	acted      time.Time
	actedFence provider.Fence
	// failures counts calls in a row without a clear answer, the first at failedSince.
	failures    int
	failedSince time.Time
}

func newLease(now time.Time, duration time.Duration, newToken func() string) *lease {
	return &lease{duration: duration, newToken: newToken, acted: now}
}

// step handles an event and returns what follows from it.
func (l *lease) step(now time.Time, e event) []action {
	var done []action
	switch e := e.(type) {
	case offer:
		l.wanted = e.wanted
		if !e.wanted {
			done = l.drop(now)
		}
	case refused:
		done = l.rest(now)
	case failed:
		done = l.fail(now)
	case succeeded:
		l.failures = 0
	case answer:
		l.handleAnswer(now, e)
	case unanswered:
		if e.token == l.token {
			l.pending = false
		}
	case tick:
	}
	return append(done, l.ask(now)...)
}

// ask requests the lease when it is time.
func (l *lease) ask(now time.Time) []action {
	if !l.wanted || l.pending || now.Before(l.next) {
		return nil
	}
	if l.token == "" {
		l.token = l.newToken()
	}
	l.pending = true
	l.next = now.Add(l.duration / renewalsPerLease)
	return []action{request{token: l.token, sent: now}}
}

// handleAnswer takes over what control said. A renewal that control refuses ends the
// holding at once.
func (l *lease) handleAnswer(now time.Time, e answer) {
	if e.token != l.token {
		return
	}
	l.pending = false
	if !e.granted {
		l.until = time.Time{}
		l.next = now.Add(min(max(e.remaining, l.duration/ticksPerLease), l.duration/renewalsPerLease))
		return
	}
	until := e.sent.Add(min(e.remaining, l.duration) - l.duration/marginShare)
	if e.fence < l.fence || !until.After(l.until) {
		return
	}
	l.fence, l.until = e.fence, until
}

// drop ends the holding and releases the lease.
func (l *lease) drop(now time.Time) []action {
	l.until, l.failures, l.pending = time.Time{}, 0, false
	if l.token == "" {
		return nil
	}
	token := l.token
	l.token = ""
	l.next = now
	return []action{release{token: token}}
}

// rest ends the holding and leaves the duty to another host for the duration of a lease.
func (l *lease) rest(now time.Time) []action {
	done := l.drop(now)
	l.next = now.Add(l.duration)
	return done
}

// fail notes a call without a clear answer.
func (l *lease) fail(now time.Time) []action {
	if l.failures == 0 {
		l.failedSince = now
	}
	l.failures++
	if l.failures < maxFailures || now.Sub(l.failedSince) < failingLeases*l.duration {
		return nil
	}
	return l.rest(now)
}

// holds reports whether calls may be made now.
func (l *lease) holds(now time.Time) bool {
	if l.token == "" || !now.Before(l.until) {
		return false
	}
	return l.fence == l.actedFence || !now.Before(l.acted.Add(l.duration+MaxDelivery))
}

// act notes that a call is about to be made, and returns its fencing number. It reports
// false if none may be made.
func (l *lease) act(now time.Time) (provider.Fence, bool) {
	if !l.holds(now) {
		return 0, false
	}
	l.acted, l.actedFence = now, l.fence
	return l.fence, true
}
