package verifier

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/stub/breaker"
)

// received is a connection on which bytes arrive from a reader.
type received struct {
	net.Conn
	reader io.Reader
}

func (r received) Read(p []byte) (int, error) { return r.reader.Read(p) }
func (r received) Close() error               { return nil }

// readAnswer reads the head of a final answer and returns the error of the checks.
func readAnswer(r io.Reader) (*http.Response, error) {
	c := Wrap(received{reader: r})
	c.Expect()
	b := bufio.NewReader(c)
	for {
		response, err := http.ReadResponse(b, nil)
		if err != nil || response.StatusCode >= http.StatusOK {
			return c.Verify(response, err)
		}
	}
}

// TestHeadInParts guards against a verdict that depends on how the bytes of a head arrive.
func TestHeadInParts(t *testing.T) {
	parts := map[string]func(io.Reader) io.Reader{
		"at once":         func(r io.Reader) io.Reader { return r },
		"in halves":       iotest.HalfReader,
		"byte by byte":    iotest.OneByteReader,
		"with their end":  iotest.DataErrReader,
		"no end in sight": func(r io.Reader) io.Reader { return io.MultiReader(r, iotest.ErrReader(errors.New("read on"))) },
	}
	for name, part := range parts {
		t.Run(name, func(t *testing.T) {
			for _, h := range breaker.Broken() {
				_, err := readAnswer(part(strings.NewReader(h.Answer("Content-Length: 4\r\n", "sold"))))
				assert.Assert(t, errors.Is(err, ErrBroken), "%s: %v", h.Name, err)
			}
			for _, h := range breaker.Odd() {
				response, err := readAnswer(part(strings.NewReader(h.Answer("Content-Length: 4\r\n", "sold"))))
				assert.NilError(t, err, h.Name)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err, h.Name)
				assert.Equal(t, string(body), "sold", h.Name)
			}
		})
	}
}

// TestNothingIsReadBehindAFault guards against a reader that finds an answer behind a
// broken one, and against one that takes the fault for a connection that was closed before
// the answer.
func TestNothingIsReadBehindAFault(t *testing.T) {
	sound := breaker.Head{}.Answer("Content-Length: 4\r\n", "sold")
	for _, h := range breaker.Broken() {
		c := Wrap(received{reader: strings.NewReader(h.Answer("Content-Length: 0\r\n", "") + sound)})
		c.Expect()
		text, err := io.ReadAll(c)
		assert.Assert(t, errors.Is(err, ErrBroken), "%s: %v", h.Name, err)
		assert.Assert(t, len(text) > 0 && !strings.Contains(string(text), "sold"), "%s: %q", h.Name, text)
	}
}

// TestAnswerBeforeItsRequest guards against bytes that arrived before a request and are
// taken for its answer, or for a broken one when their rest arrives later.
func TestAnswerBeforeItsRequest(t *testing.T) {
	sound := breaker.Head{}.Answer("Content-Length: 4\r\n", "sold")
	for name, first := range map[string]int{"whole": 2 * len(sound), "half a head": len(sound) + 20, "one byte": len(sound) + 1} {
		t.Run(name, func(t *testing.T) {
			text := sound + sound + sound
			c := Wrap(received{reader: io.MultiReader(strings.NewReader(text[:first]), strings.NewReader(text[first:]))})
			b := bufio.NewReader(c)
			read := func() (*http.Response, error) {
				c.Expect()
				_, err := b.Peek(1)
				assert.NilError(t, err)
				c.begun()
				return c.Verify(http.ReadResponse(b, nil))
			}
			response, err := read()
			assert.NilError(t, err)
			_, err = io.ReadAll(response.Body)
			assert.NilError(t, err)
			_, err = read()
			assert.Assert(t, errors.Is(err, ErrEarly), "%v", err)
		})
	}
}

// TestHTTPSWithoutHandshake guards against checking the bytes of TLS as an answer.
func TestHTTPSWithoutHandshake(t *testing.T) {
	client := &http.Client{Transport: New(&http.Transport{TLSClientConfig: &tls.Config{}})}
	q, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "https://127.0.0.1:1/", nil)
	assert.NilError(t, err)
	_, err = client.Do(q)
	assert.Assert(t, errors.Is(err, errNoTLS), "%v", err)
}

// FuzzHead looks for answers that pass the checks and net/http though their head breaks
// the protocol, and for verdicts that depend on how the bytes arrive.
func FuzzHead(f *testing.F) {
	for _, h := range append(breaker.Broken(), breaker.Odd()...) {
		f.Add(h.Answer("Content-Length: 4\r\n", "sold"))
	}
	f.Fuzz(func(t *testing.T, text string) {
		response, err := readAnswer(strings.NewReader(text))
		_, again := readAnswer(iotest.OneByteReader(strings.NewReader(text)))
		assert.Equal(t, err == nil, again == nil, "%v, %v", err, again)
		if err != nil {
			return
		}
		assert.Assert(t, response.StatusCode >= 200 && response.StatusCode <= 599)
		for name := range response.Header {
			assert.Assert(t, name != "")
			for i := range len(name) {
				assert.Assert(t, isTokenByte(name[i]), "%q", name)
			}
		}
	})
}
