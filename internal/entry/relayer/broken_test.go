package relayer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// raw sends one request on a new connection and returns the bytes of the response up to
// the end of the connection, and how it ended: io.EOF, a reset, or a timeout if the
// connection stays open.
func (r *harness) raw(path, version string, headers ...string) (head, body string, end error) {
	r.t.Helper()
	c, err := net.Dial("tcp", r.address)
	assert.NilError(r.t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST %s HTTP/%s\r\nHost: shop.example\r\nX-Id: id-1\r\nX-Key: secret\r\nContent-Length: 1\r\n", path, version)
	assert.NilError(r.t, err)
	for i := 0; i < len(headers); i += 2 {
		_, err = fmt.Fprintf(c, "%s: %s\r\n", headers[i], headers[i+1])
		assert.NilError(r.t, err)
	}
	_, err = io.WriteString(c, "\r\nx")
	assert.NilError(r.t, err)
	data, end := readConnection(c)
	head, body, found := strings.Cut(data, "\r\n\r\n")
	assert.Assert(r.t, found, "no head in %q", data)
	return head + "\r\n", body, end
}

// keptOpen is how long nothing may arrive before a connection counts as left open. It
// is longer than the timeout of the routes.
const keptOpen = 5 * time.Second

// readConnection reads until the connection ends or nothing arrives for keptOpen.
func readConnection(c net.Conn) (string, error) {
	var data strings.Builder
	part := make([]byte, 64<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(keptOpen))
		n, err := c.Read(part)
		data.Write(part[:n])
		if err != nil {
			return data.String(), err
		}
	}
}

// numbered returns the events of a stream as its upstream sends them.
func numbered(first, last int) []string {
	var list []string
	for i := first; i <= last; i++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: part %d\n\n", i, i))
	}
	return list
}

// shortened quotes the start and end of what a caller received after its first three
// events.
func shortened(body string) string {
	const most = 80
	body = strings.TrimPrefix(body, chunked(numbered(1, 3)...))
	if len(body) > most {
		return fmt.Sprintf("%d bytes more: %q ... %q", len(body), body[:most/2], body[len(body)-most/2:])
	}
	return fmt.Sprintf("%d bytes more: %q", len(body), body)
}

// chunked returns the events in chunked encoding as a caller's connection carries them,
// without the last chunk.
func chunked(events ...string) string {
	var b strings.Builder
	for _, e := range events {
		chunk(&b, e)
	}
	return b.String()
}

// answers sends a response with the given status and header lines, signed and with the
// request's ID, followed by raw bytes, and closes the connection.
func answers(status, lines, body string) script {
	return writes("HTTP/1.1 " + status + "\r\nX-Id: id-1\r\nX-Signed: yes\r\nX-Second: yes\r\n" + lines + "\r\n" + body)
}

// brokenHead answers with a stream that would go on after the third event, behind a head
// with this status line and header line.
func brokenHead(status, line string) script {
	return writes(status + "\r\n" + ownLines("id-1") + line + eventLines + "\r\n" + chunked(numbered(4, 5)...) + "0\r\n\r\n")
}

const eventLines = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"

// streamOf answers with an event stream of these events that ends regularly.
func streamOf(events ...string) script {
	return answers("200 OK", eventLines, chunked(events...)+"0\r\n\r\n")
}

// noContinuation is a response that can't complete a stream whose third event was the
// last one received, with those of its events that are forwarded nevertheless.
type noContinuation struct {
	answer    script
	forwarded []string
}

