package applier

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

const (
	// maximumDifferences bounds the lines of an audit entry.
	maximumDifferences = 200
	// maximumValue bounds each value in a line.
	maximumValue = 120
	absent       = "absent"
)

// Differences returns one line for each JSON path whose value differs. The
// members of an array that have names are compared by name, so that an
// insertion gives one line.
func Differences(before, after []byte) []string {
	d := &differ{}
	d.compare("$", decode(before), decode(after))
	if over := len(d.lines) - maximumDifferences; over > 0 {
		d.lines = append(d.lines[:maximumDifferences], fmt.Sprintf("and %d more", over))
	}
	return d.lines
}

// missing stands for a value that one of the documents lacks.
type missing struct{}

// differ collects the lines.
type differ struct{ lines []string }

func decode(document []byte) any {
	if len(document) == 0 {
		return missing{}
	}
	r := json.NewDecoder(bytes.NewReader(document))
	r.UseNumber()
	var v any
	if err := r.Decode(&v); err != nil {
		return string(document)
	}
	return v
}

func (d *differ) compare(path string, a, b any) {
	switch x := a.(type) {
	case map[string]any:
		if y, ok := b.(map[string]any); ok {
			d.compareMaps(path, ".", x, y)
			return
		}
	case []any:
		if y, ok := b.([]any); ok {
			d.compareArrays(path, x, y)
			return
		}
	}
	if s, t := show(a), show(b); s != t {
		line := fmt.Sprintf("%s: %s -> %s", clip(path), clip(s), clip(t))
		d.lines = append(d.lines, strings.ToValidUTF8(line, "?"))
	}
}

// compareMaps compares member by member in the order of the names.
func (d *differ) compareMaps(path, separator string, a, b map[string]any) {
	names := slices.Collect(maps.Keys(a))
	for n := range b {
		if _, found := a[n]; !found {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		p := path + separator + n
		if separator != "." {
			p = path + "[" + strconv.Quote(n) + "]"
		}
		d.compare(p, member(a, n), member(b, n))
	}
}

func member(m map[string]any, name string) any {
	if v, found := m[name]; found {
		return v
	}
	return missing{}
}

// compareArrays compares by name where all members have different names, and
// by position otherwise.
func (d *differ) compareArrays(path string, a, b []any) {
	x, y := byName(a), byName(b)
	if x != nil && y != nil {
		d.compareMaps(path, "[", x, y)
		return
	}
	for i := range max(len(a), len(b)) {
		d.compare(path+"["+strconv.Itoa(i)+"]", at(a, i), at(b, i))
	}
}

func at(l []any, i int) any {
	if i < len(l) {
		return l[i]
	}
	return missing{}
}

// byName returns nil when a member has no name or shares it with another.
func byName(l []any) map[string]any {
	m := map[string]any{}
	for _, v := range l {
		o, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		n, ok := o["name"].(string)
		if _, found := m[n]; !ok || found {
			return nil
		}
		m[n] = v
	}
	return m
}

func show(v any) string {
	if _, ok := v.(missing); ok {
		return absent
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}

func clip(s string) string {
	if len(s) <= maximumValue {
		return s
	}
	return s[:maximumValue] + "..."
}
