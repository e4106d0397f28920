package receiver

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// index holds one configuration revision in the form in which the receiver looks it up.
type index struct {
	revision      uint64
	document      *validator.Document
	classes       map[validator.ClassName]validator.Class
	organisations map[string]*validator.Organisation
	models        map[validator.PoolName]*validator.Model
	services      map[validator.PoolName]*validator.Service
}

// newIndex builds the index of a revision.
func newIndex(s Snapshot) *index {
	x := &index{
		revision:      s.Revision,
		document:      s.Document,
		classes:       map[validator.ClassName]validator.Class{},
		organisations: map[string]*validator.Organisation{},
		models:        map[validator.PoolName]*validator.Model{},
		services:      map[validator.PoolName]*validator.Service{},
	}
	d := s.Document
	for i := range d.Classes {
		x.classes[d.Classes[i].Name] = d.Classes[i]
	}
	for i := range d.Organisations {
		for _, k := range d.Organisations[i].Keys {
			x.organisations[strings.ToLower(k)] = &d.Organisations[i]
		}
	}
	for i := range d.Models {
		x.models[d.Models[i].Name] = &d.Models[i]
	}
	for i := range d.Services {
		x.services[d.Services[i].Name] = &d.Services[i]
	}
	return x
}

// organisation returns the owner of the request's API key, or nil. The key is looked up
// by its hash, so the time that takes doesn't depend on how much of the key is right.
func (x *index) organisation(q *http.Request) *validator.Organisation {
	scheme, key, found := strings.Cut(q.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return nil
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	return x.organisations[hex.EncodeToString(sum[:])]
}

// modelClass returns the class of a request for a model; false means that the model
// does not permit the class that the caller asked for.
func (x *index) modelClass(m *validator.Model, asked validator.ClassName) (validator.Class, bool) {
	if asked == "" || asked == m.Class {
		c, ok := x.classes[m.Class]
		return c, ok
	}
	if !slices.Contains(m.Classes, asked) {
		return validator.Class{}, false
	}
	c, ok := x.classes[asked]
	return c, ok
}

// serviceRule returns whether a call may be repeated, and its class; false means that
// the service does not permit the class that the caller asked for. The matching rule
// with the longest path applies.
func (x *index) serviceRule(s *validator.Service, method, path string, asked validator.ClassName) (repeat bool, c validator.Class, ok bool) {
	name := s.Class
	repeat = method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	permitted := asked == "" || asked == s.Class
	best := -1
	for i := range s.Calls {
		k := &s.Calls[i]
		permitted = permitted || asked == k.Class
		if k.Method != method || !hasPathPrefix(path, k.Path) || len(k.Path) <= best {
			continue
		}
		best = len(k.Path)
		repeat = k.Repeat
		name = s.Class
		if k.Class != "" {
			name = k.Class
		}
	}
	if asked != "" {
		name = asked
	}
	c, ok = x.classes[name]
	return repeat, c, ok && permitted
}

// hasPathPrefix reports whether the path is the prefix or below it. Whole segments are
// compared, so a rule for /quote does not apply to /quote-and-buy.
func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, found := strings.CutPrefix(path, prefix)
	return found && (rest == "" || rest[0] == '/')
}

// unambiguousPath reports whether all servers interpret the path in the same way. A
// path with dot segments, empty segments or encoded separators might match a rule here
// and reach a different call at the service.
func unambiguousPath(escaped string) bool {
	lower := strings.ToLower(escaped)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(lower, "%2e") {
		return false
	}
	for i, segment := range strings.Split(strings.TrimPrefix(escaped, "/"), "/") {
		last := i == strings.Count(strings.TrimPrefix(escaped, "/"), "/")
		if segment == "." || segment == ".." || segment == "" && !last {
			return false
		}
	}
	return !strings.ContainsAny(escaped, "\\;")
}
