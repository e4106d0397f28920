package guardian

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// announcePath is the path at which upstreams announce themselves. It equals
// gossiper.AnnouncePath, which a test checks.
const announcePath = "/upstreams/announce"

// allowedRoles lists the roles that may send a request to a path of the peers
// listener. All other paths are refused. Control hosts may send all requests of the
// Control service, because they forward those of operators and entry hosts to their
// leader. WrapUnary also checks the operator of an Apply.
var allowedRoles = map[string][]authenticator.Role{
	wireconnect.ControlApplyProcedure:    {authenticator.Operator, authenticator.Control},
	wireconnect.ControlGetProcedure:      {authenticator.Operator, authenticator.Entry, authenticator.Control},
	wireconnect.ControlHistoryProcedure:  {authenticator.Operator, authenticator.Control},
	wireconnect.ControlStatusProcedure:   {authenticator.Operator, authenticator.Control},
	wireconnect.ControlWatchProcedure:    {authenticator.Entry, authenticator.Control},
	wireconnect.ControlConfirmProcedure:  {authenticator.Entry, authenticator.Control},
	wireconnect.ControlClaimProcedure:    {authenticator.Entry, authenticator.Control},
	wireconnect.ControlCompleteProcedure: {authenticator.Entry, authenticator.Control},
	wireconnect.ControlLeaseProcedure:    {authenticator.Entry, authenticator.Control},
	wireconnect.ControlKeepProcedure:     {authenticator.Entry, authenticator.Control},
	wireconnect.ControlExchangeProcedure: {authenticator.Control},
	wireconnect.PeerGossipProcedure:      {authenticator.Entry},
	wireconnect.PeerMembersProcedure:     {authenticator.Entry},
	wireconnect.PeerAnnounceProcedure:    {authenticator.Entry},
	wireconnect.PeerFetchProcedure:       {authenticator.Entry},
	wireconnect.PeerDispatchProcedure:    {authenticator.Entry},
	wireconnect.CellsSummarizeProcedure:  {authenticator.Entry},
	announcePath:                         {authenticator.Upstream},
}

// Admit is a middleware for the peers listener that admits a request only when the client's
// certificate has a role that may send it, and answers others with permission denied.
// authenticator.Identify must run before it. Without certificates Admit returns next.
func (g *Guardian) Admit(next http.Handler) http.Handler {
	if g.certificates == nil {
		return next
	}
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.admitted(r.Context(), r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		err := fmt.Errorf("the client's identities %v may not use %s", authenticator.FromContext(r.Context()), r.URL.Path)
		if writer.IsSupported(r) {
			// The client is gone when this fails; there is no one to tell.
			_ = writer.Write(w, r, connect.NewError(connect.CodePermissionDenied, err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusForbidden)
		_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error(), "reason": err.Error()})
	})
}

func (g *Guardian) admitted(ctx context.Context, path string) bool {
	list := authenticator.FromContext(ctx)
	if path == announcePath && g.certificates.Announce == loader.AcceptAny && len(list) == 0 {
		return true
	}
	roles := allowedRoles[path]
	return slices.ContainsFunc(list, func(i authenticator.Identity) bool {
		return slices.Contains(roles, i.Role) && (i.Role != authenticator.Control || g.listsControl(i))
	})
}

// listsControl reports whether the settings list the control host.
func (g *Guardian) listsControl(i authenticator.Identity) bool {
	return slices.Contains(g.certificates.Controls, registrar.HostName(i.Name))
}

// relayedByControl reports whether a call may come from another control host that forwards
// it: the client has the certificate of a listed control host, or all peers are trusted.
func (g *Guardian) relayedByControl(ctx context.Context) bool {
	if g.trustPeers {
		return true
	}
	return g.certificates != nil && slices.ContainsFunc(authenticator.FromContext(ctx), func(i authenticator.Identity) bool {
		return i.Role == authenticator.Control && g.listsControl(i)
	})
}
