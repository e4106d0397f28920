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
	// readBuffer is the size in bytes of the read buffer of one stream.
	readBuffer = 4 << 10
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
)

var (
	errPartial  = errors.New("the stream ended within an event")
	errSequence = errors.New("an event of the stream is missing")
	errTooLong  = errors.New("an event is too long")
)

// streamState is what the caller has received of a stream, over all attempts.
type streamState struct {
	// begun is set once a part of the response has been forwarded.
	begun bool
	// status is the status code of the stream's first upstream.
	status int
	// events counts the complete events that were forwarded.
	events int
	// lastID is the ID of the last forwarded event, or the Last-Event-ID that the
	// caller sent to resume an earlier stream.
	lastID string
	// unresumable is set while the last forwarded event has no ID, because then no
	// other upstream can resume the stream after it.
	unresumable atomic.Bool
	// resumed is set while another upstream resumes the stream.
	resumed bool
}

// tokens returns the progress that the scheduler is told, in events.
func (s *streamState) tokens() int { return s.events }

// relayStream forwards events until the stream ends.
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
			return a.classifyError(ctx, fmt.Errorf("read stream: %w", err))
		}
		a.resetSilence()
		if r := a.relayEvent(response, event); r != nil {
			return r
		}
	}
}

// endStream handles the regular end of an upstream's stream. A stream that ends before
// the event that the caller already has is a different stream, so the attempt has
// failed.
func (a *attempt) endStream(response *http.Response) result {
	s := &a.call.stream
	if a.lastEventID != "" && a.lastEventID != s.lastID {
		return failed{cause: errSequence}
	}
	if !s.begun {
		a.begin(response)
	}
	return delivered{status: response.StatusCode}
}

// relayEvent forwards one event. It returns nil if the stream continues.
func (a *attempt) relayEvent(response *http.Response, event []byte) result {
	c := a.call
	id := eventID(event)
	if id != "" {
		a.lastEventID = id
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
		return callerGone{cause: err}
	}
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return callerGone{cause: err}
	}
	c.stream.note(event, id)
	if c.stream.events == 1 {
		a.noteFirst()
	}
	a.slot.Progress(c.stream.events)
	return nil
}

// note records an event that has been forwarded.
func (s *streamState) note(event []byte, id string) {
	if id != "" {
		s.lastID = id
	}
	if !isComment(event) {
		s.unresumable.Store(id == "")
	}
	s.events++
}

// begin sends the status and headers of the stream. A stream that is resumed at another
// upstream keeps those of its first upstream.
func (a *attempt) begin(response *http.Response) {
	c := a.call
	c.copyHeader(response)
	c.writer.WriteHeader(response.StatusCode)
	c.stream.begun, c.stream.status = true, response.StatusCode
}

// position tells where an event stands in relation to the previous one.
type position int

const (
	// next follows the previous event, repeated was forwarded before, and missing means
	// that at least one event before it was not received.
	next position = iota
	repeated
	missing
)

// compare returns the position of an event after the last forwarded one. IDs that
// aren't numbers are not compared. From an upstream that resumes the stream, an event
// that can't be placed, such as an error report without an ID, counts as missing.
func (s *streamState) compare(event []byte, id string) position {
	if s.lastID == "" || isComment(event) {
		return next
	}
	before, errBefore := strconv.ParseInt(s.lastID, 10, 64)
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

// readEvent reads one event with the empty line after it into the buffer. It returns
// io.EOF only between two events, errPartial at an end within an event and errTooLong
// for one that exceeds maxEvent or the available memory.
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

// isComment reports whether the lines consist of comments only and so are no event.
func isComment(lines []byte) bool {
	for line := range bytes.Lines(lines) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return true
}

// eventID returns the value of the event's id field, or an empty string.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}
