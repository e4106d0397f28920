package relayer

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// ownBuffer is the part of an answer or event in bytes that each attempt may keep
	// whatever the others do.
	ownBuffer = 16 << 10
	// sharedBuffer bounds in bytes what all attempts of a host keep beyond that, so
	// that many upstreams which send without end don't take its memory.
	sharedBuffer = 8 << 20
)

// buffers hands out the memory that attempts of a host share.
type buffers struct{ used atomic.Int64 }

// buffer is what one attempt keeps of an answer.
type buffer struct {
	shared *buffers
	data   []byte
	// taken is the part of the shared memory that it has.
	taken int64
}

func (s *buffers) open() *buffer {
	return &buffer{shared: s, data: make([]byte, 0, readBuffer)}
}

// release gives the shared memory back. The data must not be used any more.
func (b *buffer) release() {
	b.shared.used.Add(-b.taken)
	b.taken, b.data = 0, nil
}

// reset empties the buffer for the next event. One that had to grow gives its memory
// back.
func (b *buffer) reset() {
	if b.taken > 0 {
		b.release()
	}
	b.data = b.data[:0]
}

// grow makes room for n more bytes and reports whether there is memory for them.
func (b *buffer) grow(n int) bool {
	need := len(b.data) + n
	if need <= cap(b.data) {
		return true
	}
	size := max(2*cap(b.data), need, readBuffer)
	extra := int64(max(size-ownBuffer, 0)) - b.taken
	if extra > 0 && b.shared.used.Add(extra) > sharedBuffer {
		b.shared.used.Add(-extra)
		return false
	}
	b.taken += max(extra, 0)
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}

// append adds bytes and reports whether there was memory for them.
func (b *buffer) append(p []byte) bool {
	if !b.grow(len(p)) {
		return false
	}
	b.data = append(b.data, p...)
	return true
}

// fill reads up to a limit. It reports whether it came to the end; otherwise there is
// more than the limit, or than there is memory for.
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
