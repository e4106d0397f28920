package reviewer

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// Action says what happens to an entry.
type Action string

// Actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one difference between the configuration in force and another one.
type Change struct {
	Action Action `json:"action"`
	// Kind is the kind of the entry: route, organisation, key, class, model or service.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Touches says which callers notice it.
	Touches string `json:"touches"`
}

// String returns the change on one line.
func (c Change) String() string {
	return fmt.Sprintf("%s %s %s: %s", c.Kind, c.Name, c.Action, c.Touches)
}

// keyDigits is how much of a key's digest is shown.
const keyDigits = 8

// Compare returns the differences between two valid documents. A missing document counts
// as empty.
func Compare(before, after *validator.Document) []Change {
	if before == nil {
		before = &validator.Document{}
	}
	var all []Change
	all = append(all, compareList("route", before.Routes, after.Routes, routeName, routeCallers)...)
	all = append(all, compareList("organisation", before.Organisations, after.Organisations, organisationName, organisationCallers)...)
	all = append(all, compareList("key", keys(before), keys(after), keyName, keyCallers)...)
	all = append(all, compareList("class", before.Classes, after.Classes, className, classCallers)...)
	all = append(all, compareList("model", before.Models, after.Models, modelName, poolCallers)...)
	return append(all, compareList("service", before.Services, after.Services, serviceName, poolCallers)...)
}

// compareList matches the entries of two lists by name.
func compareList[T any](kind string, before, after []T, name, callers func(T) string) []Change {
	old := make(map[string]T, len(before))
	for _, v := range before {
		old[name(v)] = v
	}
	var all []Change
	kept := make(map[string]bool, len(after))
	for _, v := range after {
		n := name(v)
		kept[n] = true
		former, found := old[n]
		switch {
		case !found:
			all = append(all, Change{Added, kind, n, callers(v)})
		case !reflect.DeepEqual(former, v):
			all = append(all, Change{Changed, kind, n, callers(v)})
		}
	}
	for _, v := range before {
		if n := name(v); !kept[n] {
			all = append(all, Change{Removed, kind, n, callers(v)})
		}
	}
	return all
}

func routeName(r validator.Route) string { return string(r.Name) }

func routeCallers(r validator.Route) string {
	if r.Open {
		return fmt.Sprintf("all callers of %s%s, also without a key", r.Host, r.Path)
	}
	return fmt.Sprintf("callers of %s%s", r.Host, r.Path)
}

func organisationName(o validator.Organisation) string { return string(o.Name) }

func organisationCallers(o validator.Organisation) string {
	return fmt.Sprintf("callers with one of its %d keys", len(o.Keys))
}

// key is a key of an organisation.
type key struct {
	digest       string
	organisation validator.OrganisationName
}

// keys returns the keys of all organisations, in the order of their digests.
func keys(d *validator.Document) []key {
	var all []key
	for _, o := range d.Organisations {
		for _, k := range o.Keys {
			all = append(all, key{k, o.Name})
		}
	}
	slices.SortFunc(all, func(a, b key) int { return strings.Compare(a.digest, b.digest) })
	return all
}

func keyName(k key) string { return k.digest[:min(len(k.digest), keyDigits)] }

func keyCallers(k key) string {
	return "callers with this key of " + string(k.organisation)
}

func className(c validator.Class) string { return string(c.Name) }

func classCallers(c validator.Class) string {
	return fmt.Sprintf("requests of the class, of tier %d", c.Tier)
}

func modelName(m validator.Model) string { return string(m.Name) }

func serviceName(s validator.Service) string { return string(s.Name) }

func poolCallers[T validator.Model | validator.Service](T) string {
	return "requests that run there"
}
