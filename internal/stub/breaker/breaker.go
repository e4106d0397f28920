// Package breaker is an upstream for tests that answers with given bytes: answers that
// break HTTP/1.1, that break off, or that are unusual but sound.
//
// # Usage
//
//	l, err := net.Listen("tcp", "127.0.0.1:0")
//	s := breaker.Start(l, breaker.Answer{Bytes: breaker.BrokenNames()[0].Answer(lines, body)})
//	defer s.Close()
//	... // send requests to l.Addr()
//	n := s.Requests()
package breaker

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// End is what happens to a connection after an answer.
type End int

const (
	// Keep reads the next request from the connection.
	Keep End = iota
	// Close ends the connection regularly; over TLS with a closure alert.
	Close
	// HalfClose ends the own direction regularly and reads to the end of the other one.
	HalfClose
	// Reset resets the TCP connection.
	Reset
	// Cut ends the TCP connection regularly, over TLS without a closure alert.
	Cut
)

// Answer is what the server does with a request.
type Answer struct {
	Bytes string
	// Early sends the answer before the body of the request has been read.
	Early bool
	// Pause is the time between the answer and the end of the connection.
	Pause time.Duration
	End   End
}

// Server sends answers.
type Server struct {
	listener net.Listener
	answers  []Answer
	group    conc.WaitGroup

	mu          sync.Mutex
	requests    int
	connections []net.Conn
}

// Start serves on the listener. The requests of all connections get the answers in turn
// and then the last one again and again.
func Start(l net.Listener, answers ...Answer) *Server {
	s := &Server{listener: l, answers: answers}
	s.group.Go(s.accept)
	return s
}

// Requests returns the number of requests that have arrived.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Connections returns the number of connections that were accepted.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// Close closes the listener and all connections and waits for their goroutines.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	for _, c := range s.connections {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
	return err
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections = append(s.connections, c)
		s.mu.Unlock()
		s.group.Go(func() { s.serve(c) })
	}
}

// serve answers the requests of one connection.
func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		a := s.next()
		if !a.Early {
			_, _ = io.Copy(io.Discard, q.Body)
		}
		_, _ = io.WriteString(c, a.Bytes)
		time.Sleep(a.Pause)
		if a.End != Keep {
			end(c, r, a.End)
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
	}
}

// next returns the answer to the next request.
func (s *Server) next() Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(s.requests, len(s.answers)-1)
	s.requests++
	return s.answers[n]
}

// end ends a connection.
func end(c net.Conn, r io.Reader, e End) {
	lower := c
	if t, ok := c.(*tls.Conn); ok {
		lower = t.NetConn()
	}
	switch e {
	case HalfClose:
		if w, ok := c.(interface{ CloseWrite() error }); ok {
			_ = w.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, r)
	case Reset:
		if t, ok := lower.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = lower.Close()
	case Cut:
		_ = lower.Close()
	}
}
