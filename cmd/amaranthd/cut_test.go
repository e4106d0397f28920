package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/ops/inspector"
	"github.com/amaranthcart/amaranthcart/internal/order/issuer"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
	"github.com/amaranthcart/amaranthcart/internal/stub/interposer"
)

// Tests with relays run in parallel, at most three at a time: TestTwoIssuers, which
// takes 52 s, and one test of each lane. The tests of a lane take less than that
// together.
var laneOfCallers, laneOfCuts sync.Mutex

// confirmationBound bounds how long an entry host may work under a revision that is not
// confirmed, and how long an accepted change may take to be in force (guarantee 8).
const confirmationBound = 5 * time.Second

// runInLane makes the test run in parallel with those of other lanes, but one at a time
// with those of its own.
func runInLane(t *testing.T, lane *sync.Mutex) {
	t.Helper()
	t.Parallel()
	lane.Lock()
	t.Cleanup(lane.Unlock)
}

// relay starts a relay in front of a process and returns its address.
func relay(t testing.TB, n *interposer.Network, name, target string) string {
	t.Helper()
	address, err := n.Relay(name, "127.0.0.1:0", target)
	assert.NilError(t, err)
	return address
}

// deployRelayed starts a deployment whose processes reach each other only
// through relays. The test itself and its operators reach them directly.
func deployRelayed(t *testing.T, controls, entries int, changes ...func(*loader.Settings)) (*deployment, *interposer.Network) {
	t.Helper()
	n := interposer.New()
	t.Cleanup(n.Close)
	d := newDeployment(t)
	deploySettings(t, d, controls, entries)
	relays := map[string]string{}
	for name, s := range d.settings {
		s.Advertise = relay(t, n, name, s.Peers)
		relays[s.Peers] = s.Advertise
	}
	for name, s := range d.settings {
		s.Control = slices.Clone(s.Control)
		for i := range s.Control {
			s.Control[i].Address = relays[s.Control[i].Address]
		}
		s.Seeds = slices.Clone(s.Seeds)
		for i := range s.Seeds {
			s.Seeds[i] = relays[s.Seeds[i]]
		}
		for _, change := range changes {
			change(s)
		}
		d.startDaemon(name)
	}
	return d, n
}

// startRelayedStub starts a stub upstream behind a relay of the same name.
func (d *deployment) startRelayedStub(n *interposer.Network, name string, args ...string) {
	d.stubs[name] = freePort(d.t)
	base := []string{"--name", name, "--listen", d.stubs[name], "--address", relay(d.t, n, name, d.stubs[name])}
	for _, e := range d.entries {
		base = append(base, "--entry", d.settings[e].Advertise)
	}
	d.start(name, "amaranthstub", append(base, args...)...)
}

// startReference starts the reference engine, which no entry host knows.
func (d *deployment) startReference() {
	d.stubs["reference"] = freePort(d.t)
	d.start("reference", "amaranthstub", "--name", "reference", "--listen", d.stubs["reference"], "--model", "lucka")
}

// view returns an entry host's explanation of a request for the model, or an empty one
// when the host does not answer within 2 s.
func (d *deployment) view(entry string) inspector.Explanation {
	var x inspector.Explanation
	c := http.Client{Timeout: 2 * time.Second}
	r, err := c.Get("http://" + d.settings[entry].Admin + inspector.ExplainPath + "?organisation=home&pool=lucka")
	if err != nil {
		return x
	}
	defer func() { _ = r.Body.Close() }()
	_ = json.NewDecoder(r.Body).Decode(&x)
	return x
}

func others(names []string, but string) []string {
	var rest []string
	for _, n := range names {
		if n != but {
			rest = append(rest, n)
		}
	}
	return rest
}

// at joins the addresses of control hosts for an operator's command.
func (d *deployment) at(controls ...string) string {
	var all []string
	for _, c := range controls {
		all = append(all, d.settings[c].Peers)
	}
	return strings.Join(all, ",")
}

// applyAt submits a document to the given control hosts until they accept it.
func (d *deployment) applyAt(control, file string, base int, change string) {
	d.t.Helper()
	d.waitFor("apply of "+change, func() bool {
		code, out := d.ctlAt(control, "apply", file, "--revision", fmt.Sprint(base), "--change", change)
		d.t.Log(out)
		return code == 0
	})
}

