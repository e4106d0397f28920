package bencher

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/stub/batcher"
)

// Arrival is a call of a workload as its caller sees it.
type Arrival struct {
	At           time.Duration
	Class        validator.ClassName
	Organisation validator.OrganisationName
	// Host is the number of the entry host that the balancer chose.
	Host int
	// Prompt and Output are in tokens; only the engine knows Output.
	Prompt int
	Output int
	// Limit is the bound on the output that the caller states.
	Limit int
	// Prefix names the blocks of BlockTokens that the prompt begins with.
	Prefix []uint64
	// Patience is how long the caller waits for the first token.
	Patience time.Duration
}

// BlockTokens is the size of the blocks that prompts share.
const BlockTokens = batcher.BlockTokens

// Model is the model that the calls of all workloads ask for.
const Model = model

// Outcome is what became of an arrival, in times since the start of the run; zero
// means that it did not happen.
type Outcome struct {
	First time.Duration
	Done  time.Duration
	// Refused is when the caller got a final error.
	Refused time.Duration
}

// Arrivals draws the calls of a run in order of arrival; a seed always gives the
// same ones.
func (w Workload) Arrivals(seed uint64) []Arrival {
	var list []Arrival
	for _, c := range w.calls(seed) {
		list = append(list, Arrival{
			At: c.arrived, Class: c.demand.Class.Name, Organisation: c.organisation, Host: c.host,
			Prompt: c.prompt, Output: c.output, Limit: c.limit, Prefix: c.prefix, Patience: c.demand.Patience,
		})
	}
	return list
}

// Evaluate measures a run outside virtual time from the fates of its arrivals,
// as the runs of the bench are measured. Waits end with the first token, because
// a caller does not see the start in an engine's batch, and the waste of the
// engines is not known.
func (w Workload) Evaluate(seed uint64, policy string, fates []Outcome) Result {
	s := &system{workload: w, calls: w.calls(seed)}
	s.now = w.Duration + drainTime
	for i, f := range fates {
		c := s.calls[i]
		c.first, c.done, c.refusedAt, c.refused = f.First, f.Done, f.Refused, f.Refused > 0
		c.left = !c.refused && f.Done == 0
		if f.First > 0 {
			c.start(f.First)
		}
	}
	r := s.result()
	r.Workload, r.Policy, r.Seed, r.Wasted = w.Name, policy, seed, 0
	return r
}

// Document is the configuration that fits the workload. Each organisation has
// the API key that OrganisationKey gives.
func (w Workload) Document() *validator.Document {
	d := w.document()
	m := validator.Model{Name: Model, Class: d.Classes[0].Name}
	for _, c := range d.Classes[1:] {
		m.Classes = append(m.Classes, c.Name)
	}
	d.Models = append(d.Models, m)
	for i := range d.Organisations {
		o := &d.Organisations[i]
		o.Keys = append(o.Keys, validator.HashKey(OrganisationKey(o.Name)))
	}
	return d
}

// OrganisationKey is the API key of an organisation of the workloads.
func OrganisationKey(o validator.OrganisationName) string { return "load-key-of-" + string(o) }

// Disturbance is something that happens to an engine during a run.
type Disturbance struct {
	At     time.Duration
	Engine int
	// Slow multiplies the times of the engine from then on; zero means that it
	// crashes and is back after RestartTime.
	Slow float64
}

// RestartTime is how long an engine is away after a crash.
const RestartTime = restartTime

// Disturbances lists the lasting slowdowns and the crashes of the workload.
func (w Workload) Disturbances() []Disturbance {
	var list []Disturbance
	for i := w.Engines - w.Slowed; i < w.Engines; i++ {
		list = append(list, Disturbance{At: w.Duration / 6, Engine: i, Slow: slowFactor})
	}
	for i, at := range w.Crashes {
		list = append(list, Disturbance{At: at, Engine: crashed(i, w.Engines)})
	}
	return list
}