func noContinuations() map[string]noContinuation {
	rows := map[string]noContinuation{
		"nothing":                    {closesConnection, nil},
		"half a head":                {writes("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Sig"), nil},
		"refusal":                    {refuses, nil},
		"status 204":                 {answers("204 X", "", ""), nil},
		"status 204, event stream":   {answers("204 X", "Content-Type: text/event-stream\r\n", ""), nil},
		"status 206, event stream":   {answers("206 X", eventLines, chunked(numbered(4, 5)...)+"0\r\n\r\n"), nil},
		"status 304":                 {answers("304 X", "", ""), nil},
		"plain text":                 {answers("200 OK", "Content-Type: text/plain\r\nContent-Length: 4\r\n", "oops"), nil},
		"plain text without length":  {answers("200 OK", "Content-Type: text/plain\r\n", "oops"), nil},
		"long plain text":            {answers("200 OK", "Content-Type: text/plain\r\n", strings.Repeat("oops", 1<<19)), nil},
		"no type":                    {answers("200 OK", "Content-Length: 4\r\n", "oops"), nil},
		"not signed":                 {writes("HTTP/1.1 200 OK\r\nX-Id: id-1\r\n" + eventLines + "\r\n" + chunked(numbered(4, 5)...) + "0\r\n\r\n"), nil},
		"of another request":         {writes("HTTP/1.1 200 OK\r\nX-Id: id-0\r\nX-Signed: yes\r\n" + eventLines + "\r\n" + chunked(numbered(4, 5)...) + "0\r\n\r\n"), nil},
		"compressed stream":          {answers("200 OK", eventLines+"Content-Encoding: gzip\r\n", chunked(numbered(4, 5)...)+"0\r\n\r\n"), nil},
		"an event is missing":        {streamOf(numbered(5, 6)...), nil},
		"an event is missing later":  {streamOf(append(numbered(4, 4), numbered(6, 7)...)...), numbered(4, 4)},
		"another, shorter stream":    {streamOf(numbered(1, 2)...), nil},
		"error event without ID":     {streamOf("event: error\ndata: oops\n\n"), nil},
		"error event after an event": {streamOf(numbered(4, 4)[0], "event: error\ndata: oops\n\n"), numbered(4, 4)},
		"error event with a name":    {streamOf("id: error\ndata: oops\n\n"), nil},
		"error as lines":             {streamOf("HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\n", "oops\n\n"), nil},
		"part of an event":           {streamOf("id: 4\ndata: pa"), nil},
		"part of an event, no chunks": {
			answers("200 OK", "Content-Type: text/event-stream\r\n", "id: 4\ndata: pa"), nil,
		},
		"status 000":                     {brokenHead("HTTP/1.1 000 X", ""), nil},
		"blank in a field name":          {brokenHead("HTTP/1.1 200 OK", "X Second: yes\r\n"), nil},
		"control byte in a field name":   {brokenHead("HTTP/1.1 200 OK", "X-Sec\x01ond: yes\r\n"), nil},
		"breaks off after an event":      {answers("200 OK", eventLines, chunked(numbered(4, 4)...)), numbered(4, 4)},
		"breaks off within an event":     {events(4, 4, false), numbered(4, 4)},
		"stream shorter than its length": {answers("200 OK", "Content-Type: text/event-stream\r\nContent-Length: 99\r\n", numbered(4, 4)[0]), numbered(4, 4)},
	}
	for _, status := range []string{"400", "404", "421", "429", "500", "503"} {
		head, text := status+" X", "oops"
		rows["status "+status] = noContinuation{answers(head, "Content-Length: 4\r\n", text), nil}
		rows["status "+status+" without length"] = noContinuation{answers(head, "", text), nil}
		rows["status "+status+" in chunks"] = noContinuation{answers(head, "Transfer-Encoding: chunked\r\n", chunked(text)+"0\r\n\r\n"), nil}
		rows["status "+status+", compressed"] = noContinuation{answers(head, "Content-Encoding: gzip\r\nContent-Length: 4\r\n", text), nil}
		rows["status "+status+", breaks off"] = noContinuation{answers(head, "Content-Length: 9\r\n", text), nil}
		rows["status "+status+", event stream"] = noContinuation{answers(head, eventLines, chunked(numbered(4, 5)...)+"0\r\n\r\n"), nil}
		rows["status "+status+", long"] = noContinuation{answers(head, fmt.Sprintf("Content-Length: %d\r\n", 2<<20), strings.Repeat("oops", 1<<19)), nil}
		rows["status "+status+", long, in chunks"] = noContinuation{answers(head, "Transfer-Encoding: chunked\r\n", chunked(strings.Repeat("oops", 1<<19))+"0\r\n\r\n"), nil}
	}
	return rows
}

// TestBrokenStreamStaysBroken guards against a caller that finds an error within its
// stream, or takes a broken stream for a complete one, when the upstream that is to
// resume it answers with something else.
func TestBrokenStreamStaysBroken(t *testing.T) {
	for name, row := range noContinuations() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newHarness(t, events(1, 3, false), row.answer)
			want := append(numbered(1, 3), row.forwarded...)
			head, body, end := r.raw("/resumable/x", "1.1")
			assert.Assert(t, body == chunked(want...), "the caller got %s", shortened(body))
			assert.Assert(t, errors.Is(end, io.EOF), "the connection ended with %v", end)
			assert.Assert(t, !strings.Contains(head, "X-Second"), head)
		})
	}
}

// TestBrokenStreamGoesOnAfterAFailure guards against giving up a stream that another
// upstream can still resume.
func TestBrokenStreamGoesOnAfterAFailure(t *testing.T) {
	rows := noContinuations()
	// The same upstream is tried again, because only the connection is at fault.
	delete(rows, "of another request")
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			next := 4 + len(row.forwarded)
			r := newHarness(t, events(1, 3, false), row.answer, events(next, 6, true))
			head, body, end := r.raw("/thrice/x", "1.1", "Connection", "close")
			assert.Assert(t, body == chunked(numbered(1, 6)...)+"0\r\n\r\n", "the caller got %s", shortened(body))
			assert.Assert(t, errors.Is(end, io.EOF), "the connection ended with %v", end)
			assert.Assert(t, !strings.Contains(head, "X-Second"), head)
		})
	}
}

