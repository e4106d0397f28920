package receiver_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// rawUpstream answers each request with the bytes and closes the connection.
func rawUpstream(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	background(t, func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, q.Body)
				_, _ = io.WriteString(c, answer)
			}
			_ = c.Close()
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// keptOpen is how long nothing may arrive before a connection counts as left open.
const keptOpen = 5 * time.Second

// raw sends one chat request and returns the bytes of its answer after the head, and
// how the connection ended.
func (h *harness) raw(body string) (string, error) {
	h.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	assert.NilError(h.t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	assert.NilError(h.t, err)
	var data strings.Builder
	part := make([]byte, 64<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(keptOpen))
		n, err := c.Read(part)
		data.Write(part[:n])
		if err != nil {
			_, rest, _ := strings.Cut(data.String(), "\r\n\r\n")
			return rest, err
		}
	}
}

// engineErrors returns faulty answers of an engine that is to resume a stream. They
// contain the text "oops".
func engineErrors() map[string]string {
	const (
		chunks = "Transfer-Encoding: chunked\r\n"
		stream = "Content-Type: text/event-stream\r\n"
	)
	answer := func(status, lines, body string) string {
		return "HTTP/1.1 " + status + "\r\nX-Oops: oops\r\n" + lines + "\r\n" + body
	}
	inChunks := func(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }
	rows := map[string]string{
		"plain text":             answer("200 OK", "Content-Type: text/plain\r\nContent-Length: 4\r\n", "oops"),
		"whole answer":           answer("200 OK", "Content-Type: application/json\r\n", `{"choices":[{"message":{"content":"oops"},"finish_reason":"stop"}]}`),
		"error event":            answer("200 OK", stream+chunks, inChunks("data: {\"error\":{\"message\":\"oops\"}}\n\ndata: [DONE]\n\n")),
		"error object":           answer("200 OK", stream+chunks, inChunks("data: {\"object\":\"error\",\"message\":\"oops\"}\n\ndata: [DONE]\n\n")),
		"named error event":      answer("200 OK", stream+chunks, inChunks("event: error\ndata: oops\n\n")),
		"head within the stream": answer("200 OK", stream, "HTTP/1.1 500 X\r\nX-Oops: oops\r\n\r\noops"),
		"end marker only":        answer("200 OK", stream+chunks, inChunks("data: [DONE]\n\n")),
		"part of an event":       answer("200 OK", stream+chunks, inChunks("data: {\"choices\":[{\"delta\":{\"content\":\"oops\"")),
		"half a head":            "HTTP/1.1 200 OK\r\nX-Oops: oo",
		"nothing":                "",
	}
	for _, status := range []string{"400", "404", "421", "429", "500", "503"} {
		head := status + " X"
		rows["status "+status] = answer(head, "Content-Length: 4\r\n", "oops")
		rows["status "+status+" without length"] = answer(head, "", "oops")
		rows["status "+status+" in chunks"] = answer(head, chunks, inChunks("oops"))
		rows["status "+status+", compressed"] = answer(head, "Content-Encoding: gzip\r\nContent-Length: 4\r\n", "oops")
		rows["status "+status+", long"] = answer(head, "", strings.Repeat("oops", 1<<19))
		rows["status "+status+", event stream"] = answer(head, stream+chunks, inChunks("data: {\"choices\":[{\"delta\":{\"content\":\"oops\"}}]}\n\ndata: [DONE]\n\n"))
	}
	return rows
}

// TestErrorWithinAStream guards against the text of an engine's error in a stream that
// another engine began, and against a broken stream that looks complete: after the text
// the caller gets one error from the system itself and the end of the connection.
func TestErrorWithinAStream(t *testing.T) {
	for name, answer := range engineErrors() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.responders[0].Set(responder.Behaviour{Break: 5})
			h.dispatcher.upstreams[1].Address = rawUpstream(t, answer)
			body, end := h.raw(chatBody("sing [[length=20]]", true, ""))
			assert.Assert(t, errors.Is(end, io.EOF), "the connection ended with %v", end)
			assert.Assert(t, !strings.Contains(body, "oo"), "%q", body)
			assert.Assert(t, !strings.Contains(body, "[DONE]"), "%q", body)
			assert.Assert(t, !strings.HasSuffix(body, "0\r\n\r\n"), "%q", body)
			assert.Equal(t, strings.Count(body, `"error"`), 1, "%q", body)
			assert.Assert(t, strings.Contains(body, `"delta"`), "%q", body)
		})
	}
}

// TestStreamGoesOnAfterAnError guards against the same faults when a third engine
// resumes the stream.
func TestStreamGoesOnAfterAnError(t *testing.T) {
	for name, answer := range engineErrors() {
		if strings.HasPrefix(name, "status 4") && !strings.HasPrefix(name, "status 404") && !strings.HasPrefix(name, "status 429") {
			// These statuses are the engine's final answer.
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, withUpstreams(3))
			request := chatBody("sing [[length=20]]", true, "")
			undisturbed := readGenerated(t, h.do(http.MethodPost, "/v1/chat/completions", request), true)
			h.responders[0].Set(responder.Behaviour{Break: 5})
			h.dispatcher.upstreams[1].Address = rawUpstream(t, answer)
			a := h.do(http.MethodPost, "/v1/chat/completions", request)
			assert.NilError(t, a.err)
			got := readGenerated(t, a, true)
			assert.Equal(t, got.text, undisturbed.text)
			assert.Equal(t, got.failure, "")
			assert.Assert(t, got.done)
		})
	}
}
