package forwarder

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
)

const (
	// handshakePause is how long requests avoid an upstream after a failed
	// handshake. Without it an upstream with a bad certificate, being idle, gets
	// the first attempt of every request, and the retries spend the budget of the
	// pool.
	handshakePause = 5 * time.Second
	// connectPause is the same after a connection that timed out. Paths come back
	// within seconds, and each further try costs one request the time of a dial.
	connectPause = 2 * time.Second
)

// distrust lists upstreams to which no connection could be made. It is this host's
// own view, because the fault may be in this host's files or on its path; the
// scheduler still grants an avoided upstream when there is no other one.
type distrust struct {
	// count spares requests the lock in the usual case.
	count atomic.Int64
	mu    sync.Mutex
	until map[registrar.UpstreamID]time.Time
}

// pauseAfter is how long an upstream is avoided after an error; 0 for one that doesn't
// tell of a connection.
func pauseAfter(err error) time.Duration {
	var failed *dialer.HandshakeError
	switch {
	case errors.As(err, &failed):
		return handshakePause
	case connectTimedOut(err):
		return connectPause
	}
	return 0
}

// connectTimedOut reports whether the error is that of a connection that could not be
// made in time.
func connectTimedOut(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial" && failed.Timeout()
}

// note records an upstream when the error is one of making a connection.
func (d *distrust) note(now time.Time, u registrar.UpstreamID, err error) {
	pause := pauseAfter(err)
	if pause == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = map[registrar.UpstreamID]time.Time{}
	}
	d.until[u] = now.Add(pause)
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