// TestControlHostCut guards against faults of a control leader whose connections to its
// group go silent for longer than every lease, while entry hosts and operators still
// reach it: its stale answers must not be enforced, it must not accept changes, and it
// must catch up when the partition ends.
func TestControlHostCut(t *testing.T) {
	runInLane(t, &laneOfCuts)
	d, n := deployRelayed(t, 3, 2)
	d.apply(document(t, "a"), 0)
	for _, e := range d.entries {
		d.waitFor(e+" to be ready", func() bool { return d.ready(e) })
	}
	old := d.leader()
	rest := others(d.control, old)
	began := time.Now()
	n.Partition([]string{old}, rest)
	var group conc.WaitGroup
	defer group.Wait()
	stale, lost := document(t, "stale"), document(t, "lost")
	group.Go(func() {
		code, out := d.ctlAt(d.at(old), "--timeout", "2s", "apply", lost, "--revision", "1", "--change", "lost")
		assert.Check(t, code != 0, "the host that is cut off accepted a change: %s", out)
	})
	group.Go(func() {
		code, out := d.ctlAt(d.at(old), "--timeout", "2s", "get")
		assert.Check(t, code != 0, "the host that is cut off answered a read: %s", out)
	})
	d.applyAt(d.at(rest...), stale, 1, "kept")
	accepted := time.Now()
	for _, e := range d.entries {
		d.waitFor(e+" to enforce revision 2", func() bool {
			asked := time.Now()
			x := d.view(e)
			assert.Assert(t, asked.Sub(accepted) < confirmationBound || x.Revision != 1 || x.Decision == "refuse",
				"%s works under revision 1 %v after revision 2 was accepted", e, asked.Sub(accepted))
			return x.Revision == 2
		})
		t.Logf("%s enforced revision 2 within %v", e, time.Since(accepted))
	}
	for time.Since(began) < issuer.LeaseDuration+time.Second {
		for _, e := range d.entries {
			x := d.view(e)
			assert.Assert(t, x.Revision == 2, "%s went back to revision %d", e, x.Revision)
		}
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	for _, e := range d.entries {
		assert.Assert(t, d.ready(e), "%s is unready although two control hosts work", e)
	}
	n.Heal()
	d.waitFor("the host to catch up", func() bool {
		code, out := d.ctlAt(d.at(old), "--output", "json", "status")
		return code == 0 && strings.Contains(out, `"revision": 2`)
	})
	code, out := d.ctlAt(d.at(old), "history")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "kept") && !strings.Contains(out, "lost"), out)
}

