// Package reviewer looks for what is suspicious in a valid configuration: entries that can
// never match and values that contradict each other. It also tells what differs from the
// configuration in force, in the terms of an operator.
//
// # Usage
//
//	document, problems := validator.Decode(data)
//	if len(problems) == 0 {
//		findings := reviewer.Review(document, nil)
//		changes := reviewer.Compare(inForce, document)
//	}
//
// A finding never makes a configuration invalid; that is decided by package validator
// alone. Given the upstreams that an entry host knows, Review also finds pools without
// any and limits above what they can run.
package reviewer

import (
	"fmt"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/decoder"
	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// Kind says what is wrong with an entry.
type Kind string

// Kinds of findings.
const (
	// Unreachable entries match no request.
	Unreachable Kind = "unreachable"
	// Contradiction means that two values can't both take effect.
	Contradiction Kind = "contradiction"
)

// Finding is one suspicious entry.
type Finding struct {
	Kind Kind `json:"kind"`
	// Path is the JSON path of the entry, such as $.routes[0].timeout.
	Path string `json:"path"`
	Text string `json:"text"`
}

// String returns the finding on one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Path, f.Kind, f.Text) }

// Capacity is what the known upstreams of a pool can run together.
type Capacity struct{ Upstreams, Slots int }

// Capacities holds the capacity of each pool that has upstreams.
type Capacities map[validator.PoolName]Capacity

// Review returns the findings of a valid document in the order of its entries. Without
// capacities nothing is said about upstreams.
func Review(d *validator.Document, c Capacities) []Finding {
	r := review{document: d, index: validator.Compile(d), used: usedClasses(d), capacities: c}
	r.classes()
	r.organisations()
	r.pools()
	r.routes()
	return r.findings
}

// review collects the findings of one document.
type review struct {
	document   *validator.Document
	index      *validator.Index
	used       map[validator.ClassName]bool
	capacities Capacities
	findings   []Finding
}

func (r *review) addIf(found bool, kind Kind, path, format string, args ...any) {
	if found {
		r.findings = append(r.findings, Finding{kind, path, fmt.Sprintf(format, args...)})
	}
}

// usedClasses returns the classes of pools, calls and routes, and the variants of the
// latter for organisations with a tier.
func usedClasses(d *validator.Document) map[validator.ClassName]bool {
	used := map[validator.ClassName]bool{}
	for _, m := range d.Models {
		used[m.Class] = true
		for _, n := range m.Classes {
			used[n] = true
		}
	}
	for _, s := range d.Services {
		used[s.Class] = true
		for _, v := range s.Calls {
			used[v.Class] = true
		}
	}
	for _, v := range d.Routes {
		used[v.Class] = true
		for t := range validator.LowestTier + 1 {
			used[validator.VariantName(v.Class, t)] = true
		}
	}
	return used
}

func (r *review) classes() {
	for i, v := range r.document.Classes {
		at := decoder.ItemPath("$.classes", i)
		r.addIf(!r.used[v.Name], Unreachable, at, "no model, service, call or route uses the class %s", v.Name)
		r.addIf(v.Total > 0 && v.Wait > v.Total && !v.Late, Contradiction, at+".wait",
			"requests are refused once they miss the target of %v, so they never wait for %v", v.Total, v.Wait)
	}
}

func (r *review) organisations() {
	slots := 0
	for _, c := range r.capacities {
		slots += c.Slots
	}
	for i, v := range r.document.Organisations {
		at := decoder.ItemPath("$.organisations", i)
		r.addIf(len(v.Keys) == 0, Unreachable, at+".keys", "the organisation %s has no key, so no request is its own", v.Name)
		r.addIf(v.Tier != nil && !r.hasVariant(*v.Tier), Unreachable, at+".tier",
			"no route has a class for the tier %d, so it changes nothing", dereference(v.Tier))
		r.addIf(r.capacities != nil && v.Limit > slots, Contradiction, at+".limit",
			"%d requests at a time are more than the %d slots of all upstreams", v.Limit, slots)
	}
}

func dereference(t *validator.Tier) validator.Tier {
	if t == nil {
		return 0
	}
	return *t
}

// hasVariant reports whether the class of any route has a variant for the tier.
func (r *review) hasVariant(t validator.Tier) bool {
	for _, v := range r.document.Routes {
		if _, ok := r.index.Class(validator.VariantName(v.Class, t)); ok {
			return true
		}
	}
	return false
}

func (r *review) pools() {
	for i, v := range r.document.Models {
		r.pool(decoder.ItemPath("$.models", i), v.Name)
	}
	for i, v := range r.document.Services {
		at := decoder.ItemPath("$.services", i)
		r.pool(at, v.Name)
		for j, call := range v.Calls {
			r.call(decoder.ItemPath(at+".calls", j), v, call)
		}
	}
}

func (r *review) pool(at string, n validator.PoolName) {
	r.addIf(r.capacities != nil && r.capacities[n].Upstreams == 0, Contradiction, at, "no upstream serves %s", n)
}

// call finds a rule that says what holds without it.
func (r *review) call(at string, s validator.Service, call validator.Call) {
	without := s
	without.Calls = nil
	for _, v := range s.Calls {
		if v != call {
			without.Calls = append(without.Calls, v)
		}
	}
	index := validator.Compile(&validator.Document{Services: []validator.Service{without}})
	with, _ := r.index.Rule(s.Name, call.Method, call.Path)
	other, _ := index.Rule(s.Name, call.Method, call.Path)
	r.addIf(with == other, Unreachable, at, "%s %s is treated the same way without this entry", call.Method, call.Path)
}

func (r *review) routes() {
	for i, v := range r.document.Routes {
		at := decoder.ItemPath("$.routes", i)
		r.match(at, v)
		r.times(at, v)
		r.addIf(v.Repeat == validator.Resumable && !v.Stream, Contradiction, at+".repeat", "only a stream can be resumed")
		for j, s := range v.Pools {
			r.share(decoder.ItemPath(at+".pools", j), s)
		}
	}
}

// match finds a host or path that no request has.
func (r *review) match(at string, v validator.Route) {
	r.addIf(strings.ContainsAny(v.Host, ":/ "), Unreachable, at+".host", "the host of a request is compared without its port, so %q matches none", v.Host)
	r.addIf(strings.ContainsAny(v.Path, "?#"), Unreachable, at+".path", "a path has neither query nor fragment, so %q matches none", v.Path)
}

// times finds targets and waits that the route's timeout cuts short.
func (r *review) times(at string, v validator.Route) {
	c, ok := r.index.Class(v.Class)
	if !ok {
		return
	}
	timeout := time.Duration(v.Timeout)
	for _, target := range []struct {
		name  string
		value validator.Duration
	}{{"first", c.First}, {"gap", c.Gap}, {"total", c.Total}, {"wait", c.Wait}} {
		r.addIf(time.Duration(target.value) > timeout, Contradiction, at+".timeout",
			"%v end before the %s of %v that the class %s allows", timeout, target.name, target.value, c.Name)
	}
}

func (r *review) share(at string, s validator.PoolShare) {
	r.addIf(s.Weight == 0, Unreachable, at+".weight", "%s gets no request of the route", s.Pool)
	r.addIf(s.Weight > 0 && r.capacities != nil && r.capacities[s.Pool].Upstreams == 0, Contradiction, at,
		"a part of the requests goes to %s, which no upstream serves", s.Pool)
}
