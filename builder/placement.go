package builder

import "github.com/amaranthcart/amaranthcart/internal/config/validator"

// PlacementPart declares what one engine must load.
type PlacementPart struct{ placement validator.Placement }

// PlacementOption sets one property of a placement.
type PlacementOption func(*PlacementPart)

// Placement declares the desired state of the engine that announces itself under the
// name. Unless the option Fenced is given, the engine is assumed to ignore fencing
// numbers.
func Placement(upstream string, options ...PlacementOption) *PlacementPart {
	p := &PlacementPart{placement: validator.Placement{
		Upstream: validator.UpstreamName(upstream),
		Models:   []validator.PoolName{},
	}}
	for _, o := range options {
		o(p)
	}
	return p
}

func (p *PlacementPart) add(c *Configuration) {
	c.document.Placements = append(c.document.Placements, p.placement)
}

// Models adds models that the engine must serve.
func Models(models ...*ModelPart) PlacementOption {
	return func(p *PlacementPart) {
		for _, m := range models {
			p.placement.Models = append(p.placement.Models, m.model.Name)
		}
	}
}

// Adapters adds adapters that the engine must load.
func Adapters(names ...string) PlacementOption {
	return func(p *PlacementPart) { p.placement.Adapters = append(p.placement.Adapters, names...) }
}

// Versions adds versions that the engine must announce.
func Versions(names ...string) PlacementOption {
	return func(p *PlacementPart) { p.placement.Versions = append(p.placement.Versions, names...) }
}

// Role sets the role of the engine.
func Role(name string) PlacementOption {
	return func(p *PlacementPart) { p.placement.Role = name }
}

// Fenced declares that the engine refuses orders with old fencing numbers.
func Fenced() PlacementOption {
	return func(p *PlacementPart) { p.placement.Fenced = true }
}

// LoadsPart declares the bound on concurrent weight loads.
type LoadsPart struct{ loads int }

// Loads bounds the weight loads that run at the same time in the fleet; zero means no
// bound.
func Loads(most int) *LoadsPart { return &LoadsPart{loads: most} }

func (p *LoadsPart) add(c *Configuration) { c.document.Loads = p.loads }
