package coordinator

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/control/replicator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/storage/journaler"
)

// leader waits for a leader and returns its index in the cluster.
func (c *cluster) leader() int {
	place := -1
	await(c.t, "a leader", func() bool {
		for i, h := range c.hosts {
			if h.coordinator != nil && h.coordinator.core.view().ready {
				place = i
			}
		}
		return place >= 0
	})
	return place
}

func claimRequest(key, token string) *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Organisation: "o", Service: "s", Key: key, Token: token, Digest: []byte("d"), Deadline: 60_000,
	}
}

// TestRestart guards against answers, claims or audit entries that are lost
// when all hosts restart, with and without snapshots.
func TestRestart(t *testing.T) {
	for _, compact := range []int{0, 500} {
		t.Run(fmt.Sprint(compact), func(t *testing.T) {
			c := newCluster(t, 3)
			for _, h := range c.hosts {
				h.stop(t)
				h.settings.CompactBytes = compact
				h.start(t, nil)
			}
			const changes = 30
			for i := range uint64(changes) {
				r := apply(t, c.hosts[i%3], fmt.Sprint("c", i), i, fmt.Sprintf(`{"n":%d}`, i))
				assert.Equal(t, r.Revision, i+1)
			}
			l := call(t, c.hosts[0].client.Claim, claimRequest("k", "a"))
			assert.Equal(t, l.State, wire.ClaimResponse_STATE_GRANTED)
			f := call(t, c.hosts[1].client.Complete, &wire.CompleteRequest{
				Organisation: "o", Service: "s", Key: "k", Token: "a",
				Result: wire.CompleteRequest_RESULT_DONE, Answer: &wire.Answer{Status: 201},
			})
			assert.Assert(t, f.Recorded)
			for _, h := range c.hosts {
				h.stop(t)
			}
			for _, h := range c.hosts {
				h.start(t, nil)
			}
			r := apply(t, c.hosts[0], "c3", 3, `{"n":3}`)
			assert.Assert(t, r.Repeated)
			assert.Equal(t, r.Revision, uint64(4))
			assert.Equal(t, apply(t, c.hosts[1], "c3", 3, `{"n":9}`).Outcome, wire.ApplyResponse_OUTCOME_REUSED)
			assert.Equal(t, apply(t, c.hosts[1], "late", 3, `{"n":9}`).Current, uint64(changes))
			l = call(t, c.hosts[2].client.Claim, claimRequest("k", "b"))
			assert.Equal(t, l.State, wire.ClaimResponse_STATE_DONE)
			assert.Equal(t, l.Answer.Status, uint32(201))
			h := call(t, c.hosts[2].client.History, &wire.HistoryRequest{After: 1, Limit: 2})
			assert.Equal(t, len(h.Entries), 2)
			assert.DeepEqual(t, h.Entries[0].Differences, []string{"$.n: changed 0 to 1"})
		})
	}
}

// TestLostDisk guards against accepted changes that are lost when a second host
// stops right after the first was repaired with a blank disk.
func TestLostDisk(t *testing.T) {
	c := newCluster(t, 3)
	for i := range uint64(5) {
		apply(t, c.hosts[0], fmt.Sprint("c", i), i, fmt.Sprint(i))
	}
	lost, other := c.hosts[2], c.hosts[1]
	before := lost.coordinator.core.view().replica.ID
	lost.stop(t)
	lost.settings.Folder = t.TempDir()
	lost.start(t, nil)
	await(t, "the repaired host votes under a new identity", func() bool {
		v := c.hosts[0].coordinator.core.view()
		id := lost.coordinator.core.view().replica.ID
		voters := 0
		for _, m := range v.replica.Membership.Members {
			if replicator.ID(m.Id) == id && m.Voter {
				voters = v.voters
			}
		}
		return voters == 3
	})
	assert.Assert(t, lost.coordinator.core.view().replica.ID != before)
	other.stop(t)
	r := apply(t, lost, "after", 5, "5")
	assert.Equal(t, r.Revision, uint64(6))
	assert.Equal(t, len(call(t, lost.client.History, &wire.HistoryRequest{}).Entries), 6)
}

