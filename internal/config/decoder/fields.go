package decoder

import (
	"fmt"
	"strconv"
	"strings"
)

// Fields reads members of a JSON object and collects their faults. It ignores
// members that nobody reads; a duplicate member is a fault.
//
//	f, err := decoder.ParseFields(body)
//	name, slots := f.Text("name"), f.Number("slots", 100)
//	err = f.Err()
type Fields struct {
	object *Node
	faults []string
}

// ParseFields reads a JSON object. It returns an error when data is none, or when
// Parse finds any problem in it.
func ParseFields(data []byte) (*Fields, error) {
	var problems Problems
	n, ok := Parse(data, &problems)
	if list := problems.List(); len(list) > 0 {
		f := &Fields{}
		for _, p := range list {
			f.faults = append(f.faults, p.String())
		}
		return nil, f.Err()
	}
	if !ok || n.Kind != Object {
		return nil, fmt.Errorf("the body is no JSON object")
	}
	return &Fields{object: n}, nil
}

// Has reports whether the field is present.
func (f *Fields) Has(name string) bool { return f.object.Get(name) != nil }

// Permit records a fault when the field is present and neither null nor of the kind.
func (f *Fields) Permit(name string, kind Kind) {
	if n := f.object.Get(name); n != nil && n.Kind != kind && n.Kind != Null {
		f.faults = append(f.faults, fmt.Sprintf("%s: %s", name, n))
	}
}

// Require returns the Text of the field's Node. When the field is missing or of
// another kind, it records a fault and returns "".
func (f *Fields) Require(name string, kind Kind) string {
	n := f.object.Get(name)
	if n == nil {
		f.faults = append(f.faults, name+": missing")
		return ""
	}
	if n.Kind != kind {
		f.faults = append(f.faults, fmt.Sprintf("%s: %s", name, n))
		return ""
	}
	return n.Text
}

// Raw returns the Text of the field's Node, or "" when the field is missing.
func (f *Fields) Raw(name string) string {
	n := f.object.Get(name)
	if n == nil {
		return ""
	}
	return n.Text
}

// Text returns a required string, or "" after a fault.
func (f *Fields) Text(name string) string { return f.Require(name, String) }

// Number returns a required whole number from 0 to maximum, or 0 after a fault.
func (f *Fields) Number(name string, maximum uint64) uint64 {
	text := f.Require(name, Number)
	n, err := strconv.ParseUint(text, 10, 64)
	if text != "" && (err != nil || n > maximum) {
		f.faults = append(f.faults, fmt.Sprintf("%s: %s", name, Shorten(text)))
		return 0
	}
	return n
}

// Err returns the faults as one error, or nil when there are none.
func (f *Fields) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	return fmt.Errorf("%s", strings.Join(f.faults, "; "))
}
