package main_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// balancer sends requests to the entry hosts that were ready at the last health check,
// as the platform's load balancer does.
type balancer struct {
	d *deployment
	// entries is a copy, because tests change that of the deployment while the
	// balancer runs.
	entries []string
	ready   sync.Map
	stop    chan struct{}
	group   conc.WaitGroup
}

func newBalancer(d *deployment) *balancer {
	b := &balancer{d: d, entries: slices.Clone(d.entries), stop: make(chan struct{})}
	for _, e := range b.entries {
		b.group.Go(func() { b.check(e) })
	}
	d.t.Cleanup(func() {
		close(b.stop)
		b.group.Wait()
	})
	return b
}

func (b *balancer) check(entry string) {
	for {
		b.ready.Store(entry, b.d.ready(entry))
		select {
		case <-b.stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (b *balancer) pick() string {
	for range 1000 {
		e := b.entries[rand.IntN(len(b.entries))]
		if ok, _ := b.ready.Load(e); ok == true {
			return e
		}
		time.Sleep(10 * time.Millisecond)
	}
	return b.entries[0]
}

// load runs callers until stop is called, which returns the failures.
type load struct {
	served   atomic.Int64
	mu       sync.Mutex
	failures []string
	done     chan struct{}
	group    conc.WaitGroup
}

func (l *load) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

func (l *load) stop() []string {
	close(l.done)
	l.group.Wait()
	return l.failures
}

// referenceText returns the answer of the reference engine, which has no faults, or an
// error text when it does not answer.
func (d *deployment) referenceText(prompt string) string {
	r, err := http.Post("http://"+d.stubs["reference"]+"/v1/chat/completions", "application/json", strings.NewReader(chat(prompt, false)))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	text, _ := completeText(answer{status: r.StatusCode, body: string(data), err: err})
	return text
}

// startEngines starts engines that every entry host knows, and the reference engine.
func (d *deployment) startEngines(names ...string) {
	d.t.Helper()
	d.startReference()
	for _, s := range names {
		d.startStub(s, "--model", "lucka")
	}
	for _, e := range d.entries {
		d.waitUpstreams(e, len(names))
	}
	for _, s := range names {
		d.controlStub(s, `{"behaviour": {"gap": "5ms"}}`)
	}
}

// startLoad runs callers that request chat answers of the given length in tokens, each
// prompt once, and compare every answer with that of the reference engine.
func startLoad(d *deployment, b *balancer, callers int, length int) *load {
	l := &load{done: make(chan struct{})}
	var serial atomic.Int64
	for range callers {
		l.group.Go(func() {
			for {
				select {
				case <-l.done:
					return
				default:
				}
				e := b.pick()
				prompt := fmt.Sprintf("Story %d. [[length=%d]]", serial.Add(1), length)
				want := d.referenceText(prompt)
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				a := d.send(ctx, e, "POST", "/v1/chat/completions", chat(prompt, rand.IntN(2) == 0))
				cancel()
				if text, ok := completeText(a); !ok || text != want {
					l.fail("%s at %s: status %d, error %v, whole %v, body %.300q", e, time.Now().Format(time.StampMilli), a.status, a.err, ok, a.body)
					continue
				}
				l.served.Add(1)
			}
		})
	}
	return l
}

// controlStub sends a control request to a stub upstream.
func (d *deployment) controlStub(stub, body string) {
	d.t.Helper()
	r, err := http.Post("http://"+d.stubs[stub]+"/control", "application/json", strings.NewReader(body))
	assert.NilError(d.t, err)
	assert.NilError(d.t, r.Body.Close())
}

// runs returns how often the stub upstreams ran each call, by key and in total.
func (d *deployment) runs(stubs ...string) map[string]int {
	d.t.Helper()
	all := map[string]int{}
	for _, s := range stubs {
		r, err := http.Get("http://" + d.stubs[s] + "/control/runs")
		assert.NilError(d.t, err)
		var counts map[string]int
		assert.NilError(d.t, json.NewDecoder(r.Body).Decode(&counts))
		assert.NilError(d.t, r.Body.Close())
		for k, n := range counts {
			all[k] += n
		}
	}
	return all
}

// leader returns the name of the control host that leads.
func (d *deployment) leader() string {
	d.t.Helper()
	var name string
	d.waitFor("a control leader", func() bool {
		for _, c := range d.control {
			code, out := d.ctlAt(d.settings[c].Peers, "--output", "json", "status")
			if code == 0 && strings.Contains(out, `"role": "leader"`) {
				name = c
				return true
			}
		}
		return false
	})
	return name
}

// TestRollingRestart guards against a planned stop that breaks off a request. Every
// host of the deployment restarts under load, one after another.
func TestRollingRestart(t *testing.T) {
	d := deploy(t, 3, 3)
	d.apply(document(t, "a"), 0)
	d.startEngines("engine-1", "engine-2", "engine-3")
	l := startLoad(d, newBalancer(d), 12, 60)
	for _, name := range append(append([]string{}, d.entries...), d.control...) {
		d.stop(name)
		d.restart(name)
		if strings.HasPrefix(name, "entry") {
			d.waitUpstreams(name, 3)
		} else {
			d.leader()
		}
	}
	for _, f := range l.stop() {
		t.Error(f)
	}
	t.Logf("served %d requests", l.served.Load())
	assert.Assert(t, l.served.Load() > 100)
}

// TestUpstreamKilled guards against answers that are cut short or mixed up when
// an engine dies in the middle of them.
func TestUpstreamKilled(t *testing.T) {
	d := deploy(t, 1, 2)
	d.apply(document(t, "a"), 0)
	stubs := []string{"engine-1", "engine-2", "engine-3"}
	d.startEngines(stubs...)
	l := startLoad(d, newBalancer(d), 8, 100)
	for i := range 3 {
		before := l.served.Load()
		d.waitFor("some answers", func() bool { return l.served.Load() > before+10 })
		d.kill(stubs[i])
		d.restart(stubs[i])
		// A request that is in flight at two crashes is refused as the likely
		// cause of both. The pause is longer than a request that is resumed once,
		// so that none is in flight at two kills.
		time.Sleep(3 * time.Second)
	}
	before := l.served.Load()
	d.waitFor("some answers", func() bool { return l.served.Load() > before+10 })
	for _, f := range l.stop() {
		t.Error(f)
	}
	t.Logf("served %d requests", l.served.Load())
}

// TestRunsOnce guards against a renewal that runs twice or whose answer is lost.
// Callers resend under one idempotency key through all entry hosts while the control
// leader and an entry host are killed and the service drops answers.
func TestRunsOnce(t *testing.T) {
	d := deploy(t, 3, 3)
	d.apply(document(t, "a"), 0)
	d.startStub("shop-1", "--service", "shop")
	d.startStub("shop-2", "--service", "shop")
	for _, e := range d.entries {
		d.waitUpstreams(e, 2)
	}
	d.controlStub("shop-1", `{"behaviour": {"first": "20ms"}}`)
	d.controlStub("shop-2", `{"behaviour": {"first": "20ms", "lose": true, "times": 5}}`)
	var group conc.WaitGroup
	var mu sync.Mutex
	answers := map[string]map[string]bool{}
	refused := map[string]bool{}
	const renewals = 120
	for i := range renewals {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			k := fmt.Sprint("renewal-", i)
			for try := range 40 {
				e := d.entries[(i+try)%len(d.entries)]
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				a := d.send(ctx, e, "POST", "/svc/shop/renew", `{"box":1}`, "Idempotency-Key", k)
				cancel()
				run := a.header.Get("Amaranth-Run")
				mu.Lock()
				if a.err == nil && a.status == http.StatusOK {
					if answers[k] == nil {
						answers[k] = map[string]bool{}
					}
					answers[k][a.body] = true
				}
				if a.err == nil && run == "unknown" {
					refused[k] = true
				}
				final := a.err == nil && (a.status == http.StatusOK || run == "unknown")
				mu.Unlock()
				if final && try > 2 {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	d.kill(d.leader())
	time.Sleep(700 * time.Millisecond)
	d.kill("entry-2")
	d.restart("entry-2")
	group.Wait()
	counts := d.runs("shop-1", "shop-2")
	for i := range renewals {
		k := fmt.Sprint("renewal-", i)
		assert.Assert(t, counts[k] <= 1, "%s ran %d times", k, counts[k])
		assert.Assert(t, len(answers[k]) <= 1, "%s got different answers: %v", k, answers[k])
		assert.Assert(t, len(answers[k]) == 1 || refused[k], "%s got no final answer", k)
		assert.Assert(t, len(answers[k]) == 0 || counts[k] == 1, "%s was answered but ran %d times", k, counts[k])
	}
	t.Logf("%d renewals, %d answered, %d unknown", renewals, len(answers), len(refused))
	assert.Assert(t, len(answers) > renewals/2)
}

// voters returns the IDs of the voting replicas, as the leader sees them.
func (d *deployment) voters() map[uint64]bool {
	d.t.Helper()
	_, out := d.ctlAt(d.settings[d.leader()].Peers, "--output", "json", "status")
	var hosts []struct {
		Status wire.StatusResponse `json:"status"`
	}
	assert.NilError(d.t, json.Unmarshal([]byte(out), &hosts), out)
	all := map[uint64]bool{}
	for i := range hosts {
		for _, r := range hosts[i].Status.Replicas {
			if r.Voter {
				all[r.Id] = true
			}
		}
	}
	return all
}

// TestControlDiskLost guards against an accepted change that goes missing, or
// reverts on an entry host, when a control host loses its disk and a second one
// is lost right after the repair.
func TestControlDiskLost(t *testing.T) {
	d := deploy(t, 3, 2)
	revision := 0
	for range 3 {
		d.apply(document(t, fmt.Sprint(revision)), revision)
		revision++
	}
	d.kill("control-2")
	assert.NilError(t, os.RemoveAll(d.settings["control-2"].Data))
	d.apply(document(t, fmt.Sprint(revision)), revision)
	revision++
	before := d.voters()
	d.restart("control-2")
	d.waitFor("the new replica to vote in place of the old one", func() bool {
		after := d.voters()
		added := 0
		for id := range after {
			if !before[id] {
				added++
			}
		}
		return len(after) == 3 && added == 1
	})
	d.apply(document(t, fmt.Sprint(revision)), revision)
	revision++
	d.kill("control-3")
	assert.NilError(t, os.RemoveAll(d.settings["control-3"].Data))
	d.apply(document(t, fmt.Sprint(revision)), revision)
	revision++
	code, out := d.ctl("--output", "json", "history")
	assert.Equal(t, code, 0, out)
	for i := range revision {
		assert.Assert(t, strings.Contains(out, fmt.Sprintf(`"change-%d"`, i)), "change %d is missing: %s", i, out)
	}
	for _, e := range d.entries {
		d.waitFor(e+" to enforce the last revision", func() bool {
			_, out := d.explain(e)
			return strings.Contains(out, fmt.Sprintf(`"revision": %d`, revision))
		})
	}
}

// TestLeaving guards against new work for an upstream that is leaving, also when an
// entry host that may have been the only one to hear of it dies next.
func TestLeaving(t *testing.T) {
	d := deploy(t, 1, 3)
	d.apply(document(t, "a"), 0)
	d.startStub("shop-1", "--service", "shop")
	d.startStub("shop-2", "--service", "shop")
	for _, e := range d.entries {
		d.waitUpstreams(e, 2)
	}
	d.controlStub("shop-1", `{"leave": true}`)
	d.kill("entry-1")
	time.Sleep(3 * time.Second)
	before := d.runs("shop-1")["GET /check"]
	for i := range 60 {
		a := d.send(t.Context(), d.entries[1+i%2], "GET", "/svc/shop/check", "")
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusOK, a.body)
	}
	assert.Equal(t, d.runs("shop-1")["GET /check"], before)
}

// TestPoison guards against the loss of all engines to one request that crashes every
// engine that runs it and that its caller resends, and against the loss of other
// requests that run beside it.
func TestPoison(t *testing.T) {
	d := deploy(t, 1, 2)
	d.apply(document(t, "a"), 0)
	stubs := []string{"engine-1", "engine-2", "engine-3", "engine-4"}
	d.startEngines(stubs...)
	l := startLoad(d, newBalancer(d), 8, 100)
	var last answer
	for i := range 12 {
		e := d.entries[i%2]
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		last = d.send(ctx, e, "POST", "/v1/chat/completions", chat("Break it. [[crash=3]]", true))
		cancel()
	}
	crashed := 0
	for _, s := range stubs {
		select {
		case <-d.processes[s].done:
			crashed++
		default:
		}
	}
	failures := l.stop()
	assert.Assert(t, crashed <= 2, "%d engines were lost", crashed)
	assert.Assert(t, crashed > 0, "the prompt crashed nothing")
	assert.Assert(t, last.err == nil && last.status >= 400 && last.status < 500, "the last answer was %d %v %s", last.status, last.err, last.body)
	assert.Equal(t, last.header.Get("Amaranth-Run"), "no")
	assert.Equal(t, len(failures), 0, "%v", errors.New(strings.Join(failures, "\n")))
}

// TestCrashingMessage guards against the loss of engine after engine to conversations that
// share one message and nothing else, at whichever entry host they arrive.
func TestCrashingMessage(t *testing.T) {
	d := deploy(t, 1, 2)
	d.apply(document(t, "a"), 0)
	var stubs []string
	for i := range 8 {
		stubs = append(stubs, fmt.Sprint("engine-", i+1))
	}
	d.startEngines(stubs...)
	l := startLoad(d, newBalancer(d), 8, 100)
	var last answer
	for i := range 16 {
		body, err := json.Marshal(map[string]any{
			"model": "lucka", "stream": i%2 == 0, "max_tokens": 200,
			"messages": []map[string]string{
				{"role": "system", "content": "Break it. [[crash=0]]"},
				{"role": "user", "content": fmt.Sprint("This is question ", i)},
			},
		})
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		last = d.send(ctx, d.entries[i%2], "POST", "/v1/chat/completions", string(body))
		cancel()
	}
	crashed := 0
	for _, s := range stubs {
		select {
		case <-d.processes[s].done:
			crashed++
		default:
		}
	}
	failures := l.stop()
	assert.Assert(t, crashed <= 5, "%d engines were lost", crashed)
	assert.Assert(t, crashed > 0, "the message crashed nothing")
	assert.NilError(t, last.err)
	assert.Equal(t, last.status, http.StatusServiceUnavailable, last.body)
	assert.Assert(t, strings.Contains(last.body, "poisonous_part"), last.body)
	assert.Equal(t, last.header.Get("Amaranth-Run"), "no")
	assert.Assert(t, last.header.Get("Retry-After") != "")
	assert.Equal(t, len(failures), 0, "%v", errors.New(strings.Join(failures, "\n")))
}

// TestControlLost guards against an entry host that goes on under a configuration that
// it cannot confirm, against a refusal as not run of a call that did run, and against
// two operators who both succeed with the same revision number.
func TestControlLost(t *testing.T) {
	d := deploy(t, 3, 2)
	d.apply(document(t, "a"), 0)
	d.startStub("shop-1", "--service", "shop")
	for _, e := range d.entries {
		d.waitUpstreams(e, 1)
	}
	codes := make([]int, 2)
	var group conc.WaitGroup
	for i := range codes {
		file := document(t, fmt.Sprint("operator-", i))
		group.Go(func() { codes[i], _ = d.ctl("apply", file, "--revision", "1", "--change", fmt.Sprint("race-", i)) })
	}
	group.Wait()
	slices.Sort(codes)
	assert.DeepEqual(t, codes, []int{0, 4})

	for _, c := range d.control {
		d.signal(c, syscall.SIGSTOP)
	}
	for _, e := range d.entries {
		d.waitFor(e+" to become unready", func() bool { return !d.ready(e) })
	}
	before := d.runs("shop-1")
	for i, method := range []string{"GET", "POST"} {
		a := d.send(t.Context(), d.entries[i], method, []string{"/svc/shop/check", "/svc/shop/renew"}[i], "")
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusServiceUnavailable, a.body)
		assert.Equal(t, a.header.Get("Amaranth-Run"), "no")
	}
	assert.DeepEqual(t, d.runs("shop-1"), before)
	for _, c := range d.control {
		d.signal(c, syscall.SIGCONT)
	}
	for _, e := range d.entries {
		d.waitFor(e+" to become ready", func() bool { return d.ready(e) })
	}
}

// TestPreempted guards against urgent work that waits behind long work of the lowest
// tier, and against long answers that are cut short or mixed up when they are
// preempted.
func TestPreempted(t *testing.T) {
	d := deploy(t, 1, 2)
	d.apply(document(t, "a"), 0)
	d.startReference()
	d.startStub("engine-1", "--model", "lucka", "--slots", "4")
	for _, e := range d.entries {
		d.waitUpstreams(e, 1)
	}
	d.controlStub("engine-1", `{"behaviour": {"gap": "20ms"}}`)
	const letters = 4
	texts := make([]answer, letters)
	prompt := func(i int) string { return fmt.Sprintf("Letter %d. [[length=600]]", i) }
	var group conc.WaitGroup
	for i := range letters {
		group.Go(func() {
			texts[i] = d.send(t.Context(), d.entries[i%2], "POST", "/v1/chat/completions", chat(prompt(i), i%2 == 0), "Amaranth-Class", "extra-a")
		})
	}
	d.waitFor("the letters to fill the engine", func() bool { return d.runs("engine-1")["generations"] == letters })
	time.Sleep(time.Second)
	for i := range 4 {
		began := time.Now()
		_, ok := completeText(d.send(t.Context(), d.entries[i%2], "POST", "/v1/chat/completions", chat(fmt.Sprintf("Chat %d. [[length=5]]", i), false)))
		assert.Assert(t, ok)
		t.Logf("chat %d took %v", i, time.Since(began))
		// The letters hold their slots for 12 s; the target of chat is 2 s.
		assert.Assert(t, time.Since(began) < 8*time.Second, "chat %d waited behind letters: %v", i, time.Since(began))
	}
	group.Wait()
	for i, a := range texts {
		text, ok := completeText(a)
		assert.Assert(t, ok, "letter %d: %d %v %.300s", i, a.status, a.err, a.body)
		assert.Equal(t, text, d.referenceText(prompt(i)))
	}
	assert.Assert(t, d.runs("engine-1")["generations"] > letters+4, "no letter gave way")
}
