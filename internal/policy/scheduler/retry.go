package scheduler

const (
	// retryCost is the number of fresh requests that allow one retry.
	retryCost = 10
	// retryBurst is the number of retries that a pool allows at first, and the
	// most that it saves up; it lets pools with little traffic retry at all.
	retryBurst = 10
)

// retryBudget bounds retries to a tenth of the fresh requests, so that they do
// not add to an overload. It counts in fresh requests.
type retryBudget struct{ spent int }

func (b *retryBudget) fresh() { b.spent = max(b.spent-1, 0) }

// take uses one retry of the budget, if there is one.
func (b *retryBudget) take() bool {
	if b.spent+retryCost > retryBurst*retryCost {
		return false
	}
	b.spent += retryCost
	return true
}
