package coordinator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// pollTimeout limits polling; it only matters when a test fails.
const pollTimeout = 30 * time.Second

// host is a control host that listens on the loopback interface.
type host struct {
	settings    Settings
	coordinator *Coordinator
	server      *http.Server
	client      wireconnect.ControlClient
	served      chan struct{}
}

// cluster is a group of control hosts on the loopback interface with real data
// folders.
type cluster struct {
	t     testing.TB
	hosts []*host
}

func newCluster(t testing.TB, size int) *cluster {
	c := &cluster{t: t}
	var peers []Peer
	var listeners []net.Listener
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, l)
		peers = append(peers, Peer{Name: fmt.Sprintf("control-%d", i+1), Address: l.Addr().String()})
	}
	for i, l := range listeners {
		h := &host{settings: Settings{
			Name: peers[i].Name, Address: peers[i].Address, Folder: t.TempDir(),
			Centre: "c1", Peers: peers, Seed: uint64(i + 1),
			Check: func(d []byte) []string {
				if string(d) == "bad" {
					return []string{"$: is bad"}
				}
				return nil
			},
		}}
		if testing.Verbose() {
			h.settings.Logger = zaptest.NewLogger(t).Named(peers[i].Name)
		}
		c.hosts = append(c.hosts, h)
		h.start(t, l)
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			h.stop(t)
		}
	})
	return c
}

func (h *host) start(t testing.TB, l net.Listener) {
	t.Helper()
	if l == nil {
		var err error
		l, err = net.Listen("tcp", h.settings.Address)
		assert.NilError(t, err)
	}
	c, err := Open(h.settings)
	assert.NilError(t, err)
	h.coordinator = c
	mux := http.NewServeMux()
	mux.Handle(c.Handler())
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	h.server = &http.Server{Handler: mux, Protocols: p}
	h.served = make(chan struct{})
	c.group.Go(func() {
		defer close(h.served)
		_ = h.server.Serve(l)
	})
	h.client = wireconnect.NewControlClient(dialer.New(), "http://"+h.settings.Address)
}

// stop closes the host if it runs. A leader hands over first.
func (h *host) stop(t testing.TB) {
	t.Helper()
	if h.coordinator == nil {
		return
	}
	c := h.coordinator
	h.coordinator = nil
	c.handOver(context.Background())
	assert.NilError(t, h.server.Close())
	assert.NilError(t, c.Close(context.Background()))
}

// await polls until the condition holds, or fails the test after pollTimeout.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(pollTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting: %s", what)
}

// call repeats a call until it is answered. All calls are safe to repeat; only
// Unavailable errors are accepted.
func call[Q, R any](t testing.TB, f func(context.Context, *connect.Request[Q]) (*connect.Response[R], error), q *Q) *R {
	t.Helper()
	var answer *R
	await(t, "an answer", func() bool {
		r, err := f(context.Background(), connect.NewRequest(q))
		if err != nil {
			assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable, "%v", err)
			return false
		}
		answer = r.Msg
		return true
	})
	return answer
}

// apply repeats a change until it is answered.
func apply(t testing.TB, h *host, change string, base uint64, document string) *wire.ApplyResponse {
	t.Helper()
	return call(t, h.client.Apply, &wire.ApplyRequest{
		Change: change, Base: base, Document: []byte(document), Operator: "ana",
	})
}

// TestGroups guards against a group that doesn't form, or whose answer depends
// on the host that is asked.
func TestGroups(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(t, size)
			for i, h := range c.hosts {
				r := apply(t, h, fmt.Sprintf("change-%d", i), uint64(i), fmt.Sprintf(`{"n":%d}`, i))
				assert.Equal(t, r.Outcome, wire.ApplyResponse_OUTCOME_ACCEPTED)
				assert.Equal(t, r.Revision, uint64(i+1))
			}
			for _, h := range c.hosts {
				r := call(t, h.client.Confirm, &wire.ConfirmRequest{Host: "e", Revision: 1})
				assert.Equal(t, r.Revision, uint64(size))
			}
		})
	}
}
