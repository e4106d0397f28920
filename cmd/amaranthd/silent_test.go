package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// TestUpstreamConnectionSilent guards against a streamed answer that loses or
// repeats a token, and against a call that runs twice, when the connection to an
// upstream goes silent for good while new ones work.
func TestUpstreamConnectionSilent(t *testing.T) {
	runInLane(t, &laneOfCuts)
	d, n := deployRelayed(t, 1, 2)
	d.apply(patientDocument(t, "a", 5*time.Second, 100*time.Millisecond, time.Second), 0)
	d.startReference()
	d.startRelayedStub(n, "engine-1", "--model", "lucka")
	d.startRelayedStub(n, "shop-1", "--service", "shop")
	for _, e := range d.entries {
		d.waitUpstreams(e, 2)
	}
	d.controlStub("engine-1", `{"behaviour": {"gap": "10ms"}}`)
	d.controlStub("shop-1", `{"behaviour": {"first": "1s"}}`)
	var group conc.WaitGroup
	const streams = 4
	answers := make([]answer, streams)
	prompt := func(i int) string { return fmt.Sprintf("Story %d. [[length=300]]", i) }
	for i := range streams {
		group.Go(func() {
			answers[i] = d.send(context.Background(), "entry-1", "POST", "/v1/chat/completions", chat(prompt(i), i%2 == 0))
		})
	}
	var keyed, bare answer
	group.Go(func() {
		keyed = d.send(context.Background(), "entry-1", "POST", "/svc/shop/renew", "{}", "Idempotency-Key", "keyed")
	})
	group.Go(func() {
		bare = d.send(context.Background(), "entry-1", "POST", "/svc/shop/renew", "{}", "Stub-Key", "bare")
	})
	d.waitFor("the calls to run", func() bool {
		runs := d.runs("engine-1", "shop-1")
		return runs["generations"] == streams && runs["keyed"] == 1 && runs["bare"] == 1
	})
	assert.Assert(t, n.Silence("entry-1", "shop-1") >= 2)
	// Some tokens have passed, and many are still to come.
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, n.Silence("entry-1", "engine-1") >= streams)
	began := time.Now()
	a := d.send(t.Context(), "entry-1", "GET", "/svc/shop/check", "")
	assert.Equal(t, a.status, http.StatusOK, "a new connection works: %v %s", a.err, a.body)
	group.Wait()
	t.Logf("the calls ended within %v", time.Since(began))
	for i, a := range answers {
		text, ok := completeText(a)
		assert.Assert(t, ok, "stream %d: %d %v %.300s", i, a.status, a.err, a.body)
		assert.Equal(t, text, d.referenceText(prompt(i)))
	}
	runs := d.runs("engine-1", "shop-1")
	assert.Equal(t, runs["generations"], 2*streams, "each answer is resumed once")
	for name, a := range map[string]answer{"keyed": keyed, "bare": bare} {
		assert.NilError(t, a.err, name)
		assert.Assert(t, a.status >= 500, "%s: %d %s", name, a.status, a.body)
		assert.Equal(t, a.header.Get("Amaranth-Run"), "unknown", "%s: %s", name, a.body)
	}
	for _, e := range d.entries {
		a := d.send(t.Context(), e, "POST", "/svc/shop/renew", "{}", "Idempotency-Key", "keyed")
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusConflict, a.body)
		assert.Equal(t, a.header.Get("Amaranth-Run"), "unknown", a.body)
	}
	runs = d.runs("shop-1")
	assert.Equal(t, runs["keyed"], 1)
	assert.Equal(t, runs["bare"], 1)
}

// applied is the part of the answer to an operator that must be the same for a resend.
type applied struct {
	Outcome  string
	Revision uint64
}

// TestOperatorsRaceWhileLeaderCut guards against two operators who both succeed with
// the same revision, and against a resend that is applied again or gets another answer
// than the first, while the leader is cut off and answers are slow.
func TestOperatorsRaceWhileLeaderCut(t *testing.T) {
	runInLane(t, &laneOfCuts)
	d, n := deployRelayed(t, 3, 0)
	d.apply(document(t, "a"), 0)
	old := d.leader()
	rest := others(d.control, old)
	n.Delay(rest[0], rest[1], 30*time.Millisecond)
	n.Delay(rest[1], rest[0], 30*time.Millisecond)
	const operators = 6
	files := make([]string, operators)
	for i := range files {
		files[i] = document(t, fmt.Sprint("operator-", i))
	}
	submit := func(i int, at string) (int, applied) {
		return d.submit(at, "--timeout", "1s", "--output", "json", "apply", files[i], "--revision", "1", "--change", fmt.Sprint("change-of-", i))
	}
	var group conc.WaitGroup
	codes, results := make([]int, operators), make([]applied, operators)
	for i := range operators {
		group.Go(func() {
			if i%2 == 0 {
				// This answer may be lost, because the leader is cut off meanwhile.
				submit(i, d.at(old))
			}
			d.waitFor("an answer", func() bool {
				codes[i], results[i] = submit(i, d.at(old, rest[0], rest[1]))
				return codes[i] == 0 || codes[i] == 4
			})
		})
	}
	n.Partition([]string{old}, rest)
	group.Wait()
	winners := 0
	for i, c := range codes {
		if c == 0 {
			winners++
			assert.DeepEqual(t, results[i], applied{"accepted", 2})
		} else {
			assert.Equal(t, results[i].Outcome, "conflict")
		}
	}
	assert.Equal(t, winners, 1, "%v", codes)
	check := func(at string) {
		for i := range operators {
			code, again := submit(i, at)
			assert.Equal(t, code, codes[i], "operator %d", i)
			assert.DeepEqual(t, again, results[i])
		}
	}
	check(d.at(rest...))
	n.Heal()
	d.waitFor("the old leader to catch up", func() bool {
		code, out := d.ctlAt(d.at(old), "--output", "json", "status")
		return code == 0 && strings.Contains(out, `"revision": 2`)
	})
	check(d.at(old))
}

// submit runs the operators' client and decodes its standard output.
func (d *deployment) submit(control string, args ...string) (int, applied) {
	var a applied
	folder, err := binaries()
	if !assert.Check(d.t, err) {
		return -1, a
	}
	c := exec.Command(filepath.Join(folder, "amaranthctl"), append([]string{"--control", control}, args...)...)
	out, _ := c.Output()
	_ = json.Unmarshal(out, &a)
	return c.ProcessState.ExitCode(), a
}
