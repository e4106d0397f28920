package validator_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

const (
	hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

	valid = `{
  "classes": [
    {"name": "appraisal", "tier": 0, "first": "310ms", "gap": "41ms", "wait": "2s", "floor": 0.5},
    {"name": "summary", "tier": 3, "total": "1m0s", "wait": "1m0s", "floor": 0.1}
  ],
  "organisations": [{"name": "goats", "share": 2.5, "keys": ["` + hashA + `"], "limit": 10}],
  "models": [{"name": "meta/hay-8B", "class": "appraisal", "classes": ["summary"]}],
  "services": [{"name": "ledger", "class": "appraisal", "calls": [
    {"method": "POST", "path": "/lots/search", "repeat": true},
    {"method": "GET", "path": "/lots", "repeat": false, "class": "summary"}
  ]}]
}`
)

// TestDecodeProblems guards against a fault that is accepted, reported at the
// wrong path, or hides another one.
func TestDecodeProblems(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown field", `"limit": 10`, `"Limit": 10`, `$.organisations[0].Limit: found 10; allowed: no such field; the fields are name, share, keys, limit, rate, tier`},
		{"duplicate key", `"limit": 10`, `"limit": 10, "limit": 9`, `$.organisations[0].limit: found the key twice; allowed: each key once`},
		{"missing tier", `"tier": 0, `, ``, `$.classes[0].tier: found nothing; allowed: the field is required`},
		{"tier", `"tier": 3`, `"tier": 4`, `$.classes[1].tier: found 4; allowed: 0 (most urgent) to 3`},
		{"fractional tier", `"tier": 3`, `"tier": 1.5`, `$.classes[1].tier: found 1.5; allowed: a whole number`},
		{"duration type", `"41ms"`, `41`, `$.classes[0].gap: found 41; allowed: a duration such as "310ms" or "2m30s"`},
		{"negative duration", `"41ms"`, `"-41ms"`, `$.classes[0].gap: found "-41ms"; allowed: a duration from 1ms to 10m0s`},
		{"unbounded wait", `"2s"`, `"9000h"`, `$.classes[0].wait: found "9000h0m0s"; allowed: a duration from 1ms to 1h0m0s`},
		{"zero wait", `"2s"`, `"0s"`, `$.classes[0].wait: found "0s"; allowed: a duration from 1ms to 1h0m0s`},
		{"total below first", `"total"`, `"first": "2m", "total"`, `$.classes[1].total: found "1m0s"; allowed: at least first, 2m0s`},
		{"floors", `"floor": 0.1`, `"floor": 0.6`, `$.classes: found "floors with the sum 1.1"; allowed: a sum of at most 1`},
		{"share", `2.5`, `0`, `$.organisations[0].share: found 0; allowed: more than 0, up to 1000000`},
		{"infinite share", `2.5`, `1e999`, `$.organisations[0].share: found 1e999; allowed: a number`},
		{"upper-case hash", hashA, strings.ToUpper(hashA), `$.organisations[0].keys[0]: found "AAAAAAAA..."; allowed: the SHA-256 digest of a key as 64 lower-case hex digits`},
		{"shared hash", `"limit": 10}`, `"limit": 10}, {"name": "cows", "share": 1, "keys": ["` + hashA + `"]}`, `$.organisations[1].keys[0]: found "aaaaaaaa..."; allowed: a digest that is not used at $.organisations[0].keys[0]`},
		{"duplicate class", `"summary", "tier"`, `"appraisal", "tier"`, `$.classes[1].name: found "appraisal"; allowed: a name that is not used at $.classes[0].name
$.models[0].classes[0]: found "summary"; allowed: the name of a class in $.classes
$.services[0].calls[1].class: found "summary"; allowed: the name of a class in $.classes`},
		{"class of model", `"class": "appraisal", "classes"`, `"class": "gone", "classes"`, `$.models[0].class: found "gone"; allowed: the name of a class in $.classes`},
		{"service named like model", `"meta/hay-8B"`, `"ledger"`, `$.services[0].name: found "ledger"; allowed: a name that is not used at $.models[0].name`},
		{"method", `"POST"`, `"post"`, `$.services[0].calls[0].method: found "post"; allowed: one of GET, HEAD, OPTIONS, POST, PUT, PATCH, DELETE`},
		{"path", `"/lots/search"`, `"lots/../x"`, `$.services[0].calls[0].path: found "lots/../x"; allowed: a path that starts with '/', without empty or dot segments, query or fragment`},
		{"duplicate call", `"POST", "path": "/lots/search"`, `"GET", "path": "/lots/"`, `$.services[0].calls[1]: found "GET /lots"; allowed: a method and path that are not used at $.services[0].calls[0]`},
		{"no classes", valid, `{}`, `$.classes: found 0; allowed: 1 to 64 classes`},
		{"trailing data", valid, valid + "x", `$: found a syntax error at line 12, column 2 (invalid character 'x' after top-level value); allowed: one JSON object`},
		{"size", valid, valid + strings.Repeat(" ", validator.MaxSize), `$: found 1049223 bytes; allowed: at most 1048576 bytes`},
		{"several", `"tier": 3`, `"tier": "low", "prio": [1]`, `$.classes[1].tier: found "low"; allowed: a whole number
$.classes[1].prio: found [1]; allowed: no such field; the fields are name, tier, urgency, first, gap, total, wait, floor, late`},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, problems := validator.Decode([]byte(strings.Replace(valid, c.old, c.new, 1)))
			assert.Assert(t, d == nil)
			var got []string
			for _, p := range problems {
				got = append(got, p.String())
			}
			assert.Equal(t, strings.Join(got, "\n"), c.want)
		})
	}
}

