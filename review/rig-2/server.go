package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// heartbeat is the time between two check-ins of a server.
const heartbeat = 1200 * time.Millisecond

// server is a stand-in for one server of a service. It follows the users' pages; run is
// called for each request that it runs, with the answer to write.
type server struct {
	fleet   *fleet
	service string
	// name is the beginning of its IDs; each boot has an ID of its own.
	name    string
	version string
	address string
	slots   int
	run     func(s *server, w http.ResponseWriter, q *http.Request)

	sequence, born, boots atomic.Int64
	mu                    sync.Mutex
	http                  *http.Server
	stop                  chan struct{}
	closed                bool
	group                 conc.WaitGroup
}

// id returns the ID of the current boot.
func (s *server) id() string { return fmt.Sprintf("i-%s-%d", s.name, s.boots.Load()) }

// start starts a run of the server.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return l.Close()
	}
	s.boots.Add(1)
	s.born.Store(time.Now().UnixMilli())
	s.sequence.Store(0)
	s.stop = make(chan struct{})
	server, stop := &http.Server{Handler: s}, s.stop
	s.http = server
	s.group.Go(func() { _ = server.Serve(l) })
	s.group.Go(func() { s.checkIn(stop) })
	s.fleet.record.note("%s starts", s.id())
	return nil
}

// checkIn sends check-ins to the control hosts in turn until stop is closed.
func (s *server) checkIn(stop chan struct{}) {
	hosts := s.fleet.controlHosts()
	for i := 0; ; i++ {
		for range hosts {
			status, _ := call(http.MethodPut, "http://"+address(hosts[i%len(hosts)], controlPort)+"/api/instances/"+s.id(), s.announcement("ready"))
			if status == http.StatusOK {
				break
			}
			i++
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) announcement(state string) []byte {
	return fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":"lj-a","Version":%q,"Slots":%d,"State":%q,"ColdLeftMs":0,"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Sequence":%d,"born":%d}`,
		s.service, s.address, s.version, s.slots, state, s.sequence.Add(1), s.born.Load())
}

// crash ends the run of the server: its channels are reset and it is silent.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
		return
	default:
	}
	close(s.stop)
	_ = s.http.Close()
	s.fleet.record.note("%s crashes", s.id())
}

// restartAfter starts the server again after d, as a new boot.
func (s *server) restartAfter(d time.Duration) {
	s.group.Go(func() {
		time.Sleep(d)
		if err := s.start(); err != nil {
			s.fleet.record.note("%s can't start again: %v", s.id(), err)
		}
	})
}

// close ends the server and waits for its goroutines.
func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.crash()
	s.group.Wait()
}

// ServeHTTP answers what isn't a request of a requester, rejects what is meant for another
// server, and runs the rest.
func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case strings.HasPrefix(q.URL.Path, "/api/kv-list"):
		_, _ = fmt.Fprint(w, `{"epoch":1,"Next":1,"held":[]}`)
		return
	case strings.HasPrefix(q.URL.Path, "/api/"):
		http.NotFound(w, q)
		return
	case q.URL.Path == "/health":
		w.Header().Set("Instance-Id", s.id())
		return
	}
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if q.Header.Get("Expect-Instance") != s.id() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Server-Stamp", s.id()+"."+id)
	s.run(s, w, q)
}
