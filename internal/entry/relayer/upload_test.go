package relayer

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/stub/breaker"
)

const (
	// uploadSize is the size in bytes of a body that fills the buffers of a connection.
	uploadSize = 6 << 20
	// resetRuns and earlyRuns are the numbers of tries of one case, because the order of a
	// failed write and the next read differs.
	resetRuns = 5
	earlyRuns = 2
)

// resetPauses are the times between a part of an answer and the reset of its connection.
var resetPauses = []time.Duration{0, time.Millisecond, 20 * time.Millisecond}

// parts are the first parts of answers whose end is that of their connection.
func parts() []form {
	return []form{
		{name: "short", body: "sold"},
		{name: "nothing yet"},
		{name: "long", body: strings.Repeat("sold", maxBuffered/2)},
		{name: "events", lines: unframedEvents, body: strings.Join(numbered(1, 3), "")},
	}
}

// uploadWays are ways of an upload: an own connection, a new one and a kept one of the pool,
// plain and over TLS.
func uploadWays() []way {
	var l []way
	for _, secure := range []bool{false, true} {
		l = append(l,
			way{http.MethodPost, "/once/x", false, secure},
			way{http.MethodPost, "/idempotent/x", false, secure},
			way{http.MethodPost, "/resumable/x", true, secure},
		)
	}
	return l
}

// upload sends a large body to an upstream that gives the answer before it has read the
// body, and returns what the caller got.
func upload(t *testing.T, a authority, w way, answer breaker.Answer) reply {
	t.Helper()
	r := newHarness(t)
	defer func() { _ = r.relayer.Close() }()
	r.lengthenTimeouts()
	if w.secure {
		r.secure(a)
	}
	answer.Early = true
	answers := []breaker.Answer{answer}
	if w.kept {
		earlier := breaker.Head{}.Answer(ownLines("id-0")+"Content-Length: 0\r\n", "")
		answers = []breaker.Answer{{Bytes: earlier}, answer}
	}
	s := r.serve(a, w.secure, answers...)
	defer func() { _ = s.Close() }()
	if w.kept {
		assert.Equal(t, r.ask(w.method, w.path, "id-0", "a request").status, http.StatusOK)
	}
	got := r.ask(w.method, w.path, "id-1", strings.Repeat("u", uploadSize))
	assert.Equal(t, s.Requests(), len(answers))
	assert.Equal(t, s.Connections(), 1)
	return got
}

// TestResetDuringUpload guards against a caller that gets a part of an answer as a
// complete one: the upstream answers before it has read the request, without a length,
// and resets the connection while the host still writes to it. The failed write takes the
// error of the reset, and the next read finds a regular end.
func TestResetDuringUpload(t *testing.T) {
	a := newAuthority(t)
	for _, w := range uploadWays() {
		for _, f := range parts() {
			for _, pause := range resetPauses {
				t.Run(fmt.Sprint(w, ", ", f.name, ", ", pause), func(t *testing.T) {
					t.Parallel()
					answer := breaker.Answer{Bytes: breaker.Head{}.Answer(ownLines("id-1")+f.lines, f.body), Pause: pause, End: breaker.Reset}
					complete := 0
					for range resetRuns {
						if got := upload(t, a, w, answer); got.broken == nil && got.status == http.StatusOK {
							complete++
						}
					}
					assert.Equal(t, complete, 0, "parts of answers that passed for complete ones, of %d", resetRuns)
				})
			}
		}
	}
}

// earlyEnd is an end of a connection after a complete answer.
type earlyEnd struct {
	name string
	end  breaker.End
}

// earlyEnds are the ends after which an answer in the form is complete. A server that
// closes its connection before it has read the request resets it.
func earlyEnds(f form, secure bool) []earlyEnd {
	ends := []earlyEnd{{"reads on", breaker.HalfClose}}
	if f.end == breaker.Keep || secure {
		ends = append(ends, earlyEnd{"closes", breaker.Close})
	}
	if f.end == breaker.Keep {
		ends = append(ends, earlyEnd{"resets", breaker.Reset}, earlyEnd{"keeps", breaker.Keep})
	}
	return ends
}

// TestEarlyAnswerToAnUpload guards against failing a complete answer that comes before the
// upstream has read the request, with any framing, whatever happens to the connection
// after it.
func TestEarlyAnswerToAnUpload(t *testing.T) {
	a := newAuthority(t)
	for _, w := range uploadWays() {
		for _, f := range forms() {
			for _, e := range earlyEnds(f, w.secure) {
				for _, pause := range resetPauses {
					t.Run(fmt.Sprint(w, ", ", f.name, " ", e.name, ", ", pause), func(t *testing.T) {
						t.Parallel()
						answer := breaker.Answer{Bytes: breaker.Head{}.Answer(ownLines("id-1")+f.lines, f.body), Pause: pause, End: e.end}
						for range earlyRuns {
							got := upload(t, a, w, answer)
							assert.NilError(t, got.broken)
							assert.Equal(t, got.status, http.StatusOK)
							assert.Equal(t, got.body, f.text)
						}
					})
				}
			}
		}
	}
}
