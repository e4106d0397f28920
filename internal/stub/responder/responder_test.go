package responder

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

func generateAll(g *generator) string {
	var b strings.Builder
	for {
		token, more := g.next()
		if !more {
			return b.String()
		}
		b.WriteString(token)
	}
}

// TestContinuation guards against a stub that hides faults of resuming: an answer
// continued from any of its prefixes must equal the uninterrupted one.
func TestContinuation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		length := rapid.IntRange(0, 40).Draw(t, "length")
		g := newGenerator(prompt, length, 0)
		begun := ""
		for range rapid.IntRange(0, 40).Draw(t, "cut") {
			token, more := g.next()
			if !more {
				break
			}
			begun += token
		}
		rest := generateAll(newGenerator(prompt+begun, length, countTokens(begun)))
		assert.Equal(t, begun+rest, generateAll(newGenerator(prompt, length, 0)))
	})
}

// TestGate guards against an engine that ignores priorities or loses a slot
// when a waiting caller leaves.
func TestGate(t *testing.T) {
	g := newSemaphore(1)
	assert.Assert(t, g.acquire(context.Background(), 5))
	var group conc.WaitGroup
	order := make(chan int, 3)
	for i, priority := range []int{3, 1, 2} {
		group.Go(func() {
			if g.acquire(context.Background(), priority) {
				order <- priority
				g.release()
			}
		})
		for _, waiting := g.load(); waiting != i+1; _, waiting = g.load() {
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, !g.acquire(ctx, 0))
	g.release()
	group.Wait()
	assert.DeepEqual(t, []int{<-order, <-order, <-order}, []int{1, 2, 3})
	running, waiting := g.load()
	assert.Equal(t, running+waiting, 0)
}

// TestAnnounce guards against an upstream that does not renew its lease every
// second at each entry host, does not announce that it is leaving, or lets an
// unreachable entry host delay the others.
func TestAnnounce(t *testing.T) {
	announcements := make(chan registrar.Upstream, 8)
	entry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		var u registrar.Upstream
		if err := json.NewDecoder(q.Body).Decode(&u); err == nil && q.URL.Path == "/upstreams/announce" {
			announcements <- u
		}
	}))
	defer entry.Close()
	dead := httptest.NewServer(nil)
	dead.Close()
	clock := clockwork.NewFakeClock()
	r := New(Options{
		Name:     "a",
		Services: []validator.PoolName{"ledger"},
		Entries:  []string{dead.Listener.Addr().String(), entry.Listener.Addr().String()},
		Clock:    clock,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group conc.WaitGroup
	group.Go(func() { _ = r.Serve(l) })
	defer group.Wait()
	defer func() { _ = r.Close() }()
	first := <-announcements
	assert.Equal(t, first.Address, l.Addr().String())
	assert.Equal(t, first.Sequence, uint64(1))
	order := fmt.Sprintf("http://%s/control", l.Addr())
	a, err := http.Post(order, "application/json", strings.NewReader(`{"leave":true,"behaviour":{"gap":"5ms","times":2}}`))
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	assert.Equal(t, r.takeBehaviour().Times, 2)
	clock.Advance(AnnounceInterval)
	second := <-announcements
	assert.Equal(t, second.Sequence, uint64(2))
	assert.Equal(t, second.Incarnation, first.Incarnation)
	assert.Assert(t, second.Leaving)
}
