// Package validator defines the configuration document that operators submit
// and checks it.
//
// # Usage
//
//	d, problems := validator.Decode(data)
//	if len(problems) > 0 {
//		// every problem names the JSON path, the value and what is allowed
//	}
package validator

import (
	"fmt"
	"time"
)

// ClassName identifies a request class.
type ClassName string

// OrganisationName identifies an organisation.
type OrganisationName string

// UpstreamName is the name of an upstream in its announcements.
type UpstreamName string

// PoolName identifies a pool, the upstreams that can run a request. It is the
// name of a model or of a plain service.
type PoolName string

// Tier orders classes; 0 is the most urgent.
type Tier int

// LowestTier is the least urgent tier.
const LowestTier Tier = 3

// Duration is a time.Duration written as a string such as "310ms" in JSON.
type Duration time.Duration

// String formats the duration in Go's notation.
func (d Duration) String() string { return time.Duration(d).String() }

// Allowed describes the texts that UnmarshalText accepts.
func (d Duration) Allowed() string { return `a duration such as "310ms" or "2m30s"` }

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration in Go's notation. It returns an error for any
// other text.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: %w", text, err)
	}
	*d = Duration(v)
	return nil
}

// Document is the whole configuration.
type Document struct {
	Classes       []Class        `json:"classes"`
	Organisations []Organisation `json:"organisations"`
	Models        []Model        `json:"models"`
	Services      []Service      `json:"services"`
	// Routes map plain and model requests to pools by host and path.
	Routes []Route `json:"routes,omitempty"`
	// Placements lists the desired states of engines: the models, adapters and versions
	// that each engine should announce, and its role.
	Placements []Placement `json:"placements,omitempty"`
	// Loads bounds how many engines of the fleet load weights at the same time;
	// zero means no bound.
	Loads int `json:"loads,omitempty"`
	// Limits bounds what callers may send; nil leaves that to the settings of each host.
	Limits *Limits `json:"limits,omitempty"`
}

// MaxUrgency is the largest value of Class.Urgency, which is the least urgent.
const MaxUrgency = 10

// Class is a kind of request with its latency targets.
type Class struct {
	Name ClassName `json:"name"`
	Tier Tier      `json:"tier"`
	// Urgency is sent to engines in place of the tier, from 1 (most urgent) to
	// MaxUrgency; with 0 the tier is sent. It orders classes that share a tier.
	Urgency int `json:"urgency,omitempty"`
	// First is the target for the first token; zero means no target.
	First Duration `json:"first,omitempty"`
	// Gap is the target for the mean time between tokens.
	Gap Duration `json:"gap,omitempty"`
	// Total is the target for the whole answer.
	Total Duration `json:"total,omitempty"`
	// Wait is the longest time that a request may queue before it takes the
	// next free slot regardless of tier.
	Wait Duration `json:"wait"`
	// Floor is the share of grants, 0 to 1, reserved for the class while it has
	// work. The reservation doesn't hold back waiting work of tier 0.
	Floor float64 `json:"floor,omitempty"`
	// Late keeps requests that have missed their target and serves them after
	// those that can still meet theirs; without it they are refused.
	Late bool `json:"late,omitempty"`
}

// Organisation is one of the organisations that share the capacity.
type Organisation struct {
	Name OrganisationName `json:"name"`
	// Share is the organisation's weight in fair sharing.
	Share float64 `json:"share"`
	// Keys are hex SHA-256 digests of API keys.
	Keys []string `json:"keys"`
	// Limit bounds the organisation's concurrent requests; zero means no limit.
	Limit int `json:"limit,omitempty"`
	// Rate bounds the organisation's requests per second; zero means no limit.
	Rate float64 `json:"rate,omitempty"`
	// Tier, when set, moves requests that arrive by a route to the class that
	// VariantName names for the route's class and this tier, if there is one.
	Tier *Tier `json:"tier,omitempty"`
}

// Model is a language model that engines serve.
type Model struct {
	Name PoolName `json:"name"`
	// Class is the default for requests that name no class.
	Class ClassName `json:"class"`
	// Classes lists the further classes that may use the model.
	Classes []ClassName `json:"classes,omitempty"`
	// Memory is the number of tokens that an engine of the model can keep in
	// memory; zero means unknown.
	Memory int `json:"memory,omitempty"`
	// Connections bounds the open connections of one engine from all hosts; zero
	// means unknown.
	Connections int `json:"connections,omitempty"`
	// Scaling says how many engines of the model may be ordered; without it none are.
	Scaling *Scaling `json:"scaling,omitempty"`
}

// Service is a plain HTTP service.
type Service struct {
	Name  PoolName  `json:"name"`
	Class ClassName `json:"class"`
	// Calls lists the exceptions from the default, by which only the safe
	// methods GET, HEAD and OPTIONS may be repeated.
	Calls []Call `json:"calls,omitempty"`
	// Connections bounds the open connections of one upstream from all hosts;
	// zero means unknown.
	Connections int `json:"connections,omitempty"`
	// Scaling says how many upstreams of the service may be ordered; without it none are.
	Scaling *Scaling `json:"scaling,omitempty"`
}

// Call tells whether the calls with a method and path may be repeated.
type Call struct {
	Method string `json:"method"`
	// Path is a prefix of the path below the service.
	Path   string `json:"path"`
	Repeat bool   `json:"repeat"`
	// Class overrides the class of the service.
	Class ClassName `json:"class,omitempty"`
}

// Placement is the wanted state of one engine.
type Placement struct {
	Upstream UpstreamName `json:"upstream"`
	// Models, Adapters and Versions are the complete lists that the engine should
	// announce.
	Models   []PoolName `json:"models"`
	Adapters []string   `json:"adapters,omitempty"`
	Versions []string   `json:"versions,omitempty"`
	// Role is empty when the engine keeps its role.
	Role string `json:"role,omitempty"`
	// Fenced tells whether the engine refuses orders with old fencing numbers.
	Fenced bool `json:"fenced"`
}
