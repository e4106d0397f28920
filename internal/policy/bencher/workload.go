package bencher

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/stub/batcher"
)

// model is the only model of the workloads.
const model validator.PoolName = "model"

var pools = []validator.PoolName{model}

// Workload describes the callers and engines of a run.
type Workload struct {
	Name     string
	User     string
	Engines  int
	Slots    int
	Hosts    int
	OneWay   time.Duration
	Duration time.Duration
	// Scale multiplies the rates of all demands.
	Scale   float64
	Demands []Demand
	Crests  []Crest
	// Slowed is the number of engines that become five times slower after the first
	// sixth of the run and stay so to its end. Their reports do not show this.
	Slowed int
	// Crashes lists the times at which an engine crashes; it is back after eight
	// seconds.
	Crashes []time.Duration
}

// Demand is a steady stream of calls of a class.
type Demand struct {
	Class validator.Class
	// Rate is the number of calls per second.
	Rate   float64
	Prompt Lengths
	Output Lengths
	// Prefixes is the number of different shared prompt beginnings for each
	// organisation, and Shared their length in tokens.
	Prefixes int
	Shared   int
	// Patience is how long callers wait for the first token.
	Patience time.Duration
}

// Lengths is a log-normal distribution of token counts, limited to Max.
type Lengths struct {
	Median int
	Sigma  float64
	Max    int
}

func (l Lengths) draw(r *rand.Rand, scale float64) int {
	n := float64(l.Median) * scale * math.Exp(l.Sigma*r.NormFloat64())
	return min(max(int(n), 1), l.Max)
}

// Crest is a temporary increase of the load. A burst has most of its calls in the
// first third of its length; other crests rise and fall.
type Crest struct {
	Class  validator.ClassName
	Start  time.Duration
	Length time.Duration
	Calls  int
	Burst  bool
}

func (c Crest) draw(r *rand.Rand) time.Duration {
	for {
		x := r.Float64()
		if c.Burst {
			x = r.ExpFloat64() / 3
		} else if r.Float64() > math.Pow(math.Sin(math.Pi*x), 2) {
			continue
		}
		if x < 1 {
			return c.Start + time.Duration(x*float64(c.Length))
		}
	}
}

// organisation is the sender of a part of the calls.
type organisation struct {
	name   validator.OrganisationName
	weight float64
	share  float64
	// lengths multiplies the output lengths of the organisation.
	lengths float64
}

var organisations = []organisation{
	{"north", 30, 3, 1.0}, {"dairy", 20, 3, 0.7}, {"valley", 14, 2, 1.4},
	{"ridge", 8, 1, 0.8}, {"lake", 7, 1, 1.2}, {"mill", 6, 1, 1.0},
	{"bridge", 5, 1, 0.6}, {"meadow", 4, 1, 1.6}, {"stone", 3, 1, 1.0}, {"pine", 3, 1, 0.9},
}

func pickOrganisation(r *rand.Rand) int {
	x := r.Float64() * 100
	for i, c := range organisations {
		if x -= c.weight; x < 0 {
			return i
		}
	}
	return len(organisations) - 1
}

// document returns a configuration with the classes and organisations of the
// workload.
func (w Workload) document() *validator.Document {
	d := &validator.Document{}
	for _, m := range w.Demands {
		d.Classes = append(d.Classes, m.Class)
	}
	for _, c := range organisations {
		d.Organisations = append(d.Organisations, validator.Organisation{Name: c.name, Share: c.share})
	}
	return d
}

func (w Workload) demand(name validator.ClassName) *Demand {
	for i := range w.Demands {
		if w.Demands[i].Class.Name == name {
			return &w.Demands[i]
		}
	}
	return nil
}

// calls returns the random calls of a run in order of arrival.
func (w Workload) calls(seed uint64) []*call {
	r := rand.New(rand.NewPCG(seed, 1))
	var list []*call
	for i := range w.Demands {
		d := &w.Demands[i]
		mean := float64(time.Second) / (d.Rate * w.Scale)
		for t := r.ExpFloat64() * mean; t < float64(w.Duration); t += r.ExpFloat64() * mean {
			list = append(list, w.call(r, d, time.Duration(t), pickOrganisation(r)))
		}
	}
	for i, c := range w.Crests {
		d := w.demand(c.Class)
		for range c.Calls {
			by := pickOrganisation(r)
			if c.Burst && r.Float64() < 0.4 {
				// Most calls of a burst belong to one large organisation.
				by = i % 3
			}
			list = append(list, w.call(r, d, c.draw(r), by))
		}
	}
	slices.SortStableFunc(list, func(a, b *call) int { return int(a.arrived - b.arrived) })
	for i, c := range list {
		c.name(i)
		c.host = r.IntN(w.Hosts)
	}
	return list
}

func (w Workload) call(r *rand.Rand, d *Demand, at time.Duration, by int) *call {
	c := &call{
		demand:       d,
		organisation: organisations[by].name,
		arrived:      at,
		prompt:       d.Shared + d.Prompt.draw(r, 1),
		output:       d.Output.draw(r, organisations[by].lengths),
		limit:        d.Output.Max,
	}
	group := uint64(r.IntN(d.Prefixes))
	base := uint64(len(d.Class.Name))<<40 | uint64(d.Class.Name[0])<<32 | uint64(by)<<24 | group<<12
	for i := range d.Shared / batcher.BlockTokens {
		c.prefix = append(c.prefix, base+uint64(i))
	}
	c.crest = w.inCrest(at)
	return c
}

// inCrest reports whether a time is in a crest or within two seconds after it.
func (w Workload) inCrest(at time.Duration) bool {
	for _, c := range w.Crests {
		if at >= c.Start && at < c.Start+c.Length+2*time.Second {
			return true
		}
	}
	return false
}
