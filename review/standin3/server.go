package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// beatTime is the time between two check-ins of a server.
	beatTime = 1200 * time.Millisecond
	// drainTime is how long a server that leaves goes on serving, and drainExtra what it adds.
	drainTime  = 2 * time.Second
	drainExtra = 3 * time.Second
)

// handler runs a request that names the server.
type handler func(s *server, w http.ResponseWriter, q *http.Request)

// server is a server of a service. It checks in at the core, and starts anew after a crash.
type server struct {
	deployment *deployment
	service    string
	version    string
	slots      int
	address    string
	handle     handler
	// backAfter is the time from a crash to the next start.
	backAfter time.Duration

	mu   sync.Mutex
	boot *boot
	// crashes counts the crashes.
	crashes atomic.Int64
}

// boot is one run of a server.
type boot struct {
	id       string
	born     int64
	sequence int
	server   *http.Server
	down     chan struct{}
	// leaving is set once the server says that it leaves.
	leaving atomic.Bool
	once    sync.Once

	mu          sync.Mutex
	connections map[net.Conn]bool
}

// addServer starts a server of a service with an address of its own.
func (d *deployment) addServer(service, version string, slots int, h handler) (*server, error) {
	d.mu.Lock()
	n := len(d.servers)
	s := &server{deployment: d, service: service, version: version, slots: slots, handle: h, backAfter: 2 * time.Second,
		address: fmt.Sprintf("%s.%d:18080", d.network, 100+n)}
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	return s, s.start()
}

// start begins a boot.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("start a server: %w", err)
	}
	d := s.deployment
	d.mu.Lock()
	d.nextID++
	id := fmt.Sprintf("i-%06x", d.nextID)
	d.mu.Unlock()
	b := &boot{id: id, born: time.Now().UnixMilli(), down: make(chan struct{}), connections: map[net.Conn]bool{}}
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { s.serve(b, w, q) }), ConnState: b.track}
	s.mu.Lock()
	s.boot = b
	s.mu.Unlock()
	d.record.printf("server %s of %s %s starts at %s", id, s.service, s.version, s.address)
	d.group.Go(func() { _ = b.server.Serve(l) })
	d.group.Go(func() { s.beat(b) })
	return nil
}

// track keeps the open connections of a boot.
func (b *boot) track(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(b.connections, c)
	default:
		b.connections[c] = true
	}
}

// crash ends the boot: all its connections are reset. The server starts again after
// backAfter.
func (s *server) crash(why string) {
	s.mu.Lock()
	b := s.boot
	s.mu.Unlock()
	if b == nil {
		return
	}
	b.once.Do(func() {
		s.crashes.Add(1)
		s.deployment.record.printf("server %s of %s crashes: %s", b.id, s.service, why)
		close(b.down)
		b.mu.Lock()
		for c := range b.connections {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
		}
		b.mu.Unlock()
		_ = b.server.Close()
		s.deployment.group.Go(func() {
			if s.deployment.sleep(s.backAfter) {
				if err := s.start(); err != nil {
					s.deployment.record.printf("%v", err)
				}
			}
		})
	})
}

// beat sends check-ins to core machines until the boot ends.
func (s *server) beat(b *boot) {
	d := s.deployment
	for {
		state := "ready"
		if b.leaving.Load() {
			state = "draining"
		}
		body := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":"lj-a","Version":%q,"Slots":%d,"State":%q,"ColdLeftMs":0,"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Sequence":%d,"born":%d}`,
			s.service, s.address, s.version, s.slots, state, b.sequence, b.born)
		b.sequence++
		first := rand.IntN(d.layout.core)
		for i := range d.layout.core {
			if d.control(d.cores()[(first+i)%d.layout.core], http.MethodPut, "/api/instances/"+b.id, body) == http.StatusOK {
				break
			}
		}
		select {
		case <-b.down:
			return
		case <-d.stopped:
			return
		case <-time.After(beatTime):
		}
	}
}

// leave ends the boot as the pages say: the server reports that it drains, goes on serving and
// deletes itself. It doesn't start again.
func (s *server) leave() {
	d := s.deployment
	s.mu.Lock()
	b := s.boot
	s.mu.Unlock()
	d.record.printf("server %s of %s %s leaves", b.id, s.service, s.version)
	b.leaving.Store(true)
	d.group.Go(func() {
		if !d.sleep(beatTime + drainTime + drainExtra) {
			return
		}
		for _, host := range d.cores() {
			if d.control(host, http.MethodDelete, "/api/instances/"+b.id, fmt.Sprintf(`{"born":%d}`, b.born)) == http.StatusOK {
				break
			}
		}
		b.once.Do(func() {
			close(b.down)
			_ = b.server.Close()
		})
	})
}

// serve answers a request as the pages say.
func (s *server) serve(b *boot, w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == "/api/kv-list":
		_, _ = fmt.Fprint(w, `{"epoch":1,"Next":1,"held":[]}`)
		return
	case q.URL.Path == "/health":
		w.Header().Set("Instance-Id", b.id)
		return
	}
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if q.Header.Get("Expect-Instance") != b.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Server-Stamp", b.id+"."+id)
	s.handle(s, w, q)
}

// wait waits within a request and reports whether it goes on.
func wait(ctx context.Context, t time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(t):
		return true
	}
}

// stream writes the events of an answer, after the last one that the caller has. Their ids
// increase by step.
func stream(w http.ResponseWriter, q *http.Request, events, step int, gap time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := last/step + 1; i <= events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", i*step, i, q.Header.Get("Attempt-Id")); err != nil {
			return
		}
		if errors.Is(http.NewResponseController(w).Flush(), net.ErrClosed) || !wait(q.Context(), gap) {
			return
		}
	}
}
