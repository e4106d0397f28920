// Package guardian authenticates operators, and admits other processes by the roles in
// their certificates.
//
// # Usage
//
//	g := guardian.New(settings.Operators)
//	path, handler := wireconnect.NewControlHandler(control, connect.WithInterceptors(g))
//	mux.Handle("POST /admin/drain", g.Require(drain))
//
// Operators send their key as "Authorization: Bearer KEY". Only Control.Apply
// and the handlers behind Require need one; reads and the calls between
// processes need none. Where no operators are configured, callers on a loopback
// address may do everything and others may only read.
//
// A control host that forwards an Apply to the leader must also forward the header
// Authorization, because the leader checks the key itself.
//
// With certificates (WithCertificates) keys are ignored: operators are identified by
// the identity in their certificates, and Admit decides which roles may send which
// requests. The leader then takes the operator's name from a control host that
// forwards an Apply, because that host has checked the operator's certificate.
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
	"slices"
	"strings"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// Loopback is the operator's name in the audit trail when no operators are
// configured.
const Loopback = "loopback"

// ErrNoKey and the errors that follow are the reasons for refusing an operator.
var (
	ErrNoKey      = errors.New("an operator key is required: set AMARANTH_KEY or --key")
	ErrUnknownKey = errors.New("the operator key is not known to this host")
	ErrRemote     = errors.New("no operators are configured on this host, so that only callers on a loopback address may do this")
	// ErrNoOperator and ErrUnlisted occur with certificates only.
	ErrNoOperator = errors.New("a certificate with an operator's identity is required: set --authority, --certificate and --key")
	ErrUnlisted   = errors.New("the operator in the certificate is not in the setting operators of this host")
)

// Guardian authenticates operators. It is safe for concurrent use.
type Guardian struct {
	operators    []loader.Operator
	certificates *Certificates
	trustPeers   bool
}

// Certificates configures who is admitted with a certificate.
type Certificates struct {
	// Controls are the names of the control hosts.
	Controls []registrar.HostName
	// Announce decides whether announcements need a certificate.
	Announce loader.AnnounceRule
}

// Option configures a new Guardian.
type Option func(*Guardian)

// WithCertificates checks certificates in place of keys.
func WithCertificates(c Certificates) Option {
	return func(g *Guardian) { g.certificates = &c }
}

// WithTrustedPeers lets hosts of the deployment forward operators' changes without a key.
// It is for processes that identify their operators by other means, on a network
// where nobody else reaches the address for processes.
func WithTrustedPeers() Option {
	return func(g *Guardian) { g.trustPeers = true }
}

var _ connect.Interceptor = (*Guardian)(nil)

// New returns a Guardian for the operators in the settings.
func New(operators []loader.Operator, options ...Option) *Guardian {
	g := &Guardian{operators: operators}
	for _, o := range options {
		o(g)
	}
	return g
}

// identify returns the operator's name from the certificate, or from the key when
// certificates are not checked. Its errors are those that begin with ErrNoKey.
func (g *Guardian) identify(ctx context.Context, h http.Header, remote string) (string, error) {
	if g.certificates == nil {
		return g.Identify(h, remote)
	}
	name := authenticator.ClientName(ctx, authenticator.Operator)
	if name == "" {
		return "", ErrNoOperator
	}
	listed := slices.ContainsFunc(g.operators, func(o loader.Operator) bool { return o.Name == name })
	if len(g.operators) > 0 && !listed {
		return "", ErrUnlisted
	}
	return name, nil
}

// Identify returns the name of the operator who sends a request with the headers h from
// the address remote. It returns ErrNoKey or ErrUnknownKey, or ErrRemote when no operators
// are configured and the request is not a local one.
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

// identifyLocal returns Loopback for a request from a loopback address and ErrRemote for
// any other. It also refuses requests that a browser sends for a foreign page, because a
// browser on the host itself has a loopback address too.
func identifyLocal(h http.Header, remote string) (string, error) {
	a, err := netip.ParseAddrPort(remote)
	if err != nil || !a.Addr().Unmap().IsLoopback() || h.Get("Origin") != "" {
		return "", ErrRemote
	}
	return Loopback, nil
}

// find returns the operator who has the key. It compares the key's digest with all digests
// in constant time, so that the response time reveals nothing about them.
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

// WrapUnary authenticates the operator of Control.Apply and replaces the operator's name
// in the request, so that callers cannot choose it. A name that a control host forwards is
// kept.
func (g *Guardian) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if r.Spec().IsClient || r.Spec().Procedure != wireconnect.ControlApplyProcedure {
			return next(ctx, r)
		}
		request, ok := r.Any().(*wire.ApplyRequest)
		if ok && request.Operator != "" && g.relayedByControl(ctx) {
			return next(ctx, r)
		}
		name, err := g.identify(ctx, r.Header(), r.Peer().Addr)
		if err != nil {
			return nil, connect.NewError(connectCode(err), err)
		}
		if ok {
			request.Operator = name
		}
		return next(ctx, r)
	}
}

// WrapStreamingClient returns next unchanged.
func (g *Guardian) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler returns next unchanged, because all streams are reads or calls
// between processes.
func (g *Guardian) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

func connectCode(err error) connect.Code {
	if forbidden(err) {
		return connect.CodePermissionDenied
	}
	return connect.CodeUnauthenticated
}

func forbidden(err error) bool {
	return errors.Is(err, ErrRemote) || errors.Is(err, ErrNoOperator) || errors.Is(err, ErrUnlisted)
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// Operator returns the name of the operator whom Require has authenticated, or an empty
// string.
func Operator(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// Require is a middleware that passes only operators' requests to next and answers others
// with 401 or 403.
func (g *Guardian) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, err := g.identify(r.Context(), r.Header, r.RemoteAddr)
		if err != nil {
			refuse(w, err)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

func refuse(w http.ResponseWriter, err error) {
	status := http.StatusUnauthorized
	if forbidden(err) {
		status = http.StatusForbidden
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("WWW-Authenticate", "Bearer")
	w.WriteHeader(status)
	// The caller is gone when this fails; there is no one to tell.
	_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
}
