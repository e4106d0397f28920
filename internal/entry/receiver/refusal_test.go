package receiver_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/claimer"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/entry/receiver"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// fakeClaimer grants every claim, or fails with its error.
type fakeClaimer struct{ err error }

func (c *fakeClaimer) Do(ctx context.Context, _ claimer.Call, run func(context.Context) (claimer.Answer, error)) (claimer.Answer, claimer.Verdict, error) {
	if c.err != nil {
		return claimer.Answer{}, claimer.Unknown, c.err
	}
	a, err := run(context.WithoutCancel(ctx))
	return a, claimer.Ran, err
}

// TestRefusals guards against a refusal that says "no" although the request ran, that
// lacks the error format, or that leaves a slot in use. The responders' own counts of
// runs decide.
func TestRefusals(t *testing.T) {
	story := chatBody("a story", false, "")
	refused := func(reason scheduler.Reason) func(*harness) {
		return func(h *harness) {
			h.dispatcher.refusal = &dispatcher.RefusedError{Reason: reason, RetryAfter: 1500 * time.Millisecond}
		}
	}
	chat, sales := "/v1/chat/completions", "/svc/ledger/sales"
	cases := []struct {
		name, path, body string
		header           []string
		options          []harnessOption
		set              func(*harness)
		status           int
		code, retry      string
		run              string
	}{
		{name: "draining", path: chat, body: story, set: func(h *harness) { _ = h.receiver.Drain(context.Background()) }, status: 503, code: "draining", retry: "1"},
		{name: "stale", path: chat, body: story, set: func(h *harness) { h.fresh.Store(false) }, status: 503, code: "stale_configuration", retry: "1"},
		{name: "host full", path: chat, body: story, options: []harnessOption{withLimits(receiver.Limits{Requests: -1})}, status: 503, code: "host_overloaded", retry: "1"},
		{name: "no key", path: chat, body: story, header: []string{"Authorization", ""}, status: 401, code: "invalid_api_key"},
		{name: "wrong key", path: sales, header: []string{"Authorization", "Bearer " + testKey + "x"}, status: 401, code: "invalid_api_key"},
		{name: "rate", path: chat, body: story, set: func(h *harness) {
			h.document.Load().Organisations[0].Rate = 0.1
			h.dispatcher.refusal = errors.New("first request")
			h.do(http.MethodPost, chat, story)
		}, status: 429, code: "limited", retry: "10"},
		{name: "concurrency", path: chat, body: story, set: func(h *harness) {
			h.responders[0].Set(responder.Behaviour{Hang: 1})
			ctx, leave := context.WithCancel(context.Background())
			background(h.t, func() { h.doContext(ctx, http.MethodPost, chat, story) })
			h.t.Cleanup(leave)
			eventually(h.t, "the first request is open", func() bool { return h.responders[0].NextAnnouncement().Load.Running == 1 })
			next := testDocument()
			next.Organisations[0].Limit = 1
			h.document.Store(next)
		}, status: 429, code: "limited", retry: "1"},
		{name: "too large", path: sales, body: strings.Repeat("x", 101), options: []harnessOption{withLimits(receiver.Limits{Body: 100})}, status: 413, code: "too_large"},
		{name: "not JSON", path: chat, body: "{", status: 400, code: "invalid_request"},
		{name: "null", path: chat, body: "null", status: 400, code: "invalid_request"},
		{name: "wrong type", path: chat, body: `{"model":7}`, status: 400, code: "invalid_request"},
		{name: "no messages", path: chat, body: `{"model":"story","messages":[]}`, status: 400, code: "invalid_request"},
		{name: "too many choices", path: chat, body: chatBody("x", false, `,"n":129`), status: 400, code: "invalid_request"},
		{name: "unknown model", path: chat, body: strings.Replace(story, "story", "poem", 1), status: 404, code: "model_not_found"},
		{name: "foreign class", path: chat, body: story, header: []string{"Amaranth-Class", "other"}, status: 400, code: "class_not_permitted"},
		{name: "foreign class of service", path: sales, header: []string{"Amaranth-Class", "batch"}, status: 400, code: "class_not_permitted"},
		{name: "unknown service", path: "/svc/shop/sales", status: 404, code: "service_not_found"},
		{name: "dot segments", path: "/svc/ledger/quote/%2e%2e/sales", status: 400, code: "ambiguous_path"},
		{name: "encoded slash", path: "/svc/ledger/quote%2F..%2Fsales", status: 400, code: "ambiguous_path"},
		{name: "unknown path", path: "/v2", status: 404, code: "not_found"},
		{name: "overloaded", path: chat, body: story, set: refused(scheduler.Overloaded), status: 503, code: "overloaded", retry: "2"},
		{name: "no upstream", path: sales, set: refused(scheduler.NoUpstream), status: 503, code: "unavailable", retry: "2"},
		{name: "over limit", path: chat, body: story, set: refused(scheduler.OverLimit), status: 429, code: "limited", retry: "2"},
		{name: "poisonous", path: chat, body: story, set: refused(scheduler.Poisonous), status: 422, code: "poisonous"},
		{name: "poisonous part", path: chat, body: story, set: refused(scheduler.PoisonousPart), status: 503, code: "poisonous_part", retry: "2"},
		{name: "dispatcher failed", path: sales, set: func(h *harness) { h.dispatcher.refusal = errors.New("x") }, status: 503, code: "dispatch_failed"},
		{name: "dial refused", path: sales, set: func(h *harness) { _ = h.responders[0].Close() }, status: 503, code: "unavailable", retry: "2"},
		{name: "keyed, dial refused", path: sales, header: []string{"Idempotency-Key", "k"}, options: []harnessOption{withClaimer(&fakeClaimer{})},
			set: func(h *harness) { _ = h.responders[0].Close() }, status: 503, code: "unavailable", retry: "2"},
		{name: "keyed without control", path: sales, header: []string{"Idempotency-Key", "k"}, status: 503, code: "no_quorum", retry: "1"},
		{name: "no quorum", path: sales, header: []string{"Idempotency-Key", "k"}, options: []harnessOption{withClaimer(&fakeClaimer{claimer.ErrNoQuorum})}, status: 503, code: "no_quorum", retry: "1"},
		{name: "key reused", path: sales, header: []string{"Idempotency-Key", "k"}, options: []harnessOption{withClaimer(&fakeClaimer{claimer.ErrMismatch})}, status: 422, code: "key_reused"},
		{name: "first still runs", path: sales, header: []string{"Idempotency-Key", "k"}, options: []harnessOption{withClaimer(&fakeClaimer{claimer.ErrRunning})}, status: 409, code: "still_running", retry: "1", run: "unknown"},
		{name: "outcome unknown", path: sales, header: []string{"Idempotency-Key", "k"}, options: []harnessOption{withClaimer(&fakeClaimer{claimer.ErrUnknown})}, status: 409, code: "outcome_unknown", run: "unknown"},
		{name: "answer not stored", path: sales, header: []string{"Idempotency-Key", "k"}, options: []harnessOption{withClaimer(&fakeClaimer{claimer.ErrTruncated})}, status: 409, code: "answer_not_stored", run: "yes"},
		{name: "key too long", path: sales, header: []string{"Idempotency-Key", strings.Repeat("k", 256)}, options: []harnessOption{withClaimer(&fakeClaimer{})}, status: 400, code: "key_too_long"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, append(c.options, withUpstreams(1))...)
			if c.set != nil {
				c.set(h)
			}
			a := h.do(http.MethodPost, c.path, c.body, c.header...)
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, c.status, a.body)
			if c.run == "" {
				c.run = "no"
			}
			assert.Equal(t, a.run(), c.run)
			assert.Equal(t, a.header.Get("Retry-After"), c.retry)
			assert.Assert(t, strings.Contains(a.body, fmt.Sprintf(`"code":%q`, c.code)), a.body)
			assert.Assert(t, strings.Contains(a.body, `{"error":{"message":`), a.body)
			assert.Assert(t, a.header.Get("X-Request-Id") != "")
			if c.name != "concurrency" {
				assert.Equal(t, len(h.responders[0].Runs()), 0)
			}
		})
	}
}