// TestEntryHostCut guards against an entry host that goes on under a configuration that
// it cannot confirm, against a refusal as not run of a call that did run, and against a
// host that becomes unready although its peers can confirm the revision.
func TestEntryHostCut(t *testing.T) {
	runInLane(t, &laneOfCallers)
	d, n := deployRelayed(t, 1, 3)
	d.apply(document(t, "a"), 0)
	d.startRelayedStub(n, "shop-1", "--service", "shop")
	for _, e := range d.entries {
		d.waitUpstreams(e, 1)
	}
	// A host that has not heard from another one isn't ready for its first seconds.
	d.waitFor("the hosts to meet", func() bool {
		owner := d.view("entry-1").Owner
		return owner != "" && d.view("entry-2").Owner == owner && d.view("entry-3").Owner == owner
	})
	// entry-1 loses only control, and its connections are refused; entry-3 loses
	// control and its peers, and its connections go silent.
	n.Cut("entry-1", "control-1")
	n.Partition([]string{"entry-3"}, []string{"control-1", "entry-1", "entry-2"})
	began := time.Now()
	served, refused := map[string]bool{}, map[string]bool{}
	for i := 0; time.Since(began) < confirmationBound+2*time.Second; i++ {
		k := fmt.Sprint("call-", i)
		asked := time.Since(began)
		method, path := "GET", "/svc/shop/check"
		if i%2 == 1 {
			method, path = "POST", "/svc/shop/renew"
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		a := d.send(ctx, "entry-3", method, path, "", "Stub-Key", k)
		cancel()
		assert.NilError(t, a.err)
		switch {
		case a.status == http.StatusOK:
			served[k] = true
			assert.Assert(t, asked < confirmationBound, "served a call that arrived %v after the cut", asked)
		default:
			refused[k] = true
			assert.Equal(t, a.status, http.StatusServiceUnavailable, a.body)
			assert.Equal(t, a.header.Get("Amaranth-Run"), "no", a.body)
		}
		if asked >= confirmationBound {
			assert.Assert(t, !d.ready("entry-3"), "ready %v after the cut", asked)
		}
		assert.Assert(t, d.ready("entry-1"), "entry-1 is unready %v after the cut although its peers confirm", asked)
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d served, %d refused", len(served), len(refused))
	assert.Assert(t, len(served) > 0 && len(refused) > 0)
	counts := d.runs("shop-1")
	for k := range refused {
		assert.Equal(t, counts[k], 0, "%s was refused as not run", k)
	}
	for k := range served {
		assert.Equal(t, counts[k], 1, "%s was served", k)
	}
	d.apply(document(t, "b"), 1)
	accepted := time.Now()
	d.waitFor("entry-1 to enforce revision 2", func() bool { return d.view("entry-1").Revision == 2 })
	assert.Assert(t, time.Since(accepted) < confirmationBound || !d.ready("entry-1"), "entry-1 took %v", time.Since(accepted))
	assert.Equal(t, d.view("entry-3").Revision, uint64(1))
	n.Heal()
	d.waitFor("entry-3 to become ready", func() bool { return d.ready("entry-3") })
	assert.Equal(t, d.view("entry-3").Revision, uint64(2), "ready under the old revision")
}

// TestTwoDispatchers guards against top-tier requests that are lost and calls with an
// idempotency key that run twice while the entry hosts are partitioned and a cell has
// two owners, and while the partition ends.
func TestTwoDispatchers(t *testing.T) {
	runInLane(t, &laneOfCuts)
	d, n := deployRelayed(t, 1, 4)
	d.apply(patientDocument(t, "a", 20*time.Second, 2*time.Second, 2*time.Second), 0)
	d.startReference()
	d.startRelayedStub(n, "engine-1", "--model", "lucka", "--slots", "8")
	d.startRelayedStub(n, "engine-2", "--model", "lucka", "--slots", "8")
	d.startRelayedStub(n, "shop-1", "--service", "shop")
	for _, e := range d.entries {
		d.waitUpstreams(e, 3)
	}
	for _, s := range []string{"engine-1", "engine-2"} {
		d.controlStub(s, `{"behaviour": {"gap": "5ms"}}`)
	}
	d.controlStub("shop-1", `{"behaviour": {"first": "10ms"}}`)
	left, right := d.entries[:2], d.entries[2:]
	n.Partition(left, right)
	d.waitFor("two owners", func() bool {
		a, b := d.view(left[0]).Owner, d.view(right[0]).Owner
		return a != "" && b != "" && a != b && a == d.view(left[1]).Owner && b == d.view(right[1]).Owner
	})
	var group conc.WaitGroup
	done := make(chan struct{})
	var chats, letters atomic.Int64
	ask := func(entry, prompt, class string) answer {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		return d.send(ctx, entry, "POST", "/v1/chat/completions", chat(prompt, true), "Amaranth-Class", class)
	}
	repeat := func(f func(i int)) {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
					f(i)
				}
			}
		})
	}
	for c := range 16 {
		entry := d.entries[c%4]
		repeat(func(i int) {
			if c < 8 {
				prompt := fmt.Sprintf("Chat %d of %d. [[length=40]]", i, c)
				a := ask(entry, prompt, "chat")
				text, ok := completeText(a)
				assert.Check(t, ok && text == d.referenceText(prompt), "%s: %d %v %.300s", entry, a.status, a.err, a.body)
				chats.Add(1)
				return
			}
			if _, ok := completeText(ask(entry, fmt.Sprintf("Letter %d of %d. [[length=400]]", i, c), "extra-a")); ok {
				letters.Add(1)
			}
		})
	}
	var mu sync.Mutex
	answers := map[string]map[string]bool{}
	for c := range 4 {
		repeat(func(i int) {
			k := fmt.Sprintf("renewal-%d", i)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			a := d.send(ctx, d.entries[c], "POST", "/svc/shop/renew", "{}", "Idempotency-Key", k)
			if a.err == nil && a.status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				if answers[k] == nil {
					answers[k] = map[string]bool{}
				}
				answers[k][a.body] = true
			}
		})
	}
	d.waitFor("answers during the partition", func() bool { return chats.Load() > 60 })
	n.Heal()
	d.waitFor("one owner", func() bool {
		return d.view(left[0]).Owner == d.view(right[0]).Owner
	})
	before := chats.Load()
	d.waitFor("answers after the partition", func() bool { return chats.Load() > before+40 })
	d.waitFor("renewals", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(answers) > 10
	})
	close(done)
	group.Wait()
	counts := d.runs("shop-1")
	for k, a := range answers {
		assert.Equal(t, counts[k], 1, "%s", k)
		assert.Equal(t, len(a), 1, "%s got different answers: %v", k, a)
	}
	for k, runs := range counts {
		assert.Assert(t, runs <= 1, "%s ran %d times", k, runs)
	}
	t.Logf("%d chats, %d letters, %d renewals answered", chats.Load(), letters.Load(), len(answers))
	assert.Assert(t, len(answers) > 10)
}
