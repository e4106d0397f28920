package relayer

import "strings"

// rawTarget reports whether net/http would write the target of a request in another form:
// it takes two slashes at the beginning for those before a host.
func rawTarget(uri string) bool { return strings.HasPrefix(uri, "//") }

// target returns the target that must be written as it is, and an empty string for one that
// net/http writes so by itself.
func target(uri string) string {
	if rawTarget(uri) {
		return uri
	}
	return ""
}

// path returns the path by which the route is chosen, as the caller wrote it.
func (c *call) path() string {
	if path, _, _ := strings.Cut(c.request.RequestURI, "?"); strings.HasPrefix(path, "/") {
		return path
	}
	return c.request.URL.Path
}
