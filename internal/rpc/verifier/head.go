package verifier

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// maxKept bounds what is kept of a line, in bytes: enough for a status code.
const maxKept = 64

// phase is a position within a head.
type phase int

const (
	// ended is behind the head of a final answer, where nothing is checked.
	ended phase = iota
	// inStatus is within the status line, atLine at the start of a header line, inLine
	// within one, and atEnd before the last line feed.
	inStatus
	atLine
	inLine
	atEnd
)

// head checks the head of an answer, and those of the interim answers before it, byte by
// byte.
type head struct {
	phase phase
	// line is the start of the status line, maxKept bytes at most.
	line []byte
	// interim is set if another head follows.
	interim bool
}

// begin makes the head of an answer the next to come.
func (h *head) begin() {
	h.phase, h.interim = inStatus, false
	h.line = h.line[:0]
}

// check returns the number of bytes up to the first fault or the end of the bytes.
func (h *head) check(p []byte) (int, error) {
	for i := 0; i < len(p) && h.phase != ended; i++ {
		if h.phase == inLine {
			// Header lines are net/http's to check.
			end := bytes.IndexByte(p[i:], '\n')
			if end < 0 {
				break
			}
			i += end
		}
		if err := h.step(p[i]); err != nil {
			return i + 1, err
		}
	}
	return len(p), nil
}

// step checks the next byte.
func (h *head) step(b byte) error {
	switch h.phase {
	case inStatus:
		if b == '\n' {
			return h.endStatus()
		}
		h.keep(b)
	case atLine:
		h.startLine(b)
	case inLine:
		if b == '\n' {
			h.phase = atLine
		}
	case atEnd:
		h.endHead()
	}
	return nil
}

// keep adds a byte to the line.
func (h *head) keep(b byte) {
	if len(h.line) < maxKept {
		h.line = append(h.line, b)
	}
}

// startLine handles the first byte of a line behind the status line.
func (h *head) startLine(b byte) {
	switch b {
	case '\n':
		h.endHead()
	case '\r':
		h.phase = atEnd
	default:
		h.phase = inLine
	}
}

// endStatus checks a complete status line.
func (h *head) endStatus() error {
	version, rest, _ := strings.Cut(strings.TrimSuffix(string(h.line), "\r"), " ")
	if len(version) != len("HTTP/1.1") || !strings.HasPrefix(version, "HTTP/1.") || !isDigit(version[len(version)-1]) {
		return fmt.Errorf("%w: version %q", ErrBroken, version)
	}
	text, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	code, ok := parseStatus(text)
	if !ok {
		return fmt.Errorf("%w: status code %q", ErrBroken, text)
	}
	if code == http.StatusSwitchingProtocols {
		// No request asks for another protocol.
		return fmt.Errorf("%w: status code %d without a request for it", ErrBroken, code)
	}
	h.interim = code < http.StatusOK
	h.phase = atLine
	return nil
}

// endHead is called behind the empty line that ends a head.
func (h *head) endHead() {
	if h.interim {
		h.begin()
		return
	}
	h.phase = ended
}

// parseStatus returns a status code, which has three digits and is from 100 to 599.
func parseStatus(text string) (int, bool) {
	if len(text) != 3 || text[0] < '1' || text[0] > '5' || !isDigit(text[1]) || !isDigit(text[2]) {
		return 0, false
	}
	return int(text[0]-'0')*100 + int(text[1]-'0')*10 + int(text[2]-'0'), true
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
