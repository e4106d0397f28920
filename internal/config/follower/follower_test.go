package follower_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/amaranthcart/amaranthcart/internal/config/follower"
	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// fakeNetwork stands in for control and the peers.
type fakeNetwork struct {
	mu       sync.Mutex
	current  uint64
	silent   map[string]bool
	asked    map[string]int
	watching map[string]int
	from     []uint64
}

// set changes the current revision and which control hosts are silent.
func (n *fakeNetwork) set(current uint64, silent ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current, n.silent = current, map[string]bool{}
	for _, a := range silent {
		n.silent[a] = true
	}
}

// resumed returns the revisions from which streams were opened.
func (n *fakeNetwork) resumed() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.from)
}

func (n *fakeNetwork) isSilent(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[address]
}

func (n *fakeNetwork) Confirm(ctx context.Context, address string, _ *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	n.mu.Lock()
	n.asked[address]++
	current := n.current
	n.mu.Unlock()
	if n.isSilent(address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &wire.ConfirmResponse{Revision: current, Digest: revision(current).Digest}, nil
}

func (n *fakeNetwork) Watch(ctx context.Context, address string, q *wire.WatchRequest, receive func(*wire.WatchResponse)) error {
	n.mu.Lock()
	n.watching[address]++
	n.from = append(n.from, q.GetRevision())
	current := n.current
	n.mu.Unlock()
	if !n.isSilent(address) && current > q.GetRevision() {
		receive(&wire.WatchResponse{Revision: encode(revision(current))})
	}
	<-ctx.Done()
	return ctx.Err()
}

func (n *fakeNetwork) Fetch(_ context.Context, _ follower.Source, number uint64) (*wire.Revision, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if number > n.current {
		return nil, errors.New("not there")
	}
	return encode(revision(number)), nil
}

func (n *fakeNetwork) Close() {}

func encode(r follower.Revision) *wire.Revision {
	return &wire.Revision{Number: r.Number, Document: r.Document, Digest: r.Digest}
}

func newNetwork(current uint64) *fakeNetwork {
	return &fakeNetwork{current: current, silent: map[string]bool{}, asked: map[string]int{}, watching: map[string]int{}}
}

// drive advances the clock until the check succeeds.
func drive(t *testing.T, c *clockwork.FakeClock, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		c.Advance(20 * time.Millisecond)
		return poll.Continue("not yet")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
}

var threeControls = follower.WithControls("a", "b", "c")

func start(t *testing.T, n *fakeNetwork, c *clockwork.FakeClock, o ...follower.Option) *follower.Follower {
	t.Helper()
	o = append(o, follower.WithClock(c), follower.WithSeed(1))
	if n != nil {
		o = append(o, follower.WithNetwork(n))
	}
	f, err := follower.New(decode, o...)
	assert.NilError(t, err)
	f.Start()
	t.Cleanup(f.Close)
	return f
}

func inForce(f *follower.Follower, number uint64) func() bool {
	return func() bool {
		s, ok := f.Current()
		return ok && s.Revision == number
	}
}

// TestSilentControlHosts guards against waiting for a stream or a control host that
// stays silent: the follower must try the next one, and refuse new work when no
// control host answers.
func TestSilentControlHosts(t *testing.T) {
	n, c := newNetwork(1), clockwork.NewFakeClock()
	n.set(1, "a", "b")
	f := start(t, n, c, threeControls)
	drive(t, c, inForce(f, 1))
	n.set(1, "a", "b", "c")
	drive(t, c, func() bool { return !inForce(f, 1)() })
	n.set(2)
	drive(t, c, inForce(f, 2))
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Assert(t, len(n.watching) > 1, "streams were opened to %v", n.watching)
}

// TestPeerConfirmationsSpareControl guards against every host asking control: a host
// that gets recent confirmations from peers must not ask.
func TestPeerConfirmationsSpareControl(t *testing.T) {
	n, c := newNetwork(1), clockwork.NewFakeClock()
	f := start(t, n, c, threeControls, follower.WithRank(func() follower.Rank { return follower.Rank{Place: 4, Hosts: 9} }))
	drive(t, c, inForce(f, 1))
	asked := func() int {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.asked["a"] + n.asked["b"] + n.asked["c"]
	}
	before, end := asked(), c.Now().Add(20*time.Second)
	drive(t, c, func() bool {
		f.Learn("peer", c.Now(), gossiper.Confirmation{Revision: 1, Check: check(1), Age: time.Second})
		return c.Now().After(end)
	})
	assert.Assert(t, inForce(f, 1)())
	assert.Assert(t, asked()-before <= 1, "control was asked %d times", asked()-before)
}

// TestRestartKeepsTheRevision guards against a restart that goes back to a lower
// revision, or that enforces the stored one before it is confirmed.
func TestRestartKeepsTheRevision(t *testing.T) {
	folder := t.TempDir()
	n, c := newNetwork(3), clockwork.NewFakeClock()
	f := start(t, n, c, threeControls, follower.WithFolder(folder))
	drive(t, c, inForce(f, 3))
	f.Close()

	unfinished := filepath.Join(folder, follower.FileName+".1.tmp")
	assert.NilError(t, os.WriteFile(unfinished, []byte(`{"num`), 0o600))

	// A control host that is cut off still has revision 2 and no quorum.
	stale := newNetwork(2)
	f, err := follower.New(decode, follower.WithFolder(folder), follower.WithClock(c), follower.WithNetwork(stale))
	assert.NilError(t, err)
	_, err = os.Stat(unfinished)
	assert.ErrorIs(t, err, os.ErrNotExist)
	s, ok := f.Current()
	assert.Equal(t, s.Revision, uint64(3))
	assert.Assert(t, !ok, "a restored revision is not confirmed yet")
	assert.Equal(t, f.Document(4) == nil, true)
	assert.Equal(t, f.Document(2).GetNumber(), uint64(3))
	f.Close()
	f = start(t, stale, c, threeControls, follower.WithFolder(folder), follower.WithStale(follower.Serve))
	end := c.Now().Add(10 * time.Second)
	drive(t, c, func() bool { return c.Now().After(end) })
	assert.Assert(t, inForce(f, 3)(), "stale=serve keeps the stored revision")

	assert.NilError(t, os.WriteFile(filepath.Join(folder, follower.FileName), []byte(`{"number":1`), 0o600))
	_, err = follower.New(decode, follower.WithFolder(folder))
	assert.ErrorContains(t, err, follower.FileName)
}

// TestUnstoredRevisionIsNotEnforced guards against a revision that is enforced
// although it was not stored, which a restart would revert.
func TestUnstoredRevisionIsNotEnforced(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "gone")
	n, c := newNetwork(1), clockwork.NewFakeClock()
	f := start(t, n, c, threeControls, follower.WithFolder(folder))
	end := c.Now().Add(2 * time.Second)
	drive(t, c, func() bool { return c.Now().After(end) })
	assert.Assert(t, !inForce(f, 1)())
	assert.NilError(t, os.Mkdir(folder, 0o700))
	drive(t, c, inForce(f, 1))
}
