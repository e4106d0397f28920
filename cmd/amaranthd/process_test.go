package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/builder"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

const (
	key = "process-test-key"
	// patience bounds every wait; no check depends on its length.
	patience = 60 * time.Second
)

// binaries builds the programs once for all tests and returns their folder.
var binaries = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "amaranthcart-bin-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", folder, "../...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return folder, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if folder, err := binaries(); err == nil {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// process is one program under test.
type process struct {
	name    string
	program string
	args    []string
	command *exec.Cmd
	log     *os.File
	done    chan struct{}
	// ended is set when the test itself ends the process.
	ended bool
}

// deployment is a set of processes on loopback.
type deployment struct {
	t         testing.TB
	folder    string
	group     conc.WaitGroup
	processes map[string]*process
	settings  map[string]*loader.Settings
	control   []string
	entries   []string
	stubs     map[string]string
}

// newDeployment returns a deployment without processes.
func newDeployment(t testing.TB) *deployment {
	t.Helper()
	d := &deployment{
		t: t, folder: t.TempDir(),
		processes: map[string]*process{}, settings: map[string]*loader.Settings{}, stubs: map[string]string{},
	}
	t.Cleanup(d.close)
	return d
}

func deploy(t testing.TB, controls, entries int) *deployment {
	t.Helper()
	d := newDeployment(t)
	deploySettings(t, d, controls, entries)
	for _, name := range append(d.control, d.entries...) {
		d.startDaemon(name)
	}
	return d
}

// deploySettings adds the settings of control and entry hosts to a deployment without
// starting them.
func deploySettings(t testing.TB, d *deployment, controls, entries int) map[string]*loader.Settings {
	t.Helper()
	var members []loader.ControlHost
	for i := range controls {
		name := fmt.Sprint("control-", i+1)
		d.control = append(d.control, name)
		members = append(members, loader.ControlHost{Name: registrar.HostName(name), Address: freePort(t)})
	}
	for i := range entries {
		d.entries = append(d.entries, fmt.Sprint("entry-", i+1))
	}
	var seeds []string
	for i, name := range append(d.control, d.entries...) {
		s := loader.Default()
		s.Name, s.Centre = registrar.HostName(name), "centre-1"
		s.Data = filepath.Join(d.folder, name)
		s.Admin = freePort(t)
		s.Control = members
		if i < controls {
			s.Roles = []loader.Role{loader.Control}
			s.Peers = members[i].Address
			for _, m := range members {
				s.Bootstrap = append(s.Bootstrap, m.Name)
			}
		} else {
			s.Roles = []loader.Role{loader.Entry}
			s.Peers = freePort(t)
			s.Callers = freePort(t)
			seeds = append(seeds, s.Peers)
		}
		d.settings[name] = s
	}
	for _, name := range d.entries {
		d.settings[name].Seeds = seeds
	}
	return d.settings
}

func (d *deployment) startDaemon(name string) {
	data, err := json.Marshal(d.settings[name])
	assert.NilError(d.t, err)
	file := filepath.Join(d.folder, name+".json")
	assert.NilError(d.t, os.WriteFile(file, data, 0o600))
	d.start(name, "amaranthd", "run", "--settings", file)
}

func (d *deployment) start(name, program string, args ...string) {
	folder, err := binaries()
	assert.NilError(d.t, err)
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(d.t, err)
	c := exec.Command(filepath.Join(folder, program), args...)
	c.Stdout, c.Stderr = log, log
	assert.NilError(d.t, c.Start())
	p := &process{name: name, program: program, args: args, command: c, log: log, done: make(chan struct{})}
	d.processes[name] = p
	d.group.Go(func() {
		defer close(p.done)
		_ = c.Wait()
	})
}

// startStub starts a stub upstream that announces itself to every entry host.
func (d *deployment) startStub(name string, args ...string) {
	if d.stubs[name] == "" {
		d.stubs[name] = freePort(d.t)
	}
	base := []string{"--name", name, "--listen", d.stubs[name]}
	for _, e := range d.entries {
		base = append(base, "--entry", d.settings[e].Peers)
	}
	d.start(name, "amaranthstub", append(base, args...)...)
}

func (d *deployment) signal(name string, s syscall.Signal) {
	d.t.Helper()
	assert.NilError(d.t, d.processes[name].command.Process.Signal(s))
}

