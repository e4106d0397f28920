package receiver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/entry/forwarder"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// generated is what a caller reads from a model's answer.
type generated struct {
	text, finish, failure string
	ids                   []string
	roles                 int
	tokens, prompt        int
	done                  bool
}

type anyAnswer struct {
	ID      string
	Choices []struct {
		Delta, Message struct{ Role, Content string }
		Text           string
		FinishReason   string `json:"finish_reason"`
	}
	Usage struct {
		Completion int `json:"completion_tokens"`
		Prompt     int `json:"prompt_tokens"`
	}
	Error *struct{ Code string }
}

func (g *generated) add(t testing.TB, data string) {
	t.Helper()
	var k anyAnswer
	assert.NilError(t, json.Unmarshal([]byte(data), &k), "%s", data)
	if k.Error != nil {
		g.failure = k.Error.Code
		return
	}
	if !slices.Contains(g.ids, k.ID) {
		g.ids = append(g.ids, k.ID)
	}
	for _, c := range k.Choices {
		g.text += c.Delta.Content + c.Message.Content + c.Text
		g.finish += c.FinishReason
		if c.Delta.Role != "" || c.Message.Role != "" {
			g.roles++
		}
	}
	g.tokens = max(g.tokens, k.Usage.Completion)
	g.prompt = max(g.prompt, k.Usage.Prompt)
}

func readGenerated(t testing.TB, a answer, stream bool) *generated {
	t.Helper()
	g := &generated{}
	if !stream {
		g.add(t, a.body)
		g.done = true
		return g
	}
	for _, event := range strings.Split(strings.TrimSuffix(a.body, "\n\n"), "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			g.done = true
			continue
		}
		g.add(t, data)
	}
	return g
}

// shape is one way to request the same text.
type shape struct {
	name, path, body string
	stream           bool
}

func shapes(prompt string) []shape {
	counts := `,"stream_options":{"include_usage":true}`
	completion := `{"model":"story","max_tokens":60,"stream":%v,"prompt":%q%s}`
	return []shape{
		{"chat stream", "/v1/chat/completions", chatBody(prompt, true, `,"max_tokens":60`+counts), true},
		{"chat whole", "/v1/chat/completions", chatBody(prompt, false, `,"max_tokens":60`), false},
		{"completion stream", "/v1/completions", fmt.Sprintf(completion, true, prompt, counts), true},
		{"completion whole", "/v1/completions", fmt.Sprintf(completion, false, prompt, ""), false},
	}
}

// TestResume guards against repeated or missing text after an upstream breaks off an
// answer, against a short answer that is forwarded as complete, and against wrong token
// counts: the text must equal the undisturbed one.
func TestResume(t *testing.T) {
	const done, failed, crashed = scheduler.Completed, scheduler.Failed, scheduler.Crashed
	// The keys set the length of the text, which the limit of 60 tokens may cut.
	both := func(o scheduler.Outcome) map[string][]scheduler.Outcome {
		return map[string][]scheduler.Outcome{"[[length=30]]": {done, o, o, done}, "[[length=90]]": {done, o, o, done}}
	}
	faults := []struct {
		name      string
		behaviour responder.Behaviour
		outcomes  map[string][]scheduler.Outcome
	}{
		{"clean end without marker", responder.Behaviour{Cut: 5}, both(failed)},
		{"cut at the last token", responder.Behaviour{Cut: 30}, map[string][]scheduler.Outcome{
			// The last attempt loses only the end marker, after the text or at the limit.
			"[[length=30]]": {done, failed, done},
			"[[length=90]]": {done, failed, failed},
		}},
		{"connection lost", responder.Behaviour{Break: 7}, both(crashed)},
		{"connection lost at first token", responder.Behaviour{Break: 1}, both(crashed)},
		{"server error", responder.Behaviour{Status: http.StatusInternalServerError}, both(failed)},
		{"engine full", responder.Behaviour{Status: http.StatusTooManyRequests}, both(failed)},
	}
	for _, f := range faults {
		for _, limit := range []string{"[[length=30]]", "[[length=90]]"} {
			for _, s := range shapes("tell of the meadow " + limit) {
				t.Run(f.name+limit+s.name, func(t *testing.T) {
					h := newHarness(t, withUpstreams(3))
					undisturbed := readGenerated(t, h.do(http.MethodPost, s.path, s.body), s.stream)
					h.responders[0].Set(f.behaviour)
					h.responders[1].Set(f.behaviour)
					a := h.do(http.MethodPost, s.path, s.body)
					assert.NilError(t, a.err)
					got := readGenerated(t, a, s.stream)
					assert.Equal(t, got.text, undisturbed.text)
					assert.Equal(t, got.finish, undisturbed.finish)
					assert.Equal(t, got.roles, undisturbed.roles)
					assert.Equal(t, got.tokens, undisturbed.tokens)
					assert.Equal(t, got.prompt, undisturbed.prompt)
					assert.Equal(t, len(got.ids), 1)
					assert.Assert(t, got.done)
					assert.DeepEqual(t, h.dispatcher.outcomes(), f.outcomes[limit])
				})
			}
		}
	}
}

