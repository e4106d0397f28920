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

// PoolName identifies the upstreams that can run a request: the name of a
// model or of a plain service.
type PoolName string

// Tier orders classes; 0 is the most urgent.
type Tier int

// LowestTier is the least urgent tier.
const LowestTier Tier = 3

// Duration is a time.Duration written as a string such as "310ms" in JSON.
type Duration time.Duration

// String formats the duration in Go's notation.
func (d Duration) String() string { return time.Duration(d).String() }

// Allowed tells what UnmarshalText reads.
func (d Duration) Allowed() string { return `a duration such as "310ms" or "2m30s"` }

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration in Go's notation.
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
	// Routes lead plain and model requests by host and path to pools.
	Routes []Route `json:"routes,omitempty"`
	// Placements lists what engines shall have loaded.
	Placements []Placement `json:"placements,omitempty"`
	// Loads bounds the weight loads that run at the same time in the fleet;
	// zero means no bound.
	Loads int `json:"loads,omitempty"`
}

// MaxUrgency is the least urgency of a class.
const MaxUrgency = 10

// Class is a kind of request with its latency targets.
type Class struct {
	Name ClassName `json:"name"`
	Tier Tier      `json:"tier"`
	// Urgency is what engines are told in place of the tier, from 1 for the most urgent;
	// 0 tells them the tier. It orders classes that share one.
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
	// Floor is the share of grants, 0 to 1, kept for the class while it has
	// work. It does not count against waiting work of tier 0.
	Floor float64 `json:"floor,omitempty"`
	// Late serves requests that have missed their target once those that can
	// still meet theirs are served; without it they are refused.
	Late bool `json:"late,omitempty"`
}

// Organisation shares the capacity with the others.
type Organisation struct {
	Name OrganisationName `json:"name"`
	// Share is the organisation's weight in fair sharing.
	Share float64 `json:"share"`
	// Keys are hex SHA-256 digests of API keys.
	Keys []string `json:"keys"`
	// Limit bounds the organisation's concurrent requests; zero means none.
	Limit int `json:"limit,omitempty"`
	// Rate bounds the organisation's requests a second; zero means none.
	Rate float64 `json:"rate,omitempty"`
	// Tier selects, for requests that come by a route, the class VariantName of the
	// route's class where there is one.
	Tier *Tier `json:"tier,omitempty"`
}

// Model is a language model that engines serve.
type Model struct {
	Name PoolName `json:"name"`
	// Class is used when a request names no class.
	Class ClassName `json:"class"`
	// Classes lists the further classes that may use the model.
	Classes []ClassName `json:"classes,omitempty"`
	// Memory is the number of tokens that an engine of the model keeps in memory;
	// zero means unknown.
	Memory int `json:"memory,omitempty"`
	// Connections bounds the open connections of one engine from all hosts; zero
	// means unknown.
	Connections int `json:"connections,omitempty"`
}

// Service is a plain service.
type Service struct {
	Name  PoolName  `json:"name"`
	Class ClassName `json:"class"`
	// Calls lists the calls that differ from the default, which repeats the
	// safe methods GET, HEAD and OPTIONS and no other.
	Calls []Call `json:"calls,omitempty"`
	// Connections bounds the open connections of one upstream from all hosts;
	// zero means unknown.
	Connections int `json:"connections,omitempty"`
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
	// Models, Adapters and Versions are the whole lists that the engine shall
	// announce.
	Models   []PoolName `json:"models"`
	Adapters []string   `json:"adapters,omitempty"`
	Versions []string   `json:"versions,omitempty"`
	// Role is empty when the engine keeps its role.
	Role string `json:"role,omitempty"`
	// Fenced tells whether the engine refuses orders with old fencing numbers.
	Fenced bool `json:"fenced"`
}
