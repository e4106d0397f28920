package builder

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/decoder"
	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// ClassPart declares a request class and is the reference to it.
type ClassPart struct {
	class validator.Class
	// tier is set when the option Tier was given.
	tier bool
}

// ClassOption sets one property of a class.
type ClassOption func(*ClassPart)

// Class declares a request class. Tier and Wait are required.
func Class(name string, options ...ClassOption) *ClassPart {
	p := &ClassPart{class: validator.Class{Name: validator.ClassName(name)}}
	for _, o := range options {
		o(p)
	}
	return p
}

func (p *ClassPart) add(c *Configuration) {
	if !p.tier {
		at := decoder.ItemPath("$.classes", len(c.document.Classes))
		c.problems.Add(at+".tier", "nothing", "a tier from 0 to 3, set by builder.Tier")
	}
	c.document.Classes = append(c.document.Classes, p.class)
}

// name returns the name that references use. It is empty for a nil reference, which the
// check then reports.
func (p *ClassPart) name() validator.ClassName {
	if p == nil {
		return ""
	}
	return p.class.Name
}

// Tier sets the urgency from 0, the most urgent, to 3.
func Tier(tier int) ClassOption {
	return func(p *ClassPart) { p.class.Tier, p.tier = validator.Tier(tier), true }
}

// First sets the target for the time to the first token.
func First(d time.Duration) ClassOption {
	return func(p *ClassPart) { p.class.First = validator.Duration(d) }
}

// Gap sets the target for the mean time between tokens.
func Gap(d time.Duration) ClassOption {
	return func(p *ClassPart) { p.class.Gap = validator.Duration(d) }
}

// Total sets the target for the time to the end of the answer.
func Total(d time.Duration) ClassOption {
	return func(p *ClassPart) { p.class.Total = validator.Duration(d) }
}

// Wait bounds the time in the queue: a request that has waited this long takes
// the next free slot regardless of tier.
func Wait(d time.Duration) ClassOption {
	return func(p *ClassPart) { p.class.Wait = validator.Duration(d) }
}

// Urgency sets the urgency that engines get instead of the tier, from 1 for the most
// urgent to 10. It orders classes that share a tier.
func Urgency(place int) ClassOption {
	return func(p *ClassPart) { p.class.Urgency = place }
}

// Floor reserves a share of the grants, 0 to 1, for the class while it has work. The
// reservation does not hold against waiting work of tier 0.
func Floor(share float64) ClassOption {
	return func(p *ClassPart) { p.class.Floor = share }
}
