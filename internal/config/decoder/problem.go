package decoder

import (
	"fmt"
	"regexp"
	"strings"
	"unicode/utf8"
)

// Root is the path of the whole document.
const Root = "$"

// maxValueLength bounds the length of a value in a problem, in bytes. Values are
// written by whoever submits the document, and problems are logged.
const maxValueLength = 120

// maxProblems bounds the list, because a damaged document of 1 MiB could hold
// hundreds of thousands of faults.
const maxProblems = 200

// Problem is one fault of a document.
type Problem struct {
	// Path is the JSON path, such as $.classes[0].tier.
	Path string `json:"path"`
	// Value is the value that was found, shortened.
	Value string `json:"value"`
	// Allowed describes the values that are permitted.
	Allowed string `json:"allowed"`
}

// String returns the fault on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s; allowed: %s", p.Path, p.Value, p.Allowed)
}

// Problems collects faults. A fault at or below a path that already has one is
// left out, because it only follows from the first. The zero value is empty.
type Problems struct {
	list    []Problem
	paths   map[string]bool
	omitted int
}

// Add records a fault.
func (p *Problems) Add(path, value, allowed string) {
	if p.covered(path) {
		return
	}
	if p.paths == nil {
		p.paths = make(map[string]bool)
	}
	p.paths[path] = true
	if len(p.list) >= maxProblems {
		p.omitted++
		return
	}
	p.list = append(p.list, Problem{Path: path, Value: Shorten(value), Allowed: allowed})
}

// Check records a fault unless ok is true.
func (p *Problems) Check(ok bool, path string, value any, allowed string) {
	if !ok {
		p.Add(path, FormatValue(value), allowed)
	}
}

// List returns the faults in the order of their discovery. A last entry counts
// those beyond maxProblems.
func (p *Problems) List() []Problem {
	if p.omitted == 0 {
		return p.list
	}
	rest := Problem{Path: Root, Value: fmt.Sprintf("%d further problems", p.omitted), Allowed: "none"}
	return append(p.list[:len(p.list):len(p.list)], rest)
}

// Has reports whether there is a fault at the path or at one of its parents.
func (p *Problems) Has(path string) bool { return p.covered(path) }

func (p *Problems) covered(path string) bool {
	if p.paths[path] {
		return true
	}
	for i := len(path) - 1; i > 0; i-- {
		if (path[i] == '.' || path[i] == '[') && p.paths[path[:i]] {
			return true
		}
	}
	return false
}

// plainKey matches keys that need no quotes in a path.
var plainKey = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)

// MemberPath returns the path of an object's member.
func MemberPath(path, key string) string {
	if plainKey.MatchString(key) && len(key) <= maxValueLength {
		return path + "." + key
	}
	return fmt.Sprintf("%s[%q]", path, Shorten(key))
}

// ItemPath returns the path of a list's item.
func ItemPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

// digestPattern matches SHA-256 digests of keys.
var digestPattern = regexp.MustCompile(`[0-9a-fA-F]{64}`)

// Shorten makes a value fit for logs: it cuts key digests to their first eight
// digits and long values to a bounded length.
func Shorten(s string) string {
	s = digestPattern.ReplaceAllStringFunc(s, func(d string) string { return d[:8] + "..." })
	if len(s) <= maxValueLength {
		return s
	}
	cut := maxValueLength
	for cut > 0 && !utf8.RuneStart(s[cut]) {
		cut--
	}
	return strings.TrimSpace(s[:cut]) + "..."
}
