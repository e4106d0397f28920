package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// duplicator is an upstream that answers the first request on a connection twice. Its
// fields decide when the copy is sent.
type duplicator struct {
	// idle is called after the first response, before the next request is read; asked
	// is called after the next request is read, before it is answered. Both get the
	// copy.
	idle, asked func(w io.Writer, copy string)
}

func (c duplicator) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	first := ""
	for n := 0; ; n++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get("X-Id")
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: yes\r\nContent-Length: %d\r\n\r\nfor %s", id, len("for ")+len(id), id)
		if n == 0 {
			first = answer
			_, _ = io.WriteString(conn, answer)
			c.idle(conn, first)
			continue
		}
		c.asked(conn, first)
		_, _ = io.WriteString(conn, answer)
	}
}

func silent(io.Writer, string) {}

func sends(w io.Writer, copy string) { _, _ = io.WriteString(w, copy) }

func sendsHalf(w io.Writer, copy string) { _, _ = io.WriteString(w, copy[:len(copy)/2]) }

func sendsAfter(d time.Duration) func(io.Writer, string) {
	return func(w io.Writer, copy string) {
		time.Sleep(d)
		sends(w, copy)
	}
}

// failure sends an error response without a request ID in place of the copy.
func failure(w io.Writer, _ string) {
	_, _ = io.WriteString(w, "HTTP/1.1 500 X\r\nX-Signed: yes\r\nContent-Length: 0\r\n\r\n")
}

// TestSecondCopyReachesNobody guards against a response that reaches a caller other
// than its own: an upstream sent it a second time on a connection that was reused.
func TestSecondCopyReachesNobody(t *testing.T) {
	cases := []struct {
		name   string
		copier duplicator
	}{
		{"with the first answer", duplicator{sends, silent}},
		{"while the connection is idle", duplicator{sendsAfter(20 * time.Millisecond), silent}},
		{"half of it while the connection is idle", duplicator{sendsHalf, silent}},
		{"before the next answer", duplicator{silent, sends}},
		{"half of it before the next answer", duplicator{silent, sendsHalf}},
		{"twice", duplicator{sends, sends}},
		{"a failure that names no request", duplicator{silent, failure}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go c.copier.serve(conn)
				}
			}()
			r.add(l.Addr().String())
			served := 0
			for i := range 12 {
				id := fmt.Sprintf("id-%d", i)
				a := r.call("/idempotent/x", "X-Id", id)
				if a.broken == nil && a.status == 200 {
					served++
					assert.Equal(t, a.body, "for "+id)
				}
				assert.Assert(t, !strings.HasPrefix(a.body, "for ") || a.body == "for "+id, "%d %s", a.status, a.body)
				assert.Assert(t, a.header.Get("X-Signed") == "" || a.header.Get("X-Id") == id, "a failure of another request")
				time.Sleep(5 * time.Millisecond)
			}
			assert.Assert(t, served >= 6, "%d of 12 were served", served)
		})
	}
}
