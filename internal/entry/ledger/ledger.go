// Package ledger accounts for the memory that a process holds for the clients and
// upstreams that are connected to it.
//
// A process has one Ledger, whose limit is a part of the memory of its machine. What
// holds bytes for others charges them before it reads them and returns them when it lets
// go of them. Each kind of use has a share of the limit, so that none takes all of it.
//
// Bodies are charged through a Claim. When there is too little for bodies, the newest one
// that has not been sent on is revoked. A body that an upstream may run is never revoked.
// The first bytes of a body have a share of their own, so that small requests find room
// beside large ones.
//
// # Usage
//
//	l := ledger.New(limit)
//	c := l.Open(func() { ... }) // what ends the request when its body is revoked
//	defer c.Close()
//	body := ledger.NewContent(c)
//	if err := body.Fill(ctx, reader, limit, nil); errors.Is(err, ledger.ErrShort) {
//		// refuse the request, which has not run
//	}
package ledger

import (
	"slices"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Bytes is a number of bytes of memory.
type Bytes int64

// Kind is what bytes are held for.
type Kind int

// Kinds of use.
const (
	// Connection is what a connection takes by itself.
	Connection Kind = iota
	// Head is what the heads of requests take, beyond what each connection has for them.
	Head
	// Body is what the bodies of requests take.
	Body
	// Answer is what is kept of answers of upstreams.
	Answer
	kinds
)

// The shares of the limit that single kinds may use. Connections and bodies may use most of
// it: idle connections are closed and the newest bodies refused when others need the room.
const (
	connectionNumerator, connectionDivisor = 3, 4
	bodyNumerator, bodyDivisor             = 2, 3
	headDivisor                            = 8
	answerDivisor                          = 8
	// smallDivisor is the share of the first bytes of bodies.
	smallDivisor = 16
)

// DefaultLimit is the limit in bytes of a process that doesn't know its memory.
const DefaultLimit Bytes = 1 << 30

// Ledger accounts for the bytes of one process. It is safe for concurrent use.
type Ledger struct {
	limit   Bytes
	refused metrics.Counter

	mu     sync.Mutex
	used   [kinds]Bytes
	claims claims
	// small is the part of the use of bodies that is charged to the share of their
	// first bytes.
	small Bytes
	// returned is closed and replaced when bytes of bodies are returned.
	returned chan struct{}
	// reclaimers close idle connections.
	reclaimers []func() bool
}

// New returns a ledger with the limit; 0 means DefaultLimit.
func New(limit Bytes) *Ledger {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Ledger{limit: limit, refused: metrics.NewCounter(), returned: make(chan struct{})}
}

// Register adds the bytes in use and the refusals to a registry of metrics.
func (l *Ledger) Register(r metrics.Registry) {
	for k, name := range [kinds]string{"connections", "heads", "bodies", "answers"} {
		_ = r.Register("ledger."+name, metrics.NewFunctionalGauge(func() int64 { return int64(l.Used(Kind(k))) }))
	}
	_ = r.Register("ledger.refusals", l.refused)
}

// OnShort adds a function that makes room when the whole limit is used. It closes what can
// be closed without harm and reports whether it closed anything.
func (l *Ledger) OnShort(reclaim func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reclaimers = append(l.reclaimers, reclaim)
}

// reclaim makes room and reports whether it closed anything. The lock must not be held.
func (l *Ledger) reclaim() bool {
	l.mu.Lock()
	list := l.reclaimers
	l.mu.Unlock()
	return slices.ContainsFunc(list, func(f func() bool) bool { return f() })
}

// Used returns the bytes in use of a kind.
func (l *Ledger) Used(k Kind) Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used[k]
}

// Limit returns the limit.
func (l *Ledger) Limit() Bytes { return l.limit }

// share returns how many bytes a kind may use.
func (l *Ledger) share(k Kind) Bytes {
	switch k {
	case Connection:
		return l.limit * connectionNumerator / connectionDivisor
	case Head:
		return l.limit / headDivisor
	case Body:
		return l.limit * bodyNumerator / bodyDivisor
	case Answer:
		return l.limit / answerDivisor
	}
	return 0
}

// total returns the bytes in use of all kinds.
func (l *Ledger) total() Bytes {
	var sum Bytes
	for _, n := range l.used {
		sum += n
	}
	return sum
}

// Charge takes n bytes for a kind and reports whether there was room. While only the whole
// limit is used, idle connections are closed.
func (l *Ledger) Charge(k Kind, n Bytes) bool {
	for {
		l.mu.Lock()
		if l.used[k]+n > l.share(k) {
			break
		}
		if l.total()+n <= l.limit {
			l.used[k] += n
			l.mu.Unlock()
			return true
		}
		l.mu.Unlock()
		if k == Connection {
			// The limiter closes an idle connection and tries again, and counts itself.
			return false
		}
		if !l.reclaim() {
			l.refused.Inc(1)
			return false
		}
	}
	l.mu.Unlock()
	l.refused.Inc(1)
	return false
}

// Return gives back n bytes of a kind.
func (l *Ledger) Return(k Kind, n Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used[k] -= n
}
