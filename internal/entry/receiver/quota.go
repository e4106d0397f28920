package receiver

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// quota counts an organisation's use of this host; it outlives revisions.
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

// limitRetry is advised when the concurrency limit is reached; nobody knows
// when a request of the organisation ends.
const limitRetry = time.Second

// enter admits a request under the limits of the organisation, or tells when
// to come back.
func (q *quota) enter(now time.Time, o *validator.Organisation) (retry time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if o.Limit > 0 && q.running >= o.Limit {
		return limitRetry, false
	}
	if retry, ok := q.take(now, o.Rate); !ok {
		return retry, false
	}
	q.running++
	return 0, true
}

func (q *quota) take(now time.Time, perSecond float64) (retry time.Duration, ok bool) {
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

func (q *quota) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
}
