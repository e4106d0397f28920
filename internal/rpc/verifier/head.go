package verifier

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// maxKept bounds what is kept of a line, in bytes: enough for a status code, and for the
// longest field name that has a meaning here.
const maxKept = 64

// transferEncoding is the field name of a body's encoding, in small letters.
const transferEncoding = "transfer-encoding"

// phase is a position within a head.
type phase int

const (
	// ended is behind the head of a final answer, where nothing is checked.
	ended phase = iota
	// inStatus is within the status line, atLine at the start of a header line, inName
	// and inValue within one, and atEnd before the last line feed.
	inStatus
	atLine
	inName
	inValue
	atEnd
)

// head checks the head of an answer, and those of the interim answers before it, byte by
// byte.
type head struct {
	phase phase
	// line is the start of the current status line or field name, maxKept bytes at most,
	// and length is its length in bytes.
	line   []byte
	length int
	// interim is set if another head follows, and old for HTTP/1.0.
	interim, old bool
}

// begin makes the head of an answer the next to come.
func (h *head) begin() {
	h.phase, h.interim, h.old = inStatus, false, false
	h.clear()
}

// clear begins a new line.
func (h *head) clear() { h.line, h.length = h.line[:0], 0 }

// check returns the number of bytes up to the first fault or the end of the bytes.
func (h *head) check(p []byte) (int, error) {
	for i := 0; i < len(p) && h.phase != ended; i++ {
		if h.phase == inValue {
			// Values are net/http's to check.
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
		return h.startLine(b)
	case inName:
		return h.stepName(b)
	case inValue:
		if b == '\n' {
			h.phase = atLine
		}
	case atEnd:
		if b != '\n' {
			return fmt.Errorf("%w: a carriage return in a field name", ErrBroken)
		}
		h.endHead()
	}
	return nil
}

// keep adds a byte to the line.
func (h *head) keep(b byte) {
	h.length++
	if len(h.line) < maxKept {
		h.line = append(h.line, b)
	}
}

// startLine handles the first byte of a line behind the status line.
func (h *head) startLine(b byte) error {
	switch b {
	case '\n':
		h.endHead()
	case '\r':
		h.phase = atEnd
	case ' ', '\t':
		// The value before goes on in this line.
		h.phase = inValue
	default:
		h.clear()
		h.phase = inName
		return h.stepName(b)
	}
	return nil
}

// stepName handles a byte of a field name or the colon behind it.
func (h *head) stepName(b byte) error {
	if b == ':' {
		return h.endName()
	}
	if !isTokenByte(b) {
		return fmt.Errorf("%w: byte %#02x in a field name", ErrBroken, b)
	}
	h.keep(b)
	return nil
}

// endName checks a complete field name.
func (h *head) endName() error {
	if h.length == 0 {
		return fmt.Errorf("%w: a header line without a field name", ErrBroken)
	}
	h.phase = inValue
	if h.old && h.length == len(transferEncoding) && strings.EqualFold(string(h.line), transferEncoding) {
		// HTTP/1.0 has no chunks, so that nobody can tell where the body ends.
		return fmt.Errorf("%w: Transfer-Encoding in an answer of HTTP/1.0", ErrBroken)
	}
	return nil
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
	h.old = version == "HTTP/1.0"
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

// isTokenByte reports whether a field name may hold the byte (tchar of RFC 9110, section
// 5.6.2).
func isTokenByte(b byte) bool {
	switch {
	case isDigit(b), b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