func (d *deployment) kill(name string) {
	d.t.Helper()
	d.processes[name].ended = true
	d.signal(name, syscall.SIGKILL)
	<-d.processes[name].done
}

// stop carries out a planned stop and checks that the exit code is 0.
func (d *deployment) stop(name string) {
	d.t.Helper()
	d.processes[name].ended = true
	d.signal(name, syscall.SIGTERM)
	select {
	case <-d.processes[name].done:
	case <-time.After(patience):
		d.t.Fatalf("%s did not stop:\n%s", name, d.tail(name))
	}
	assert.Equal(d.t, d.processes[name].command.ProcessState.ExitCode(), 0, "%s:\n%s", name, d.tail(name))
}

func (d *deployment) restart(name string) {
	p := d.processes[name]
	d.start(name, p.program, p.args...)
}

func (d *deployment) close() {
	for _, p := range d.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	d.group.Wait()
	for _, p := range d.processes {
		_ = p.log.Close()
	}
	if d.t.Failed() {
		for name := range d.processes {
			d.t.Logf("--- %s\n%s", name, d.tail(name))
		}
	}
}

func (d *deployment) tail(name string) string {
	data, err := os.ReadFile(filepath.Join(d.folder, name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-4000):])
}

// checkDaemons fails the test when a daemon has exited without being stopped, which
// would otherwise be noticed only when a wait times out.
func (d *deployment) checkDaemons() {
	d.t.Helper()
	for name, p := range d.processes {
		if p.program != "amaranthd" || p.ended {
			continue
		}
		select {
		case <-p.done:
			d.t.Fatalf("%s ended by itself:\n%s", name, d.tail(name))
		default:
		}
	}
}

// waitFor waits until ok returns true, and fails the test after patience.
func (d *deployment) waitFor(what string, ok func() bool) {
	d.t.Helper()
	for end := time.Now().Add(patience); !ok(); {
		if time.Now().After(end) {
			d.t.Fatalf("gave up waiting for %s", what)
		}
		d.checkDaemons()
		time.Sleep(20 * time.Millisecond)
	}
}

// targets are the times of the classes of a document.
type targets struct{ first, gap, total, wait time.Duration }

// document writes a configuration with a known key and returns the file's name. The
// note makes configurations differ.
func document(t testing.TB, note string) string {
	t.Helper()
	return targeted(t, note, targets{first: 2 * time.Second, gap: time.Second, total: 2 * time.Second, wait: 10 * time.Second})
}

// patientDocument is like document, with targets that a busy machine meets and with
// more parts.
func patientDocument(t testing.TB, note string, first, gap, total time.Duration, more ...builder.Part) string {
	t.Helper()
	return targeted(t, note, targets{first: first, gap: gap, total: total, wait: time.Minute}, more...)
}

func targeted(t testing.TB, note string, a targets, more ...builder.Part) string {
	t.Helper()
	chat := builder.Class("chat", builder.Tier(0), builder.First(a.first), builder.Gap(a.gap), builder.Wait(a.wait))
	plain := builder.Class("plain", builder.Tier(1), builder.Total(a.total), builder.Wait(10*time.Second))
	extra := builder.Class("extra-"+note, builder.Tier(3), builder.Total(time.Minute), builder.Wait(time.Minute))
	var b bytes.Buffer
	assert.NilError(t, builder.New(append([]builder.Part{
		chat, plain, extra,
		builder.Organisation("home", builder.Share(1), builder.Key(key)),
		builder.Model("lucka", chat, builder.Also(extra)),
		builder.Service("shop", plain, builder.Once("POST", "/renew"), builder.Repeatable("GET", "/check")),
	}, more...)...).Print(&b))
	file := filepath.Join(t.TempDir(), "document.json")
	assert.NilError(t, os.WriteFile(file, b.Bytes(), 0o600))
	return file
}

// ctl runs the operators' client and returns its exit code and output.
func (d *deployment) ctl(args ...string) (int, string) {
	d.t.Helper()
	var addresses []string
	for _, name := range d.control {
		addresses = append(addresses, d.settings[name].Peers)
	}
	return d.ctlAt(strings.Join(addresses, ","), args...)
}

