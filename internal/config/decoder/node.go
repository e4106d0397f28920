package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// MaxSize is the largest document in bytes. 430 organisations with ten keys
// each take 351 KB when indented.
const MaxSize = 1 << 20

// maxDepth bounds nesting; documents need five levels.
const maxDepth = 32

// Kind is the type of a JSON value.
type Kind int

// Kinds of JSON values.
const (
	Null Kind = iota
	Bool
	Number
	String
	Array
	Object
)

// Node is a JSON value that keeps the order of its members.
type Node struct {
	Kind Kind
	// Text is the value of a string, or the literal of a bool or number.
	Text    string
	Items   []*Node
	Members []NodeMember
}

// NodeMember is one key of an object with its value.
type NodeMember struct {
	Key   string
	Value *Node
}

// Get returns the value of the member with the key, or nil.
func (n *Node) Get(key string) *Node {
	for _, m := range n.Members {
		if m.Key == key {
			return m.Value
		}
	}
	return nil
}

// String returns the value as compact JSON, shortened by Shorten.
func (n *Node) String() string {
	var b strings.Builder
	n.write(&b)
	return Shorten(b.String())
}

func (n *Node) write(b *strings.Builder) {
	// Twice the shown length is enough to know that the value will be cut.
	if b.Len() > 2*maxValueLength {
		return
	}
	switch n.Kind {
	case Null:
		b.WriteString("null")
	case Bool, Number:
		b.WriteString(n.Text)
	case String:
		b.WriteString(quote(n.Text))
	case Array:
		n.writeItems(b)
	case Object:
		n.writeMembers(b)
	}
}

func (n *Node) writeItems(b *strings.Builder) {
	b.WriteByte('[')
	for i, item := range n.Items {
		if i > 0 {
			b.WriteByte(',')
		}
		item.write(b)
	}
	b.WriteByte(']')
}

func (n *Node) writeMembers(b *strings.Builder) {
	b.WriteByte('{')
	for i, m := range n.Members {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(quote(m.Key) + ":")
		m.Value.write(b)
	}
	b.WriteByte('}')
}

func quote(s string) string {
	b, err := json.Marshal(s)
	if err != nil {
		return fmt.Sprintf("%q", s)
	}
	return string(b)
}

// Parse reads one JSON value. It returns false when data is not exactly one
// valid value within the bounds; duplicate keys are reported and the first
// value is kept.
func Parse(data []byte, p *Problems) (*Node, bool) {
	if len(data) > MaxSize {
		p.Add(Root, fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxSize))
		return nil, false
	}
	if !utf8.Valid(data) {
		p.Add(Root, "bytes that are not UTF-8", "JSON in UTF-8")
		return nil, false
	}
	if err := checkSyntax(data); err != nil {
		p.Add(Root, err.Error(), "one JSON object")
		return nil, false
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	n, err := readValue(d, Root, 0, p)
	if err != nil {
		p.Add(Root, err.Error(), "one JSON object")
		return nil, false
	}
	return n, true
}

// checkSyntax checks the whole text and returns an error with the line and column of
// the first fault.
func checkSyntax(data []byte) error {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	var s *json.SyntaxError
	if !errors.As(err, &s) {
		return err
	}
	before := data[:min(int(s.Offset), len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Errorf("a syntax error at line %d, column %d (%w)", line, column, err)
}

func readValue(d *json.Decoder, path string, depth int, p *Problems) (*Node, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nesting of more than %d levels", maxDepth)
	}
	t, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch t := t.(type) {
	case json.Delim:
		if t == '[' {
			return readArray(d, path, depth, p)
		}
		return readObject(d, path, depth, p)
	case string:
		return &Node{Kind: String, Text: t}, nil
	case json.Number:
		return &Node{Kind: Number, Text: t.String()}, nil
	case bool:
		return &Node{Kind: Bool, Text: fmt.Sprint(t)}, nil
	case nil:
		return &Node{Kind: Null}, nil
	}
	return nil, io.ErrUnexpectedEOF
}

func readArray(d *json.Decoder, path string, depth int, p *Problems) (*Node, error) {
	n := &Node{Kind: Array}
	for d.More() {
		item, err := readValue(d, ItemPath(path, len(n.Items)), depth+1, p)
		if err != nil {
			return nil, err
		}
		n.Items = append(n.Items, item)
	}
	_, err := d.Token()
	return n, err
}

func readObject(d *json.Decoder, path string, depth int, p *Problems) (*Node, error) {
	n := &Node{Kind: Object}
	seen := make(map[string]bool)
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, err
		}
		key := fmt.Sprint(t)
		value, err := readValue(d, MemberPath(path, key), depth+1, p)
		if err != nil {
			return nil, err
		}
		if seen[key] {
			p.Add(MemberPath(path, key), "the key twice", "each key once")
			continue
		}
		seen[key] = true
		n.Members = append(n.Members, NodeMember{Key: key, Value: value})
	}
	_, err := d.Token()
	return n, err
}
