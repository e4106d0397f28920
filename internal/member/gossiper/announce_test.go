package gossiper_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// Guards against unintended changes of the responses to upstreams. Run with -update to
// accept a change.
func TestAnnouncementSession(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := gossiper.New(registrar.Host{Name: "entry-1", Incarnation: 1}, gossiper.WithClock(clock),
		gossiper.WithOnAction(func(registrar.Action) {}))
	defer g.Close()
	var session strings.Builder
	for _, s := range []struct {
		note, method, body string
		wait               time.Duration
	}{
		{"first announcement", "POST", `{"name":"hay-1","address":"127.0.0.1:9000","centre":"patan","models":["hay"],"incarnation":7,"sequence":1,"slots":8,"load":{"running":1,"waiting":0,"cache":0.25}}`, 0},
		{"renewal with a field of a newer version", "POST", `{"name":"hay-1","address":"127.0.0.1:9000","centre":"patan","models":["hay"],"incarnation":7,"sequence":2,"slots":8,"colour":"green"}`, 900 * time.Millisecond},
		{"resend", "POST", `{"name":"hay-1","address":"127.0.0.1:9000","models":["hay"],"incarnation":7,"sequence":2}`, 0},
		{"older announcement", "POST", `{"name":"hay-1","address":"127.0.0.1:9000","models":["hay"],"incarnation":7,"sequence":1}`, 0},
		{"after a freeze of this host", "POST", `{"name":"hay-1","address":"127.0.0.1:9000","models":["hay"],"incarnation":7,"sequence":3}`, 10 * time.Second},
		{"and half a second later", "POST", `{"name":"hay-1","address":"127.0.0.1:9000","models":["hay"],"incarnation":7,"sequence":4}`, 500 * time.Millisecond},
		{"departure", "POST", `{"name":"hay-1","incarnation":7,"sequence":5,"leaving":true}`, 0},
		{"renewal after the departure", "POST", `{"name":"hay-1","address":"127.0.0.1:9000","models":["hay"],"incarnation":7,"sequence":6}`, 0},
		{"restart with an older incarnation", "POST", `{"name":"hay-1","address":"127.0.0.1:9000","models":["hay"],"incarnation":6,"sequence":1}`, 0},
		{"restart", "POST", `{"name":"hay-1","address":"127.0.0.1:9000","services":["ledger"],"incarnation":8,"sequence":1}`, 0},
		{"many faults", "POST", `{"address":"nowhere","slots":-1,"load":{"running":-1,"cache":2},"models":[""]}`, 0},
		{"not JSON", "POST", `hay`, 0},
		{"wrong type", "POST", `{"name":"hay-1","sequence":"two"}`, 0},
		{"other method", "GET", ``, 0},
	} {
		clock.Advance(s.wait)
		w := httptest.NewRecorder()
		g.Announcements().ServeHTTP(w, httptest.NewRequest(s.method, gossiper.AnnouncePath, strings.NewReader(s.body)))
		_, live := g.Snapshot().Upstream(clock.Now(), "hay-1")
		fmt.Fprintf(&session, "# %s\n> %s %s %s\n< %d %slive: %t\n\n", s.note, s.method, gossiper.AnnouncePath, s.body, w.Code, w.Body, live)
	}
	golden.Assert(t, session.String(), "announce.golden")
}

// Guards against a request body that takes unbounded memory.
func TestLargeAnnouncementIsRefused(t *testing.T) {
	g := gossiper.New(registrar.Host{Name: "entry-1"})
	defer g.Close()
	body := `{"name":"` + strings.Repeat("x", gossiper.MaxBody) + `"}`
	assert.Equal(t, post(g, body).Code, http.StatusRequestEntityTooLarge)
}

