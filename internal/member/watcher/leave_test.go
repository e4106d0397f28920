package watcher

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/publisher"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// clusterLease is the lease of a deployment whose upstreams announce themselves
	// every 1.2 s.
	clusterLease = 5600 * time.Millisecond
	// leaveBound is how long an upstream may be listed after its departure was
	// acknowledged.
	leaveBound = 3 * time.Second
	// downTime is how long a host that was killed stays down.
	downTime = 500 * time.Millisecond
	// lateTime is how long after the next start a late announcement arrives.
	lateTime = 2500 * time.Millisecond
)

// cluster is a set of control hosts that exchange with each other, and of watching hosts.
type cluster struct {
	t        *testing.T
	mu       sync.Mutex
	nodes    map[string]*clusterNode
	watchers map[string]*Watcher
	// deaf lists the watching hosts whose calls fail.
	deaf map[string]bool
}

// clusterNode is one process of a control host.
type clusterNode struct {
	gossiper  *gossiper.Gossiper
	publisher *publisher.Publisher
	killed    bool
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{t: t, nodes: map[string]*clusterNode{}, watchers: map[string]*Watcher{}, deaf: map[string]bool{}}
	for _, n := range names {
		c.nodes[addressOf(n)] = nil
	}
	for _, n := range names {
		c.start(n)
	}
	return c
}

// start starts a control host that knows no upstreams.
func (c *cluster) start(name string) {
	n := &clusterNode{}
	self := registrar.Host{
		Name: registrar.HostName(name), Address: addressOf(name), Cell: "main",
		Incarnation: registrar.Incarnation(time.Now().UnixNano()), Control: true,
	}
	n.gossiper = gossiper.New(self,
		gossiper.WithSeeds(slices.Collect(maps.Keys(c.nodes))...),
		gossiper.WithExchanger(clusterExchanger{c, n}),
		gossiper.WithWitnesses(1),
		gossiper.WithRegistrarOptions(registrar.WithScope(), registrar.WithLease(clusterLease)),
		gossiper.WithOnAction(func(a registrar.Action) { n.publisher.Observe(a) }))
	n.publisher = publisher.New(publisher.Options{Members: n.gossiper, Cell: "main"})
	c.mu.Lock()
	c.nodes[addressOf(name)] = n
	c.mu.Unlock()
	n.gossiper.Start()
	n.publisher.Start()
	c.t.Cleanup(func() {
		c.setKilled(n)
		n.publisher.Close()
		n.gossiper.Close()
	})
}

func (c *cluster) setKilled(n *clusterNode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.killed = true
}

// kill stops control hosts without notice to the others.
func (c *cluster) kill(names ...string) {
	for _, n := range names {
		c.setKilled(c.nodes[addressOf(n)])
	}
}

// running returns the control host at an address, or nil.
func (c *cluster) running(address string) *clusterNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.nodes[address]; n != nil && !n.killed {
		return n
	}
	return nil
}

// clusterExchanger carries the exchanges of one control host.
type clusterExchanger struct {
	cluster *cluster
	node    *clusterNode
}

// Exchange implements gossiper.Exchanger.
func (e clusterExchanger) Exchange(_ context.Context, address string, q *wire.GossipRequest) (*wire.GossipResponse, error) {
	e.cluster.mu.Lock()
	killed := e.node.killed
	e.cluster.mu.Unlock()
	n := e.cluster.running(address)
	if killed || n == nil {
		return nil, errCut
	}
	return n.gossiper.Answer(q)
}

// Announce implements gossiper.Exchanger.
func (e clusterExchanger) Announce(ctx context.Context, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	e.cluster.mu.Lock()
	killed := e.node.killed
	e.cluster.mu.Unlock()
	n := e.cluster.running(address)
	if killed || n == nil {
		return nil, errCut
	}
	a, err := n.gossiper.AnnounceFromPeer(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, err
	}
	return a.Msg, nil
}

// Close implements gossiper.Exchanger.
func (clusterExchanger) Close() {}

// Members implements Caller.
func (c *cluster) Members(ctx context.Context, address string, q *wire.MembersRequest) (*wire.MembersResponse, error) {
	c.mu.Lock()
	deaf := c.deaf[q.GetHost()]
	c.mu.Unlock()
	if deaf {
		return nil, errCut
	}
	n := c.running(address)
	if n == nil {
		return nil, errCut
	}
	a, err := n.publisher.Members(ctx, connect.NewRequest(q))
	c.mu.Lock()
	deaf = c.deaf[q.GetHost()]
	c.mu.Unlock()
	if err != nil || deaf || c.running(address) != n {
		return nil, errCut
	}
	return a.Msg, nil
}

// Announce implements Caller.
func (c *cluster) Announce(context.Context, string, *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	return nil, errCut
}

// Reach implements Caller.
func (c *cluster) Reach(_ context.Context, address string) error {
	if c.running(address) == nil {
		return errCut
	}
	return nil
}

// Close implements Caller.
func (c *cluster) Close() {}

func (c *cluster) setDeaf(name string, deaf bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deaf[name] = deaf
}

