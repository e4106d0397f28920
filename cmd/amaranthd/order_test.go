package main_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/builder"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// loaded returns the models that an engine has loaded, or nil when it cannot be asked.
func (d *deployment) loaded(stub string) []string {
	var list struct{ Data []struct{ ID string } }
	r, err := http.Get("http://" + d.stubs[stub] + "/v1/models")
	if err != nil {
		return nil
	}
	defer func() { _ = r.Body.Close() }()
	if json.NewDecoder(r.Body).Decode(&list) != nil {
		return nil
	}
	var models []string
	for _, m := range list.Data {
		models = append(models, m.ID)
	}
	return models
}

// placedDocument writes a configuration that places the given models on both engines of
// TestTwoIssuers.
func placedDocument(t testing.TB, note string, models ...string) string {
	t.Helper()
	class := builder.Class("story", builder.Tier(2), builder.Wait(time.Minute))
	parts := []builder.Part{class}
	var placed []*builder.ModelPart
	for _, name := range []string{"spring", "autumn"} {
		m := builder.Model(name, class)
		parts = append(parts, m)
		if slices.Contains(models, name) {
			placed = append(placed, m)
		}
	}
	parts = append(parts,
		builder.Placement("fenced", builder.Models(placed...), builder.Fenced()),
		builder.Placement("trusting", builder.Models(placed...)))
	return patientDocument(t, note, time.Second, time.Second, time.Second, parts...)
}

// TestTwoIssuers guards against engines that end in the state that a former issuer of
// orders wanted: the lease holder is suspended while its orders are in flight, another
// host takes over, and the orders arrive before the former holder runs again. One
// engine checks fencing numbers and one ignores them.
func TestTwoIssuers(t *testing.T) {
	t.Parallel()
	d, n := deployRelayed(t, 1, 2)
	began := time.Now()
	engines := []string{"fenced", "trusting"}
	d.apply(placedDocument(t, "a", "spring"), 0)
	for _, e := range engines {
		d.startRelayedStub(n, e, "--model", "spring")
	}
	for _, e := range d.entries {
		d.waitUpstreams(e, len(engines))
	}
	d.controlStub("fenced", `{"orders": {"fenced": true, "load": "0s"}}`)
	have := func(engine string, models ...string) func() bool {
		return func() bool { return slices.Equal(d.loaded(engine), models) }
	}
	old := d.owner()
	next := others(d.entries, old)[0]
	// The relay holds back the orders of the lease holder.
	for _, e := range engines {
		n.Hold(old, e)
	}
	d.apply(placedDocument(t, "b", "spring", "autumn"), 1)
	d.waitFor("orders on their way", func() bool { return n.OpenConnections(old, "fenced") > 0 && n.OpenConnections(old, "trusting") > 0 })
	d.signal(old, syscall.SIGSTOP)
	t.Logf("%v: %s is frozen", time.Since(began), old)
	d.apply(placedDocument(t, "c", "autumn"), 2)
	for _, e := range engines {
		d.waitFor(next+" to order "+e, have(e, "autumn"))
		t.Logf("%v: %s ordered %s", time.Since(began), next, e)
	}
	assert.Equal(t, d.runs("fenced")["rejected"], 0)
	// An issuer considers its order carried out when all announcements that are still
	// live were made after it.
	time.Sleep(registrar.Lease + time.Second)
	ordered := d.runs("trusting")["orders"]
	n.Heal()
	d.waitFor("the late orders to arrive", func() bool {
		assert.Assert(t, have("fenced", "autumn")(), "an old order changed the engine that checks numbers: %v", d.loaded("fenced"))
		return d.runs("fenced")["rejected"] > 0 && d.runs("trusting")["orders"] > ordered
	})
	late := time.Now()
	d.waitFor(next+" to correct the engine that ignores numbers", have("trusting", "autumn"))
	t.Logf("%v: %s corrected the engine that ignores numbers within %v", time.Since(began), next, time.Since(late))
	d.signal(old, syscall.SIGCONT)
	d.waitFor(old+" to enforce revision 3", func() bool { return d.view(old).Revision == 3 })
	// A wrong order of the former holder would take effect within a few of its checks
	// of the cell.
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, e := range engines {
			assert.Assert(t, have(e, "autumn")(), "%s has %v", e, d.loaded(e))
		}
	}
}
