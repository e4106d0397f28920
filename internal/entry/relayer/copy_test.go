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

// copier is an upstream that answers the first request on a connection twice. The
// copy comes at a moment of its own choice.
type copier struct {
	// idle is called after the first answer, before the next request is read, and asked
	// after that is read, before it is answered. Both get the copy.
	idle, asked func(w io.Writer, copy string)
}

func (c copier) serve(conn net.Conn) {
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

// failure is a copy that is a failure without the ID of its request.
func failure(w io.Writer, _ string) {
	_, _ = io.WriteString(w, "HTTP/1.1 500 X\r\nX-Signed: yes\r\nContent-Length: 0\r\n\r\n")
}

// Guards against an answer that reaches another caller than its own: an upstream sent
// it a second time, on a connection that was in use again.
func TestSecondCopyReachesNobody(t *testing.T) {
	cases := []struct {
		name   string
		copier copier
	}{
		{"with the first answer", copier{sends, silent}},
		{"while the connection is idle", copier{sendsAfter(20 * time.Millisecond), silent}},
		{"half of it while the connection is idle", copier{sendsHalf, silent}},
		{"before the next answer", copier{silent, sends}},
		{"half of it before the next answer", copier{silent, sendsHalf}},
		{"twice", copier{sends, sends}},
		{"a failure that names no request", copier{silent, failure}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
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
