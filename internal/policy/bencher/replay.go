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
	// Host is the number of the entry host that the load balancer chose.
	Host int
	// Prompt and Output are in tokens. Only the engine knows Output in advance.
	Prompt int
	Output int
	// Limit is the maximum number of output tokens that the caller asks for.
	Limit int
	// Prefix identifies the blocks of BlockTokens tokens with which the prompt
	// begins.
	Prefix []uint64
	// Patience is how long the caller waits for the first token.
	Patience time.Duration
}

// BlockTokens is the size in tokens of the blocks that prompts share.
const BlockTokens = batcher.BlockTokens

// Model is the model that the calls of all workloads ask for.
const Model = model

// Outcome is the result of an arrival, in times since the start of the run. A time
// is 0 when the event did not happen.
type Outcome struct {
	First time.Duration
	Done  time.Duration
	// Refused is when the caller got a final error.
	Refused time.Duration
}

// Arrivals returns the calls of a run in order of arrival. The same seed always
// gives the same calls.
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

// Evaluate computes the result of a run outside virtual time from the outcomes of
// its arrivals, which are in the order of Arrivals for the same seed. It does so as
// for the simulated runs, with two differences: waits end with the first token,
// because a caller does not see when an engine takes its call into the batch, and
// Wasted is 0, because the tokens that the engines wasted are not known.
func (w Workload) Evaluate(seed uint64, policy string, outcomes []Outcome) Result {
	s := &system{workload: w, calls: w.calls(seed)}
	s.now = w.Duration + drainTime
	for i, f := range outcomes {
		c := s.calls[i]
		c.firstTokenAt, c.doneAt, c.refusedAt, c.refused = f.First, f.Done, f.Refused, f.Refused > 0
		c.left = !c.refused && f.Done == 0
		if f.First > 0 {
			c.enterBatch(f.First)
		}
	}
	r := s.result()
	r.Workload, r.Policy, r.Seed, r.Wasted = w.Name, policy, seed, 0
	return r
}

// Document returns a configuration for the workload. Each organisation has the API
// key that OrganisationKey returns.
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

// OrganisationKey returns the API key of an organisation of the workloads.
func OrganisationKey(o validator.OrganisationName) string { return "load-key-of-" + string(o) }

// Disturbance is a slowdown or a crash of an engine during a run.
type Disturbance struct {
	At     time.Duration
	Engine int
	// Slow multiplies the engine's times from then on. 0 means that the engine
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
		list = append(list, Disturbance{At: at, Engine: crashedEngine(i, w.Engines)})
	}
	return list
}