// TestBrokenStreamAfterAKeptFailure guards against sending the stored failure of an
// earlier attempt within a stream that a later attempt began, and against a stream that
// looks complete because no attempt is left.
func TestBrokenStreamAfterAKeptFailure(t *testing.T) {
	failure := answersWith(500, "oops", "X-Second", "yes")
	cases := map[string]struct {
		scripts []script
		waits   bool
		headers []string
	}{
		"no upstream is left":      {scripts: []script{failure, events(1, 3, false)}},
		"another failure":          {scripts: []script{failure, events(1, 3, false), failure}},
		"another long failure":     {scripts: []script{failure, events(1, 3, false), answers("500 X", "", strings.Repeat("oops", 1<<19))}},
		"lost":                     {scripts: []script{failure, events(1, 3, false), closesConnection}},
		"refused":                  {scripts: []script{failure, events(1, 3, false), refuses}},
		"no attempt is left":       {scripts: []script{failure, closesConnection, events(1, 3, false), events(4, 6, true)}},
		"no failure, no upstream":  {scripts: []script{events(1, 3, false)}},
		"no slot before the end":   {scripts: []script{events(1, 3, false), events(4, 6, true)}, waits: true, headers: []string{"X-Patience", "300ms"}},
		"silent up to the timeout": {scripts: []script{holdsOpen(events(1, 3, false)), events(4, 6, true)}, headers: []string{"X-Patience", "300ms"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newHarness(t, c.scripts...)
			r.dispatcher.blocksRetries = c.waits
			head, body, end := r.raw("/thrice/x", "1.1", c.headers...)
			assert.Assert(t, body == chunked(numbered(1, 3)...), "the caller got %s", shortened(body))
			assert.Assert(t, errors.Is(end, io.EOF), "the connection ended with %v", end)
			assert.Assert(t, !strings.Contains(head, "X-Second"), head)
		})
	}
}

// holdsOpen keeps the connection open after the response.
func holdsOpen(s script) script {
	return func(w io.Writer, q *http.Request) {
		s(w, q)
		_, _ = w.(io.Reader).Read(make([]byte, 1))
	}
}

// TestBrokenStreamOfAHostWithoutMemory guards against the same faults on a host that
// has no memory left to buffer responses.
func TestBrokenStreamOfAHostWithoutMemory(t *testing.T) {
	r := newHarness(t, events(1, 3, false), answers("500 X", "", strings.Repeat("oops", ownBuffer)))
	r.relayer.buffers.used.Store(sharedBuffer)
	_, body, end := r.raw("/resumable/x", "1.1")
	assert.Assert(t, body == chunked(numbered(1, 3)...), "the caller got %s", shortened(body))
	assert.Assert(t, errors.Is(end, io.EOF), "the connection ended with %v", end)
}

// TestBrokenStreamWithoutIDs guards against duplicate events: a stream whose last event
// has no ID can't be resumed, because nothing tells the next upstream where to
// continue. Comments are no events.
func TestBrokenStreamWithoutIDs(t *testing.T) {
	const (
		plain   = "data: part\n\n"
		comment = ": still here\n\n"
	)
	cases := map[string]struct {
		first, second []string
		want          string
		whole         bool
	}{
		"no event has an ID":      {[]string{plain, plain}, []string{plain, plain, plain}, chunked(plain, plain), false},
		"the last one has no ID":  {[]string{numbered(1, 1)[0], plain}, []string{plain, numbered(2, 2)[0]}, chunked(numbered(1, 1)[0], plain), false},
		"an earlier one has none": {[]string{plain, numbered(1, 1)[0]}, numbered(2, 2), chunked(plain, numbered(1, 1)[0], numbered(2, 2)[0]), true},
		"comment behind an event": {[]string{numbered(1, 1)[0], comment}, numbered(2, 2), chunked(numbered(1, 1)[0], comment, numbered(2, 2)[0]), true},
		"comments only":           {[]string{comment}, numbered(1, 2), chunked(comment, numbered(1, 1)[0], numbered(2, 2)[0]), true},
		"comment between the two": {numbered(1, 1), []string{comment, numbered(2, 2)[0]}, chunked(numbered(1, 1)[0], comment, numbered(2, 2)[0]), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			breaks := answers("200 OK", eventLines, chunked(c.first...))
			r := newHarness(t, breaks, streamOf(c.second...))
			want := c.want
			if c.whole {
				want += "0\r\n\r\n"
			}
			_, body, end := r.raw("/resumable/x", "1.1", "Connection", "close")
			assert.Equal(t, body, want)
			assert.Assert(t, errors.Is(end, io.EOF), "the connection ended with %v", end)
		})
	}
}

