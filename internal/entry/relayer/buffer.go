package relayer

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/amaranthcart/amaranthcart/internal/entry/ledger"
)

const (
	// ownBuffer is how many bytes of a response or event each attempt may buffer
	// regardless of the other attempts.
	ownBuffer = 16 << 10
	// sharedBuffer bounds in bytes what all attempts of a host together may buffer
	// beyond ownBuffer, so that many upstreams that send without end don't use up its
	// memory.
	sharedBuffer = 8 << 20
)

// buffers accounts for the memory that the attempts of a host share.
type buffers struct {
	used atomic.Int64
	// ledger is the ledger of the process; nil if there is none.
	ledger *ledger.Ledger
}

// take reserves shared memory and reports whether there was enough. If there isn't, the
// answer that needs more is broken off: the others have what they need.
func (s *buffers) take(n int64) bool {
	if s.used.Add(n) > sharedBuffer {
		s.used.Add(-n)
		return false
	}
	if s.ledger != nil && !s.ledger.Charge(ledger.Answer, ledger.Bytes(n)) {
		s.used.Add(-n)
		return false
	}
	return true
}

// giveBack returns reserved memory.
func (s *buffers) giveBack(n int64) {
	s.used.Add(-n)
	if s.ledger != nil {
		s.ledger.Return(ledger.Answer, ledger.Bytes(n))
	}
}

// buffer holds the part of a response that one attempt has read.
type buffer struct {
	shared *buffers
	data   []byte
	// taken is the number of bytes that the buffer has reserved from the shared memory.
	taken int64
}

// open returns an empty buffer. It must be released after use.
func (s *buffers) open() *buffer {
	return &buffer{shared: s, data: make([]byte, 0, readBuffer)}
}

// release returns the reserved shared memory. The data must not be used afterwards.
func (b *buffer) release() {
	b.shared.giveBack(b.taken)
	b.taken, b.data = 0, nil
}

// reset empties the buffer for the next event. A buffer that reserved shared memory
// returns it.
func (b *buffer) reset() {
	if b.taken > 0 {
		b.release()
	}
	b.data = b.data[:0]
}

// grow makes room for n more bytes and reports whether there is enough memory.
func (b *buffer) grow(n int) bool {
	need := len(b.data) + n
	if need <= cap(b.data) {
		return true
	}
	size := max(2*cap(b.data), need, readBuffer)
	extra := int64(max(size-ownBuffer, 0)) - b.taken
	if extra > 0 && !b.shared.take(extra) {
		return false
	}
	b.taken += max(extra, 0)
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}

// append appends p and reports whether there was enough memory.
func (b *buffer) append(p []byte) bool {
	if !b.grow(len(p)) {
		return false
	}
	b.data = append(b.data, p...)
	return true
}

// fill reads up to limit bytes from r. It reports whether it reached the end of r; if
// not, r has more than the limit, or more than there is memory for.
func (b *buffer) fill(r io.Reader, limit int) (ended bool, err error) {
	for len(b.data) < limit && b.grow(1) {
		n, err := r.Read(b.data[len(b.data):min(cap(b.data), limit)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}
