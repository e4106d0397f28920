package sender_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/order/issuer"
	"github.com/amaranthcart/amaranthcart/internal/order/sender"
	"github.com/amaranthcart/amaranthcart/internal/stub/breaker"
)

// outcomeOf sends an order to an engine that gives the answer, and returns its outcome.
func outcomeOf(t *testing.T, a breaker.Answer) issuer.Outcome {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	engine := breaker.Start(l, a)
	defer func() { _ = engine.Close() }()
	outcomes := make(chan issuer.OrderResult, 1)
	s := sender.New(sender.Options{Report: func(o issuer.OrderResult) { outcomes <- o }})
	defer s.Close()
	s.Send(issuer.Order{ID: "o", Upstream: "a", Address: l.Addr().String(), Fence: 1, Until: time.Now().Add(generous)})
	o := <-outcomes
	assert.Equal(t, engine.Requests(), 1)
	return o.Outcome
}

// testOutcome checks the outcome of an order that gets the answer.
func testOutcome(t *testing.T, name string, a breaker.Answer, want issuer.Outcome) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		assert.Equal(t, outcomeOf(t, a), want)
	})
}

// TestBrokenAnswerOfAnOrder guards against an order that counts as accepted, refused or
// stale because of an answer whose head breaks the protocol.
func TestBrokenAnswerOfAnOrder(t *testing.T) {
	for _, h := range breaker.Broken() {
		testOutcome(t, h.Name, breaker.Answer{Bytes: h.Answer("Content-Length: 2\r\n", "{}")}, issuer.Failed)
	}
	for _, h := range breaker.BrokenNames() {
		h.Status = "HTTP/1.1 409 X"
		testOutcome(t, h.Name+", 409", breaker.Answer{Bytes: h.Answer("Content-Length: 2\r\n", "{}")}, issuer.Failed)
	}
}

// TestOddAnswerOfAnOrder guards against an order that counts as failed because of an answer
// that is unusual but sound.
func TestOddAnswerOfAnOrder(t *testing.T) {
	for _, h := range breaker.Odd() {
		testOutcome(t, h.Name, breaker.Answer{Bytes: h.Answer("Content-Length: 2\r\n", "{}")}, issuer.Accepted)
		testOutcome(t, h.Name+", no length", breaker.Answer{Bytes: h.Answer("", "{}"), End: breaker.Close}, issuer.Accepted)
	}
}

// TestCutOffAnswerOfAnOrder guards against an order whose outcome is taken from an answer
// that broke off.
func TestCutOffAnswerOfAnOrder(t *testing.T) {
	for _, code := range []int{http.StatusOK, http.StatusConflict, http.StatusServiceUnavailable} {
		for name, a := range breaker.CutOff(fmt.Sprintf("HTTP/1.1 %d X", code)) {
			testOutcome(t, fmt.Sprint(name, ", ", code), a, issuer.Failed)
		}
	}
}
