package receiver_test

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/stub/breaker"
	"github.com/amaranthcart/amaranthcart/internal/stub/certifier"
)

// answerForm is a way to frame the body of an answer.
type answerForm struct {
	name, lines, body string
	end               breaker.End
}

// framed returns a body with a length, in chunks, and up to the end of the connection.
func framed(lines, body string) []answerForm {
	return []answerForm{
		{"length", fmt.Sprintf("%sContent-Length: %d\r\n", lines, len(body)), body, breaker.Keep},
		{"chunks", lines + "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), breaker.Keep},
		{"end", lines, body, breaker.Close},
	}
}

const (
	wholeOops  = `{"id":"c","choices":[{"index":0,"message":{"content":"oops"},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`
	streamOops = `data: {"id":"c","choices":[{"index":0,"delta":{"content":"oops"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
)

// answeredCall is a call whose answer a caller gets.
type answeredCall struct {
	name, method, path, body string
	header                   []string
	// once is set for calls that run at most once, on a connection of their own, and alike
	// for those whose answer is read like that of another call.
	once, alike bool
	// forms are sound answers with the text oops.
	forms []answerForm
}

// answeredCalls are the calls of each path of an answer.
func answeredCalls() []answeredCall {
	// An answer of a service without a length or chunks is never passed on.
	plain := framed("", "oops")[:2]
	story := func(stream bool, more string) string { return chatBody("a story [[length=3]]", stream, more) }
	stream := framed("Content-Type: text/event-stream\r\n", streamOops)
	return []answeredCall{
		{"sale", http.MethodPost, "/svc/ledger/sales", "bale", nil, true, false, plain},
		{"sale with a key", http.MethodPost, "/svc/ledger/sales", "bale", []string{"Idempotency-Key", "k"}, true, true, plain},
		{"read", http.MethodGet, "/svc/ledger/quote", "", nil, false, true, plain},
		{"quote", http.MethodPost, "/svc/ledger/quote", "bale", nil, false, false, plain},
		// An engine sends whole answers only where they can't be resumed.
		{"whole answer", http.MethodPost, "/v1/chat/completions", story(false, `,"tools":[{}]`), nil, false, false, framed("Content-Type: application/json\r\n", wholeOops)},
		{"whole answer from a stream", http.MethodPost, "/v1/chat/completions", story(false, ""), nil, false, true, stream},
		{"stream", http.MethodPost, "/v1/chat/completions", story(true, ""), nil, false, false, stream},
	}
}

// answeredBy returns a harness whose first upstream sends these answers.
func answeredBy(t *testing.T, secure bool, answers ...breaker.Answer) (*harness, *breaker.Server) {
	t.Helper()
	authority := newUpstreamAuthority(t)
	h := newHarness(t, withClaimer(&fakeClaimer{}), withTLS(authority.client))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	if secure {
		l = tls.NewListener(l, authority.issue(t, certifier.Request{Hosts: []string{"127.0.0.1"}}))
		address = "https://" + address
	}
	s := breaker.Start(l, answers...)
	t.Cleanup(func() { _ = s.Close() })
	h.dispatcher.upstreams[0].Address = address
	return h, s
}

// answerCase is a call that gets an answer with a head and a form on a connection.
type answerCase struct {
	head         breaker.Head
	call         answeredCall
	form         answerForm
	kept, secure bool
}

func (c answerCase) String() string {
	return fmt.Sprintf("%s, %s, %s, kept %v, TLS %v", c.head.Name, c.call.name, c.form.name, c.kept, c.secure)
}

// answerCases returns the calls for each head, and for the first one all forms, also on kept
// connections and over TLS.
func answerCases(heads []breaker.Head) []answerCase {
	var l []answerCase
	for i, head := range heads {
		for _, call := range answeredCalls() {
			if i > 0 {
				if !call.alike {
					l = append(l, answerCase{head, call, call.forms[0], false, false})
				}
				continue
			}
			for _, form := range call.forms {
				l = append(l, answerCase{head, call, form, false, false}, answerCase{head, call, form, false, true})
				if !call.once {
					l = append(l, answerCase{head, call, form, true, false}, answerCase{head, call, form, true, true})
				}
			}
		}
	}
	return l
}

// send sends the call to an upstream that gives the answer of the case.
func (c answerCase) send(t *testing.T) (*harness, answer) {
	t.Helper()
	answers := []breaker.Answer{{Bytes: c.head.Answer(c.form.lines, c.form.body), End: c.form.end}}
	if c.kept {
		earlier := breaker.Head{}.Answer("Content-Length: 0\r\n", "")
		answers = append([]breaker.Answer{{Bytes: earlier}}, answers...)
	}
	h, s := answeredBy(t, c.secure, answers...)
	if c.kept {
		assert.Equal(t, h.do(http.MethodGet, "/svc/ledger/earlier", "").status, http.StatusOK)
	}
	a := h.do(c.call.method, c.call.path, c.call.body, c.call.header...)
	assert.Equal(t, s.Requests(), len(answers))
	assert.Equal(t, s.Connections(), 1)
	return h, a
}

// TestBrokenHeadIsNoAnswer guards against a caller that gets an answer whose head breaks
// the protocol, a status that can't be sent, or a call that is repeated where it must not
// be.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for _, c := range answerCases(breaker.Broken()) {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			h, a := c.send(t)
			assert.NilError(t, a.err)
			assert.Assert(t, !strings.Contains(a.body, "oops"), "%s", a.body)
			want := []scheduler.Outcome{scheduler.Failed}
			if c.call.once {
				assert.Equal(t, a.status, http.StatusBadGateway)
				assert.Equal(t, a.run(), "unknown")
				assert.Equal(t, h.responders[1].Runs()["POST /sales"], 0)
			} else {
				assert.Equal(t, a.status, http.StatusOK)
				want = append(want, scheduler.Completed)
			}
			if c.kept {
				want = append([]scheduler.Outcome{scheduler.Completed}, want...)
			}
			eventually(t, "the slots are released", func() bool { return len(h.dispatcher.outcomes()) == len(want) })
			assert.DeepEqual(t, h.dispatcher.outcomes(), want)
		})
	}
}

// TestOddHeadIsPassedOn guards against rejecting answers that are unusual but sound, and
// shows that those of the test above would reach the caller without their faults.
func TestOddHeadIsPassedOn(t *testing.T) {
	for _, c := range answerCases(breaker.Odd()) {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			_, a := c.send(t)
			assert.NilError(t, a.err)
			generation := c.call.path == "/v1/chat/completions"
			if generation && c.head.Code() != http.StatusOK {
				// An engine answers a generation with 200; others are asked after any other success.
				assert.Assert(t, !strings.Contains(a.body, "oops"), "%s", a.body)
				return
			}
			assert.Equal(t, a.status, c.head.Code())
			assert.Assert(t, strings.Contains(a.body, "oops"), "%s", a.body)
			if name, value := c.head.Field(); name != "" && !generation {
				assert.DeepEqual(t, a.header.Values(name), []string{value})
			}
		})
	}
}

// TestBrokenHeadOfARefusal guards against a caller that gets an engine's refusal whose head
// breaks the protocol.
func TestBrokenHeadOfARefusal(t *testing.T) {
	request := chatBody("a story [[length=3]]", true, "")
	refuse := func(head breaker.Head) answer {
		head.Status = "HTTP/1.1 400 X"
		h, s := answeredBy(t, false, breaker.Answer{Bytes: head.Answer("Content-Length: 4\r\n", "oops")})
		a := h.do(http.MethodPost, "/v1/chat/completions", request)
		assert.Equal(t, s.Requests(), 1)
		return a
	}
	sound := refuse(breaker.Head{})
	assert.Equal(t, sound.status, http.StatusBadRequest)
	assert.Equal(t, sound.body, "oops")
	for _, head := range breaker.BrokenNames() {
		assert.Equal(t, refuse(head).status, http.StatusOK, head.Name)
	}
}

// uploadRuns is the number of tries of one case, because the order of a failed write and
// the next read differs.
const uploadRuns = 3

// TestResetDuringUpload guards against a caller that gets a part of an answer as a complete
// one, when the upstream answers without a length before it has read the call and resets
// the connection.
func TestResetDuringUpload(t *testing.T) {
	bale := strings.Repeat("b", 4<<20)
	for _, c := range []struct{ name, path, body, status string }{
		{"sale", "/svc/ledger/sales", bale, "200 OK"},
		{"quote", "/svc/ledger/quote", bale, "200 OK"},
		{"refusal", "/v1/chat/completions", chatBody(bale, true, ""), "400 X"},
	} {
		for _, secure := range []bool{false, true} {
			for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, TLS %v, %s", c.name, secure, pause), func(t *testing.T) {
					t.Parallel()
					passed := 0
					for range uploadRuns {
						h, s := answeredBy(t, secure, breaker.Answer{
							Bytes: breaker.Head{Status: "HTTP/1.1 " + c.status}.Answer("", "oops"),
							Early: true, Pause: pause, End: breaker.Reset,
						})
						a := h.do(http.MethodPost, c.path, c.body)
						assert.Equal(t, s.Requests(), 1)
						if a.err == nil && strings.Contains(a.body, "oops") {
							passed++
						}
					}
					assert.Equal(t, passed, 0, "parts of answers that passed for complete ones, of %d", uploadRuns)
				})
			}
		}
	}
}
