package decoder

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFields guards against an invalid object from another program that is accepted:
// each fault is reported, and unknown fields are ignored.
func TestFields(t *testing.T) {
	cases := []struct {
		name, body, fault string
	}{
		{"sound", `{"name":"a","slots":4,"list":[],"more":1}`, ""},
		{"no list", `{"name":"a","slots":4}`, ""},
		{"missing", `{"slots":4}`, "name: missing"},
		{"other types", `{"name":1,"slots":"4","list":{}}`, `name: 1; slots: "4"; list: {}`},
		{"too large", `{"name":"a","slots":5}`, "slots: 5"},
		{"no whole number", `{"name":"a","slots":0.5}`, "slots: 0.5"},
		{"beyond any number", `{"name":"a","slots":1e400}`, "slots: 1e400"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, err := ParseFields([]byte(c.body))
			assert.NilError(t, err)
			f.Text("name")
			f.Number("slots", 4)
			f.Permit("list", Array)
			if c.fault == "" {
				assert.NilError(t, f.Err())
				return
			}
			assert.Error(t, f.Err(), c.fault)
		})
	}
	for _, body := range []string{"", "[]", "null", `{"name":"a"`, `{"name":"a","name":"b"}`} {
		_, err := ParseFields([]byte(body))
		assert.Assert(t, err != nil, body)
	}
}
