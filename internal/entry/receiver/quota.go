package receiver

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// quota counts an organisation's use of this host. It is kept across revisions.
type quota struct {
	mu      sync.Mutex
	running int
	limiter *rate.Limiter
}

// quotas holds the quotas by organisation.
type quotas struct {
	mu   sync.RWMutex
	list map[validator.OrganisationName]*quota
}

// get returns the quota of the organisation and creates it if needed.
func (q *quotas) get(name validator.OrganisationName) *quota {
	q.mu.RLock()
	n := q.list[name]
	q.mu.RUnlock()
	if n != nil {
		return n
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.list == nil {
		q.list = map[validator.OrganisationName]*quota{}
	}
	if q.list[name] == nil {
		q.list[name] = &quota{}
	}
	return q.list[name]
}

// limitRetry is the Retry-After when the concurrency limit is reached; it is not known
// when a request of the organisation will end.
const limitRetry = time.Second

// admit admits a request under the organisation's limits. If one is reached, it returns
// false and the time after which the caller should retry.
func (q *quota) admit(now time.Time, o *validator.Organisation) (retry time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if o.Limit > 0 && q.running >= o.Limit {
		return limitRetry, false
	}
	if retry, ok := q.takeToken(now, o.Rate); !ok {
		return retry, false
	}
	q.running++
	return 0, true
}

// takeToken admits a request under the rate limit of perSecond requests a second, with
// a burst of one second but at least one request; 0 means no limit. If the limit is reached, it returns false
// and the time until the next request is admitted.
func (q *quota) takeToken(now time.Time, perSecond float64) (retry time.Duration, ok bool) {
	if perSecond <= 0 {
		q.limiter = nil
		return 0, true
	}
	if q.limiter == nil || q.limiter.Limit() != rate.Limit(perSecond) {
		q.limiter = rate.NewLimiter(rate.Limit(perSecond), int(math.Max(1, math.Ceil(perSecond))))
	}
	reservation := q.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return 0, true
	}
	reservation.CancelAt(now)
	return delay, false
}

// release ends an admitted request.
func (q *quota) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
}