// TestServiceRules guards against repeating calls for which the configuration doesn't
// permit it, and against a verdict on whether a call ran that contradicts the
// responder's count.
func TestServiceRules(t *testing.T) {
	lose := responder.Behaviour{Lose: true, Times: 1}
	cases := []struct {
		name, method, path string
		behaviour          responder.Behaviour
		status, runs       int
		run                string
	}{
		{"read is repeated", "GET", "/lots", lose, 200, 2, "yes"},
		{"head is repeated", "HEAD", "/lots", lose, 200, 2, "yes"},
		{"marked call is repeated", "POST", "/quote/7", lose, 200, 2, "yes"},
		{"busy service is left", "POST", "/quote", responder.Behaviour{Status: 503, Times: 1}, 200, 1, "yes"},
		{"sale is sent once", "POST", "/sales", lose, 502, 1, "unknown"},
		{"prefix is no segment", "POST", "/quote-and-buy", lose, 502, 1, "unknown"},
		{"put is sent once", "PUT", "/sales/1", lose, 502, 1, "unknown"},
		{"delete is sent once", "DELETE", "/sales/1", lose, 502, 1, "unknown"},
		{"refusal of a sale is passed on", "POST", "/sales", responder.Behaviour{Status: 503, Times: 1}, 503, 0, "yes"},
		{"short answer to a sale", "POST", "/sales", responder.Behaviour{Short: true}, 502, 1, "unknown"},
		{"undisturbed sale", "POST", "/sales?lot=%C4%8D&x=1", responder.Behaviour{}, 200, 1, "yes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.responders[0].Set(c.behaviour)
			a := h.do(c.method, "/svc/ledger"+c.path, "", responder.KeyHeader, "key", "Connection", "X-Hop", "X-Hop", "1")
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, c.status, a.body)
			assert.Equal(t, a.run(), c.run)
			assert.Equal(t, h.responders[0].Runs()["key"]+h.responders[1].Runs()["key"], c.runs)
			if c.status == 200 && c.method != "HEAD" {
				assert.Assert(t, strings.Contains(a.body, fmt.Sprintf(`"path":%q`, c.path)), a.body)
			}
			assert.Equal(t, len(h.dispatcher.outcomes()), len(h.dispatcher.slots))
		})
	}
}

