package loader_test

import (
	"encoding"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// TestReferencePages guards against a reference page that misses a field or
// describes one that is gone.
func TestReferencePages(t *testing.T) {
	checkPage(t, "../../../docs/settings.md", fieldPaths(loader.Settings{}))
	checkPage(t, "../../../docs/configuration.md", fieldPaths(validator.Document{}))
}

// TestPageExamples guards against examples on the page that are invalid settings.
func TestPageExamples(t *testing.T) {
	text, err := os.ReadFile("../../../docs/settings.md")
	assert.NilError(t, err)
	examples := regexp.MustCompile("(?s)```json\n(.*?)```").FindAllSubmatch(text, -1)
	assert.Equal(t, len(examples), 2)
	for _, e := range examples {
		_, problems := loader.Decode(e[1])
		assert.Equal(t, len(problems), 0, "%v", problems)
	}
}

// fieldPaths lists the paths of all fields of a struct type in the order of their
// declaration, with [] for list items.
func fieldPaths(v any) []string {
	return fields("", reflect.TypeOf(v))
}

func fields(prefix string, t reflect.Type) []string {
	var l []string
	for i := range t.NumField() {
		f := t.Field(i)
		key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		path := prefix + key
		l = append(l, path)
		e := f.Type
		if e.Kind() == reflect.Slice {
			path += "[]"
		}
		if e.Kind() == reflect.Slice || e.Kind() == reflect.Pointer {
			e = e.Elem()
		}
		_, text := reflect.New(e).Interface().(encoding.TextUnmarshaler)
		if e.Kind() == reflect.Struct && !text {
			l = append(l, fields(path+".", e)...)
		}
	}
	return l
}

// row matches the first cell of a table row that describes a field.
var row = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

// checkPage reports the fields that a reference page misses and those that it
// describes although they do not exist. Each field has one table row whose
// first cell is its path.
func checkPage(t *testing.T, page string, fields []string) {
	t.Helper()
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	described := make(map[string]int)
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		described[m[1]]++
	}
	for _, f := range fields {
		if described[f] != 1 {
			t.Errorf("%s describes the field %s %d times; want once", page, f, described[f])
		}
		delete(described, f)
	}
	for f := range described {
		t.Errorf("%s describes the field %s, which does not exist", page, f)
	}
}
