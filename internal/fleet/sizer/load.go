package sizer

import (
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// Parts of an upstream's capacity up to which it serves all classes in their aims, even if
// the work is spread unevenly. Streams pause while their engine reads a prompt.
const (
	fullPlaces  = 0.6
	fullMemory  = 0.5
	fullReading = 0.6
)

// urgentTiers is the number of tiers that are served whatever is reclaimed.
const urgentTiers = 2

// Load is the work of a pool at a moment.
type Load struct {
	// Busy is the number of upstreams that the work fills, and Urgent the number for the
	// two most urgent tiers.
	Busy, Urgent float64
	// Callers is the number of requests that came to each data centre.
	Callers map[registrar.DataCentre]float64
}

// Measure returns the load of a pool whose upstreams have so many slots each. centre names
// the data centre of an entry host.
func Measure(d scheduler.Demand, slots int, centre func(registrar.HostName) registrar.DataCentre) Load {
	l := Load{Callers: map[registrar.DataCentre]float64{}}
	for h, n := range d.Hosts {
		l.Callers[centre(h)] += float64(n)
	}
	var places, urgentPlaces, tokens, urgentTokens int
	for i, t := range d.Tiers {
		places += t.Running + t.Waiting
		tokens += t.Tokens
		if i < urgentTiers {
			urgentPlaces += t.Running + t.Waiting
			urgentTokens += t.Tokens
		}
	}
	part := 1.0
	if tokens > 0 {
		part = float64(urgentTokens) / float64(tokens)
	}
	l.Busy = busy(places, slots, tokens, d.Memory, d.Reading)
	l.Urgent = busy(urgentPlaces, slots, urgentTokens, d.Memory, d.Reading*part)
	return l
}

// busy returns the number of upstreams that the work fills, by what binds.
func busy(places, slots, tokens, memory int, reading float64) float64 {
	n := max(float64(places)/(fullPlaces*float64(max(slots, 1))), reading/fullReading)
	if memory > 0 {
		n = max(n, float64(tokens)/(fullMemory*float64(memory)))
	}
	return n
}
