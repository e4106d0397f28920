package receiver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// refuseAll answers each request with the same refusal before it reads the body.
func refuseAll(l net.Listener, status int, arrived *atomic.Int64) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				arrived.Add(1)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
				_, _ = io.Copy(io.Discard, q.Body)
			}
		}()
	}
}

// TestRefusalsOfUpstreams guards against telling a caller that its call has not run
// because of an upstream's refusal, which may be a repeated refusal of an earlier call.
// Answers of this protocol name no request, so only a call that was never sent is
// certain not to have run.
func TestRefusalsOfUpstreams(t *testing.T) {
	calls := []struct {
		name, method, path, body string
		header                   []string
	}{
		{"read", http.MethodGet, "/svc/ledger/quote", "", nil},
		{"sale", http.MethodPost, "/svc/ledger/sales", "bale", nil},
		{"sale with a key", http.MethodPost, "/svc/ledger/sales", "bale", []string{"Idempotency-Key", "k"}},
		{"whole answer", http.MethodPost, "/v1/chat/completions", chatBody("a story", false, ""), nil},
		{"stream", http.MethodPost, "/v1/chat/completions", chatBody("a story", true, ""), nil},
	}
	for _, status := range []int{408, 421, 429, 503} {
		for _, call := range calls {
			t.Run(fmt.Sprint(call.name, " ", status), func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				defer func() { _ = l.Close() }()
				var arrived atomic.Int64
				go refuseAll(l, status, &arrived)
				h := newHarness(t, withUpstreams(1), withClaimer(&fakeClaimer{}))
				h.dispatcher.upstreams[0].Address = l.Addr().String()
				for range 4 {
					before := arrived.Load()
					a := h.do(call.method, call.path, call.body, call.header...)
					assert.Assert(t, arrived.Load() > before, "the call was not sent: %s", a.body)
					assert.Assert(t, a.run() != "no", "%d %s", a.status, a.body)
					if strings.HasPrefix(call.name, "sale") {
						assert.Equal(t, arrived.Load(), before+1)
					}
				}
			})
		}
	}
}
