package balancer

import (
	"math"
	"time"
)

const (
	// speedTime is the time constant with which the speed of an upstream is learned. It is
	// many times the length of the short periods in which some upstreams are slow: how
	// often they are slow counts, and not whether one is slow at present.
	speedTime = 10 * time.Second
	// speedPrior is the weight of the assumption that an upstream is as fast as others, as a
	// number of observations.
	speedPrior = 10
	// maxRatio bounds a single observation: a request that took much longer says more about
	// the request than about the upstream.
	maxRatio = 4
)

// Speed learns how fast an upstream is in the long run, relative to others. The zero value
// is an upstream of the usual speed.
type Speed struct {
	weight, sum float64
	at          time.Time
}

// Observe records how long a request took on the upstream, and how long such a request
// usually takes on all of them.
func (s *Speed) Observe(now time.Time, took, usual time.Duration) {
	if took <= 0 || usual <= 0 {
		return
	}
	s.fade(now)
	s.weight++
	s.sum += min(took.Seconds()/usual.Seconds(), maxRatio)
}

// fade lowers the weight of earlier observations.
func (s *Speed) fade(now time.Time) {
	if !s.at.IsZero() {
		kept := math.Exp(-max(now.Sub(s.at), 0).Seconds() / speedTime.Seconds())
		s.weight, s.sum = s.weight*kept, s.sum*kept
	}
	s.at = now
}

// Ratio returns the speed relative to the usual one: 0.5 where requests take twice as long.
func (s *Speed) Ratio(now time.Time) float64 {
	s.fade(now)
	return (s.weight + speedPrior) / (s.sum + speedPrior)
}
