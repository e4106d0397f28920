package validator

import (
	"fmt"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/decoder"
)

// Bounds of a document.
const (
	// MaxSize is the largest document in bytes.
	MaxSize = decoder.MaxSize
	// MaxTarget bounds the latency targets first, gap and total. It equals the
	// default time that a planned stop waits for open streams.
	MaxTarget = 10 * time.Minute
	// MaxWait bounds the longest wait of a class.
	MaxWait = time.Hour
	// MinDuration is the shortest duration; tests on loopback use 1ms.
	MinDuration = time.Millisecond

	maxNumber        = 1_000_000
	maxClasses       = 64
	maxOrganisations = 4096
	maxPools         = 512
	maxCalls         = 512
	// maxMemory bounds the number of tokens in one engine's memory.
	maxMemory = 1_000_000_000
	maxKeys   = 64
	// maxPlacements is several times the number of servers expected in two years.
	maxPlacements = 4096
	// maxPlacementList bounds each list of a placement, because an order names all of
	// them.
	maxPlacementList = 256
	// maxLoads bounds the number of load leases that are tried one after another
	// for one load.
	maxLoads = 256
)

// Problem is one fault of a document.
type Problem = decoder.Problem

// Methods lists the HTTP methods of service calls.
var Methods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// Names stay within ASCII because they travel in HTTP headers, URL paths and
// metric labels. Model names may contain slashes, as published ones do.
var (
	namePattern      = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	modelNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}$`)
	keyHash          = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	nameAllowed      = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
	modelNameAllowed = "1 to 128 letters, digits or any of ._:/@+-, starting with a letter or digit"
	keyAllowed       = "the SHA-256 digest of a key as 64 lower-case hex digits"
)

// Decode reads a document and checks it completely. It returns either the
// document or the list of its problems.
func Decode(data []byte) (*Document, []Problem) {
	var (
		d Document
		p decoder.Problems
	)
	if decoder.Decode(data, &d, &p) {
		c := checker{Problems: &p, document: &d}
		c.check()
	}
	if l := p.List(); len(l) > 0 {
		return nil, l
	}
	return &d, nil
}

// Check returns the problems of a document that was built in memory.
func Check(d *Document) []Problem {
	var p decoder.Problems
	c := checker{Problems: &p, document: d}
	c.check()
	return p.List()
}

// checker finds the faults of one document. Of a list that is too long it
// checks only the permitted number of items, which bounds its time.
type checker struct {
	*decoder.Problems
	document *Document
}

func (c *checker) check() {
	c.checkClasses()
	c.checkOrganisations()
	c.checkPools()
	c.checkRoutes()
	c.checkLimits()
	c.checkPlacements()
}

func (c *checker) checkClasses() {
	l := c.document.Classes
	c.Check(len(l) > 0 && len(l) <= maxClasses, "$.classes", len(l), fmt.Sprintf("1 to %d classes", maxClasses))
	l = l[:min(len(l), maxClasses)]
	var floors float64
	seen := make(map[string]string)
	for i, v := range l {
		at := decoder.ItemPath("$.classes", i)
		c.checkName(at, string(v.Name), namePattern, nameAllowed, seen)
		c.Check(v.Tier >= 0 && v.Tier <= LowestTier, at+".tier", v.Tier, fmt.Sprintf("0 (most urgent) to %d", LowestTier))
		c.checkDuration(at+".first", v.First, MaxTarget, true)
		c.checkDuration(at+".gap", v.Gap, MaxTarget, true)
		c.checkDuration(at+".total", v.Total, MaxTarget, true)
		c.Check(v.Total == 0 || v.Total >= v.First, at+".total", v.Total, "at least first, "+time.Duration(v.First).String())
		c.checkDuration(at+".wait", v.Wait, MaxWait, false)
		c.Check(v.Urgency >= 0 && v.Urgency <= MaxUrgency, at+".urgency", v.Urgency, fmt.Sprintf("0 (the tier) to %d", MaxUrgency))
		c.Check(v.Floor >= 0 && v.Floor <= 1, at+".floor", v.Floor, "0 to 1")
		floors += max(v.Floor, 0)
	}
	// Ten floors of 0.1 add up to slightly more than 1 in floating point.
	c.Check(floors <= 1+1e-9, "$.classes", fmt.Sprintf("floors with the sum %g", floors), "a sum of at most 1")
}

func (c *checker) checkOrganisations() {
	l := c.document.Organisations
	c.Check(len(l) <= maxOrganisations, "$.organisations", len(l), fmt.Sprintf("at most %d organisations", maxOrganisations))
	l = l[:min(len(l), maxOrganisations)]
	seen := make(map[string]string)
	keys := make(map[string]string)
	for i, v := range l {
		at := decoder.ItemPath("$.organisations", i)
		c.checkName(at, string(v.Name), namePattern, nameAllowed, seen)
		c.Check(v.Share > 0 && v.Share <= maxNumber, at+".share", v.Share, "more than 0, up to 1000000")
		c.Check(v.Limit >= 0 && v.Limit <= maxNumber, at+".limit", v.Limit, "0 (no limit) to 1000000")
		c.Check(v.Rate >= 0 && v.Rate <= maxNumber, at+".rate", v.Rate, "0 (no limit) to 1000000")
		c.Check(v.Tier == nil || *v.Tier >= 0 && *v.Tier <= LowestTier, at+".tier", v.Tier, fmt.Sprintf("0 (most urgent) to %d", LowestTier))
		c.Check(len(v.Keys) <= maxKeys, at+".keys", len(v.Keys), fmt.Sprintf("at most %d keys", maxKeys))
		for j, k := range v.Keys[:min(len(v.Keys), maxKeys)] {
			p := decoder.ItemPath(at+".keys", j)
			c.Check(keyHash.MatchString(k), p, k, keyAllowed)
			if first, ok := keys[k]; ok {
				c.Add(p, decoder.FormatValue(k), "a digest that is not used at "+first)
				continue
			}
			keys[k] = p
		}
	}
}

// checkPools checks models and services. They share one namespace, because a
// pool is identified by its name alone.
func (c *checker) checkPools() {
	d := c.document
	n := len(d.Models) + len(d.Services)
	c.Check(n <= maxPools, "$.models", n, fmt.Sprintf("at most %d models and services", maxPools))
	seen := make(map[string]string)
	for i, v := range d.Models[:min(len(d.Models), maxPools)] {
		at := decoder.ItemPath("$.models", i)
		c.checkName(at, string(v.Name), modelNamePattern, modelNameAllowed, seen)
		c.checkClass(at+".class", v.Class)
		c.Check(v.Memory >= 0 && v.Memory <= maxMemory, at+".memory", v.Memory, fmt.Sprintf("0 (unknown) to %d", maxMemory))
		c.Check(v.Connections >= 0 && v.Connections <= maxNumber, at+".connections", v.Connections, "0 (unknown) to 1000000")
		c.checkScaling(at+".scaling", v.Scaling)
		c.Check(len(v.Classes) < maxClasses, at+".classes", len(v.Classes), fmt.Sprintf("fewer than %d classes", maxClasses))
		for j, n := range v.Classes[:min(len(v.Classes), maxClasses)] {
			p := decoder.ItemPath(at+".classes", j)
			c.checkClass(p, n)
			c.Check(n != v.Class && !slices.Contains(v.Classes[:j], n), p, n, "each class once")
		}
	}
	for i, v := range d.Services[:min(len(d.Services), maxPools)] {
		at := decoder.ItemPath("$.services", i)
		c.checkName(at, string(v.Name), namePattern, nameAllowed, seen)
		c.checkClass(at+".class", v.Class)
		c.Check(v.Connections >= 0 && v.Connections <= maxNumber, at+".connections", v.Connections, "0 (unknown) to 1000000")
		c.checkScaling(at+".scaling", v.Scaling)
		c.checkCalls(at+".calls", v.Calls)
	}
}

func (c *checker) checkCalls(at string, l []Call) {
	c.Check(len(l) <= maxCalls, at, len(l), fmt.Sprintf("at most %d calls", maxCalls))
	l = l[:min(len(l), maxCalls)]
	seen := make(map[string]string)
	for i, v := range l {
		p := decoder.ItemPath(at, i)
		c.Check(slices.Contains(Methods, v.Method), p+".method", v.Method, "one of "+strings.Join(Methods, ", "))
		clean := strings.HasPrefix(v.Path, "/") && (path.Clean(v.Path) == v.Path || path.Clean(v.Path)+"/" == v.Path)
		c.Check(clean && !strings.ContainsAny(v.Path, "?#"), p+".path", v.Path, "a path that starts with '/', without empty or dot segments, query or fragment")
		if v.Class != "" {
			c.checkClass(p+".class", v.Class)
		}
		// "/sales" and "/sales/" match the same calls.
		id := v.Method + " " + strings.TrimSuffix(v.Path, "/")
		if first, ok := seen[id]; ok {
			c.Add(p, decoder.FormatValue(id), "a method and path that are not used at "+first)
			continue
		}
		seen[id] = p
	}
}

func (c *checker) checkName(at, v string, pattern *regexp.Regexp, allowed string, seen map[string]string) {
	p := at + ".name"
	c.Check(pattern.MatchString(v), p, v, allowed)
	if first, ok := seen[v]; ok {
		c.Add(p, decoder.FormatValue(v), "a name that is not used at "+first)
		return
	}
	seen[v] = p
}

func (c *checker) checkClass(at string, n ClassName) {
	for _, v := range c.document.Classes {
		if v.Name == n {
			return
		}
	}
	c.Add(at, decoder.FormatValue(n), "the name of a class in $.classes")
}

func (c *checker) checkDuration(at string, v Duration, most time.Duration, optional bool) {
	t := time.Duration(v)
	allowed := fmt.Sprintf("a duration from %v to %v", MinDuration, most)
	c.Check(optional && t == 0 || t >= MinDuration && t <= most, at, v, allowed)
}