// TestRevision guards against deciding a request by a revision that is no longer in
// force.
func TestRevision(t *testing.T) {
	h := newHarness(t, withUpstreams(1))
	assert.Equal(t, h.do(http.MethodGet, "/v1/models", "").status, 200)
	next := testDocument()
	next.Models[0].Class = "batch"
	next.Organisations[0].Keys = nil
	next.Organisations = append(next.Organisations, validator.Organisation{Name: "new", Keys: h.document.Load().Organisations[0].Keys})
	h.document.Store(next)
	a := h.do(http.MethodPost, "/v1/chat/completions", chatBody("x", false, ""))
	assert.Equal(t, a.status, 200)
	assert.Equal(t, h.dispatcher.requests[0].Class, validator.ClassName("batch"))
	assert.Equal(t, h.dispatcher.requests[0].Organisation, validator.OrganisationName("new"))
}

// TestDrain guards against a planned stop that aborts an open answer or admits new
// requests.
func TestDrain(t *testing.T) {
	h := newHarness(t, withUpstreams(1))
	s := shapes("the moon [[length=25]]")[0]
	undisturbed := readGenerated(t, h.do(http.MethodPost, s.path, s.body), true)
	h.responders[0].Set(responder.Behaviour{Hang: 9, Times: 1})
	answers := make(chan answer, 1)
	background(t, func() { answers <- h.do(http.MethodPost, s.path, s.body) })
	eventually(t, "nine tokens", func() bool {
		slot := h.dispatcher.slot(1)
		return slot != nil && slot.progress.Load() == 9
	})
	drained := make(chan error, 1)
	background(t, func() { drained <- h.receiver.Drain(context.Background()) })
	eventually(t, "unready", func() bool { return h.do(http.MethodGet, "/ready", "").status == 503 })
	assert.Equal(t, h.do(http.MethodGet, "/live", "").status, 200)
	assert.Equal(t, h.do(http.MethodPost, s.path, s.body).run(), "no")
	assert.Equal(t, len(drained), 0)
	close(h.dispatcher.slot(1).preempted) // lets the open answer continue in another attempt
	assert.Equal(t, readGenerated(t, <-answers, true).text, undisturbed.text)
	assert.NilError(t, <-drained)
}
