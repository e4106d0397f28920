package forwarder

import (
	"bytes"
	"io"
)

// targetWriter writes a request with another target. net/http can't write each target that
// a caller may send.
type targetWriter struct {
	io.Writer
	// line is the first line of the request with its end; nil once it has been written.
	line []byte
}

// withTarget returns a writer for a request that writes the target in its first line, and w
// if the target is empty.
func withTarget(w io.Writer, method, target string) io.Writer {
	if target == "" {
		return w
	}
	return &targetWriter{Writer: w, line: []byte(method + " " + target + " HTTP/1.1\r\n")}
}

// Write implements io.Writer. It replaces all up to the end of the first line.
func (t *targetWriter) Write(p []byte) (int, error) {
	if t.line == nil {
		return t.Writer.Write(p)
	}
	i := bytes.IndexByte(p, '\n')
	if i < 0 {
		return len(p), nil
	}
	if _, err := t.Writer.Write(append(t.line, p[i+1:]...)); err != nil {
		return 0, err
	}
	t.line = nil
	return len(p), nil
}