// TestUnresumable guards against a regular end of an answer that another upstream can't
// resume, and against a needless failure when nothing of the answer has been forwarded.
func TestUnresumable(t *testing.T) {
	bodies := map[string]string{
		"several choices":  `,"n":2`,
		"tools":            `,"tools":[{"type":"function"}]`,
		"log probs":        `,"logprobs":true`,
		"grammar":          `,"response_format":{"type":"json_object"}`,
		"own partial text": `,"continue_final_message":true,"add_generation_prompt":false`,
	}
	for name, more := range bodies {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			whole := chatBody("sing [[length=20]]", false, more)
			undisturbed := h.do(http.MethodPost, "/v1/chat/completions", whole)
			h.responders[0].Set(responder.Behaviour{Break: 5})
			broken := h.do(http.MethodPost, "/v1/chat/completions", chatBody("sing [[length=20]]", true, more))
			assert.Assert(t, broken.err != nil, "the stream must not end cleanly")
			got := readGenerated(t, broken, true)
			assert.Equal(t, got.failure, "upstream_failed")
			assert.Assert(t, !got.done)
			h.responders[0].Set(responder.Behaviour{Break: 5, Short: true})
			again := h.do(http.MethodPost, "/v1/chat/completions", whole)
			assert.Equal(t, readGenerated(t, again, false).text, readGenerated(t, undisturbed, false).text)
		})
	}
}

// TestShortWhole guards against forwarding a body shorter than its declared length as
// complete.
func TestShortWhole(t *testing.T) {
	h := newHarness(t, withUpstreams(1))
	h.responders[0].Set(responder.Behaviour{Short: true})
	a := h.do(http.MethodPost, "/v1/chat/completions", chatBody("x [[length=4]]", false, `,"n":2`))
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Equal(t, a.run(), "yes")
	a = h.do(http.MethodGet, "/svc/ledger/lots", "")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Equal(t, a.run(), "unknown")
	a = h.do(http.MethodPost, "/svc/ledger/sales", "bale")
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Equal(t, a.run(), "unknown")
}

// TestSilence guards against requests that are held up by connections that went silent:
// a new connection is tried once the deadline has passed.
func TestSilence(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newHarness(t, withClock(clock), withUpstreams(1))
	s := shapes("the herd [[length=12]]")[0]
	undisturbed := readGenerated(t, h.do(http.MethodPost, s.path, s.body), true)
	disturbances := map[string]struct {
		disturb func()
		slot    int
		ready   func(*fakeSlot) bool
	}{
		"pooled connection": {
			disturb: h.responders[0].Silence,
			ready:   func(*fakeSlot) bool { return true },
		},
		"between tokens": {
			disturb: func() { h.responders[0].Set(responder.Behaviour{Hang: 5, Times: 1}) },
			ready:   func(s *fakeSlot) bool { return s.progress.Load() == 5 },
		},
	}
	for name, d := range disturbances {
		t.Run(name, func(t *testing.T) {
			before := len(h.dispatcher.outcomes())
			d.disturb()
			answers := make(chan answer, 1)
			background(t, func() { answers <- h.do(http.MethodPost, s.path, s.body) })
			eventually(t, "the slot is in use", func() bool {
				slot := h.dispatcher.slot(before)
				return slot != nil && d.ready(slot)
			})
			assert.NilError(t, clock.BlockUntilContext(context.Background(), 1))
			clock.Advance(5 * time.Minute)
			a := <-answers
			assert.NilError(t, a.err)
			assert.Equal(t, readGenerated(t, a, true).text, undisturbed.text)
			assert.DeepEqual(t, h.dispatcher.outcomes()[before:], []scheduler.Outcome{scheduler.Silent, scheduler.Completed})
		})
	}
}