// TestHandOver guards against a planned stop of the leader that leaves the
// group waiting for an election timeout, and against calls that fail during it.
func TestHandOver(t *testing.T) {
	c := newCluster(t, 3)
	apply(t, c.hosts[0], "c0", 0, "0")
	l := c.leader()
	leading := c.hosts[l].coordinator
	leading.handOver(context.Background())
	assert.Assert(t, leading.core.view().role != replicator.Leader)
	c.hosts[l].stop(t)
	assert.Equal(t, apply(t, c.hosts[(l+1)%3], "c1", 1, "1").Revision, uint64(2))
}

// TestNoQuorum guards against a leader that answers calls after it lost its
// followers, and against a Watch stream that hides from an entry host that its
// control host is cut off.
func TestNoQuorum(t *testing.T) {
	c := newCluster(t, 3)
	apply(t, c.hosts[0], "c0", 0, "0")
	l := c.leader()
	for i, h := range c.hosts {
		if i != l {
			assert.NilError(t, h.server.Close())
			assert.NilError(t, h.coordinator.Close(context.Background()))
			h.coordinator = nil
		}
	}
	client := c.hosts[l].client
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := client.Confirm(ctx, connect.NewRequest(&wire.ConfirmRequest{}))
	assert.Assert(t, err != nil)
	_, err = client.Claim(context.Background(), connect.NewRequest(claimRequest("k", "a")))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	s, err := client.Watch(context.Background(), connect.NewRequest(&wire.WatchRequest{Host: "e"}))
	assert.NilError(t, err)
	for s.Receive() {
	}
	assert.Equal(t, connect.CodeOf(s.Err()), connect.CodeUnavailable)
}

// TestWatch guards against a stream that misses a revision, sends one twice
// after it is resumed, or sends no heartbeats while nothing changes.
func TestWatch(t *testing.T) {
	c := newCluster(t, 3)
	for i := range uint64(3) {
		apply(t, c.hosts[0], fmt.Sprint("c", i), i, fmt.Sprint(i))
	}
	for _, h := range c.hosts {
		got := uint64(1)
		await(t, "all revisions and a heartbeat", func() bool { return watch(t, h, &got) })
		r := call(t, h.client.Status, &wire.StatusRequest{})
		assert.Equal(t, r.Followers[0].Host, "e1")
		assert.Equal(t, len(r.Replicas), 3)
	}
}

// watch opens a stream after revision *got and reports whether it reached
// revision 3 and a heartbeat after that. A host that has no leader at the
// moment ends the stream.
func watch(t *testing.T, h *host, got *uint64) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := h.client.Watch(ctx, connect.NewRequest(&wire.WatchRequest{Host: "e1", Centre: "c1", Revision: *got}))
	assert.NilError(t, err)
	for s.Receive() {
		r := s.Msg().Revision
		if r == nil && *got == 3 {
			return true
		}
		if r != nil {
			assert.Equal(t, r.Number, *got+1)
			*got = r.Number
		}
	}
	assert.Equal(t, connect.CodeOf(s.Err()), connect.CodeUnavailable)
	return false
}

// TestCloseEndsGoroutines guards against goroutines that are still running
// after Close.
func TestCloseEndsGoroutines(t *testing.T) {
	before := goleak.IgnoreCurrent()
	peers := []Peer{{"a", "127.0.0.1:1"}, {"b", "127.0.0.1:1"}, {"c", "127.0.0.1:1"}}
	c, err := Open(Settings{Name: "a", Address: "127.0.0.1:1", Folder: t.TempDir(), Peers: peers})
	assert.NilError(t, err)
	await(t, "the first messages", func() bool {
		c.transport.mu.Lock()
		defer c.transport.mu.Unlock()
		return len(c.transport.queues) == 2
	})
	assert.NilError(t, c.Close(context.Background()))
	goleak.VerifyNone(t, before)
}

