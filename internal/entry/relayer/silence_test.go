package relayer

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// TestSilenceFollowsTheClass guards against cutting off a stream that is slow by
// design: its upstream may send nothing for as long as callers wait for the next event.
func TestSilenceFollowsTheClass(t *testing.T) {
	ms := func(n int) validator.Duration { return validator.Duration(time.Duration(n) * time.Millisecond) }
	cases := []struct {
		name  string
		class validator.Class
		limit time.Duration
	}{
		{"no targets", validator.Class{}, 2 * time.Second},
		{"quick", validator.Class{First: ms(300), Gap: ms(150)}, 2 * time.Second},
		{"slow start", validator.Class{First: ms(2500), Gap: ms(200)}, 10 * time.Second},
		{"slow events", validator.Class{First: ms(1500), Gap: ms(1000)}, 8 * time.Second},
		{"one piece", validator.Class{Total: ms(900)}, 3600 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, (&call{class: &c.class}).silence(), c.limit)
		})
	}
}

// trickle sends a byte of an event every 20 ms and never ends the event.
func trickle(w io.Writer, _ *http.Request) {
	_, err := io.WriteString(w, eventsHead+"id: 1\ndata: ")
	for err == nil {
		time.Sleep(20 * time.Millisecond)
		_, err = io.WriteString(w, "y")
	}
}

// TestTrickleEnds guards against a stalled stream that never ends because single bytes
// keep arriving. Only complete events count as progress, and the route's timeout ends
// the request in any case.
func TestTrickleEnds(t *testing.T) {
	for _, path := range []string{"/once/x", "/idempotent/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			r := newHarness(t, trickle, answersWith(200, "sold"))
			began := time.Now()
			a := r.callDiscarding(path)
			assert.Assert(t, time.Since(began) < 3*time.Second, "took %s", time.Since(began))
			assert.Assert(t, a.broken != nil || a.status >= 500 || a.status == 200 && r.runs() == 2, "%+v", a)
		})
	}
}

// TestSlowStreamIsWhole guards against cutting off a slow but working stream: its
// events arrive at half of the rate at which callers still wait.
func TestSlowStreamIsWhole(t *testing.T) {
	slow := func(w io.Writer, _ *http.Request) {
		_, _ = io.WriteString(w, streamHead)
		for _, event := range []string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"} {
			time.Sleep(550 * time.Millisecond)
			chunk(w, event)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
	for _, path := range []string{"/once/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			r := newHarness(t, slow, answersWith(200, "sold"))
			a := r.call(path)
			assert.NilError(t, a.broken)
			assert.Equal(t, a.body, "id: 1\n\nid: 2\n\nid: 3\n\n")
			assert.Equal(t, r.runs(), 1)
		})
	}
}
