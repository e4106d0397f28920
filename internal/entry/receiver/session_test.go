package receiver_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/golden"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// TestSession guards against unnoticed changes of what callers receive, header by
// header and byte by byte. Run it with -update to accept a change.
func TestSession(t *testing.T) {
	var serial atomic.Int64
	newID := func() string { return fmt.Sprintf("request-%d", serial.Add(1)) }
	clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
	h := newHarness(t, withClock(clock), withNewID(newID), withClaimer(&fakeClaimer{}))
	prompt := "a lot [[length=6]]"
	counts := `,"stream_options":{"include_usage":true}`
	steps := []struct {
		name, method, path, body string
		header                   []string
		set                      func()
	}{
		{name: "ready", method: "GET", path: "/ready"},
		{name: "models", method: "GET", path: "/v1/models"},
		{name: "streamed chat", method: "POST", path: "/v1/chat/completions", body: chatBody(prompt, true, counts)},
		{name: "whole chat in another class", method: "POST", path: "/v1/chat/completions", body: chatBody(prompt, false, ""), header: []string{"Amaranth-Class", "batch"}},
		{name: "resumed chat", method: "POST", path: "/v1/chat/completions", body: chatBody(prompt, true, counts), set: func() {
			h.responders[0].Set(responder.Behaviour{Break: 2, Times: 1})
		}},
		{name: "chat that cannot be resumed", method: "POST", path: "/v1/chat/completions", body: chatBody(prompt, true, `,"n":2`), set: func() {
			h.responders[0].Set(responder.Behaviour{Break: 2, Times: 1})
		}},
		{name: "limited completion", method: "POST", path: "/v1/completions", body: `{"model":"story","prompt":"hay","max_tokens":2,"stream":true}`},
		{name: "engine refuses", method: "POST", path: "/v1/completions", body: `{"model":"story","prompt":["a","b"]}`},
		{name: "sale", method: "POST", path: "/svc/ledger/sales?lot=1", body: "bale"},
		{name: "keyed sale", method: "POST", path: "/svc/ledger/sales", body: "bale", header: []string{"Idempotency-Key", "k"}},
		{name: "lost sale", method: "POST", path: "/svc/ledger/sales", body: "bale", set: func() {
			h.responders[0].Set(responder.Behaviour{Lose: true, Times: 1})
		}},
		{name: "head", method: "HEAD", path: "/svc/ledger/lots"},
		{name: "overload", method: "POST", path: "/v1/chat/completions", body: chatBody(prompt, true, ""), set: func() {
			h.dispatcher.refusal = &dispatcher.RefusedError{Reason: scheduler.Overloaded, RetryAfter: 2500 * time.Millisecond}
		}},
		{name: "not confirmed", method: "GET", path: "/ready", set: func() { h.fresh.Store(false) }},
	}
	var b strings.Builder
	for _, s := range steps {
		if s.set != nil {
			s.set()
		}
		a := h.do(s.method, s.path, s.body, s.header...)
		fmt.Fprintf(&b, "# %s\n> %s %s\n> %s\n", s.name, s.method, s.path, s.body)
		fmt.Fprintf(&b, "< %d %s\n", a.status, http.StatusText(a.status))
		a.header.Del("Date")
		for _, name := range slices.Sorted(maps.Keys(a.header)) {
			fmt.Fprintf(&b, "< %s: %s\n", name, strings.Join(a.header[name], ", "))
		}
		for line := range strings.Lines(a.body) {
			fmt.Fprintf(&b, "< %s", line)
		}
		if !strings.HasSuffix(a.body, "\n") {
			b.WriteString("\n")
		}
		if a.err != nil {
			b.WriteString("< (connection broken off)\n")
		}
		b.WriteString("\n")
	}
	golden.Assert(t, b.String(), "session.golden")
}
