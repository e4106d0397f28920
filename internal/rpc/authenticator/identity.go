package authenticator

import (
	"context"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// Role is a part that the holder of a certificate may play in the system.
type Role string

// Control, Entry, Operator and Upstream are the roles in certificates.
const (
	Control  Role = "control"
	Entry    Role = "entry"
	Operator Role = "operator"
	Upstream Role = "upstream"
)

var roles = []Role{Control, Entry, Operator, Upstream}

// scheme is the scheme of the URIs that carry identities.
const scheme = "amaranth"

// Identity is a role and a name. A certificate carries it as the URI
// amaranth://ROLE/NAME.
type Identity struct {
	Role Role
	// Name is the name of the host, operator or upstream. In a list of accepted
	// identities an empty name matches any.
	Name string
}

// String returns the URI of the identity.
func (i Identity) String() string { return i.URI().String() }

// URI returns the identity in the form that certificates carry.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: string(i.Role), Path: "/" + i.Name}
}

// Identities returns the identities in a certificate. URIs of other forms are
// ignored.
func Identities(c *x509.Certificate) []Identity {
	var list []Identity
	for _, u := range c.URIs {
		name, ok := strings.CutPrefix(u.Path, "/")
		i := Identity{Role: Role(u.Host), Name: name}
		if ok && name != "" && slices.Contains(roles, i.Role) && *u == *i.URI() {
			list = append(list, i)
		}
	}
	return list
}

// accepted reports whether one of the identities in have matches one in accept.
func accepted(have, accept []Identity) bool {
	return slices.ContainsFunc(accept, func(a Identity) bool {
		return slices.ContainsFunc(have, func(h Identity) bool {
			return h.Role == a.Role && (a.Name == "" || h.Name == a.Name)
		})
	})
}

// IdentityError reports a certificate that the authority has signed but that belongs to
// another process than the expected one.
type IdentityError struct {
	Have, Accept []Identity
}

// Error lists the identities that the certificate has and those that were accepted.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("the certificate has the identities %v, but one of %v is needed", e.Have, e.Accept)
}

type identitiesKey struct{}

// Identify is a middleware that adds the identities of the client's certificate to
// the context of requests. It relies on the server to have verified the certificate.
func Identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
			r = r.WithContext(NewContext(r.Context(), Identities(r.TLS.PeerCertificates[0])))
		}
		next.ServeHTTP(w, r)
	})
}

// NewContext returns a context with the identities of a client.
func NewContext(ctx context.Context, list []Identity) context.Context {
	return context.WithValue(ctx, identitiesKey{}, list)
}

// FromContext returns the identities of the client; there are none without TLS or
// without a client certificate.
func FromContext(ctx context.Context) []Identity {
	list, _ := ctx.Value(identitiesKey{}).([]Identity)
	return list
}

// ClientName returns the client's name in a role, or an empty string when the client
// does not have the role.
func ClientName(ctx context.Context, r Role) string {
	for _, i := range FromContext(ctx) {
		if i.Role == r {
			return i.Name
		}
	}
	return ""
}
