package relayer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadThatBreaksOffIsNoAnswer guards against a response with an incomplete head
// that reaches the caller as a success with an empty or short body: wherever the
// upstream stops and closes, the caller gets an error or a response that is cut off,
// too.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: y\r\n"
	answers := map[string]string{
		"with a length":     start + "Content-Length: 12\r\n\r\n",
		"chunked":           start + "Transfer-Encoding: chunked\r\n\r\n",
		"until the end":     start + "Connection: close\r\n\r\n",
		"of a stream":       start + "Content-Type: text/event-stream\r\n\r\n",
		"after an interim":  "HTTP/1.1 103 Early Hints\r\nX-Id: id-1\r\n\r\n" + start + "Content-Length: 12\r\n\r\n",
		"length before all": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: id-1\r\nX-Signed: y\r\n\r\n",
	}
	for name, head := range answers {
		for _, path := range []string{"/single/x", "/idempotent/x", "/resumable/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				r := newHarness(t)
				cut := make(chan int, 2)
				r.add(r.upstream(func(w io.Writer, _ *http.Request) { _, _ = io.WriteString(w, head[:<-cut]) }))
				// The head is incomplete up to its last byte.
				for n := range len(head) {
					cut <- n
					a := r.call(path)
					select {
					case <-cut:
					default:
					}
					whole := a.broken == nil && a.status >= 200 && a.status < 300
					assert.Assert(t, !whole, "cut after %q: status %d, body %q", head[:n], a.status, a.body)
					assert.Assert(t, a.broken != nil || a.status == http.StatusBadGateway, "cut after %q: status %d", head[:n], a.status)
				}
			})
		}
	}
}

// TestHeadThatBreaksOffOnAKeptConnection guards against the same fault on a connection
// that has carried a response before, where net/http may send the request again, and
// against joining the incomplete head with the response that follows on another
// connection.
func TestHeadThatBreaksOffOnAKeptConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: y\r\nContent-Length: 0\r\n\r\n"
	for n := range len(head) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			go serveThenBreak(l, strings.Replace(head, "id-1", "id-0", 1), head[:n])
			r := newHarness(t)
			r.add(l.Addr().String())
			assert.Equal(t, r.call("/resumable/x", "X-Id", "id-0").status, 200)
			a := r.call("/resumable/x")
			assert.NilError(t, a.broken)
			assert.Equal(t, a.status, http.StatusBadGateway)
		})
	}
}

// serveThenBreak answers the first request on each connection completely, and the next
// one with a part of a head.
func serveThenBreak(l net.Listener, whole, part string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			for _, answer := range []string{whole, part} {
				if !readRequest(c) {
					return
				}
				_, _ = io.WriteString(c, answer)
			}
		}()
	}
}

// readRequest reads one request whose body length is known, its head byte by byte, and
// reports whether it was complete.
func readRequest(c net.Conn) bool {
	var head strings.Builder
	b := make([]byte, 1)
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		if _, err := c.Read(b); err != nil {
			return false
		}
		head.Write(b)
	}
	_, err := io.CopyN(io.Discard, c, int64(len("a request")))
	return err == nil
}
