package validator

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"path"
	"strings"
)

// Index looks up the parts of one document. It is immutable and safe for
// concurrent use.
type Index struct {
	document      *Document
	classes       map[ClassName]*Class
	organisations map[OrganisationName]*Organisation
	keys          map[string]*Organisation
	models        map[PoolName]*Model
	services      map[PoolName]*Service
	rules         map[PoolName]map[string]Call
	routes        routeIndex
}

// Rule tells how one call to a service is treated.
type Rule struct {
	// Repeat allows retries, hedges and replays on other connections.
	Repeat bool
	// Class is the class of the call's requests.
	Class ClassName
}

// Compile builds the index of a valid document, which must not be changed
// afterwards.
func Compile(d *Document) *Index {
	x := &Index{
		document:      d,
		classes:       make(map[ClassName]*Class, len(d.Classes)),
		organisations: make(map[OrganisationName]*Organisation, len(d.Organisations)),
		keys:          make(map[string]*Organisation),
		models:        make(map[PoolName]*Model, len(d.Models)),
		services:      make(map[PoolName]*Service, len(d.Services)),
		rules:         make(map[PoolName]map[string]Call, len(d.Services)),
		routes:        newRouteIndex(d.Routes),
	}
	for i := range d.Classes {
		x.classes[d.Classes[i].Name] = &d.Classes[i]
	}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		x.organisations[o.Name] = o
		for _, k := range o.Keys {
			x.keys[k] = o
		}
	}
	for i := range d.Models {
		x.models[d.Models[i].Name] = &d.Models[i]
	}
	for i := range d.Services {
		x.addService(&d.Services[i])
	}
	return x
}

func (x *Index) addService(s *Service) {
	x.services[s.Name] = s
	rules := make(map[string]Call, len(s.Calls))
	for _, c := range s.Calls {
		rules[c.Method+" "+strings.TrimSuffix(c.Path, "/")] = c
	}
	x.rules[s.Name] = rules
}

// Document returns the document of the index.
func (x *Index) Document() *Document { return x.document }

// Class finds a class.
func (x *Index) Class(n ClassName) (*Class, bool) {
	c, ok := x.classes[n]
	return c, ok
}

// Organisation finds an organisation.
func (x *Index) Organisation(n OrganisationName) (*Organisation, bool) {
	o, ok := x.organisations[n]
	return o, ok
}

// OrganisationByHash finds the organisation whose key has the hex SHA-256 digest.
func (x *Index) OrganisationByHash(hash string) (*Organisation, bool) {
	o, ok := x.keys[hash]
	return o, ok
}

// OrganisationByKey finds the organisation that has the key, given in plain text.
func (x *Index) OrganisationByKey(key string) (*Organisation, bool) {
	return x.OrganisationByHash(HashKey(key))
}

// Model finds a model.
func (x *Index) Model(n PoolName) (*Model, bool) {
	m, ok := x.models[n]
	return m, ok
}

// Service finds a service.
func (x *Index) Service(n PoolName) (*Service, bool) {
	s, ok := x.services[n]
	return s, ok
}

// Permits reports whether requests of the class may use the model.
func (m *Model) Permits(n ClassName) bool {
	if m.Class == n {
		return true
	}
	for _, c := range m.Classes {
		if c == n {
			return true
		}
	}
	return false
}

// Rule returns the rule for a call to the service, by the longest matching path,
// or false when there is no such service. Paths match by whole segments: "/sales"
// covers "/sales" and "/sales/7" but not "/salesrooms". A rule for GET covers HEAD
// unless HEAD has its own. The path must start with a slash, be escaped
// (url.URL.EscapedPath) and have no query.
//
// A path that the service may resolve to one with another rule is never
// repeatable: one with empty or dot segments, with backslashes, or with
// escaped slashes, dots, backslashes or percent signs.
func (x *Index) Rule(n PoolName, method, escaped string) (Rule, bool) {
	s, ok := x.services[n]
	if !ok {
		return Rule{}, false
	}
	clean, plain := resolve(escaped)
	r := Rule{Repeat: safeMethod(method), Class: s.Class}
	c, ok := longestMatch(x.rules[n], method, clean)
	if !ok && method == http.MethodHead {
		c, ok = longestMatch(x.rules[n], http.MethodGet, clean)
	}
	if ok {
		r.Repeat = c.Repeat
		if c.Class != "" {
			r.Class = c.Class
		}
	}
	r.Repeat = r.Repeat && plain
	return r, true
}

// resolve returns the unescaped path without empty and dot segments, and
// whether every service resolves it in the same way.
func resolve(escaped string) (string, bool) {
	decoded, err := url.PathUnescape(escaped)
	if err != nil {
		decoded = escaped
	}
	clean := path.Clean("/" + decoded)
	same := clean == decoded || clean+"/" == decoded
	hidden := strings.Count(decoded, "/") != strings.Count(escaped, "/") || strings.Count(decoded, ".") != strings.Count(escaped, ".")
	return clean, err == nil && same && !hidden && !strings.ContainsAny(decoded, `\%`)
}

func longestMatch(rules map[string]Call, method, clean string) (Call, bool) {
	p := strings.TrimSuffix(clean, "/")
	for {
		if c, ok := rules[method+" "+p]; ok {
			return c, true
		}
		i := strings.LastIndexByte(p, '/')
		if i < 0 {
			return Call{}, false
		}
		p = p[:i]
	}
}

func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// HashKey returns the hex SHA-256 digest under which a key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
