package validator

import (
	"fmt"

	"github.com/amaranthcart/amaranthcart/internal/config/decoder"
)

// MaxDifferences bounds the lines of one audit entry, which is never deleted.
const MaxDifferences = 200

// Differences compares two documents and returns one line for each JSON path
// that differs. List items are matched by their identity, such as their name, so
// that reordering a list gives no lines. Key digests are shortened. An empty
// document counts as an empty object. Beyond MaxDifferences lines, a last one
// tells how many were left out.
func Differences(before, after []byte) []string {
	var d differ
	d.compare(decoder.Root, parse(before), parse(after))
	if d.omitted > 0 {
		d.lines = append(d.lines, fmt.Sprintf("%d further differences", d.omitted))
	}
	return d.lines
}

func parse(data []byte) *decoder.Node {
	if len(data) == 0 {
		return &decoder.Node{Kind: decoder.Object}
	}
	var p decoder.Problems
	n, ok := decoder.Parse(data, &p)
	if !ok {
		return &decoder.Node{Kind: decoder.String, Text: "unreadable document"}
	}
	return n
}

type differ struct {
	lines   []string
	omitted int
}

func (d *differ) add(format string, args ...any) {
	if len(d.lines) >= MaxDifferences {
		d.omitted++
		return
	}
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *differ) compare(path string, a, b *decoder.Node) {
	switch {
	case a == nil:
		d.add("%s: added %s", path, b)
	case b == nil:
		d.add("%s: removed %s", path, a)
	case a.Kind == decoder.Object && b.Kind == decoder.Object:
		d.compareMembers(path, a, b)
	case a.Kind == decoder.Array && b.Kind == decoder.Array:
		d.compareItems(path, a, b)
	case a.Kind != b.Kind || a.Text != b.Text:
		d.add("%s: changed %s to %s", path, a, b)
	}
}

func (d *differ) compareMembers(path string, a, b *decoder.Node) {
	for _, m := range a.Members {
		d.compareMember(path, m.Key, m.Value, b.Get(m.Key))
	}
	for _, m := range b.Members {
		if a.Get(m.Key) == nil {
			d.compareMember(path, m.Key, nil, m.Value)
		}
	}
}

// compareMember compares one member of two objects; a or b is nil when the member
// is absent on that side. A list that is absent counts as an empty one, so that
// its items are compared one by one, because a whole list does not fit on one
// line.
func (d *differ) compareMember(path, key string, a, b *decoder.Node) {
	empty := &decoder.Node{Kind: decoder.Array}
	if a == nil && b.Kind == decoder.Array {
		a = empty
	}
	if b == nil && a.Kind == decoder.Array {
		b = empty
	}
	d.compare(decoder.MemberPath(path, key), a, b)
}

func (d *differ) compareItems(path string, a, b *decoder.Node) {
	before, order := indexItems(a)
	after, later := indexItems(b)
	for _, id := range order {
		d.compare(path+"["+id+"]", before[id], after[id])
	}
	for _, id := range later {
		if before[id] == nil {
			d.compare(path+"["+id+"]", nil, after[id])
		}
	}
}

// indexItems returns the items of a list by identity, and the identities in order. An
// item is identified by its text, its name, its upstream, its method and path, or
// else by its index.
func indexItems(n *decoder.Node) (map[string]*decoder.Node, []string) {
	items := make(map[string]*decoder.Node, len(n.Items))
	order := make([]string, 0, len(n.Items))
	for i, item := range n.Items {
		id := identity(item)
		if id == "" || items[id] != nil {
			id = fmt.Sprint(i)
		}
		items[id] = item
		order = append(order, id)
	}
	return items, order
}

func identity(n *decoder.Node) string {
	if n.Kind == decoder.String {
		return n.String()
	}
	if v := n.Get("name"); v != nil {
		return v.String()
	}
	if v := n.Get("upstream"); v != nil {
		return v.String()
	}
	m, p := n.Get("method"), n.Get("path")
	if m != nil && p != nil {
		return fmt.Sprintf("%q", m.Text+" "+p.Text)
	}
	return ""
}
