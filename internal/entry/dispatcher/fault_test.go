package dispatcher

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// TestLateHello guards against requests that wait for ever on a link that the
// owner considers replaced: the hello of an earlier link can arrive after that
// of the link in use.
func TestLateHello(t *testing.T) {
	_, all := newMembers(t, "a", "b")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["a"].full() })
	all["a"].server.finish(all["a"].server.begin("b"))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	s, err := all["b"].cell.Acquire(ctx, request("r"))
	assert.NilError(t, err)
	s.Release(scheduler.Completed, 1)
	waitFor(t, "slots freed", func() bool { return all["a"].occupied() == 0 && all["b"].occupied() == 0 })
}

// inbox collects the actions that a session has not sent yet.
func (n *session) inbox() *wire.DispatchResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pending
}

// TestLostGrant guards against requests that the owner withdraws when their
// grant was lost with a link: the host submits the request again, or reports a
// slot that it granted itself meanwhile.
func TestLostGrant(t *testing.T) {
	cases := map[string]struct {
		held   string
		grants int
	}{
		"still waits":        {held: "", grants: 1},
		"granted elsewhere":  {held: "other", grants: 0},
		"grant had arrived":  {held: "engine", grants: 0},
		"released meanwhile": {held: "-", grants: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, all := newMembers(t, "a")
			m := all["a"]
			m.local.Observe(registrar.Upstream{Name: "other", Incarnation: 1, Slots: 0})
			sent := encodeRequest(request("r"), "", time.Now())
			n := m.server.begin("b")
			n.take(&wire.DispatchRequest{Submits: []*wire.SlotRequest{sent}, Complete: true})
			assert.Equal(t, len(n.inbox().Grants), 1)
			again := m.server.begin("b")
			defer m.server.finish(again)
			news := &wire.DispatchRequest{Complete: true}
			if c.held != "-" {
				sent.Held = c.held
				news.Submits = []*wire.SlotRequest{sent}
			}
			again.take(news)
			assert.Equal(t, len(again.inbox().Grants), c.grants)
			want := 1
			if c.held == "-" {
				want = 0
			}
			assert.Equal(t, m.local.Used("engine")+m.local.Used("other"), want)
			again.take(&wire.DispatchRequest{Progress: []*wire.SlotProgress{encodeProgress(scheduler.Cancel{ID: "r"})}})
			assert.Equal(t, m.local.Used("engine")+m.local.Used("other"), 0)
			assert.Equal(t, m.occupied(), 0)
		})
	}
}

// TestFormerOwner guards against slots that stay occupied at a host that owned
// the cell once: the other hosts report their ends to the next owner only.
func TestFormerOwner(t *testing.T) {
	view, all := newMembers(t, "a", "b", "c")
	waitFor(t, "links", func() bool { return all["b"].linked() && all["c"].linked() && all["a"].full() })
	s := acquire(t, all["c"].cell, "r")
	view.setOwner("b")
	waitFor(t, "adopted by the new owner", func() bool { return all["c"].linked() && all["b"].occupied() == 1 })
	s.Release(scheduler.Completed, 1)
	for _, m := range all {
		waitFor(t, "slots freed", func() bool { return m.occupied() == 0 && m.local.Used("engine") == 0 })
	}
}
