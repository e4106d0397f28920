package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
)

// maxEvent bounds one server-sent event in bytes; engines send a token or a few in
// each.
const maxEvent = 1 << 20

// readBuffer is the read buffer's size in bytes; it holds many small events, so that
// one read of the connection returns all that have arrived.
const readBuffer = 16 << 10

var errEventTooLong = errors.New("event of the stream is too long")

// EventReader splits a stream into the data of its server-sent events.
type EventReader struct {
	reader *bufio.Reader
	data   []byte
}

// readers holds readers for reuse.
var readers = sync.Pool{New: func() any {
	return &EventReader{reader: bufio.NewReaderSize(nil, readBuffer)}
}}

// NewEventReader returns a reader of the events in r. It must be closed after use.
func NewEventReader(r io.Reader) *EventReader {
	e := readers.Get().(*EventReader)
	e.reader.Reset(r)
	return e
}

// Close makes the reader's buffers available for reuse. The reader must not be used
// afterwards.
func (r *EventReader) Close() {
	r.reader.Reset(nil)
	if cap(r.data) > readBuffer {
		r.data = nil
	}
	readers.Put(r)
}

// Next returns the data of the next event that has any; it is valid until the next
// call. It returns io.EOF at the end of the stream, io.ErrUnexpectedEOF if the stream
// ends within an event, and errEventTooLong for an event or line longer than maxEvent.
func (r *EventReader) Next() ([]byte, error) {
	r.data = r.data[:0]
	seen := false
	partial := false
	for {
		line, err := r.line()
		if errors.Is(err, io.EOF) && (partial || len(line) > 0) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if seen {
				return r.data, nil
			}
			partial = false
			continue
		}
		partial = true
		field, value, _ := bytes.Cut(line, []byte{':'})
		if string(field) != "data" {
			continue
		}
		if seen {
			r.data = append(r.data, '\n')
		}
		seen = true
		r.data = append(r.data, bytes.TrimPrefix(value, []byte{' '})...)
		if len(r.data) > maxEvent {
			return nil, errEventTooLong
		}
	}
}

// Ready reports whether another complete event is in the read buffer. Events with CRLF
// line endings are not noticed.
func (r *EventReader) Ready() bool {
	data, err := r.reader.Peek(r.reader.Buffered())
	return err == nil && bytes.Contains(data, []byte("\n\n"))
}

// line returns the next line without its line ending.
func (r *EventReader) line() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return r.longLine(line)
	}
	if err != nil {
		return line, wrapRead(err)
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

// longLine reads the rest of a line that doesn't fit into the read buffer.
func (r *EventReader) longLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEvent {
			return nil, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return line, wrapRead(err)
		}
		return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
	}
}

// wrapRead returns io.EOF for the end of the stream and wraps other errors.
func wrapRead(err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return fmt.Errorf("read stream: %w", err)
}
