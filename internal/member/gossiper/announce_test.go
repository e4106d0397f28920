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

// Guards against changes of what upstreams see. Run with -update to accept one.
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

// Guards against a body that takes memory without bound.
func TestLargeAnnouncementIsRefused(t *testing.T) {
	g := gossiper.New(registrar.Host{Name: "entry-1"})
	defer g.Close()
	body := `{"name":"` + strings.Repeat("x", gossiper.MaxBody) + `"}`
	assert.Equal(t, post(g, body).Code, http.StatusRequestEntityTooLarge)
}

// Guards against announcements that break a host or change when passed on.
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
