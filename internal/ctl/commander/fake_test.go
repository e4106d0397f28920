package commander_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/ctl/commander"
	"github.com/amaranthcart/amaranthcart/internal/ops/guardian"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

const (
	operatorKey = "a key of asha"
	small       = `{"classes": [{"name": "chat", "tier": 0, "wait": "2s"}]}`
	changed     = `{"classes": [{"name": "chat", "tier": 1, "wait": "2s"}]}`
	invalid     = `{"classes": [{"name": "chat", "tier": 9, "wait": "2s"}], "model": []}`
)

var operators = []loader.Operator{{Name: "asha", Keys: []string{validator.HashKey(operatorKey)}}}

// control is a fake Control service that behaves as the real one does.
type control struct {
	wireconnect.UnimplementedControlHandler
	mutex     sync.Mutex
	revisions []*wire.Revision
	entries   []*wire.AuditEntry
	answers   map[string]*wire.ApplyResponse
	contents  map[string]string
	// before runs before Apply accepts a change, and after runs before Apply answers. An
	// error of either is the answer.
	before, after func(context.Context) error
	// term is 3 unless a test sets it.
	term uint64
}

func newControl() *control {
	nothing := func(context.Context) error { return nil }
	return &control{answers: map[string]*wire.ApplyResponse{}, contents: map[string]string{}, term: 3, before: nothing, after: nothing}
}

func (f *control) Apply(ctx context.Context, r *connect.Request[wire.ApplyRequest]) (*connect.Response[wire.ApplyResponse], error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.before(ctx); err != nil {
		return nil, err
	}
	a := f.accept(r.Msg)
	if err := f.after(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(a), nil
}

func (f *control) accept(m *wire.ApplyRequest) *wire.ApplyResponse {
	current := uint64(len(f.revisions))
	content := fmt.Sprint(m.Base, string(m.Document), m.Note)
	if a, ok := f.answers[m.Change]; ok {
		if f.contents[m.Change] != content {
			return &wire.ApplyResponse{Outcome: wire.ApplyResponse_OUTCOME_REUSED, Current: current}
		}
		return &wire.ApplyResponse{Outcome: a.Outcome, Revision: a.Revision, Current: a.Current, Problems: a.Problems, Repeated: true}
	}
	a := &wire.ApplyResponse{Current: current}
	_, problems := validator.Decode(m.Document)
	for _, p := range problems {
		a.Problems = append(a.Problems, p.String())
	}
	switch {
	case len(problems) > 0:
		a.Outcome = wire.ApplyResponse_OUTCOME_INVALID
	case m.Base != current:
		a.Outcome = wire.ApplyResponse_OUTCOME_CONFLICT
	default:
		a.Outcome, a.Revision, a.Current = wire.ApplyResponse_OUTCOME_ACCEPTED, current+1, current+1
		f.record(m, current+1)
	}
	f.answers[m.Change], f.contents[m.Change] = a, content
	return a
}

func (f *control) record(m *wire.ApplyRequest, n uint64) {
	var before []byte
	if n > 1 {
		before = f.revisions[n-2].Document
	}
	sum := sha256.Sum256(m.Document)
	r := &wire.Revision{Number: n, Document: m.Document, Digest: hex.EncodeToString(sum[:4]), Accepted: int64(n) * 1e9}
	f.revisions = append(f.revisions, r)
	f.entries = append(f.entries, &wire.AuditEntry{
		Revision: n, Base: m.Base, Change: m.Change, Operator: m.Operator, Note: m.Note,
		Accepted: r.Accepted, Digest: r.Digest, Differences: validator.Differences(before, m.Document),
	})
}

func (f *control) Get(_ context.Context, r *connect.Request[wire.GetRequest]) (*connect.Response[wire.GetResponse], error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n := uint64(len(f.revisions))
	if r.Msg.Revision > n {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no revision %d", r.Msg.Revision))
	}
	if r.Msg.Revision > 0 {
		n = r.Msg.Revision
	}
	if n == 0 {
		return connect.NewResponse(&wire.GetResponse{}), nil
	}
	return connect.NewResponse(&wire.GetResponse{Revision: f.revisions[n-1]}), nil
}

func (f *control) History(_ context.Context, r *connect.Request[wire.HistoryRequest]) (*connect.Response[wire.HistoryResponse], error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	l := f.entries[min(r.Msg.After, uint64(len(f.entries))):]
	return connect.NewResponse(&wire.HistoryResponse{Entries: l[:min(int(r.Msg.Limit), len(l))]}), nil
}

func (f *control) Status(context.Context, *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	return connect.NewResponse(&wire.StatusResponse{
		Id: 0xa0 + f.term, Term: f.term, Leader: 0xa0 + f.term, Role: "leader", Committed: 7, Applied: 7, Revision: 2,
		Replicas:  []*wire.Replica{{Id: 0xa0 + f.term, Address: "10.0.0.1:7070", Centre: "lalitpur", Voter: true, Matched: 7}},
		Followers: []*wire.Follower{{Host: "entry-1", Centre: "kavre", Revision: 2, Age: 250}},
	}), nil
}

// serve starts a server for HTTP/1 and for HTTP/2 without TLS and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s.Config.Protocols = &p
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func serveControl(t *testing.T, f *control) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewControlHandler(f, connect.WithInterceptors(guardian.New(operators))))
	return serve(t, mux)
}

// closedPort returns an address that refuses connections.
func closedPort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return l.Addr().String()
}

// session runs commands and records their output.
type session struct {
	t       *testing.T
	names   *strings.Replacer
	folder  string
	changes int
	log     bytes.Buffer
}

// newSession returns a session. It takes pairs of an address and the name that replaces
// it in the transcript.
func newSession(t *testing.T, addresses ...string) *session {
	t.Helper()
	t.Setenv("AMARANTH_KEY", operatorKey)
	s := &session{t: t, folder: t.TempDir()}
	s.names = strings.NewReplacer(append([]string{s.folder + "/", ""}, addresses...)...)
	for name, text := range map[string]string{"small.json": small, "changed.json": changed, "invalid.json": invalid} {
		assert.NilError(t, os.WriteFile(filepath.Join(s.folder, name), []byte(text+"\n"), 0o600))
	}
	return s
}

// run executes a command line, in which names that end in .json are files of the
// session's folder, and returns its exit code.
func (s *session) run(ctx context.Context, line string) int {
	s.t.Helper()
	var out, problems bytes.Buffer
	var args []string
	for _, a := range strings.Fields(line) {
		if strings.HasSuffix(a, ".json") {
			a = filepath.Join(s.folder, a)
		}
		args = append(args, a)
	}
	code := commander.Run(ctx, args, commander.Environment{
		Stdin: strings.NewReader(""), Stdout: &out, Stderr: &problems, Version: "amaranthctl 1", Pause: 1,
		NewID: func() string { s.changes++; return fmt.Sprintf("change-%d", s.changes) },
	})
	fmt.Fprintf(&s.log, "$ amaranthctl %s\n%s", line, out.String())
	for l := range strings.Lines(problems.String()) {
		fmt.Fprintf(&s.log, "! %s", l)
	}
	fmt.Fprintf(&s.log, "= %d\n", code)
	return code
}

// transcript returns the recorded output without addresses and folders.
func (s *session) transcript() string { return s.names.Replace(s.log.String()) }

// unavailable is the answer of a control host that knows no leader.
var unavailable = connect.NewError(connect.CodeUnavailable, errors.New("no leader"))
