// Package decoder reads JSON strictly into Go structs and reports every
// problem at once.
//
// Unlike encoding/json it refuses unknown fields, duplicate keys, keys in
// another case, missing fields and trailing data, and it does not stop at the
// first fault.
//
// # Usage
//
//	var p decoder.Problems
//	if decoder.Decode(data, &settings, &p) {
//		p.Check(settings.Slots > 0, "$.slots", settings.Slots, "a positive number")
//	}
//	for _, problem := range p.List() {
//		fmt.Println(problem)
//	}
//
// A field is required unless its json tag has the option omitempty or its
// type is a slice, a struct or a pointer.
package decoder

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Decode fills the struct that target points to and adds every problem to p.
// It returns false when data is not a JSON object, so that there is nothing
// further to check.
func Decode(data []byte, target any, p *Problems) bool {
	n, ok := Parse(data, p)
	if !ok {
		return false
	}
	if n.Kind != Object {
		p.Add(Root, n.String(), "an object")
		return false
	}
	bind(Root, n, reflect.ValueOf(target).Elem(), p)
	return true
}

// bind stores n in v and adds to p what doesn't fit. The path is that of n.
func bind(path string, n *Node, v reflect.Value, p *Problems) {
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		bindText(path, n, v, t, p)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		bindStruct(path, n, v, p)
	case reflect.Slice:
		bindSlice(path, n, v, p)
	case reflect.Pointer:
		e := reflect.New(v.Type().Elem())
		bind(path, n, e.Elem(), p)
		v.Set(e)
	default:
		bindScalar(path, n, v, p)
	}
}

func bindText(path string, n *Node, v reflect.Value, t encoding.TextUnmarshaler, p *Problems) {
	allowed := "a string"
	if a, ok := v.Interface().(interface{ Allowed() string }); ok {
		allowed = a.Allowed()
	}
	if n.Kind != String || t.UnmarshalText([]byte(n.Text)) != nil {
		p.Add(path, n.String(), allowed)
	}
}

func bindStruct(path string, n *Node, v reflect.Value, p *Problems) {
	if n.Kind != Object {
		p.Add(path, n.String(), "an object")
		return
	}
	fields := make(map[string]int)
	var names []string
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = i
		names = append(names, name)
	}
	present := make(map[string]bool)
	for _, m := range n.Members {
		i, ok := fields[m.Key]
		if !ok {
			p.Add(MemberPath(path, m.Key), m.Value.String(), "no such field; the fields are "+strings.Join(names, ", "))
			continue
		}
		present[m.Key] = true
		bind(MemberPath(path, m.Key), m.Value, v.Field(i), p)
	}
	for _, name := range names {
		if f := v.Type().Field(fields[name]); !present[name] && required(f) {
			p.Add(MemberPath(path, name), "nothing", "the field is required")
		}
	}
}

// required reports whether a field must be present. Absent numbers must not
// silently become zero: a class without a tier would get the highest one.
func required(f reflect.StructField) bool {
	switch f.Type.Kind() {
	case reflect.Slice, reflect.Pointer:
		return false
	case reflect.Struct:
		if _, ok := reflect.New(f.Type).Interface().(encoding.TextUnmarshaler); !ok {
			return false
		}
	}
	_, options, _ := strings.Cut(f.Tag.Get("json"), ",")
	return !strings.Contains(options, "omitempty")
}

func bindSlice(path string, n *Node, v reflect.Value, p *Problems) {
	if n.Kind == Null {
		// encoding/json writes a nil slice as null.
		return
	}
	if n.Kind != Array {
		p.Add(path, n.String(), "a list")
		return
	}
	s := reflect.MakeSlice(v.Type(), len(n.Items), len(n.Items))
	for i, item := range n.Items {
		bind(ItemPath(path, i), item, s.Index(i), p)
	}
	v.Set(s)
}

func bindScalar(path string, n *Node, v reflect.Value, p *Problems) {
	switch v.Kind() {
	case reflect.String:
		if n.Kind != String {
			p.Add(path, n.String(), "a string")
			return
		}
		v.SetString(n.Text)
	case reflect.Bool:
		if n.Kind != Bool {
			p.Add(path, n.String(), "true or false")
			return
		}
		v.SetBool(n.Text == "true")
	case reflect.Int, reflect.Int64:
		i, err := strconv.ParseInt(n.Text, 10, v.Type().Bits())
		if n.Kind != Number || err != nil {
			p.Add(path, n.String(), "a whole number")
			return
		}
		v.SetInt(i)
	case reflect.Float64:
		f, err := strconv.ParseFloat(n.Text, 64)
		if n.Kind != Number || err != nil {
			p.Add(path, n.String(), "a number")
			return
		}
		v.SetFloat(f)
	default:
		panic(fmt.Sprintf("decoder: field type %s is not supported", v.Type()))
	}
}

// FormatValue formats a value for a Problem.
func FormatValue(value any) string {
	if s, ok := value.(fmt.Stringer); ok {
		value = s.String()
	}
	b, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return Shorten(string(b))
}