// TestSlotNews guards against slots that are not released and text that is lost when
// the dispatcher preempts or hedges a request or the upstream's lease ends.
func TestSlotNews(t *testing.T) {
	prompt := "the lamp [[length=25]]"
	cases := []struct {
		name      string
		behaviour responder.Behaviour
		news      func(h *harness, s *fakeSlot)
		outcomes  []scheduler.Outcome
	}{
		{
			name:      "preempted between tokens",
			behaviour: responder.Behaviour{Hang: 9, Times: 1},
			news: func(_ *harness, s *fakeSlot) {
				eventually(t, "nine tokens", func() bool { return s.progress.Load() == 9 })
				close(s.preempted)
			},
			outcomes: []scheduler.Outcome{scheduler.Preempted, scheduler.Completed},
		},
		{
			name:      "preempted before the first token",
			behaviour: responder.Behaviour{First: 1 << 40, Times: 1},
			news: func(h *harness, s *fakeSlot) {
				eventually(t, "a run", func() bool { return h.responders[0].Runs()[responder.Generations] == 2 })
				close(s.preempted)
			},
			outcomes: []scheduler.Outcome{scheduler.Preempted, scheduler.Completed},
		},
		{
			name:      "hedged",
			behaviour: responder.Behaviour{First: 1 << 40},
			news: func(h *harness, s *fakeSlot) {
				h.dispatcher.mu.Lock()
				defer h.dispatcher.mu.Unlock()
				var second dispatcher.Slot = h.dispatcher.grant(h.dispatcher.upstreams[1])
				s.hedged <- second
			},
			outcomes: []scheduler.Outcome{scheduler.Abandoned, scheduler.Completed},
		},
		{
			name:      "lease ended and silent",
			behaviour: responder.Behaviour{Hang: 9},
			news: func(_ *harness, s *fakeSlot) {
				eventually(t, "nine tokens", func() bool { return s.progress.Load() == 9 })
				close(s.gone)
			},
			outcomes: []scheduler.Outcome{scheduler.Crashed, scheduler.Completed},
		},
	}
	for _, c := range cases {
		for _, s := range shapes(prompt) {
			t.Run(c.name+" "+s.name, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				undisturbed := readGenerated(t, h.do(http.MethodPost, s.path, s.body), s.stream)
				h.responders[0].Set(c.behaviour)
				answers := make(chan answer, 1)
				background(t, func() { answers <- h.do(http.MethodPost, s.path, s.body) })
				eventually(t, "a slot", func() bool { return h.dispatcher.slot(1) != nil })
				c.news(h, h.dispatcher.slot(1))
				a := <-answers
				assert.NilError(t, a.err)
				assert.Equal(t, readGenerated(t, a, s.stream).text, undisturbed.text)
				assert.DeepEqual(t, h.dispatcher.outcomes()[1:], c.outcomes)
				if !strings.HasPrefix(c.name, "hedged") {
					retry := c.outcomes[0] != scheduler.Preempted
					assert.Equal(t, h.dispatcher.requests[2].Retry, retry)
				}
			})
		}
	}
}

// blockingSink is a caller that stops reading at its third event.
type blockingSink struct {
	events           int
	blocked, proceed chan struct{}
}

func (s *blockingSink) Flush() error { return nil }

func (s *blockingSink) Event([]byte, bool) error {
	s.events++
	if s.events == 3 {
		close(s.blocked)
		<-s.proceed
	}
	return nil
}

// TestSlowCaller guards against taking an upstream for silent while the caller doesn't
// read, which would discard its work and count against the upstream.
func TestSlowCaller(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newHarness(t, withClock(clock))
	g, err := forwarder.DecodeGeneration(forwarder.Chat, []byte(chatBody("x [[length=2000]]", true, "")))
	assert.NilError(t, err)
	s := &blockingSink{blocked: make(chan struct{}), proceed: make(chan struct{})}
	done := make(chan error, 1)
	background(t, func() {
		call := forwarder.GenerationCall{Generation: g, Class: h.document.Load().Classes[0], Request: scheduler.Request{Pool: "story", Repeatable: true}}
		done <- h.forwarder.Stream(context.Background(), call, s)
	})
	<-s.blocked
	clock.Advance(time.Hour)
	close(s.proceed)
	assert.NilError(t, <-done)
	assert.DeepEqual(t, h.dispatcher.outcomes(), []scheduler.Outcome{scheduler.Completed})
}