// TestStreamWithoutIDsKeepsItsUpstream guards against preempting a stream that can't be
// resumed elsewhere: it would be cut off without need.
func TestStreamWithoutIDsKeepsItsUpstream(t *testing.T) {
	asked := make(chan struct{})
	r := newHarness(t, func(w io.Writer, _ *http.Request) {
		_, _ = io.WriteString(w, streamHead)
		chunk(w, "data: part\n\n")
		<-asked
		time.Sleep(50 * time.Millisecond)
		chunk(w, "data: part\n\n")
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}, closesConnection)
	r.dispatcher.preempted = make(chan struct{})
	go func() {
		for r.dispatcher.passed() == 0 {
			time.Sleep(time.Millisecond)
		}
		close(r.dispatcher.preempted)
		close(asked)
	}()
	_, body, _ := r.raw("/resumable/x", "1.1", "Connection", "close")
	assert.Equal(t, body, chunked("data: part\n\n", "data: part\n\n")+"0\r\n\r\n")
}

// passed returns the number of events that were forwarded.
func (d *fakeDispatcher) passed() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.progress)
}

// TestEndOfAStreamThatCallersResume guards against a stream that looks complete
// although its upstream ended before the event that the caller had from an earlier
// stream, and against failing a stream whose upstream has nothing to add.
func TestEndOfAStreamThatCallersResume(t *testing.T) {
	t.Run("ends earlier", func(t *testing.T) {
		r := newHarness(t, streamOf(numbered(1, 2)...))
		assert.Equal(t, r.call("/resumable/x", "Last-Event-Id", "3").status, http.StatusBadGateway)
	})
	t.Run("ends there", func(t *testing.T) {
		r := newHarness(t, streamOf(numbered(1, 3)...))
		a := r.call("/resumable/x", "Last-Event-Id", "3")
		assert.NilError(t, a.broken)
		assert.Equal(t, a.status, http.StatusOK)
	})
	t.Run("nothing to add", func(t *testing.T) {
		r := newHarness(t, streamOf())
		a := r.call("/resumable/x", "Last-Event-Id", "3")
		assert.NilError(t, a.broken)
		assert.Equal(t, a.status, http.StatusOK)
	})
	t.Run("nothing to add at a further upstream", func(t *testing.T) {
		r := newHarness(t, events(1, 3, false), streamOf())
		_, body, _ := r.raw("/resumable/x", "1.1", "Connection", "close")
		assert.Equal(t, body, chunked(numbered(1, 3)...)+"0\r\n\r\n")
	})
}

// TestEventOfACallerWhereNothingIsResumed guards against leaving out events because a
// caller sends Last-Event-ID on a route whose streams can't be resumed: the upstream
// starts from the beginning, and the caller gets the complete response.
func TestEventOfACallerWhereNothingIsResumed(t *testing.T) {
	for _, path := range []string{"/once/x", "/idempotent/x"} {
		a := newHarness(t, streamOf(numbered(1, 5)...)).call(path, "Last-Event-Id", "3")
		assert.NilError(t, a.broken)
		assert.Equal(t, a.status, http.StatusOK)
		assert.Equal(t, a.body, strings.Join(numbered(1, 5), ""))
	}
}

// TestBrokenAnswerForHTTP10 guards against an HTTP/1.0 caller that takes a broken
// response for a complete one: there are no chunks, and the end of the connection is
// the end of the response.
func TestBrokenAnswerForHTTP10(t *testing.T) {
	long := strings.Repeat("sold", 1<<19)
	cases := map[string]struct {
		scripts []script
		broken  bool
	}{
		"broken stream":               {[]script{events(1, 3, false)}, true},
		"broken stream, then failure": {[]script{events(1, 3, false), answersWith(500, "oops")}, true},
		"broken long answer":          {[]script{answers("200 OK", "Transfer-Encoding: chunked\r\n", chunked(long))}, true},
		"stream":                      {[]script{events(1, 3, true)}, false},
		"long answer":                 {[]script{answers("200 OK", "Transfer-Encoding: chunked\r\n", chunked(long)+"0\r\n\r\n")}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, body, end := newHarness(t, c.scripts...).raw("/resumable/x", "1.0")
			assert.Assert(t, !strings.Contains(body, "oops"), shortened(body))
			if c.broken {
				assert.Assert(t, errors.Is(end, syscall.ECONNRESET), "the connection ended with %v", end)
				return
			}
			assert.Assert(t, errors.Is(end, io.EOF), "the connection ended with %v", end)
		})
	}
}
