package relayer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// workTime is how long a refuser takes to process a request.
const workTime = 60 * time.Millisecond

// refuser is an upstream that refuses the first request on a connection, runs the later
// ones, and sends the refusal a second time.
type refuser struct {
	// ids returns the header line that names the request, from the ID of the refused
	// request and that of the current one.
	ids func(refused, present string) string
	// status is the status code of the refusal.
	status int
	// at is when the refusal is sent a second time.
	at repeatTime

	mu sync.Mutex
	// started, left and done count requests by ID: those that started to run, those
	// whose connection was closed meanwhile, and those that were answered.
	started, left, done map[string]int
}

// repeatTime is when the refusal is sent a second time.
type repeatTime string

const (
	together   repeatTime = "with the first refusal"
	idle       repeatTime = "while the connection is idle"
	atRequest  repeatTime = "at the next request"
	interim    repeatTime = "after an interim answer to the next request"
	half       repeatTime = "half of it while idle, half at the next request"
	behind     repeatTime = "with the next answer"
	neverAgain repeatTime = "never"
)

func (f *refuser) listen(t *testing.T) string {
	f.started, f.left, f.done = map[string]int{}, map[string]int{}, map[string]int{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return l.Addr().String()
}

func (f *refuser) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	refused := ""
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get("X-Id")
		if refused == "" {
			refused = id
			f.refuse(c, id)
			continue
		}
		f.count(f.started, id)
		again := f.refusal(refused, id)
		switch f.at {
		case atRequest:
			_, _ = io.WriteString(c, again)
		case half:
			_, _ = io.WriteString(c, again[len(again)/2:])
		case interim:
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+again)
		}
		// A request is dropped when its connection is closed.
		_ = c.SetReadDeadline(time.Now().Add(workTime))
		if _, err := r.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			f.count(f.left, id)
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		f.count(f.done, id)
		more := ""
		if f.at == behind {
			more = again
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: y\r\nContent-Length: %d\r\n\r\nfor %s%s", id, len("for "+id), id, more)
	}
}

// refuse writes the first refusal, and the second one or its first half if that is due
// before the next request.
func (f *refuser) refuse(w io.Writer, id string) {
	text := f.refusal(id, id)
	switch f.at {
	case together:
		_, _ = io.WriteString(w, text+text)
		return
	case idle:
		_, _ = io.WriteString(w, text)
		time.Sleep(workTime / 4)
		_, _ = io.WriteString(w, text)
		return
	case half:
		_, _ = io.WriteString(w, text+text[:len(text)/2])
		return
	}
	_, _ = io.WriteString(w, text)
}

func (f *refuser) refusal(refused, present string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", f.status, f.ids(refused, present))
}

func (f *refuser) count(m map[string]int, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m[id]++
}

func (f *refuser) counted(m map[string]int, id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return m[id]
}

// idHeaders are the ways in which a refusal names its request.
var idHeaders = map[string]func(refused, present string) string{
	"the refused request": func(refused, _ string) string { return "X-Id: " + refused + "\r\n" },
	"no request":          func(string, string) string { return "" },
	"an empty ID":         func(string, string) string { return "X-Id:\r\n" },
}

// notRunStatuses are the statuses that tell a caller that its request has not run.
var notRunStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

// TestEarlierRefusalIsNotBelieved guards against telling a caller that its request has
// not run because of an earlier request's refusal, which the upstream sent a second
// time on a reused connection.
func TestEarlierRefusalIsNotBelieved(t *testing.T) {
	for _, path := range []string{"/once/x", "/resumable/x", "/idempotent/x"} {
		for name, ids := range idHeaders {
			for _, at := range []repeatTime{together, idle, atRequest, interim, half, behind} {
				for _, status := range []int{408, 421, 429, 503} {
					t.Run(fmt.Sprint(path, " ", name, " ", at, " ", status), func(t *testing.T) {
						t.Parallel()
						f := &refuser{ids: ids, status: status, at: at}
						r := newHarness(t)
						r.add(f.listen(t))
						for i := range 6 {
							id := fmt.Sprintf("id-%d", i)
							a := r.call(path, "X-Id", id)
							ran := f.counted(f.started, id)
							assert.Assert(t, ran == 0 || !notRunStatuses[a.status], "%s ran and was answered with %d %s", id, a.status, a.body)
							assert.Assert(t, path != "/once/x" || ran <= 1, "%s ran %d times", id, ran)
						}
					})
				}
			}
		}
	}
}

// TestUnattributedRefusalEndsItsConnection guards against a stream that is resumed at a
// second upstream while the first one, which sent an earlier refusal a second time,
// still works on it.
func TestUnattributedRefusalEndsItsConnection(t *testing.T) {
	for name, ids := range idHeaders {
		t.Run(name, func(t *testing.T) {
			f := &refuser{ids: ids, status: 503, at: atRequest}
			r := newHarness(t)
			r.add(f.listen(t))
			r.call("/resumable/x", "X-Id", "id-0")
			r.add(r.upstream(answersWith(200, "sold")))
			assert.Assert(t, !notRunStatuses[r.call("/resumable/x").status])
			time.Sleep(2 * workTime)
			assert.Equal(t, f.counted(f.started, "id-1"), 1, "the connection was not used again")
			assert.Equal(t, f.counted(f.done, "id-1"), 0, "the first upstream finished what the second one ran")
		})
	}
}

