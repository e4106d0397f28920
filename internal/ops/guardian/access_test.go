package guardian_test

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
	"github.com/amaranthcart/amaranthcart/internal/ops/guardian"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

var controls = []registrar.HostName{"control-1"}

func withCertificates(r loader.AnnounceRule) guardian.Option {
	return guardian.WithCertificates(guardian.Certificates{Controls: controls, Announce: r})
}

// TestAdmit guards against a stolen certificate of one role that is admitted for the
// requests of another, and against a procedure without roles.
func TestAdmit(t *testing.T) {
	const (
		control  = "control/control-1"
		stranger = "control/control-9"
		entry    = "entry/entry-1"
		operator = "operator/asha"
		upstream = "upstream/engine-1"
	)
	all := []string{control, stranger, entry, operator, upstream, ""}
	for _, c := range []struct {
		path string
		rule loader.AnnounceRule
		want []string
	}{
		{wireconnect.ControlApplyProcedure, loader.RequireCertificate, []string{control, operator}},
		{wireconnect.ControlGetProcedure, loader.RequireCertificate, []string{control, entry, operator}},
		{wireconnect.ControlHistoryProcedure, loader.RequireCertificate, []string{control, operator}},
		{wireconnect.ControlStatusProcedure, loader.RequireCertificate, []string{control, operator}},
		{wireconnect.ControlWatchProcedure, loader.RequireCertificate, []string{control, entry}},
		{wireconnect.ControlConfirmProcedure, loader.RequireCertificate, []string{control, entry}},
		{wireconnect.ControlClaimProcedure, loader.RequireCertificate, []string{control, entry}},
		{wireconnect.ControlCompleteProcedure, loader.RequireCertificate, []string{control, entry}},
		{wireconnect.ControlLeaseProcedure, loader.RequireCertificate, []string{control, entry}},
		{wireconnect.ControlExchangeProcedure, loader.RequireCertificate, []string{control}},
		{wireconnect.PeerGossipProcedure, loader.RequireCertificate, []string{entry}},
		{wireconnect.PeerMembersProcedure, loader.RequireCertificate, []string{entry}},
		{wireconnect.PeerAnnounceProcedure, loader.RequireCertificate, []string{entry}},
		{wireconnect.PeerFetchProcedure, loader.RequireCertificate, []string{entry}},
		{wireconnect.PeerDispatchProcedure, loader.RequireCertificate, []string{entry}},
		{wireconnect.CellsSummarizeProcedure, loader.RequireCertificate, []string{entry}},
		{gossiper.AnnouncePath, loader.RequireCertificate, []string{upstream}},
		{gossiper.AnnouncePath, loader.AcceptAny, []string{upstream, ""}},
		{wireconnect.ControlExchangeProcedure, loader.AcceptAny, []string{control}},
		{"/", loader.AcceptAny, nil},
		{"//amaranthcart.wire.Control/Exchange", loader.AcceptAny, nil},
	} {
		t.Run(c.path+string(c.rule), func(t *testing.T) {
			g := guardian.New(nil, withCertificates(c.rule))
			var admitted []string
			for _, i := range all {
				var identities []authenticator.Identity
				if role, name, ok := strings.Cut(i, "/"); ok {
					identities = append(identities, authenticator.Identity{Role: authenticator.Role(role), Name: name})
				}
				r := httptest.NewRequest(http.MethodPost, "/", nil)
				r.URL.Path = c.path
				w := httptest.NewRecorder()
				g.Admit(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })).
					ServeHTTP(w, r.WithContext(authenticator.NewContext(r.Context(), identities)))
				if w.Code == http.StatusTeapot {
					admitted = append(admitted, i)
				}
			}
			assert.Equal(t, fmt.Sprint(admitted), fmt.Sprint(c.want))
		})
	}
}

// TestOperatorCertificates guards against a change without an operator's
// certificate, and against an operator's name in the audit trail that the
// client has chosen.
func TestOperatorCertificates(t *testing.T) {
	asha := authenticator.Identity{Role: authenticator.Operator, Name: "asha"}
	zora := authenticator.Identity{Role: authenticator.Operator, Name: "zora"}
	member := authenticator.Identity{Role: authenticator.Control, Name: "control-1"}
	stranger := authenticator.Identity{Role: authenticator.Control, Name: "control-9"}
	entry := authenticator.Identity{Role: authenticator.Entry, Name: "asha"}
	for _, c := range []struct {
		name      string
		list      []authenticator.Identity
		operators []loader.Operator
		claimed   string
		want      string
	}{
		{"operator", []authenticator.Identity{asha}, operators, "someone", "asha"},
		{"operator without a claim", []authenticator.Identity{asha}, operators, "", "asha"},
		{"any operator where none are listed", []authenticator.Identity{zora}, nil, "someone", "zora"},
		{"operator who is not listed", []authenticator.Identity{zora}, operators, "asha", ""},
		{"key without a certificate", nil, operators, "asha", ""},
		{"entry host", []authenticator.Identity{entry}, operators, "asha", ""},
		{"passed on by a control host", []authenticator.Identity{member}, operators, "asha", "asha"},
		{"control host on its own account", []authenticator.Identity{member}, operators, "", ""},
		{"control host that is not listed", []authenticator.Identity{stranger}, operators, "asha", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			fake := new(control)
			g := guardian.New(c.operators, withCertificates(loader.RequireCertificate))
			mux := http.NewServeMux()
			mux.Handle(wireconnect.NewControlHandler(fake, connect.WithInterceptors(g)))
			drained := ""
			mux.Handle("/drain", g.Require(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { drained = guardian.Operator(r.Context()) })))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mux.ServeHTTP(w, r.WithContext(authenticator.NewContext(r.Context(), c.list)))
			}))
			defer server.Close()
			request := connect.NewRequest(&wire.ApplyRequest{Operator: c.claimed})
			request.Header().Set("Authorization", "Bearer old")
			_, err := wireconnect.NewControlClient(server.Client(), server.URL).Apply(t.Context(), request)
			assert.Equal(t, fake.operator, c.want)
			if c.want == "" {
				assert.Equal(t, connect.CodeOf(err), connect.CodePermissionDenied)
			}
			response, err := http.Post(server.URL+"/drain", "", nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			if len(c.list) > 0 && c.list[0].Role == authenticator.Operator {
				assert.Equal(t, drained, c.want)
				return
			}
			assert.Equal(t, drained, "")
		})
	}
}
