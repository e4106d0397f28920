package validator

import (
	"fmt"
	"slices"

	"github.com/amaranthcart/amaranthcart/internal/config/decoder"
)

func (c *checker) checkPlacements() {
	d := c.document
	c.Check(d.Loads >= 0 && d.Loads <= maxLoads, "$.loads", d.Loads, fmt.Sprintf("0 (no bound) to %d", maxLoads))
	l := d.Placements
	c.Check(len(l) <= maxPlacements, "$.placements", len(l), fmt.Sprintf("at most %d placements", maxPlacements))
	models := make(map[PoolName]bool, len(d.Models))
	for _, m := range d.Models {
		models[m.Name] = true
	}
	seen := make(map[UpstreamName]string)
	for i, v := range l[:min(len(l), maxPlacements)] {
		at := decoder.ItemPath("$.placements", i)
		p := at + ".upstream"
		c.Check(modelNamePattern.MatchString(string(v.Upstream)), p, v.Upstream, modelNameAllowed)
		if first, ok := seen[v.Upstream]; ok {
			c.Add(p, decoder.FormatValue(v.Upstream), "an upstream that is not used at "+first)
		} else {
			seen[v.Upstream] = p
		}
		c.Check(len(v.Models) > 0 && len(v.Models) <= maxPlacementList, at+".models", len(v.Models), fmt.Sprintf("1 to %d models", maxPlacementList))
		for j, m := range v.Models[:min(len(v.Models), maxPlacementList)] {
			p := decoder.ItemPath(at+".models", j)
			c.Check(models[m], p, m, "the name of a model in $.models")
			c.Check(!slices.Contains(v.Models[:j], m), p, m, "each model once")
		}
		c.checkNameList(at+".adapters", v.Adapters)
		c.checkNameList(at+".versions", v.Versions)
		c.Check(v.Role == "" || namePattern.MatchString(v.Role), at+".role", v.Role, nameAllowed)
	}
}

func (c *checker) checkNameList(at string, l []string) {
	c.Check(len(l) <= maxPlacementList, at, len(l), fmt.Sprintf("at most %d names", maxPlacementList))
	for i, v := range l[:min(len(l), maxPlacementList)] {
		p := decoder.ItemPath(at, i)
		c.Check(modelNamePattern.MatchString(v), p, v, modelNameAllowed)
		c.Check(!slices.Contains(l[:i], v), p, v, "each name once")
	}
}