func (d *deployment) ctlAt(control string, args ...string) (int, string) {
	d.t.Helper()
	folder, err := binaries()
	assert.NilError(d.t, err)
	args = append([]string{"--control", control}, args...)
	c := exec.Command(filepath.Join(folder, "amaranthctl"), args...)
	out, err := c.CombinedOutput()
	if c.ProcessState == nil {
		d.t.Fatal(err)
	}
	return c.ProcessState.ExitCode(), string(out)
}

// apply submits a document until it is accepted, because the control group may not have
// a leader yet.
func (d *deployment) apply(file string, base int) {
	d.t.Helper()
	d.waitFor("apply", func() bool {
		code, out := d.ctl("apply", file, "--revision", fmt.Sprint(base), "--change", fmt.Sprint("change-", base))
		d.t.Log(out)
		return code == 0
	})
}

func (d *deployment) ready(entry string) bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + d.settings[entry].Callers + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

// waitUpstreams waits until an entry host is ready and knows count upstreams.
func (d *deployment) waitUpstreams(entry string, count int) {
	d.t.Helper()
	d.waitFor(entry+" to know its upstreams", func() bool {
		if !d.ready(entry) {
			return false
		}
		var list struct{ Upstreams []any }
		r, err := http.Get("http://" + d.settings[entry].Admin + "/admin/upstreams")
		if err != nil {
			return false
		}
		defer func() { _ = r.Body.Close() }()
		return json.NewDecoder(r.Body).Decode(&list) == nil && len(list.Upstreams) == count
	})
}

// answer is what a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (d *deployment) send(ctx context.Context, entry, method, path, body string, header ...string) answer {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+d.settings[entry].Callers+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	q.Header.Set("Authorization", "Bearer "+key)
	q.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: string(data), err: err}
}

func chat(prompt string, stream bool) string {
	data, _ := json.Marshal(map[string]any{
		"model": "lucka", "stream": stream, "max_tokens": 2000,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return string(data)
}

// completeText returns the text of a chat completion, streamed or not, and whether it
// was complete.
func completeText(a answer) (string, bool) {
	if a.err != nil || a.status != http.StatusOK {
		return "", false
	}
	var text strings.Builder
	if !strings.HasPrefix(a.body, "data:") {
		var c struct {
			Choices []struct{ Message struct{ Content string } }
		}
		if json.Unmarshal([]byte(a.body), &c) != nil || len(c.Choices) != 1 {
			return "", false
		}
		return c.Choices[0].Message.Content, true
	}
	for line := range strings.SplitSeq(a.body, "\n") {
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return text.String(), strings.Contains(a.body, "data: [DONE]")
}

// TestWholePath guards against faults that do not show inside one process, with three
// control hosts, two entry hosts, two engines and a service in processes of their own.
func TestWholePath(t *testing.T) {
	d := deploy(t, 3, 2)
	d.apply(document(t, "a"), 0)
	d.startStub("engine-1", "--model", "lucka")
	d.startStub("engine-2", "--model", "lucka")
	d.startStub("shop-1", "--service", "shop")
	var texts []string
	for _, e := range d.entries {
		d.waitUpstreams(e, 3)
		for _, stream := range []bool{true, false} {
			text, ok := completeText(d.send(t.Context(), e, "POST", "/v1/chat/completions", chat("Tell me of the night. [[length=30]]", stream)))
			assert.Assert(t, ok && text != "")
			texts = append(texts, text)
		}
		a := d.send(t.Context(), e, "GET", "/svc/shop/check", "")
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusOK, a.body)
	}
	for _, text := range texts {
		assert.Equal(t, text, texts[0])
	}
	renewals := map[string]bool{}
	for _, e := range d.entries {
		a := d.send(t.Context(), e, "POST", "/svc/shop/renew", "{}", "Idempotency-Key", "renewal-1")
		assert.Equal(t, a.status, http.StatusOK, a.body)
		renewals[a.body] = true
	}
	assert.Equal(t, len(renewals), 1, "the resend through another entry host got another answer")
	code, out := d.ctl("history")
	assert.Equal(t, code, 0, out)
	// Most entry hosts don't ask control themselves, but the status must still show
	// the revision in force on each.
	d.waitFor("the status to show both entry hosts at revision 1", func() bool {
		_, out := d.ctl("status")
		shown := 0
		for line := range strings.SplitSeq(out, "\n") {
			f := strings.Fields(line)
			if len(f) == 4 && strings.HasPrefix(f[0], "entry-") && f[2] == "1" {
				shown++
			}
		}
		return shown == len(d.entries)
	})
}
