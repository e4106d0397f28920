package ledger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// firstBlock and blockSize are the sizes in bytes of the first block of a body and of
	// the others.
	firstBlock = 4 << 10
	blockSize  = 64 << 10
)

// ErrTooLarge means that a body is larger than its limit.
var ErrTooLarge = errors.New("the body is larger than its limit")

// blocks keeps free blocks of blockSize bytes, so that bodies leave little garbage.
var blocks = sync.Pool{New: func() any { return new([blockSize]byte) }}

// Content is a body in memory, whose bytes are charged to a claim. It has no copy beside
// its blocks, whatever the sizes in which the body arrives. Fill, WriteTo and Bytes belong to
// one goroutine and come before the first Reader.
type Content struct {
	claim *Claim

	mu     sync.Mutex
	blocks [][]byte
	size   int64
	// spent is set once a part of the body has been given up.
	spent bool
}

// NewContent returns an empty body.
func NewContent(c *Claim) *Content { return &Content{claim: c} }

// Len returns the length in bytes of what was read.
func (b *Content) Len() int64 { return b.size }

// Spent reports whether a part of the body has been given up, so that it can't be sent
// again.
func (b *Content) Spent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent
}

// Fill reads r to its end. before is called before each read; it may be nil. The error is
// ErrTooLarge if there are more than limit bytes, ErrShort if there is no memory for them,
// or that of r.
func (b *Content) Fill(ctx context.Context, r io.Reader, limit int64, before func()) error {
	for {
		if err := b.extend(ctx); err != nil {
			return err
		}
		if before != nil {
			before()
		}
		last := &b.blocks[len(b.blocks)-1]
		n, err := r.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		b.size += int64(n)
		switch {
		case b.size > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read body: %w", err)
		}
	}
}

// extend adds a block if the last one is full.
func (b *Content) extend(ctx context.Context) error {
	if n := len(b.blocks); n > 0 && len(b.blocks[n-1]) < cap(b.blocks[n-1]) {
		return nil
	}
	if len(b.blocks) == 0 {
		if err := b.claim.Charge(ctx, firstBlock); err != nil {
			return err
		}
		b.blocks = append(b.blocks, make([]byte, 0, firstBlock))
		return nil
	}
	if err := b.claim.Charge(ctx, blockSize); err != nil {
		return err
	}
	b.blocks = append(b.blocks, blocks.Get().(*[blockSize]byte)[:0])
	return nil
}

// WriteTo writes the whole body.
func (b *Content) WriteTo(w io.Writer) (int64, error) {
	var sum int64
	for _, p := range b.blocks {
		n, err := w.Write(p)
		sum += int64(n)
		if err != nil {
			return sum, fmt.Errorf("write body: %w", err)
		}
	}
	return sum, nil
}

// Bytes returns a copy of the body, for which no bytes are charged.
func (b *Content) Bytes() []byte {
	whole := make([]byte, 0, b.size)
	for _, p := range b.blocks {
		whole = append(whole, p...)
	}
	return whole
}

// Release gives up the body and returns its bytes. Readers of it fail from then on.
func (b *Content) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.blocks {
		b.drop(i)
	}
	b.spent = true
}

// drop gives up a block. The lock must be held.
func (b *Content) drop(i int) {
	p := b.blocks[i]
	if p == nil {
		return
	}
	b.blocks[i] = nil
	b.claim.Return(Bytes(cap(p)))
	if cap(p) == blockSize {
		blocks.Put((*[blockSize]byte)(p[:blockSize]))
	}
}

// Reader returns a reader of the body. If spend is set, it gives up each block that it has
// read.
func (b *Content) Reader(spend bool) io.ReadCloser { return &contentReader{body: b, spend: spend} }

// contentReader copies from the blocks under the lock, because a transport may still read
// after the request has ended.
type contentReader struct {
	body  *Content
	spend bool
	// block and offset are where the next read begins.
	block, offset int
	closed        bool
}

// Read implements io.Reader.
func (r *contentReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.closed {
		return 0, io.ErrClosedPipe
	}
	for r.block < len(b.blocks) {
		from := b.blocks[r.block]
		if from == nil {
			return 0, io.ErrUnexpectedEOF
		}
		if n := copy(p, from[r.offset:]); n > 0 {
			r.offset += n
			return n, nil
		}
		if len(p) == 0 {
			return 0, nil
		}
		if r.spend {
			b.drop(r.block)
			b.spent = true
		}
		r.block, r.offset = r.block+1, 0
	}
	return 0, io.EOF
}

// Close implements io.Closer.
func (r *contentReader) Close() error {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	r.closed = true
	return nil
}