// TestRefusals guards against invalid requests that reach the log.
func TestRefusals(t *testing.T) {
	c := newCluster(t, 1)
	c.leader()
	client := c.hosts[0].client
	ctx := context.Background()
	long := strings.Repeat("x", maximumFieldBytes+1)
	for _, q := range []*wire.ApplyRequest{
		{Document: []byte("{}")}, {Change: "c"}, {Change: long, Document: []byte("{}")},
		{Change: "c", Document: make([]byte, maximumDocumentBytes+1)},
	} {
		_, err := client.Apply(ctx, connect.NewRequest(q))
		assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	}
	_, err := client.Claim(ctx, connect.NewRequest(claimRequest("", "a")))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	r := apply(t, c.hosts[0], "c", 0, "bad")
	assert.Equal(t, r.Outcome, wire.ApplyResponse_OUTCOME_INVALID)
	assert.DeepEqual(t, r.Problems, []string{"$: is bad"})
	_, err = client.Get(ctx, connect.NewRequest(&wire.GetRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeNotFound)
	assert.Equal(t, apply(t, c.hosts[0], "c", 0, "{}").Revision, uint64(1))
}

// TestFailedDisk guards against a host that carries on after a failed sync.
func TestFailedDisk(t *testing.T) {
	c := newCluster(t, 1)
	h := c.hosts[0]
	h.stop(t)
	disk := journaler.NewMemory()
	var failures atomic.Int32
	h.settings.Disk = disk
	h.settings.Fatal = func(error) { failures.Add(1) }
	h.start(t, nil)
	apply(t, h, "c0", 0, "0")
	disk.FailSync(true)
	_, err := h.client.Claim(context.Background(), connect.NewRequest(claimRequest("k", "a")))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	disk.FailSync(false)
	_, err = h.client.Claim(context.Background(), connect.NewRequest(claimRequest("k", "a")))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	assert.Equal(t, failures.Load(), int32(1))
}

// relay forwards connections to a host. silence stops the open connections from
// passing data without closing them; later ones work.
type relay struct {
	listener net.Listener
	target   string
	group    conc.WaitGroup
	mu       sync.Mutex
	open     []*relayedConnection
}

type relayedConnection struct {
	from, to net.Conn
	silent   atomic.Bool
}

func newRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: l, target: target}
	r.group.Go(r.accept)
	t.Cleanup(func() {
		_ = l.Close()
		r.mu.Lock()
		for _, c := range r.open {
			_ = c.from.Close()
			_ = c.to.Close()
		}
		r.mu.Unlock()
		r.group.Wait()
	})
	return r
}

func (r *relay) accept() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		c := &relayedConnection{from: from, to: to}
		r.mu.Lock()
		r.open = append(r.open, c)
		r.mu.Unlock()
		r.group.Go(func() { c.copy(to, from) })
		r.group.Go(func() { c.copy(from, to) })
	}
}

// copy forwards data, and discards it once the connection is silenced.
func (c *relayedConnection) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.silent.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF && !c.silent.Load() {
				_ = to.Close()
			}
			return
		}
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		c.silent.Store(true)
	}
}

// TestSilentConnections guards against a group that keeps waiting for
// connections that are permanently silent while new ones would work.
func TestSilentConnections(t *testing.T) {
	var relays []*relay
	var listeners []net.Listener
	var peers []Peer
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		r := newRelay(t, l.Addr().String())
		listeners = append(listeners, l)
		relays = append(relays, r)
		peers = append(peers, Peer{Name: fmt.Sprint("h", i), Address: r.listener.Addr().String()})
	}
	var hosts []*host
	for i, l := range listeners {
		h := &host{settings: Settings{
			Name: peers[i].Name, Address: peers[i].Address, Folder: t.TempDir(), Peers: peers, Seed: uint64(i + 1),
		}}
		h.start(t, l)
		h.client = wireconnect.NewControlClient(dialer.New(), "http://"+l.Addr().String())
		hosts = append(hosts, h)
	}
	for i := range uint64(3) {
		for _, h := range hosts {
			_, _ = h.client.Confirm(context.Background(), connect.NewRequest(&wire.ConfirmRequest{}))
		}
		assert.Equal(t, apply(t, hosts[i], fmt.Sprint("c", i), i, "{}").Revision, i+1)
		for _, r := range relays {
			r.silence()
		}
	}
	assert.Equal(t, apply(t, hosts[0], "last", 3, "{}").Revision, uint64(4))
	for _, h := range hosts {
		h.stop(t)
	}
}
