package commander_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/ctl/commander"
	"github.com/amaranthcart/amaranthcart/internal/stub/breaker"
)

// askEntry asks an entry host that gives the answer for its upstreams, and returns the exit
// code.
func askEntry(t *testing.T, a breaker.Answer) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := breaker.Start(l, a)
	defer func() { _ = s.Close() }()
	code := newSession(t).run(t.Context(), "upstreams --entry "+l.Addr().String())
	assert.Equal(t, s.Requests(), 1)
	return code
}

// TestBrokenAnswerOfAnEntryHost guards against showing an operator an answer that breaks
// the protocol or broke off.
func TestBrokenAnswerOfAnEntryHost(t *testing.T) {
	answers := breaker.CutOff("HTTP/1.1 200 OK")
	for _, h := range breaker.Broken() {
		answers[h.Name] = breaker.Answer{Bytes: h.Answer("Content-Length: 2\r\n", "{}")}
	}
	for name, a := range answers {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, askEntry(t, a), commander.ExitUnreachable)
		})
	}
}

// TestOddAnswerOfAnEntryHost guards against rejecting an answer that is unusual but sound.
func TestOddAnswerOfAnEntryHost(t *testing.T) {
	for _, h := range breaker.Odd() {
		assert.Equal(t, askEntry(t, breaker.Answer{Bytes: h.Answer("Content-Length: 2\r\n", "{}")}), commander.ExitOK, h.Name)
		assert.Equal(t, askEntry(t, breaker.Answer{Bytes: h.Answer("", "{}"), End: breaker.Close}), commander.ExitOK, h.Name)
	}
}
