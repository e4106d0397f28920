package reporter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxPending bounds the number of lines that wait to be written.
	maxPending = 4096
	// maxBatch is the size in bytes from which a batch takes no further lines.
	maxBatch = 64 << 10
)

// NewLossyLogger returns a logger like NewLogger that never waits for w: lines
// that don't fit into the queue because w is too slow are dropped and counted in a later
// line. The returned function writes the pending lines and waits for them; the logger
// drops all lines after it.
func NewLossyLogger(level string, w io.Writer) (*zap.Logger, func(), error) {
	l := newLossyWriter(w)
	logger, err := NewLogger(level, zapcore.AddSync(l))
	if err != nil {
		l.Close()
		return nil, nil, err
	}
	return logger, l.Close, nil
}

// lossyWriter hands lines to a goroutine that writes them in batches.
type lossyWriter struct {
	out     io.Writer
	dropped atomic.Int64
	group   conc.WaitGroup

	mu     sync.Mutex
	lines  chan []byte
	closed bool
}

func newLossyWriter(w io.Writer) *lossyWriter {
	l := &lossyWriter{out: w, lines: make(chan []byte, maxPending)}
	l.group.Go(l.run)
	return l
}

// Write queues a copy of a line, or counts it as dropped when the queue is full. It never
// returns an error.
func (l *lossyWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return len(p), nil
	}
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the pending lines and waits for them.
func (l *lossyWriter) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	l.group.Wait()
}

func (l *lossyWriter) run() {
	batch := make([]byte, 0, maxBatch)
	for line := range l.lines {
		batch = append(batch[:0], line...)
		batch = l.appendPending(batch)
		if n := l.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"part\":\"log\",\"message\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		// There is nowhere left to report that the log can't be written.
		_, _ = l.out.Write(batch)
	}
}

// appendPending adds lines that are queued already, until the batch holds maxBatch bytes.
func (l *lossyWriter) appendPending(batch []byte) []byte {
	for len(batch) < maxBatch {
		select {
		case line, ok := <-l.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
