package gossiper_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// TestSecureAnnouncements guards against an upstream that announces itself under
// the name of another one, and against addresses that this host can't call.
func TestSecureAnnouncements(t *testing.T) {
	own := []authenticator.Identity{{Role: authenticator.Upstream, Name: "hay-1"}}
	other := []authenticator.Identity{{Role: authenticator.Upstream, Name: "hay-2"}}
	for _, c := range []struct {
		name, address string
		identities    []authenticator.Identity
		secure        bool
		status        int
		url           string
	}{
		{"plain", "10.0.0.1:9000", nil, false, http.StatusOK, "http://10.0.0.1:9000"},
		{"plain with a certificate", "10.0.0.1:9000", own, true, http.StatusOK, "http://10.0.0.1:9000"},
		{"https", "https://10.0.0.1:9000", own, true, http.StatusOK, "https://10.0.0.1:9000"},
		{"https without a certificate", "https://[fd00::1]:9000", nil, true, http.StatusOK, "https://[fd00::1]:9000"},
		{"https without TLS in the settings", "https://10.0.0.1:9000", nil, false, http.StatusForbidden, ""},
		{"name of another upstream", "10.0.0.1:9000", other, true, http.StatusForbidden, ""},
		{"https without a host", "https://:9000", own, true, http.StatusBadRequest, ""},
		{"https with a path", "https://10.0.0.1:9000/v1", own, true, http.StatusBadRequest, ""},
		{"https without a port", "https://10.0.0.1", own, true, http.StatusBadRequest, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var options []gossiper.Option
			if c.secure {
				options = append(options, gossiper.WithSecureUpstreams())
			}
			g := gossiper.New(registrar.Host{Name: "a", Address: "127.0.0.1:1", Cell: "main"}, options...)
			body := fmt.Sprintf(`{"name":"hay-1","address":%q,"models":["hay"],"incarnation":7,"sequence":1,"slots":8}`, c.address)
			r := httptest.NewRequest(http.MethodPost, gossiper.AnnouncePath, strings.NewReader(body))
			w := httptest.NewRecorder()
			g.Announcements().ServeHTTP(w, r.WithContext(authenticator.NewContext(r.Context(), c.identities)))
			assert.Equal(t, w.Code, c.status, w.Body.String())
			if c.url == "" {
				return
			}
			body = strings.Replace(body, `"sequence":1`, `"sequence":2,"leaving":true`, 1)
			u, err := gossiper.DecodeAnnouncement([]byte(body))
			assert.NilError(t, err)
			assert.Equal(t, u.URL(), c.url)
		})
	}
}

// TestGossipUnderOwnName guards against an entry host that sends requests under the name
// of another one.
func TestGossipUnderOwnName(t *testing.T) {
	g := gossiper.New(registrar.Host{Name: "a", Address: "127.0.0.1:1", Cell: "main"})
	for _, c := range []struct {
		name string
		want connect.Code
	}{{"b", 0}, {"c", connect.CodePermissionDenied}} {
		ctx := authenticator.NewContext(t.Context(), []authenticator.Identity{{Role: authenticator.Entry, Name: c.name}})
		_, err := g.Gossip(ctx, connect.NewRequest(&wire.GossipRequest{From: &wire.EntryHost{Name: "b", Incarnation: 1}}))
		if c.want == 0 {
			assert.NilError(t, err)
			continue
		}
		assert.Equal(t, connect.CodeOf(err), c.want)
	}
}
