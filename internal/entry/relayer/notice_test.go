package relayer

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// notices collects what upstreams said about new work.
type notices struct {
	mu   sync.Mutex
	list []dispatcher.Notice
}

func (n *notices) take(e dispatcher.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list = append(n.list, e)
}

// TestNotices guards against losing a notice because of the kind of response that
// carries it: what an upstream says about new work counts on each of its responses.
func TestNotices(t *testing.T) {
	head := func(more string) script {
		return writes("HTTP/1.1 503 X\r\nX-Id: id-1\r\nX-Signed: yes\r\n" + more + "Content-Length: 0\r\n\r\n")
	}
	cases := []struct {
		name    string
		path    string
		script  script
		leaving bool
		pause   time.Duration
	}{
		{"success", "/once/x", answersWith(200, "sold", "X-Leaving", "yes"), true, 0},
		{"failure", "/once/x", answersWith(500, "no", "X-Leaving", "yes"), true, 0},
		{"refusal", "/once/x", head("X-Not-Run: 1\r\nX-Leaving: yes\r\n"), true, 0},
		{"refusal with a pause", "/once/x", head("X-Not-Run: 1\r\nX-Pause: 2s\r\n"), false, 2 * time.Second},
		{"answer of another request", "/once/x", writes("HTTP/1.1 200 OK\r\nX-Id: id-0\r\nX-Signed: y\r\nX-Leaving: yes\r\nContent-Length: 0\r\n\r\n"), true, 0},
		{"answer that is cut short", "/once/x", writes("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: y\r\nX-Leaving: yes\r\nContent-Length: 9\r\n\r\nsol"), true, 0},
		{"stream", "/once/x", writes("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: y\r\nX-Leaving: yes\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n\n"), true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, c.script)
			var n notices
			r.relayer.options.Notice = n.take
			r.call(c.path)
			assert.Equal(t, len(n.list), 1)
			assert.Equal(t, n.list[0].Upstream.Name, r.dispatcher.upstreams[0].Name)
			assert.Equal(t, n.list[0].Leaving, c.leaving)
			assert.Equal(t, n.list[0].Pause, c.pause)
		})
	}
	t.Run("an answer without one", func(t *testing.T) {
		r := newHarness(t, answersWith(200, "sold"))
		var n notices
		r.relayer.options.Notice = n.take
		r.call("/once/x")
		assert.Equal(t, len(n.list), 1)
		assert.Assert(t, !n.list[0].Leaving && n.list[0].Pause == 0)
	})
}

// TestNoticesOfLimits guards against missing a rate limit because of the kind of
// response that carries it, and against taking a limit for withdrawn because of a
// response that isn't the upstream's response to this request.
func TestNoticesOfLimits(t *testing.T) {
	answer := func(lines string) script { return writes("HTTP/1.1 " + lines + "\r\nContent-Length: 0\r\n\r\n") }
	cases := []struct {
		name      string
		script    script
		rate      scheduler.Rate
		unlimited bool
	}{
		{"success", answersWith(200, "sold", "X-Limit", "0.5"), 0.5, false},
		{"failure", answersWith(500, "no", "X-Limit", "2"), 2, false},
		{"refusal", answer("503 X\r\nX-Id: id-1\r\nX-Not-Run: 1\r\nX-Limit: 2"), 2, false},
		{"refusal that names no request", answer("503 X\r\nX-Not-Run: 1\r\nX-Limit: 2"), 2, false},
		{"answer of another request", answer("200 OK\r\nX-Id: id-0\r\nX-Signed: y\r\nX-Limit: 2"), 2, false},
		{"success without a limit", answersWith(200, "sold"), 0, true},
		{"refusal without a limit", answer("503 X\r\nX-Id: id-1\r\nX-Not-Run: 1"), 0, true},
		{"limit that can't be read", answersWith(200, "sold", "X-Limit", "few"), 0, false},
		{"answer of another request without a limit", answer("200 OK\r\nX-Id: id-0\r\nX-Signed: y"), 0, false},
		{"unsigned answer without a limit", answer("200 OK\r\nX-Id: id-1"), 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, c.script)
			var n notices
			r.relayer.options.Notice = n.take
			began := time.Now()
			r.call("/once/x")
			if c.rate == 0 && !c.unlimited {
				assert.Equal(t, len(n.list), 0)
				return
			}
			assert.Equal(t, len(n.list), 1)
			assert.Equal(t, n.list[0].Rate, c.rate)
			assert.Equal(t, n.list[0].Unlimited, c.unlimited)
			assert.Assert(t, !n.list[0].SentAt.Before(began) && !n.list[0].SentAt.After(time.Now()))
		})
	}
}
