package relayer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func TestBufferFill(t *testing.T) {
	broken := errors.New("broken")
	cases := []struct {
		name   string
		reader io.Reader
		limit  int
		kept   int
		ended  bool
		err    error
	}{
		{"short", strings.NewReader("sold"), 100, 4, true, nil},
		{"nothing", strings.NewReader(""), 100, 0, true, nil},
		{"byte by byte", iotest.OneByteReader(strings.NewReader("sold")), 100, 4, true, nil},
		{"longer than the limit", bytes.NewReader(make([]byte, 200)), 100, 100, false, nil},
		{"broken", io.MultiReader(strings.NewReader("so"), iotest.ErrReader(broken)), 100, 2, false, broken},
		{"grows", bytes.NewReader(make([]byte, 300_000)), maxBuffered, 300_000, true, nil},
		{"more than all memory", bytes.NewReader(make([]byte, 4*sharedBuffer)), 4 * sharedBuffer, sharedBuffer / 2, false, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s buffers
			b := s.open()
			ended, err := b.fill(c.reader, c.limit)
			assert.Equal(t, err, c.err)
			assert.Equal(t, ended, c.ended)
			if ended || len(b.data) == c.limit || err != nil {
				assert.Equal(t, len(b.data), c.kept)
			}
			assert.Assert(t, len(b.data) <= sharedBuffer+ownBuffer)
			b.release()
			assert.Equal(t, s.used.Load(), int64(0), "memory was not given back")
		})
	}
}

// TestShortAnswersDontNeedSharedMemory guards against an attempt that has no memory for
// a short response because other attempts have used up the shared memory.
func TestShortAnswersDontNeedSharedMemory(t *testing.T) {
	var s buffers
	s.used.Store(sharedBuffer)
	b := s.open()
	defer b.release()
	ended, err := b.fill(bytes.NewReader(make([]byte, ownBuffer-1)), maxBuffered)
	assert.NilError(t, err)
	assert.Assert(t, ended)
	full := s.open()
	defer full.release()
	ended, err = full.fill(bytes.NewReader(make([]byte, 2*ownBuffer)), maxBuffered)
	assert.NilError(t, err)
	assert.Assert(t, !ended)
}
