package main_test

import (
	"context"
	"encoding/json"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// TestOwnerFrozen guards against requests that wait for a host that owns the cell but
// is suspended with its connections open, and against a host that acts on its old state
// when it runs again.
func TestOwnerFrozen(t *testing.T) {
	d := deploy(t, 1, 3)
	d.apply(document(t, "a"), 0)
	d.startStub("engine-1", "--model", "lucka")
	for _, e := range d.entries {
		d.waitUpstreams(e, 1)
	}
	owner := d.owner()
	d.signal(owner, syscall.SIGSTOP)
	began := time.Now()
	for i := 0; time.Since(began) < 6*time.Second; i++ {
		e := d.entries[i%len(d.entries)]
		if e == owner {
			continue
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		a := d.send(ctx, e, "POST", "/v1/chat/completions", chat("Hello. [[length=5]]", false))
		cancel()
		_, ok := completeText(a)
		assert.Assert(t, ok, "%s after %v: %v %d %s", e, time.Since(began), a.err, a.status, a.body)
		time.Sleep(20 * time.Millisecond)
	}
	d.apply(document(t, "b"), 1)
	accepted := time.Now()
	d.signal(owner, syscall.SIGCONT)
	d.checkInForce(owner, 2, accepted)
}

// inForce bounds the time from the acceptance of a revision until all hosts enforce it.
const inForce = 5 * time.Second

// checkInForce checks an entry host for a second longer than inForce: once it has
// reported the revision it never reports an older one, and after inForce it serves
// under it. Before, it may serve under an older revision that a peer confirmed less
// than 5 s ago.
func (d *deployment) checkInForce(entry string, revision uint64, accepted time.Time) {
	d.t.Helper()
	reached, served := false, 0
	for time.Since(accepted) < inForce+time.Second {
		began := time.Now()
		a := d.send(d.t.Context(), entry, "POST", "/v1/chat/completions", chat("Hello. [[length=5]]", false))
		shown := d.revision(entry)
		assert.Assert(d.t, shown >= revision || !reached, "%s went back to revision %d", entry, shown)
		reached = reached || shown >= revision
		if began.Sub(accepted) < inForce {
			continue
		}
		_, ok := completeText(a)
		assert.Assert(d.t, ok, "%s does not serve: %v %d %s", entry, a.err, a.status, a.body)
		assert.Assert(d.t, reached, "%s serves under revision %d after %v", entry, shown, time.Since(accepted))
		served++
	}
	assert.Assert(d.t, served > 0)
}

// revision returns the revision that an entry host decides requests under.
func (d *deployment) revision(entry string) uint64 {
	d.t.Helper()
	code, out := d.explain(entry)
	assert.Equal(d.t, code, 0, out)
	var x struct{ Revision uint64 }
	assert.NilError(d.t, json.Unmarshal([]byte(out), &x), out)
	return x.Revision
}

// settleTime is how long all entry hosts must agree on an owner before it counts as
// settled. A starting host does not claim the cell for about a second.
const settleTime = 2 * time.Second

// owner waits until all entry hosts agree on the host that owns the cell.
func (d *deployment) owner() string {
	d.t.Helper()
	var owner registrar.HostName
	var since time.Time
	d.waitFor("a settled owner of the cell", func() bool {
		for i, e := range d.entries {
			seen := d.view(e).Owner
			if i == 0 && seen != owner {
				owner, since = seen, time.Now()
			}
			if seen == "" || seen != owner {
				since = time.Now()
			}
		}
		return time.Since(since) >= settleTime
	})
	return string(owner)
}

func (d *deployment) explain(entry string) (int, string) {
	return d.ctl("--entry", d.settings[entry].Admin, "--output", "json", "explain", "--organisation", "home", "--pool", "lucka")
}
