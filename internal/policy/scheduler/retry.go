package scheduler

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

const (
	// DefaultRetryShare is the number of repeats allowed per first submission.
	DefaultRetryShare = 0.1
	// DefaultRetryBurst is the number of repeats that a pool allows at the start
	// and the most that it saves up. It lets pools with little traffic retry at
	// all.
	DefaultRetryBurst = 10
	// retryMargin absorbs the rounding errors of adding up shares, in repeats.
	retryMargin = 1e-6
)

// WithRetryBudget sets the number of repeats that a pool allows per first
// submission, and the number of repeats that it saves up. Schedulers that divide a
// cell save up an equal part of that number each, but at least 1.
func WithRetryBudget(share float64, burst int) Option {
	return func(s *Scheduler) { s.retryShare, s.retryBurst, s.retryStart = share, float64(burst), float64(burst) }
}

// retryBudget limits the repeats of a pool: all arrivals at upstreams beyond the first
// of each request, whatever the reason. It is a token bucket that only first
// submissions fill. Its unit is one repeat.
type retryBudget struct{ saved float64 }

// left reports whether the budget allows a repeat.
func (b *retryBudget) left() bool { return b.saved+retryMargin >= 1 }

// take uses the budget for one repeat, and returns false when nothing is left.
func (b *retryBudget) take() bool {
	if !b.left() {
		return false
	}
	b.saved--
	return true
}

// refund returns the budget of a repeat that didn't reach an upstream.
func (b *retryBudget) refund(limit float64) { b.saved = min(b.saved+1, max(limit, b.saved)) }

// retryLimit returns how many repeats this scheduler's part of the cell may save up in
// each pool.
func (s *Scheduler) retryLimit() float64 { return max(s.retryBurst*s.retryPart, 1) }

// budget returns the retry budget of a pool. It outlives the pool's upstreams.
func (s *Scheduler) budget(name validator.PoolName) *retryBudget {
	b := s.budgets[name]
	if b == nil {
		b = &retryBudget{saved: s.retryStart}
		s.budgets[name] = b
	}
	return b
}

// addFirst counts a first submission, which allows a share of a repeat.
func (s *Scheduler) addFirst(p *pool) {
	p.hedges.addFirst()
	if limit := s.retryLimit(); p.retries.saved < limit {
		p.retries.saved = min(p.retries.saved+s.retryShare, limit)
	}
}

// divideRetries cuts what is saved up, and what new budgets begin with, to the part of
// one of the hosts among which the cell is divided. A scheduler that gets the whole cell
// later begins with no more: it doesn't know what others have used.
func (s *Scheduler) divideRetries(hosts int) {
	s.retryPart = 1 / float64(hosts)
	s.retryStart = min(s.retryStart, s.retryBurst/float64(hosts))
	limit := s.retryLimit()
	for _, b := range s.budgets {
		b.saved = min(b.saved, limit)
	}
}

// Deposit adds repeats that another scheduler of the cell has saved up. It has no effect
// for a pool that this one doesn't know.
type Deposit struct {
	Pool    validator.PoolName
	Repeats float64
}

// Withdraw removes repeats that another scheduler of the cell uses from now on.
type Withdraw struct {
	Pool    validator.PoolName
	Repeats float64
}

// RetryPart sets the part of the cell's hosts, from 0 to 1, whose repeats this scheduler
// allows.
type RetryPart struct{ Part float64 }

func (Deposit) event()   {}
func (Withdraw) event()  {}
func (RetryPart) event() {}

func (s *Scheduler) deposit(e Deposit) {
	if s.pools[e.Pool] == nil {
		return
	}
	b := s.budget(e.Pool)
	b.saved = min(b.saved+max(e.Repeats, 0), max(s.retryBurst, b.saved))
}

func (s *Scheduler) withdraw(e Withdraw) {
	b := s.budgets[e.Pool]
	if b == nil {
		return
	}
	b.saved = max(b.saved-max(e.Repeats, 0), 0)
}

// SavedRepeats returns the repeats that are saved up in each pool.
func (s *Scheduler) SavedRepeats() []Deposit {
	list := make([]Deposit, 0, len(s.budgets))
	for name, b := range s.budgets {
		list = append(list, Deposit{Pool: name, Repeats: b.saved})
	}
	return list
}

// TakeRepeats returns the repeats that are saved up in each pool and leaves nothing, for
// another scheduler of the cell.
func (s *Scheduler) TakeRepeats() []Deposit {
	list := s.SavedRepeats()
	for _, b := range s.budgets {
		b.saved = 0
	}
	return list
}

// repeats reports whether the next attempt of a submitted request would be an arrival
// beyond its first. The argument i is the request's record, if its last attempt was
// interrupted.
func (sent Request) repeats(i interruption, interrupted bool) bool {
	if sent.Unsent || interrupted && i.unsent {
		return false
	}
	return sent.Retry || interrupted || sent.Emitted > 0
}

// mayRepeat reports whether the retry budget allows the request its next attempt.
func (r *request) mayRepeat() bool { return !r.repeat || r.prepaid || r.pool.retries.left() }

// payRepeat takes the attempt that a request is granted from the retry budget.
func (r *request) payRepeat() (paid bool) {
	if !r.repeat || r.prepaid {
		return r.repeat
	}
	return r.pool.retries.take()
}

// interruption is kept for a request that was preempted or lost in a crash until it is
// submitted again.
type interruption struct {
	// queued is when the wait began that the interruption must not prolong beyond
	// its bound; zero where the wait begins anew.
	queued, until time.Time
	// unsent is set when nothing of the request has reached an upstream yet, so that
	// its next attempt is no repeat.
	unsent bool
	// paid is set when the next attempt was taken from the retry budget before the
	// last one was interrupted.
	paid bool
}

// interrupt records the interruption of an attempt. For a request without a token
// it keeps the time at which the wait began, so that preemption does not prolong
// the wait beyond its bound.
func (s *Scheduler) interrupt(now time.Time, a *attempt, o Outcome) {
	r := a.request
	unsent := o == ConnectionRefused || o == ConnectTimeout
	if unsent && a.paid {
		r.pool.retries.refund(s.retryLimit())
	}
	if a.nextPaid && o == Completed {
		r.pool.retries.refund(s.retryLimit())
	}
	switch o {
	case Preempted, Crashed, ConnectionRefused, ConnectTimeout, Misdirected:
	default:
		if !a.preempted && !a.moving {
			return
		}
	}
	record := interruption{until: now.Add(leaseTime), unsent: unsent && !r.repeat, paid: a.nextPaid && !unsent}
	if o != Crashed && a.tokens+r.Emitted == 0 {
		record.queued = r.queued
	}
	s.interrupted[r.origin()] = record
}

func (s *Scheduler) expireInterruptions(now time.Time) {
	for id, i := range s.interrupted {
		if now.After(i.until) {
			delete(s.interrupted, id)
		}
	}
}

// ask asks an attempt to end so that its request continues elsewhere, if the retry budget
// allows that arrival.
func (s *Scheduler) ask(a *attempt, cause Cause, urgent RequestID) bool {
	if !a.request.pool.retries.take() {
		return false
	}
	a.nextPaid = true
	s.actions = append(s.actions, Preempt{ID: a.request.ID, Upstream: a.upstream.Name, Cause: cause, Urgent: urgent})
	return true
}
