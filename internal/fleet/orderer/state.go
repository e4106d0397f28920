package orderer

import (
	"errors"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
	"github.com/amaranthcart/amaranthcart/internal/fleet/sizer"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// firstRetry and lastRetry bound the time until an order that wasn't carried out is
	// sent again.
	firstRetry = time.Second
	lastRetry  = 15 * time.Second
	// noneRetry is the time after which upstreams are asked for that were not to be had.
	noneRetry = 3 * time.Second
	// arrivalSlack is how long an upstream may take beyond its start time until this host
	// knows of it.
	arrivalSlack = 4 * time.Second
	// lateTime is how long a call without a clear answer may still be carried out.
	lateTime = 15 * time.Second
	// minGroup is the least number of upstreams whose loss at the same time counts as a
	// reclaim.
	minGroup = 2
)

// severalOpen stands for several numbers in calls without a clear answer.
const severalOpen = -1

// line identifies the orders of one kind in a data centre.
type line struct {
	centre registrar.DataCentre
	spot   bool
}

// outcome is how a call ended.
type outcome string

// Outcomes of calls.
const (
	taken   outcome = "taken"
	none    outcome = "none available"
	busy    outcome = "provider busy"
	unclear outcome = "no clear answer"
	lost    outcome = "duty lost"
)

func isBusy(err error) bool    { return errors.Is(err, provider.ErrBusy) }
func isRefused(err error) bool { return errors.Is(err, provider.ErrRefused) }

// state is what is known of the orders of one kind in a data centre under the present
// lease.
type state struct {
	// restored is set if the wanted number comes from another holder, whose calls may be
	// under way: the number is ordered once even if it is present.
	restored bool
	// known is set once the provider took a number; sent is the last one, taken at the time
	// at.
	known bool
	sent  int
	at    time.Time
	// open is the number in a call without a clear answer, or severalOpen, which may be
	// carried out until openUntil.
	open      int
	openUntil time.Time
	next      time.Time
	retries   int
	// reached is the largest number that was present since the last reclaim, and reclaimed
	// is set from a reclaim until the next order.
	reached   int
	reclaimed bool
	// unavailableUntil is until when none are taken to be available.
	unavailableUntil time.Time
	// none is set while the last call found none.
	none bool
}

// watch notes how many upstreams are present. The loss of most of them is answered at once:
// the start of those that replace them takes long enough.
func (s *state) watch(now time.Time, have int) {
	s.reached = max(s.reached, have)
	if s.reached < minGroup || 2*have > s.reached {
		return
	}
	s.reached, s.reclaimed = have, true
	s.next, s.retries = now, 0
}

// due reports whether the order has to be sent now.
func (s *state) due(now time.Time, o sizer.Order, start time.Duration) bool {
	if now.Before(s.next) {
		return false
	}
	switch {
	case s.reclaimed && o.Missing:
		return true
	case !s.known:
		return s.restored || o.Missing || o.Changed || !s.openUntil.IsZero()
	case s.sent != o.Count:
		return true
	case !s.openUntil.IsZero() && now.After(s.openUntil) && s.open != s.sent:
		// A late call may have replaced the number by another one.
		return true
	}
	return o.Missing && (s.none || now.Sub(s.at) > start+arrivalSlack)
}

// ended records how a call ended.
func (s *state) ended(now time.Time, o sizer.Order, how outcome) {
	s.reclaimed, s.none = false, how == none
	switch how {
	case taken:
		s.repeat(now, o)
		if now.After(s.openUntil) {
			s.openUntil = time.Time{}
		}
		s.known, s.sent, s.at, s.unavailableUntil = true, o.Count, now, time.Time{}
	case none:
		s.next = now.Add(noneRetry)
		s.unavailableUntil = now.Add(noneRetry + callTimeout)
	case unclear:
		if now.Before(s.openUntil) && s.open != o.Count {
			s.open = severalOpen
		} else {
			s.open = o.Count
		}
		s.openUntil = now.Add(lateTime)
		s.backOff(now)
	case busy:
		s.backOff(now)
	case lost:
	}
}

// repeat makes an order that doesn't come be repeated less and less often.
func (s *state) repeat(now time.Time, o sizer.Order) {
	if s.known && s.sent == o.Count && o.Missing {
		s.backOff(now)
		return
	}
	s.retries = 0
}

// backOff sets the time of the next call.
func (s *state) backOff(now time.Time) {
	s.next = now.Add(min(firstRetry<<min(s.retries, 4), lastRetry))
	s.retries++
}