// Guards against malformed announcements that crash a host, break the exchange of all
// announcements or get an upstream listed.
func TestOddAnnouncements(t *testing.T) {
	const body = `{"name":"hay-1","address":"127.0.0.1:9000","centre":"patan","models":["hay"],"incarnation":7,"sequence":1,"slots":8,"load":{"running":1,"waiting":0,"cache":0.25}}`
	with := func(old, other string) string { return strings.Replace(body, old, other, 1) }
	nested := func(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }
	for name, odd := range map[string]string{
		"empty": "", "null": "null", "cut off": body[:40], "text behind": body + "}",
		"nested too deeply":    with(`"patan"`, nested(10_001)),
		"nested in a list":     with(`["hay"]`, nested(9_000)),
		"slots 2^62":           with(`"slots":8`, `"slots":4611686018427387904`),
		"slots 1e30":           with(`"slots":8`, `"slots":1e30`),
		"incarnation 2^64":     with(`"incarnation":7`, `"incarnation":18446744073709551616`),
		"sequence 0.5":         with(`"sequence":1`, `"sequence":0.5`),
		"cache 1e400":          with("0.25", "1e400"),
		"control characters":   with("hay-1", `hay\u0000`),
		"control in the model": with(`"hay"]`, `"h\u000day"]`),
		"long name":            with("hay-1", strings.Repeat("h", gossiper.MaxText+1)),
		"port 0":               with(":9000", ":0"),
		"port 65536":           with(":9000", ":65536"),
		"port 10^20":           with(":9000", ":99999999999999999999"),
		"port -1":              with(":9000", ":-1"),
		"no port":              with(":9000", ""),
		"no host":              with("127.0.0.1:", ":"),
		"path in the host":     with("127.0.0.1:", "hay/x:"),
		"query in the host":    with("127.0.0.1:", "hay?x:"),
		"user in the host":     with("127.0.0.1:", "hay@x:"),
		"escape in the host":   with("127.0.0.1:", "%zz:"),
		"zone":                 with("127.0.0.1:", "[fe80::1%lo]:"),
		"secure path":          with("127.0.0.1:", "https://hay/x:"),
		"secure port 0":        with("127.0.0.1:9000", "https://127.0.0.1:0"),
	} {
		t.Run(name, func(t *testing.T) {
			g := gossiper.New(registrar.Host{Name: "entry-1"})
			defer g.Close()
			assert.Check(t, post(g, odd).Code == http.StatusBadRequest)
			assert.Check(t, len(g.Snapshot().Upstreams(time.Now())) == 0)
		})
	}
}

// Guards against announcements that crash a host or change when they are relayed.
func FuzzDecodeAnnouncement(f *testing.F) {
	for _, s := range []string{
		`{"name":"hay-1","address":"127.0.0.1:9000","models":["hay"],"incarnation":7,"sequence":1,"slots":8,"load":{"cache":0.5}}`,
		`{"name":"a","incarnation":1,"leaving":true}`, `{}`, `[]`, `null`, `{"load":{"cache":1e400}}`, `{"incarnation":18446744073709551616}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		u, err := gossiper.DecodeAnnouncement(body)
		if err != nil {
			assert.Equal(t, u.Name, registrar.UpstreamID(""))
			return
		}
		again, err := json.Marshal(u)
		assert.NilError(t, err)
		same, err := gossiper.DecodeAnnouncement(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, same, u)
		now := time.Unix(1000, 0)
		r := registrar.New(now, registrar.Host{Name: "a", Incarnation: 1})
		r.Step(now, registrar.Announce{Upstream: u})
		_, live := r.Snapshot().Upstream(now, u.Name)
		assert.Equal(t, live, !u.Leaving)
	})
}

func post(g *gossiper.Gossiper, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	g.Announcements().ServeHTTP(w, httptest.NewRequest(http.MethodPost, gossiper.AnnouncePath, strings.NewReader(body)))
	return w
}

func announceDirectly(t *testing.T, g *gossiper.Gossiper, body string) {
	t.Helper()
	w := post(g, body)
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
}
