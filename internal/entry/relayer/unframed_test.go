package relayer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const unframedEvents = "Content-Type: text/event-stream\r\n"

// resets sends an answer and resets the connection once the answer has been read.
func resets(s script) script {
	return func(w io.Writer, q *http.Request) {
		s(w, q)
		time.Sleep(50 * time.Millisecond)
		_ = w.(*net.TCPConn).SetLinger(0)
	}
}

// TestAnswerWithoutLength guards against answers with neither a length nor chunks that are
// taken for complete though they broke off, or for broken though their connection ended
// regularly.
func TestAnswerWithoutLength(t *testing.T) {
	part := strings.Join(numbered(1, 3), "")
	whole := strings.Join(numbered(1, 5), "")
	for name, c := range map[string]struct {
		path    string
		scripts []script
		status  int
		body    string
		// broken is set when the caller has to notice that the answer isn't complete.
		broken bool
	}{
		"stream":                    {"/resumable/x", []script{answers("200 OK", unframedEvents, whole)}, 200, whole, false},
		"stream, at most once":      {"/once/x", []script{answers("200 OK", unframedEvents, whole)}, 200, whole, false},
		"stream without events":     {"/resumable/x", []script{answers("200 OK", unframedEvents, "")}, 200, "", false},
		"ends within an event":      {"/resumable/x", []script{answers("200 OK", unframedEvents, part+"id: 4\ndata: pa"), events(4, 5, true)}, 200, whole, false},
		"ends within a line end":    {"/resumable/x", []script{answers("200 OK", unframedEvents, part+"id: 4\ndata: part 4\n"), events(4, 5, true)}, 200, whole, false},
		"reset after an event":      {"/resumable/x", []script{resets(answers("200 OK", unframedEvents, part)), events(4, 5, true)}, 200, whole, false},
		"reset, at most once":       {"/once/x", []script{resets(answers("200 OK", unframedEvents, part))}, 200, part, true},
		"within one, at most once":  {"/once/x", []script{answers("200 OK", unframedEvents, part+"id: 4\ndata: pa")}, 200, part, true},
		"within one, no other left": {"/resumable/x", []script{answers("200 OK", unframedEvents, part+"id: 4\ndata: pa"), answers("200 OK", unframedEvents, "id: 4\nda")}, 200, part, true},
		"plain answer":              {"/idempotent/x", []script{answers("200 OK", "", "sold")}, 200, "sold", false},
		"plain answer, reset":       {"/idempotent/x", []script{resets(answers("200 OK", "", "so")), answersWith(200, "sold")}, 200, "sold", false},
		"plain, reset, once":        {"/once/x", []script{resets(answers("200 OK", "", "so"))}, 502, "upstream_failed\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newHarness(t, c.scripts...).call(c.path)
			assert.Equal(t, a.status, c.status)
			assert.Equal(t, a.body, c.body)
			assert.Equal(t, a.broken != nil, c.broken, "%v", a.broken)
		})
	}
}
