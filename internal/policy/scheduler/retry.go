package scheduler

const (
	// DefaultRetryShare is the number of retries allowed per first submission.
	DefaultRetryShare = 0.1
	// DefaultRetryBurst is the number of retries that a pool allows at the start
	// and the most that it saves up. It lets pools with little traffic retry at
	// all.
	DefaultRetryBurst = 10
)

// WithRetryBudget sets the number of retries that a pool allows per first
// submission, and the number of retries that it saves up. Schedulers that divide a
// cell have an equal part of that number each, but at least 1.
func WithRetryBudget(share float64, burst int) Option {
	return func(s *Scheduler) { s.retryShare, s.retryBurst = share, float64(burst) }
}

// retryBudget limits retries to a share of the first submissions, so that retries
// do not add to an overload. Its unit is one retry.
type retryBudget struct{ spent float64 }

// addFirst counts a first submission, which allows share more retries.
func (b *retryBudget) addFirst(share float64) { b.spent = max(b.spent-share, 0) }

// take uses one retry of the budget, and returns false when none is left.
func (b *retryBudget) take(burst float64) bool {
	// Adding up many shares may cause a small rounding error.
	if b.spent+1 > max(burst, 1)+1e-9 {
		return false
	}
	b.spent++
	return true
}
