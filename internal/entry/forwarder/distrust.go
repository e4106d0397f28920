package forwarder

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
)

// distrustTime is how long requests avoid an upstream after a failed handshake.
// Without it an upstream with a bad certificate, being idle, gets the first
// attempt of every request, and the retries spend the budget of the pool.
const distrustTime = 5 * time.Second

// distrust lists upstreams whose handshake has failed. It is this host's own
// view, because the fault may be in this host's files; the scheduler still
// grants an avoided upstream when there is no other one.
type distrust struct {
	// count spares requests the lock in the usual case.
	count atomic.Int64
	mu    sync.Mutex
	until map[registrar.UpstreamID]time.Time
}

// note records an upstream when the error is that of a handshake.
func (d *distrust) note(now time.Time, u registrar.UpstreamID, err error) {
	var failed *dialer.HandshakeError
	if !errors.As(err, &failed) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = map[registrar.UpstreamID]time.Time{}
	}
	d.until[u] = now.Add(distrustTime)
	d.count.Store(int64(len(d.until)))
}

// extend returns the list with the upstreams that are to be avoided now.
func (d *distrust) extend(now time.Time, list []registrar.UpstreamID) []registrar.UpstreamID {
	if d.count.Load() == 0 {
		return list
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	list = list[:len(list):len(list)]
	for u, until := range d.until {
		if !now.Before(until) {
			delete(d.until, u)
			continue
		}
		if !slices.Contains(list, u) {
			list = append(list, u)
		}
	}
	d.count.Store(int64(len(d.until)))
	return list
}