// watch starts a watching host.
func (c *cluster) watch(name string) *Watcher {
	self := registrar.Host{Name: registrar.HostName(name), Draining: true, Cell: "main"}
	w := New(self, Options{Seeds: slices.Collect(maps.Keys(c.nodes)), Lease: clusterLease, Caller: c})
	w.Start()
	c.t.Cleanup(w.Close)
	c.watchers[name] = w
	return w
}

// announce sends an announcement to a control host, which has to acknowledge it.
func (c *cluster) announce(name string, u registrar.Upstream) {
	c.t.Helper()
	status, reply := c.running(addressOf(name)).gossiper.Announce(c.t.Context(), u)
	assert.Equal(c.t, status, http.StatusOK, reply.Reason)
}

// lists returns the running hosts whose view lists the upstream.
func (c *cluster) lists(id registrar.UpstreamID) []string {
	var all []string
	for _, address := range slices.Sorted(maps.Keys(c.nodes)) {
		if n := c.running(address); n != nil {
			if _, ok := n.gossiper.Snapshot().Upstream(time.Now(), id); ok {
				all = append(all, address)
			}
		}
	}
	for name, w := range c.watchers {
		if knows(w, id)() {
			all = append(all, name)
		}
	}
	return all
}

// spread waits until all hosts list the upstream.
func (c *cluster) spread(id registrar.UpstreamID) {
	c.t.Helper()
	eventually(c.t, "all hosts to list the upstream", 2*startTime, func() bool { return len(c.lists(id)) == len(c.nodes)+len(c.watchers) })
}

// checkLeft checks that no host lists the upstream later than leaveBound after its departure
// was acknowledged, for as long as a lease could make it listed again.
func (c *cluster) checkLeft(id registrar.UpstreamID, acknowledged time.Time) {
	c.t.Helper()
	var last time.Duration
	var by []string
	for time.Since(acknowledged) < leaveBound+2*clusterLease {
		if all := c.lists(id); len(all) > 0 {
			last, by = time.Since(acknowledged), all
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(c.t, last <= leaveBound, "listed by %v %s after its leaving was acknowledged", by, last.Round(10*time.Millisecond))
}

// left returns the announcement of an upstream's departure.
func left(u registrar.Upstream) registrar.Upstream {
	u.Leaving = true
	u.Sequence++
	return u
}

// Guards against an upstream that is used again after it has left: one watching host knows
// so, but another one, which missed the departure, restores the upstream on the restarted
// control hosts.
func TestLeavingUpstreamStaysOutAfterAllControlHostsRestart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c")
	c.announce("a", engine("u1"))
	informed := c.watch("informed")
	c.watch("late")
	c.spread("u1")
	c.setDeaf("late", true)
	c.announce("a", left(engine("u1")))
	acknowledged := time.Now()
	eventually(t, "the leaving to be known", leaveBound, lacks(informed, "u1"))
	c.kill("a", "b", "c")
	time.Sleep(downTime)
	c.setDeaf("late", false)
	for _, n := range []string{"a", "b", "c"} {
		c.start(n)
	}
	c.checkLeft("u1", acknowledged)
}

// Guards against an acknowledged departure that only one host knows: it is lost with that
// host, and the others use the upstream until its lease ends.
func TestLeavingIsKnownWhenItsHostIsLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c")
	c.announce("b", engine("u1"))
	c.watch("w1")
	c.watch("w2")
	c.spread("u1")
	renewed := engine("u1")
	renewed.Sequence++
	c.announce("b", renewed)
	c.announce("a", left(renewed))
	acknowledged := time.Now()
	c.kill("a")
	c.checkLeft("u1", acknowledged)
}

// Guards against a late announcement that gives an upstream a new lease after its departure
// was acknowledged by a host that was lost since.
func TestLateAnnouncementAfterLeavingHostIsLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c")
	c.announce("b", engine("u1"))
	c.watch("w1")
	c.spread("u1")
	late := engine("u1")
	late.Sequence++
	c.announce("a", left(late))
	acknowledged := time.Now()
	c.kill("a")
	time.Sleep(downTime)
	c.start("a")
	time.Sleep(lateTime)
	// The response doesn't matter, because the upstream has left.
	c.running(addressOf("b")).gossiper.Announce(t.Context(), late)
	c.checkLeft("u1", acknowledged)
}

// Guards against a departure that only the host knows which received it in a response: it
// would be lost with that host and with the owner of the cell.
func TestLeavingHeardInAnAnswerIsToldToAll(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b")
	c.announce("a", engine("u1"))
	hearer := c.watch("hearer")
	c.watch("other")
	c.spread("u1")
	hearer.Depart(registrar.Departure{UpstreamID: "u1", Incarnation: engine("u1").Incarnation, Leaving: true})
	heard := time.Now()
	assert.Assert(t, lacks(hearer, "u1")(), "the host that heard it goes on")
	eventually(t, "all hosts to drop the upstream", leaveBound, func() bool { return len(c.lists("u1")) == 0 })
	late := engine("u1")
	late.Sequence++
	c.running(addressOf("b")).gossiper.Announce(t.Context(), late)
	c.checkLeft("u1", heard)
}
