package replayer

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/stub/breaker"
)

// exchanged returns the error of a call that gets a complete stream in an answer with the
// head.
func exchanged(t *testing.T, h breaker.Head) error {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := New(Options{Workload: workload(), Seed: 1, Entries: []string{l.Addr().String()}})
	defer r.client.CloseIdleConnections()
	body := fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\ndata: [DONE]\n\n", strings.Repeat(" x", r.arrivals[0].Output))
	s := breaker.Start(l, breaker.Answer{Bytes: h.Answer(fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)})
	defer func() { _ = s.Close() }()
	err = r.exchange(t.Context(), 0, func() {})
	assert.Equal(t, s.Requests(), 1)
	return err
}

// TestBrokenAnswerOfACall guards against measuring an answer that breaks the protocol as a
// success, and against rejecting one that is unusual but sound.
func TestBrokenAnswerOfACall(t *testing.T) {
	for _, h := range breaker.Broken() {
		t.Run(h.Name, func(t *testing.T) { assert.Assert(t, exchanged(t, h) != nil) })
	}
	for _, h := range breaker.Odd() {
		if h.Code() == http.StatusOK {
			t.Run(h.Name, func(t *testing.T) { assert.NilError(t, exchanged(t, h)) })
		}
	}
}
