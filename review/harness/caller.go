package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"time"
)

// channel is a connection of a caller that it keeps for several requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// request is one request of a caller.
type request struct {
	id, method, target, host string
	body                     []byte
	// deadline is how long the caller waits.
	deadline time.Duration
	headers  map[string]string
}

// reply is what a caller got. err tells why there is no complete answer.
type reply struct {
	status int
	stamp  string
	body   []byte
	took   time.Duration
	err    error
}

// String describes the reply for the record.
func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v after %.3f s", r.status, len(r.body), r.err, r.took.Seconds())
	}
	return fmt.Sprintf("status %d, %d bytes, whole, after %.3f s", r.status, len(r.body), r.took.Seconds())
}

func dial(host string, port int) (*channel, error) {
	c, err := net.DialTimeout("tcp", address(host, port), time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends a request and reads its answer. The target is sent as it is.
func (c *channel) send(q request) reply {
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(q.deadline))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.target, q.host, q.id, q.deadline.Milliseconds())
	names := make([]string, 0, len(q.headers))
	for n := range q.headers {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(&head, "%s: %s\r\n", n, q.headers[n])
	}
	if q.body != nil {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n")
	if _, err := c.conn.Write(append(head.Bytes(), q.body...)); err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	a, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = a.Body.Close() }()
	r := reply{status: a.StatusCode, stamp: a.Header.Get("Server-Stamp")}
	r.body, r.err = io.ReadAll(a.Body)
	r.took = time.Since(began)
	return r
}

func (c *channel) close() { _ = c.conn.Close() }
