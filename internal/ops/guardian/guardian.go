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
//
// With certificates (WithCertificates) keys count for nothing: operators are
// known by the identity in their certificates, and Admit tells which roles may
// ask for what. The leader then takes the operator's name from a control host
// that passes an Apply on, because it has checked the operator's certificate.
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

// Reasons why an operator is turned away.
var (
	ErrNoKey      = errors.New("an operator key is required: set AMARANTH_KEY or --key")
	ErrUnknownKey = errors.New("the operator key is not known to this host")
	ErrRemote     = errors.New("no operators are configured on this host, so that only callers on a loopback address may do this")
	// ErrNoOperator and ErrUnlisted are for certificates.
	ErrNoOperator = errors.New("a certificate with an operator's identity is required: set --authority, --certificate and --key")
	ErrUnlisted   = errors.New("the operator in the certificate is not in the setting operators of this host")
)

// Guardian knows the operators. It is safe for concurrent use.
type Guardian struct {
	operators    []loader.Operator
	certificates *Certificates
	trusting     bool
}

// Certificates tells who is let in with a certificate.
type Certificates struct {
	// Controls are the names of the control hosts.
	Controls []registrar.HostName
	// Announce tells whether announcements need a certificate.
	Announce loader.AnnounceRule
}

// Option changes a new Guardian.
type Option func(*Guardian)

// WithCertificates checks certificates in place of keys.
func WithCertificates(c Certificates) Option {
	return func(g *Guardian) { g.certificates = &c }
}

// WithTrustedPeers lets hosts of the deployment pass on operators' changes without a key.
// It is for processes that know their operators by other means, on a network
// where nobody else reaches the address for processes.
func WithTrustedPeers() Option {
	return func(g *Guardian) { g.trusting = true }
}

var _ connect.Interceptor = (*Guardian)(nil)

// New returns a Guardian of the operators in the settings.
func New(operators []loader.Operator, options ...Option) *Guardian {
	g := &Guardian{operators: operators}
	for _, o := range options {
		o(g)
	}
	return g
}

// identify returns the operator's name from the certificate or the key.
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
		m, ok := r.Any().(*wire.ApplyRequest)
		if ok && m.Operator != "" && g.passedOn(ctx) {
			return next(ctx, r)
		}
		name, err := g.identify(ctx, r.Header(), r.Peer().Addr)
		if err != nil {
			return nil, connect.NewError(code(err), err)
		}
		if ok {
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
	if forbidden(err) {
		return connect.CodePermissionDenied
	}
	return connect.CodeUnauthenticated
}

func forbidden(err error) bool {
	return errors.Is(err, ErrRemote) || errors.Is(err, ErrNoOperator) || errors.Is(err, ErrUnlisted)
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
		name, err := g.identify(r.Context(), r.Header, r.RemoteAddr)
		if err != nil {
			refuse(w, err)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operator{}, name)))
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
