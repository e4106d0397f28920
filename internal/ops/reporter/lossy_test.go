package reporter

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stuckWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// TestLossyLoggerNeverBlocks guards against requests that wait for a standard output that
// nobody reads.
func TestLossyLoggerNeverBlocks(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	logger, flush, err := NewLossyLogger("info", w)
	assert.NilError(t, err)
	for range 3 * maxPending {
		logger.Info("line")
	}
	close(w.release)
	flush()
	text := w.written.String()
	assert.Assert(t, strings.Contains(text, "log lines dropped"))
	assert.Assert(t, strings.Count(text, `"line"`) >= maxPending)
}

// TestLossyLoggerKeepsOrder guards against lines that change their order, and against lines
// that are written after the end.
func TestLossyLoggerKeepsOrder(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	close(w.release)
	logger, flush, err := NewLossyLogger("info", w)
	assert.NilError(t, err)
	logger.Info("first")
	logger.Info("second")
	flush()
	logger.Info("after the end")
	text := w.written.String()
	assert.Assert(t, strings.Index(text, "first") < strings.Index(text, "second"))
	assert.Assert(t, !strings.Contains(text, "after the end"))
}