// TestOwnEarlierRefusalIsNotBelieved guards against a request that is sent to the same
// upstream again and is taken for refused because of its own earlier refusal, which the
// upstream sent a second time.
func TestOwnEarlierRefusalIsNotBelieved(t *testing.T) {
	for _, path := range []string{"/once/x", "/resumable/x", "/idempotent/x"} {
		for _, at := range []repeatTime{together, idle, atRequest, interim, half} {
			t.Run(path+" "+string(at), func(t *testing.T) {
				f := &refuser{ids: idHeaders["the refused request"], status: 503, at: at}
				r := newHarness(t)
				address := f.listen(t)
				// Both upstreams are the same process, so the second attempt reaches it too.
				r.add(address)
				r.add(address)
				a := r.call(path)
				ran := f.counted(f.started, "id-1")
				assert.Assert(t, ran == 0 || !notRunStatuses[a.status], "it ran and was answered with %d %s", a.status, a.body)
			})
		}
	}
}

// TestPartOfEarlierHeadIsNotBelieved guards against a response head that is parsed
// together with a part of an earlier one that the upstream sent before it: the status
// and headers are a mixture of both.
func TestPartOfEarlierHeadIsNotBelieved(t *testing.T) {
	heads := map[string]string{
		"refusal": "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nRetry-After: 1\r\nX-Id: id-0\r\nContent-Length: 0\r\n\r\n",
		"success": "HTTP/1.1 200 OK\r\nX-Signed: y\r\nServer: s\r\nX-Id: id-0\r\nContent-Length: 3\r\n\r\nold",
	}
	for _, status := range []int{200, 500} {
		for name, earlier := range heads {
			for cut := range len(earlier) {
				t.Run(fmt.Sprint(status, " after ", cut, " bytes of a ", name), func(t *testing.T) {
					l, err := net.Listen("tcp", "127.0.0.1:0")
					assert.NilError(t, err)
					defer func() { _ = l.Close() }()
					var ran atomic.Bool
					go serveSpliced(l, &ran, earlier, earlier[:cut]+fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: id-1\r\nX-Signed: y\r\nContent-Length: 3\r\n\r\nnew", status))
					r := newHarness(t)
					r.add(l.Addr().String())
					r.call("/resumable/x", "X-Id", "id-0")
					a := r.call("/resumable/x")
					assert.Assert(t, a.broken == nil && (!ran.Load() || !notRunStatuses[a.status]), "%d %s", a.status, a.body)
					assert.Assert(t, a.header.Get("X-Signed") == "" || a.status == status, "%d for %d", a.status, status)
				})
			}
		}
	}
}

// serveSpliced answers the first and second request on its first connection and accepts
// no other connection. ran is set when the second request has arrived.
func serveSpliced(l net.Listener, ran *atomic.Bool, first, second string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	_ = l.Close()
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i, text := range []string{first, second} {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		ran.Store(i > 0)
		_, _ = io.WriteString(c, text)
	}
}

// TestStatusAloneIsNoRefusal guards against forwarding a status that tells the caller
// that its request has not run, while the upstream doesn't state so and may have run
// it.
func TestStatusAloneIsNoRefusal(t *testing.T) {
	for _, path := range []string{"/once/x", "/resumable/x"} {
		for _, status := range []int{408, 429, 503} {
			t.Run(fmt.Sprint(path, " ", status), func(t *testing.T) {
				a := newHarness(t, answersWith(status, "no")).call(path)
				assert.Equal(t, a.status, http.StatusBadGateway)
				assert.Equal(t, a.header.Get("X-Signed"), "")
			})
		}
	}
}

// TestEarlierRefusalBesideStream guards against an earlier refusal that becomes a part
// of a stream, or ends it as if it were complete.
func TestEarlierRefusalBesideStream(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nX-Id: id-0\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var parts, rest strings.Builder
	events(1, 3, true)(&parts, nil)
	events(4, 6, true)(&rest, nil)
	begin, _, _ := strings.Cut(parts.String(), "0\r\n\r\n")
	_, more, _ := strings.Cut(rest.String(), "\r\n\r\n")
	for _, c := range []struct {
		name   string
		answer string
		events int
		// resumed is set when the second upstream resumes the stream.
		resumed bool
	}{
		{"between two events", begin + refusal + more, 6, true},
		{"before its end", begin + refusal + "0\r\n\r\n", 6, true},
		{"after its end", parts.String() + refusal, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			go serveSpliced(l, new(atomic.Bool), refusal, c.answer)
			r := newHarness(t)
			r.add(l.Addr().String())
			r.call("/resumable/x", "X-Id", "id-0")
			r.add(r.upstream(events(4, 6, true)))
			a := r.call("/resumable/x")
			assert.NilError(t, a.broken)
			assert.Equal(t, a.status, 200)
			assert.Assert(t, !strings.Contains(a.body, "HTTP/1.1"), "%s", a.body)
			assert.Equal(t, strings.Count(a.body, "id: "), c.events)
			assert.Equal(t, r.runs() == 1, c.resumed)
		})
	}
}

// TestRefusalOfResentRequestIsNotBelieved guards against trusting a refusal although
// net/http sent the request twice: the upstream closed the connection on reading it the
// first time, and may have run it.
func TestRefusalOfResentRequestIsNotBelieved(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	refusal := "HTTP/1.1 503 X\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	ran := make(chan string, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		_, _ = http.ReadRequest(r)
		_, _ = fmt.Fprintf(c, refusal, "id-0")
		if q, err := http.ReadRequest(r); err == nil {
			ran <- q.Header.Get("X-Id")
		}
		_ = c.Close()
		if c, err = l.Accept(); err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = fmt.Fprintf(c, refusal, "id-1")
	}()
	r := newHarness(t)
	r.add(l.Addr().String())
	assert.Equal(t, r.get("/resumable/x", "id-0"), http.StatusServiceUnavailable)
	status := r.get("/resumable/x", "id-1")
	select {
	case id := <-ran:
		assert.Equal(t, id, "id-1")
	default:
		t.Fatal("the connection was not used again")
	}
	assert.Equal(t, status, http.StatusBadGateway)
}
