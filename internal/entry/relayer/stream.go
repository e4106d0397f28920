package relayer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
)

const (
	// readBuffer is for the events of one stream.
	readBuffer = 4 << 10
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
)

var (
	errPartial  = errors.New("the stream ended within an event")
	errSequence = errors.New("an event of the stream is missing")
	errTooLong  = errors.New("an event is too long")
)

// streamState is what the caller has of a stream, over all attempts.
type streamState struct {
	// begun is set once a part of the answer has been passed on.
	begun bool
	// status is that of its first upstream.
	status int
	// events counts the whole events passed on.
	events int
	// last is the ID of the last of them, or that of an earlier stream of the
	// caller.
	last string
	// fixed is set while the caller has a last event after which no further upstream
	// can go on, since it has no ID.
	fixed atomic.Bool
	// resumed is set while the stream goes on at a further upstream.
	resumed bool
}

// tokens is the progress that the scheduler is told.
func (s *streamState) tokens() int { return s.events }

// relayStream passes events on until the stream ends.
func (a *attempt) relayStream(ctx context.Context, response *http.Response) result {
	if s := &a.call.stream; s.begun && response.StatusCode != s.status {
		return failed{cause: errNoStream}
	}
	events := bufio.NewReaderSize(response.Body, readBuffer)
	kept := a.call.relayer.buffers.open()
	defer kept.release()
	for {
		event, err := readEvent(events, kept)
		if errors.Is(err, io.EOF) {
			return a.endStream(response)
		}
		if err != nil {
			return a.lost(ctx, fmt.Errorf("read stream: %w", err))
		}
		a.heard()
		if r := a.relayEvent(response, event); r != nil {
			return r
		}
	}
}

// endStream ends a stream whose upstream has ended it. One that ends before the event
// that the caller already has is another stream.
func (a *attempt) endStream(response *http.Response) result {
	s := &a.call.stream
	if a.event != "" && a.event != s.last {
		return failed{cause: errSequence}
	}
	if !s.begun {
		a.begin(response)
	}
	return delivered{status: response.StatusCode}
}

// relayEvent passes one event on. It returns nil when the stream goes on.
func (a *attempt) relayEvent(response *http.Response, event []byte) result {
	c := a.call
	id := eventID(event)
	if id != "" {
		a.event = id
	}
	switch c.stream.compare(event, id) {
	case repeated:
		return nil
	case missing:
		return failed{cause: errSequence}
	}
	if !c.stream.begun {
		a.begin(response)
	}
	if _, err := c.writer.Write(event); err != nil {
		return cutOff{cause: err}
	}
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return cutOff{cause: err}
	}
	c.stream.note(event, id)
	if c.stream.events == 1 {
		a.first()
	}
	a.slot.Progress(c.stream.events)
	return nil
}

// note notes an event that has been passed on.
func (s *streamState) note(event []byte, id string) {
	if id != "" {
		s.last = id
	}
	if !isComment(event) {
		s.fixed.Store(id == "")
	}
	s.events++
}

// begin passes the head of the stream on. A stream that goes on elsewhere keeps
// that of its first upstream.
func (a *attempt) begin(response *http.Response) {
	c := a.call
	c.copyHeader(response)
	c.writer.WriteHeader(response.StatusCode)
	c.stream.begun, c.stream.status = true, response.StatusCode
}

// order is the place of an event in its stream.
type order int

const (
	next order = iota
	repeated
	missing
)

// compare tells whether an event follows on the last one. IDs that are no numbers
// are not compared. At a further upstream an event without a place among those
// that the caller has, such as the report of an error, doesn't follow.
func (s *streamState) compare(event []byte, id string) order {
	if s.last == "" || isComment(event) {
		return next
	}
	before, errBefore := strconv.ParseInt(s.last, 10, 64)
	now, errNow := strconv.ParseInt(id, 10, 64)
	switch {
	case s.resumed && (id == "" || errBefore == nil && errNow != nil):
		return missing
	case errBefore != nil || errNow != nil || now == before+1:
		return next
	case now <= before:
		return repeated
	}
	return missing
}

// readEvent reads one event with the empty line behind it into the buffer. It returns
// io.EOF only between two events.
func readEvent(r *bufio.Reader, b *buffer) ([]byte, error) {
	b.reset()
	for {
		line, err := r.ReadSlice('\n')
		if !b.append(line) || len(b.data) > maxEvent {
			return nil, errTooLong
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(b.data) > 0:
			return nil, errPartial
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(b.data) > len(line) {
			return b.data, nil
		}
	}
}

// isComment reports whether lines are comments only, which are no event.
func isComment(lines []byte) bool {
	for line := range bytes.Lines(lines) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return true
}

// eventID returns the field id of an event.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}
