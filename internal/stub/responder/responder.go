// Package responder implements a stub model engine and plain HTTP service for
// tests.
//
// It speaks the OpenAI protocol with the extension fields that engines
// publish, answers each prompt with the same text every time, counts the runs
// of plain calls and injects faults on request.
//
// # Usage
//
//	r := responder.New(responder.Options{Name: "a", Models: []validator.PoolName{"m"}})
//	group.Go(func() { err = r.Serve(listener) })
//	r.Set(responder.Behaviour{Gap: validator.Duration(10 * time.Millisecond)})
//	defer r.Close()
//
// A prompt may carry markers: [[length=N]] fixes the number of tokens and
// [[crash=N]] makes the responder crash after N tokens. In a completion the
// length marker has to end the prompt.
package responder

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// AnnounceInterval is the time between two announcements.
const AnnounceInterval = time.Second

// maxBody bounds the body of a request in bytes.
const maxBody = 16 << 20

// Options configures a Responder.
type Options struct {
	Name registrar.UpstreamID
	// Address is the address to announce; when it is empty, Serve announces the
	// listener's.
	Address     string
	Centre      registrar.DataCentre
	Cell        registrar.CellName
	Models      []validator.PoolName
	Services    []validator.PoolName
	Incarnation registrar.Incarnation
	Adapters    []string
	Versions    []string
	// Role is changed by orders and not announced.
	Role string
	// Fenced makes the responder refuse orders with old fencing numbers.
	Fenced bool
	// Load is how long it takes to load the weights that an order asks for.
	Load time.Duration
	// Slots bounds the generations that run at once; zero means 64.
	Slots int
	// Batch gives generations the timing of an engine with continuous
	// batching; the First and Gap of the behaviour are added to it.
	Batch bool
	// Entries are the addresses of the entry hosts to announce to.
	Entries []string
	// TLS is the client configuration for announcements; nil sends them without
	// TLS.
	TLS    *tls.Config
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Crash replaces the default crash, which closes the listener and all
	// connections without notice.
	Crash func()
}

// Responder is the server of one stub upstream.
type Responder struct {
	options   Options
	clock     clockwork.Clock
	logger    *zap.Logger
	server    *http.Server
	semaphore *semaphore
	// pacer is nil unless the timing is that of a batching engine.
	pacer   *pacer
	state   *EngineState
	context context.Context
	cancel  context.CancelFunc
	group   conc.WaitGroup
	serial  atomic.Uint64
	leaving atomic.Bool

	mu          sync.Mutex
	behaviour   Behaviour
	connections map[*connection]struct{}
	runs        map[string]int
	sequence    uint64
	address     string
	crashed     bool
}

// New returns a Responder that does not serve yet.
func New(o Options) *Responder {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Slots == 0 {
		o.Slots = 64
	}
	if o.Incarnation == 0 {
		o.Incarnation = registrar.Incarnation(o.Clock.Now().UnixNano())
	}
	r := &Responder{
		options:   o,
		clock:     o.Clock,
		logger:    o.Logger.Named("responder"),
		semaphore: newSemaphore(o.Slots),
		state: NewEngineState(Order{Models: o.Models, Adapters: o.Adapters, Versions: o.Versions, Role: o.Role},
			o.Fenced, o.Load),
		connections: map[*connection]struct{}{},
		runs:        map[string]int{},
		address:     o.Address,
	}
	if o.Batch {
		r.pacer = newPacer(o.Clock, o.Slots, r.slowFactor)
	}
	r.context, r.cancel = context.WithCancel(context.Background())
	r.server = &http.Server{
		Handler:           r.handler(),
		ConnContext:       r.trackConnection,
		ConnState:         r.untrackConnection,
		ReadHeaderTimeout: time.Minute,
	}
	return r
}

func (r *Responder) handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/chat/completions", r.chat)
	router.POST("/v1/completions", r.complete)
	router.GET("/v1/models", r.models)
	router.POST("/orders", r.postOrder)
	router.GET("/control", r.getControl)
	router.POST("/control", r.postControl)
	router.GET("/control/runs", r.getRuns)
	router.NotFound = http.HandlerFunc(r.service)
	router.HandleMethodNotAllowed = false
	return router
}

// Serve announces the responder and serves requests on the listener until Close.
// It returns nil after Close and any other error of the listener.
func (r *Responder) Serve(l net.Listener) error {
	r.mu.Lock()
	if r.address == "" {
		r.address = l.Addr().String()
	}
	r.mu.Unlock()
	if len(r.options.Entries) > 0 {
		r.group.Go(r.announce)
	}
	if r.pacer != nil {
		r.group.Go(func() { r.pacer.run(r.context) })
	}
	if err := r.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve responder: %w", err)
	}
	return nil
}

// Close closes the listener and all connections and waits until the announcing
// and the batching goroutines have ended.
func (r *Responder) Close() error {
	r.cancel()
	err := r.server.Close()
	r.group.Wait()
	return err
}

// Leave sets the leaving flag of all later announcements; open requests go on.
func (r *Responder) Leave() {
	r.leaving.Store(true)
}

// crash closes the listener and every connection at once, or calls the
// configured replacement.
func (r *Responder) crash() {
	r.mu.Lock()
	r.crashed = true
	r.mu.Unlock()
	if r.options.Crash != nil {
		r.options.Crash()
		return
	}
	// The connections are closed first, so that no answer in progress ends
	// cleanly.
	_ = r.server.Close()
	r.cancel()
}

// Crashed reports whether the responder has crashed.
func (r *Responder) Crashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

// connection is one open connection of a caller.
type connection struct {
	conn   net.Conn
	silent atomic.Bool
}

type connectionKey struct{}

func (r *Responder) trackConnection(ctx context.Context, c net.Conn) context.Context {
	k := &connection{conn: c}
	r.mu.Lock()
	r.connections[k] = struct{}{}
	r.mu.Unlock()
	return context.WithValue(ctx, connectionKey{}, k)
}

func (r *Responder) untrackConnection(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.connections {
		if k.conn == c {
			delete(r.connections, k)
		}
	}
}

// Silence stops all sending on the connections that are open now, without
// closing them; new connections work.
func (r *Responder) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.connections {
		k.silent.Store(true)
	}
}

// usable reports whether the connection of the request still works. On a silent
// connection it blocks until the caller gives up or the responder closes.
func (r *Responder) usable(ctx context.Context) bool {
	k, ok := ctx.Value(connectionKey{}).(*connection)
	if ok && k.silent.Load() {
		select {
		case <-ctx.Done():
		case <-r.context.Done():
		}
		return false
	}
	return ctx.Err() == nil
}

// pause waits for the duration. It reports false when the caller has
// disconnected or the responder has closed.
func (r *Responder) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-r.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	case <-r.context.Done():
		return false
	}
}
