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
	// handshakePause is how long requests avoid an upstream after a failed TLS
	// handshake. Without it, an upstream with a bad certificate, being idle, gets the
	// first attempt of every request, and the retries use up the retry budget of the
	// pool.
	handshakePause = 5 * time.Second
	// connectPause is how long requests avoid an upstream after a connection attempt
	// that timed out. Network paths recover within seconds, and each further try costs
	// one request the time of a dial.
	connectPause = 2 * time.Second
)

// avoidList lists upstreams to which no connection could be made. It is this host's own
// view, because the fault may be in this host's files or on its network path; the
// scheduler still grants an avoided upstream if there is no other one.
type avoidList struct {
	// count is the length of until; it spares requests the lock in the usual case of an
	// empty list.
	count atomic.Int64
	mu    sync.Mutex
	until map[registrar.UpstreamID]time.Time
}

// pauseAfter returns how long an upstream is avoided after the error; 0 for an error
// that doesn't come from making a connection.
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

// connectTimedOut reports whether the error means that a connection could not be made
// in time.
func connectTimedOut(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial" && failed.Timeout()
}

// note adds the upstream to the list if the error comes from making a connection.
func (d *avoidList) note(now time.Time, u registrar.UpstreamID, err error) {
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

// extend returns the given list with the upstreams that are to be avoided now added to
// it. The given list is not modified.
func (d *avoidList) extend(now time.Time, list []registrar.UpstreamID) []registrar.UpstreamID {
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
