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
	// resetRuns is the number of tries of one case, because the order of a failed write
	// and the next read differs.
	resetRuns = 5
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

// TestResetDuringUpload guards against a caller that gets a part of an answer as a
// complete one: the upstream answers before it has read the request, without a length,
// and resets the connection while the host still writes to it. The failed write takes the
// error of the reset, and the next read finds a regular end.
func TestResetDuringUpload(t *testing.T) {
	a := newAuthority(t)
	body := strings.Repeat("u", uploadSize)
	for _, path := range []string{"/once/x", "/idempotent/x", "/resumable/x"} {
		for _, secure := range []bool{false, true} {
			for _, f := range parts() {
				for _, pause := range resetPauses {
					t.Run(fmt.Sprint(path, " ", f.name, " TLS ", secure, " ", pause), func(t *testing.T) {
						t.Parallel()
						complete := 0
						for range resetRuns {
							r := newHarness(t)
							if secure {
								r.secure(a)
							}
							s := r.serve(a, secure, breaker.Answer{
								Bytes: breaker.Head{}.Answer(ownLines("id-1")+f.lines, f.body),
								Early: true, Pause: pause, End: breaker.Reset,
							})
							got := r.ask(http.MethodPost, path, "id-1", body)
							assert.Equal(t, s.Requests(), 1)
							if got.broken == nil && got.status == http.StatusOK {
								complete++
							}
							_ = r.relayer.Close()
							_ = s.Close()
						}
						assert.Equal(t, complete, 0, "parts of answers that passed for complete ones, of %d", resetRuns)
					})
				}
			}
		}
	}
}