// TestRule guards against a call that counts as repeatable because its path
// merely resembles that of a rule, and against lookups that match too much.
func TestRule(t *testing.T) {
	d, problems := validator.Decode([]byte(valid))
	assert.Equal(t, len(problems), 0)
	x := validator.Compile(d)
	for _, c := range []struct {
		method, path string
		want         validator.Rule
	}{
		{"POST", "/lots/search", validator.Rule{Repeat: true, Class: "appraisal"}},
		{"POST", "/lots/search/7", validator.Rule{Repeat: true, Class: "appraisal"}},
		{"POST", "/lots/searches", validator.Rule{Class: "appraisal"}},
		{"POST", "/lots/search/../sales", validator.Rule{Class: "appraisal"}},
		{"POST", "/lots//search", validator.Rule{Class: "appraisal"}},
		{"POST", "/lots/search%20x", validator.Rule{Class: "appraisal"}},
		{"POST", "/lots/search/a%20b", validator.Rule{Repeat: true, Class: "appraisal"}},
		{"POST", "/lots%2Fsearch", validator.Rule{Class: "appraisal"}},
		{"POST", "/lots/search/%2e%2e/sales", validator.Rule{Class: "appraisal"}},
		{"POST", "/lots/search/%252e%252e", validator.Rule{Class: "appraisal"}},
		{"POST", "/lots/search/%5c..", validator.Rule{Class: "appraisal"}},
		{"POST", "/lots/search/%zz", validator.Rule{Class: "appraisal"}},
		{"HEAD", "/lots", validator.Rule{Class: "summary"}},
		{"GET", "/lots/search", validator.Rule{Class: "summary"}},
		{"GET", "/lots/", validator.Rule{Class: "summary"}},
		{"GET", "/", validator.Rule{Repeat: true, Class: "appraisal"}},
		{"DELETE", "/lots", validator.Rule{Class: "appraisal"}},
	} {
		got, ok := x.Rule("ledger", c.method, c.path)
		assert.Assert(t, ok)
		assert.Equal(t, got, c.want, "%s %s", c.method, c.path)
	}
	_, ok := x.Rule("meta/hay-8B", "GET", "/")
	assert.Assert(t, !ok)
	o, ok := x.OrganisationByHash(hashA)
	assert.Assert(t, ok && o.Name == "goats")
	_, ok = x.OrganisationByKey(hashA)
	assert.Assert(t, !ok, "a digest counts as a key")
	m, ok := x.Model("meta/hay-8B")
	assert.Assert(t, ok && m.Permits("appraisal") && m.Permits("summary") && !m.Permits("sale"))
}

