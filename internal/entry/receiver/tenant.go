package receiver

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// tenant keeps an organisation's use of this host; it outlives revisions.
type tenant struct {
	mu      sync.Mutex
	running int
	limiter *rate.Limiter
}

// tenants holds the tenants by organisation.
type tenants struct {
	mu   sync.RWMutex
	list map[validator.OrganisationName]*tenant
}

func (t *tenants) get(name validator.OrganisationName) *tenant {
	t.mu.RLock()
	n := t.list[name]
	t.mu.RUnlock()
	if n != nil {
		return n
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.list == nil {
		t.list = map[validator.OrganisationName]*tenant{}
	}
	if t.list[name] == nil {
		t.list[name] = &tenant{}
	}
	return t.list[name]
}

// limitRetry is advised when the concurrency limit is reached; nobody knows
// when a request of the organisation ends.
const limitRetry = time.Second

// enter admits a request under the limits of the organisation, or tells when
// to come back.
func (t *tenant) enter(now time.Time, o *validator.Organisation) (retry time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.Limit > 0 && t.running >= o.Limit {
		return limitRetry, false
	}
	if retry, ok := t.take(now, o.Rate); !ok {
		return retry, false
	}
	t.running++
	return 0, true
}

func (t *tenant) take(now time.Time, perSecond float64) (retry time.Duration, ok bool) {
	if perSecond <= 0 {
		t.limiter = nil
		return 0, true
	}
	if t.limiter == nil || t.limiter.Limit() != rate.Limit(perSecond) {
		t.limiter = rate.NewLimiter(rate.Limit(perSecond), int(math.Max(1, math.Ceil(perSecond))))
	}
	reservation := t.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return 0, true
	}
	reservation.CancelAt(now)
	return delay, false
}

func (t *tenant) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}
