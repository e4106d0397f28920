package validator

import (
	"fmt"
	"strings"

	"github.com/amaranthcart/amaranthcart/internal/config/decoder"
)

// RouteName identifies a route.
type RouteName string

// Repetition tells how often one request of a caller may run, and whether its
// answer may be resumed.
type Repetition string

// Values of Repetition.
const (
	// Idempotent requests may run any number of times.
	Idempotent Repetition = "idempotent"
	// Once requests run at most once.
	Once Repetition = "once"
	// Resumable streams may continue at another upstream after the last event
	// that arrived.
	Resumable Repetition = "resumable"
)

// Route maps the requests for a host and path prefix to pools.
type Route struct {
	Name RouteName `json:"name"`
	// Host is the host name that callers ask for.
	Host string `json:"host"`
	// Path is the prefix of the path; it begins and ends with a slash. The
	// longest matching prefix wins.
	Path  string    `json:"path"`
	Class ClassName `json:"class"`
	// Repeat tells what may be repeated.
	Repeat Repetition `json:"repeat"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout Duration `json:"timeout"`
	// Attempts is the maximum number of upstreams that one request is sent to.
	Attempts int `json:"attempts"`
	// Open lets requests without an API key in.
	Open bool `json:"open,omitempty"`
	// Stream marks answers that are event streams.
	Stream bool `json:"stream,omitempty"`
	// Pools share the requests in proportion to their weights.
	Pools []PoolShare `json:"pools"`
}

// PoolShare is the part of a route's requests that a pool gets.
type PoolShare struct {
	Pool   PoolName `json:"pool"`
	Weight int      `json:"weight"`
}

// Pick returns the pool for a request, in proportion to the weights. The draw is a
// random number from 0 to less than 1.
func (r *Route) Pick(draw float64) PoolName {
	total := 0
	for _, s := range r.Pools {
		total += s.Weight
	}
	left := draw * float64(total)
	for _, s := range r.Pools {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Pool
		}
	}
	return r.Pools[len(r.Pools)-1].Pool
}

// VariantName returns the name of the class that replaces the given class for
// organisations with the tier.
func VariantName(c ClassName, t Tier) ClassName {
	return ClassName(fmt.Sprintf("%s.t%d", c, t))
}

// routeIndex holds routes by their host in lower case.
type routeIndex map[string][]*Route

func newRouteIndex(routes []Route) routeIndex {
	x := routeIndex{}
	for i := range routes {
		h := strings.ToLower(routes[i].Host)
		x[h] = append(x[h], &routes[i])
	}
	return x
}

// Route returns the route of the host whose prefix matches the most of the path.
// The host may include a port; its case is ignored.
func (x *Index) Route(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i > 0 {
		host = host[:i]
	}
	var best *Route
	for _, r := range x.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Path) && (best == nil || len(r.Path) > len(best.Path)) {
			best = r
		}
	}
	return best, best != nil
}

// ClassOf returns the class of a route's requests from an organisation, which may
// be nil. A class for the organisation's tier takes precedence over the route's.
func (x *Index) ClassOf(r *Route, o *Organisation) *Class {
	if o != nil && o.Tier != nil {
		if c, ok := x.classes[VariantName(r.Class, *o.Tier)]; ok {
			return c
		}
	}
	return x.classes[r.Class]
}

// maxWeight bounds the weight of a pool.
const maxWeight = 1_000_000

// checkRoutes checks the routes of a document.
func (c *checker) checkRoutes() {
	places := map[string]bool{}
	for i, r := range c.document.Routes {
		at := decoder.ItemPath("$.routes", i)
		c.Check(namePattern.MatchString(string(r.Name)), at+".name", r.Name, nameAllowed)
		c.Check(r.Host != "", at+".host", r.Host, "a host name")
		c.Check(strings.HasPrefix(r.Path, "/") && strings.HasSuffix(r.Path, "/"), at+".path", r.Path, "a path that begins and ends with a slash")
		place := strings.ToLower(r.Host) + r.Path
		c.Check(!places[place], at+".path", r.Path, "each host and path once")
		places[place] = true
		c.Check(c.hasClass(r.Class), at+".class", r.Class, "the name of a class")
		c.Check(r.Repeat == Idempotent || r.Repeat == Once || r.Repeat == Resumable, at+".repeat", r.Repeat, "idempotent, once or resumable")
		c.Check(r.Timeout >= Duration(MinDuration), at+".timeout", r.Timeout, "a duration of at least "+MinDuration.String())
		c.Check(r.Attempts >= 1 && r.Attempts <= maxAttempts, at+".attempts", r.Attempts, fmt.Sprintf("1 to %d", maxAttempts))
		c.checkShares(at+".pools", r.Pools)
	}
}

// maxAttempts bounds the attempts of one request.
const maxAttempts = 16

func (c *checker) checkShares(path string, pools []PoolShare) {
	total := 0
	for i, s := range pools {
		at := decoder.ItemPath(path, i)
		c.Check(c.hasPool(s.Pool), at+".pool", s.Pool, "the name of a model or service")
		c.Check(s.Weight >= 0 && s.Weight <= maxWeight, at+".weight", s.Weight, fmt.Sprintf("0 to %d", maxWeight))
		total += s.Weight
	}
	c.Check(total > 0, path, total, "weights that add up to more than 0")
}

func (c *checker) hasClass(n ClassName) bool {
	for _, k := range c.document.Classes {
		if k.Name == n {
			return true
		}
	}
	return false
}

func (c *checker) hasPool(n PoolName) bool {
	for _, m := range c.document.Models {
		if m.Name == n {
			return true
		}
	}
	for _, s := range c.document.Services {
		if s.Name == n {
			return true
		}
	}
	return false
}
