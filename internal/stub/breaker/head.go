package breaker

import "strings"

// Head is the head of an answer, without the header lines that a test adds.
type Head struct {
	Name string
	// Interim is sent before the answer.
	Interim string
	// Status is the status line without its end; empty for HTTP/1.1 200 OK.
	Status string
	// Line is a header line without its end; empty for none.
	Line string
	// Value is the value of the line's field as it has to be read.
	Value string
}

// Field returns the name and the value of the line's field, or empty strings.
func (h Head) Field() (name, value string) {
	name, _, _ = strings.Cut(h.Line, ":")
	return name, h.Value
}

// Code returns the status code of a sound head, which is 200 or 299.
func (h Head) Code() int {
	if strings.Contains(h.Status, " 299") {
		return 299
	}
	return 200
}

// Answer returns the bytes of an answer with the head, further header lines, each with
// its end, and a body.
func (h Head) Answer(lines, body string) string {
	var b strings.Builder
	b.WriteString(h.Interim)
	b.WriteString(h.status())
	b.WriteString("\r\n" + lines)
	if h.Line != "" {
		b.WriteString(h.Line + "\r\n")
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

func (h Head) status() string {
	if h.Status == "" {
		return "HTTP/1.1 200 OK"
	}
	return h.Status
}

// Broken returns all heads that break the protocol.
func Broken() []Head {
	return append(append(BrokenStatuses(), BrokenNames()...), BrokenFraming()...)
}

// BrokenStatuses returns heads whose status line breaks RFC 9112, section 4, or has a
// status code that RFC 9110, section 15, calls invalid or that answers another request.
func BrokenStatuses() []Head {
	return []Head{
		{Name: "status 000", Status: "HTTP/1.1 000 X"},
		{Name: "status 000 without a reason", Status: "HTTP/1.1 000"},
		{Name: "status 000 of HTTP/1.0", Status: "HTTP/1.0 000 X"},
		{Name: "status 001", Status: "HTTP/1.1 001 X"},
		{Name: "status 099", Status: "HTTP/1.1 099 X"},
		{Name: "status 600", Status: "HTTP/1.1 600 X"},
		{Name: "status 999", Status: "HTTP/1.1 999 X"},
		{Name: "status with a sign", Status: "HTTP/1.1 +20 X"},
		{Name: "status minus zero", Status: "HTTP/1.1 -00 X"},
		{Name: "status of two digits", Status: "HTTP/1.1 20 X"},
		{Name: "status of four digits", Status: "HTTP/1.1 2000 X"},
		{Name: "status in letters", Status: "HTTP/1.1 abc X"},
		{Name: "another protocol that nobody asked for", Status: "HTTP/1.1 101 X"},
		{Name: "HTTP/2.0", Status: "HTTP/2.0 200 OK"},
		{Name: "HTTP/0.9", Status: "HTTP/0.9 200 OK"},
		{Name: "status 000 before the answer", Interim: "HTTP/1.1 000 X\r\n\r\n"},
		{Name: "status 099 before the answer", Interim: "HTTP/1.1 099 X\r\nX-Note: 1\r\n\r\n"},
	}
}

// BrokenNames returns heads with a field name that is no token (RFC 9110, section 5.1).
func BrokenNames() []Head {
	return []Head{
		{Name: "blank in a name", Line: "X Note: 1"},
		{Name: "blank behind a name", Line: "X-Note : 1"},
		{Name: "two blanks behind a name", Line: "X-Note  : 1"},
		{Name: "blank behind the name of the length", Line: "Content-Length : 4"},
		{Name: "blank behind the name of the encoding", Line: "Transfer-Encoding : chunked"},
		{Name: "blank in a name, folded", Line: "X-Note\r\n : 1"},
		{Name: "tab in a name", Line: "X\tNote: 1"},
		{Name: "tab behind a name", Line: "X-Note\t: 1"},
		{Name: "control byte in a name", Line: "X-\x01Note: 1"},
		{Name: "null byte in a name", Line: "X-Note\x00: 1"},
		{Name: "carriage return in a name", Line: "X-\rNote: 1"},
		{Name: "delete in a name", Line: "X-Note\x7f: 1"},
		{Name: "letter beyond ASCII in a name", Line: "X-Nöte: 1"},
		{Name: "delimiter in a name", Line: "X(Note): 1"},
		{Name: "no name", Line: ": 1"},
		{Name: "no colon", Line: "X-Note"},
		{Name: "blank in a name of an interim answer", Interim: "HTTP/1.1 103 X\r\nX Note: 1\r\n\r\n"},
		{Name: "control byte in a name of an interim answer", Interim: "HTTP/1.1 103 X\r\nX-\x01Note: 1\r\n\r\n"},
	}
}

// BrokenFraming returns heads that don't tell where the body ends (RFC 9112, section
// 6.1).
func BrokenFraming() []Head {
	return []Head{
		{Name: "chunks of HTTP/1.0", Status: "HTTP/1.0 200 OK", Line: "Transfer-Encoding: chunked"},
	}
}

// OddName is a field name with each punctuation mark that a token may hold.
const OddName = "!#$%&'*+-.^_`|~1"

// Odd returns heads that are unusual but sound.
func Odd() []Head {
	return []Head{
		{Name: "usual head"},
		{Name: "marks in a name", Line: OddName + ": 1", Value: "1"},
		{Name: "name in small letters", Line: "x-note: 1", Value: "1"},
		{Name: "name of one letter", Line: "X: 1", Value: "1"},
		{Name: "name of a digit", Line: "7: 1", Value: "1"},
		{Name: "long name", Line: "X-" + strings.Repeat("long-", 500) + "1: 1", Value: "1"},
		{Name: "no value", Line: "X-Note:"},
		{Name: "blanks around a value", Line: "X-Note: \t 1 \t", Value: "1"},
		{Name: "colons and blanks in a value", Line: "X-Note: a b: c", Value: "a b: c"},
		{Name: "letter beyond ASCII in a value", Line: "X-Note: ö", Value: "ö"},
		{Name: "folded value", Line: "X-Note: 1\r\n\t2: 3", Value: "1 2: 3"},
		{Name: "short line ends", Line: "X-Note: 1\nX-More: 2", Value: "1"},
		{Name: "no reason", Status: "HTTP/1.1 200 "},
		{Name: "no reason and no blank", Status: "HTTP/1.1 200"},
		{Name: "unknown status", Status: "HTTP/1.1 299 Odd"},
		{Name: "HTTP/1.0", Status: "HTTP/1.0 200 OK"},
		{Name: "HTTP/1.9", Status: "HTTP/1.9 200 OK"},
		{Name: "status 100 before the answer", Interim: "HTTP/1.1 100 Continue\r\n\r\n"},
		{Name: "status 102 and 103 before the answer", Interim: "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\n" + OddName + ": 1\r\nX-More: 2\r\n\r\n"},
		{Name: "unknown status before the answer", Interim: "HTTP/1.1 199 X\r\nX-Note: 1\r\n\r\n"},
	}
}
