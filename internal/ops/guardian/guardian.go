// Package guardian checks operators' keys.
//
// # Usage
//
//	g := guardian.New(settings.Operators)
//	path, handler := wireconnect.NewControlHandler(control, connect.WithInterceptors(g))
//	mux.Handle("POST /admin/drain", g.Require(drain))
//
// Operators send their key as "Authorization: Bearer KEY". Only Control.Apply
// and the handlers behind Require need one; reads and the calls between
// processes pass. Where no operators are configured, callers on a loopback
// address may do everything and others may only read.
//
// A control host that passes an Apply on to the leader must pass on the header
// Authorization too, because the leader checks the key itself.
package guardian

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"strings"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// Loopback is the operator's name in the audit trail when no operators are
// configured.
const Loopback = "loopback"

// Reasons why an operator is turned away.
var (
	ErrNoKey      = errors.New("an operator key is required: set AMARANTH_KEY or --key")
	ErrUnknownKey = errors.New("the operator key is not known to this host")
	ErrRemote     = errors.New("no operators are configured on this host, so that only callers on a loopback address may do this")
)

// Guardian knows the operators. It is safe for concurrent use.
type Guardian struct {
	operators []loader.Operator
}

var _ connect.Interceptor = (*Guardian)(nil)

// New returns a Guardian of the operators in the settings.
func New(operators []loader.Operator) *Guardian {
	return &Guardian{operators: operators}
}

// Identify returns the name of the operator who sends a request with the
// headers from the address.
func (g *Guardian) Identify(h http.Header, remote string) (string, error) {
	if len(g.operators) == 0 {
		return identifyLocal(h, remote)
	}
	scheme, key, _ := strings.Cut(h.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", ErrNoKey
	}
	name, ok := g.find(key)
	if !ok {
		return "", ErrUnknownKey
	}
	return name, nil
}

// identifyLocal refuses requests that a browser sends for a foreign page; a
// browser on the host itself has a loopback address too.
func identifyLocal(h http.Header, remote string) (string, error) {
	a, err := netip.ParseAddrPort(remote)
	if err != nil || !a.Addr().Unmap().IsLoopback() || h.Get("Origin") != "" {
		return "", ErrRemote
	}
	return Loopback, nil
}

// find compares the key's digest with all digests in constant time, so that
// the answer's delay tells nothing about them.
func (g *Guardian) find(key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	digest := []byte(hex.EncodeToString(sum[:]))
	found := ""
	for _, o := range g.operators {
		for _, k := range o.Keys {
			if subtle.ConstantTimeCompare([]byte(k), digest) == 1 {
				found = o.Name
			}
		}
	}
	return found, found != ""
}

// WrapUnary checks the key of Control.Apply and replaces the operator's name
// in the request, which callers cannot choose.
func (g *Guardian) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if r.Spec().IsClient || r.Spec().Procedure != wireconnect.ControlApplyProcedure {
			return next(ctx, r)
		}
		name, err := g.Identify(r.Header(), r.Peer().Addr)
		if err != nil {
			return nil, connect.NewError(code(err), err)
		}
		if m, ok := r.Any().(*wire.ApplyRequest); ok {
			m.Operator = name
		}
		return next(ctx, r)
	}
}

// WrapStreamingClient passes streams of this process.
func (g *Guardian) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler passes streams: all of them are reads or calls between
// processes.
func (g *Guardian) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

func code(err error) connect.Code {
	if errors.Is(err, ErrRemote) {
		return connect.CodePermissionDenied
	}
	return connect.CodeUnauthenticated
}

// operator is the context key of the operator's name.
type operator struct{}

// Operator returns the name that Require found.
func Operator(ctx context.Context) string {
	name, _ := ctx.Value(operator{}).(string)
	return name
}

// Require passes only operators' requests.
func (g *Guardian) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, err := g.Identify(r.Header, r.RemoteAddr)
		if err != nil {
			refuse(w, err)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operator{}, name)))
	})
}

func refuse(w http.ResponseWriter, err error) {
	status := http.StatusUnauthorized
	if errors.Is(err, ErrRemote) {
		status = http.StatusForbidden
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("WWW-Authenticate", "Bearer")
	w.WriteHeader(status)
	// The caller is gone when this fails; there is no one to tell.
	_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
}