// TestDifferences guards against audit lines that miss a change, show a whole
// key digest, or report a mere reordering.
func TestDifferences(t *testing.T) {
	r := strings.NewReplacer(`"tier": 3`, `"tier": 2`, hashA, hashB, `, "limit": 10`, ``,
		`"GET", "path": "/lots"`, `"GET", "path": "/sales"`)
	got := validator.Differences([]byte(valid), []byte(r.Replace(valid)))
	assert.Equal(t, strings.Join(got, "\n"), `$.classes["summary"].tier: changed 3 to 2
$.organisations["goats"].keys["aaaaaaaa..."]: removed "aaaaaaaa..."
$.organisations["goats"].keys["bbbbbbbb..."]: added "bbbbbbbb..."
$.organisations["goats"].limit: removed 10
$.services["ledger"].calls["GET /lots"]: removed {"method":"GET","path":"/lots","repeat":false,"class":"summary"}
$.services["ledger"].calls["GET /sales"]: added {"method":"GET","path":"/sales","repeat":false,"class":"summary"}`)
	reordered := `{"classes": [{"name": "b"}, {"name": "a"}]}`
	assert.Equal(t, len(validator.Differences([]byte(`{"classes": [{"name": "a"}, {"name": "b"}]}`), []byte(reordered))), 0)
	assert.Equal(t, len(validator.Differences(nil, []byte(reordered))), 2)
	for _, c := range []struct {
		before, after string
		want          []string
	}{
		{`{"a":1}`, `{"a":1}`, nil},
		{`{"a":1,"b":[1,2]}`, `{"a":2,"b":[1,3]}`, []string{`$.a: changed 1 to 2`, `$.b[1]: changed 2 to 3`}},
		{`{"a":1}`, `{"a":1,"b":null}`, []string{`$.b: added null`}},
		{`{"a":10000000000000000001}`, `{"a":10000000000000000002}`, []string{`$.a: changed 10000000000000000001 to 10000000000000000002`}},
	} {
		assert.DeepEqual(t, validator.Differences([]byte(c.before), []byte(c.after)), c.want)
	}
	many := `{"classes": [` + strings.Repeat(`"a",`, 5000) + `"a"]}`
	lines := validator.Differences([]byte(many), nil)
	assert.Equal(t, len(lines), validator.MaxDifferences+1)
	assert.Equal(t, lines[validator.MaxDifferences], "4801 further differences")
	_, problems := validator.Decode([]byte(many))
	assert.Assert(t, len(problems) < 300, "%d problems", len(problems))
}

// BenchmarkDecode measures a document of the size expected in two years: 430
// organisations and 7 models.
func BenchmarkDecode(b *testing.B) {
	d, problems := validator.Decode([]byte(valid))
	assert.Equal(b, len(problems), 0)
	for i := range 430 {
		d.Organisations = append(d.Organisations, validator.Organisation{
			Name: validator.OrganisationName(fmt.Sprint("o", i)), Share: 1,
			Keys: []string{validator.HashKey(fmt.Sprint("a", i)), validator.HashKey(fmt.Sprint("b", i))},
		})
	}
	data, err := json.Marshal(d)
	assert.NilError(b, err)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, problems := validator.Decode(data); len(problems) > 0 {
			b.Fatal(problems)
		}
	}
}

// FuzzDecode guards against panics on hostile input and against accepted
// documents that change in a round trip through JSON.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"classes": [{"name": null, "tier": -1e9, "wait": {}}], "classes": [[]]}`))
	f.Add([]byte(`[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, problems := validator.Decode(data)
		validator.Differences([]byte(valid), data)
		if len(problems) > 0 {
			return
		}
		again, err := json.Marshal(d)
		assert.NilError(t, err)
		e, problems := validator.Decode(again)
		assert.Equal(t, len(problems), 0, "%v", problems)
		last, err := json.Marshal(e)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(again, last))
		assert.Equal(t, len(validator.Differences(data, data)), 0)
		validator.Compile(d)
	})
}
