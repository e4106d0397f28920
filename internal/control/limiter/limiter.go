// Package limiter bounds the bytes that calls hold at the same time.
//
// A call acquires the bytes before it reads or builds them and releases them when it
// has ended. Calls wait in the order in which they came, so that a large one isn't
// passed by small ones for good.
//
// # Usage
//
//	l := limiter.New(8 << 20)
//	if err := l.Acquire(ctx, size); err != nil {
//		return err
//	}
//	defer l.Release(size)
package limiter

import (
	"context"
	"errors"
	"slices"
	"sync"
)

// ErrTooLarge is returned for more bytes than the limiter has in all.
var ErrTooLarge = errors.New("more bytes than may be held at the same time")

// Limiter is a number of bytes that calls share. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	size    int
	held    int
	waiting []*waiter
}

// waiter is a call that waits for bytes. granted is closed when it has them.
type waiter struct {
	size    int
	granted chan struct{}
}

// New returns a limiter of size bytes.
func New(size int) *Limiter { return &Limiter{size: size} }

// Acquire waits until the bytes are free and takes them. It returns ErrTooLarge, or the
// error of the context when that ends first.
func (l *Limiter) Acquire(ctx context.Context, size int) error {
	w, err := l.enqueue(size)
	if w == nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-w.granted:
		// The bytes came at the same moment.
		l.held -= size
	default:
		l.waiting = slices.DeleteFunc(l.waiting, func(x *waiter) bool { return x == w })
	}
	l.grant()
	return ctx.Err()
}

// enqueue takes the bytes and returns nil, or returns the waiter for them.
func (l *Limiter) enqueue(size int) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if size > l.size {
		return nil, ErrTooLarge
	}
	if len(l.waiting) == 0 && l.held+size <= l.size {
		l.held += size
		return nil, nil
	}
	w := &waiter{size: size, granted: make(chan struct{})}
	l.waiting = append(l.waiting, w)
	return w, nil
}

// Release gives bytes back.
func (l *Limiter) Release(size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held -= size
	l.grant()
}

// Held returns the bytes that are taken.
func (l *Limiter) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// grant gives bytes to the calls that wait, in order. The caller holds mu.
func (l *Limiter) grant() {
	for len(l.waiting) > 0 && l.held+l.waiting[0].size <= l.size {
		w := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.held += w.size
		close(w.granted)
	}
}
