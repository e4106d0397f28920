package validator

import (
	"fmt"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/decoder"
)

// Bounds of Scaling.
const (
	// maxUpstreams bounds the upstreams of a pool in a data centre.
	maxUpstreams = 10_000
	// maxCentres bounds the data centres of a pool.
	maxCentres = 64
	// maxStart bounds the time that an upstream takes to start.
	maxStart = time.Hour
)

// CentreName is the name of a data centre in the configuration.
type CentreName string

// Scaling says how many upstreams of a pool may be ordered from the provider.
type Scaling struct {
	// Least and Most bound the upstreams in each data centre, spot and others together.
	Least int `json:"least"`
	Most  int `json:"most"`
	// Start is the time from the order of an upstream until it serves.
	Start Duration `json:"start,omitempty"`
	// Spot is the price of a spot upstream as a part of that of another one in the same
	// data centre; with 0 none are to be had.
	Spot float64 `json:"spot,omitempty"`
	// Centres lists the data centres in which upstreams may be ordered.
	Centres []ScalingCentre `json:"centres"`
}

// ScalingCentre is a data centre in which upstreams of a pool may be ordered.
type ScalingCentre struct {
	Name CentreName `json:"name"`
	// Price is the price of an upstream for a unit of time, in any currency.
	Price float64 `json:"price"`
	// Pin, when set, is what is ordered there whatever the load.
	Pin *ScalingPin `json:"pin,omitempty"`
}

// ScalingPin is a number of upstreams that the operator has decided.
type ScalingPin struct {
	Firm int `json:"firm"`
	Spot int `json:"spot,omitempty"`
}

// checkScaling checks how upstreams of a pool may be ordered.
func (c *checker) checkScaling(at string, s *Scaling) {
	if s == nil {
		return
	}
	c.Check(s.Least >= 0 && s.Least <= maxUpstreams, at+".least", s.Least, fmt.Sprintf("0 to %d", maxUpstreams))
	c.Check(s.Most >= max(s.Least, 1) && s.Most <= maxUpstreams, at+".most", s.Most, fmt.Sprintf("at least least and 1, up to %d", maxUpstreams))
	c.checkDuration(at+".start", s.Start, maxStart, true)
	c.Check(s.Spot >= 0 && s.Spot <= maxNumber, at+".spot", s.Spot, "0 (none) to 1000000")
	c.Check(len(s.Centres) > 0 && len(s.Centres) <= maxCentres, at+".centres", len(s.Centres), fmt.Sprintf("1 to %d data centres", maxCentres))
	seen := make(map[string]string)
	for i, v := range s.Centres[:min(len(s.Centres), maxCentres)] {
		p := decoder.ItemPath(at+".centres", i)
		c.checkName(p, string(v.Name), namePattern, nameAllowed, seen)
		c.Check(v.Price >= 0 && v.Price <= maxNumber, p+".price", v.Price, "0 to 1000000")
		if v.Pin != nil {
			c.Check(v.Pin.Firm >= 0 && v.Pin.Spot >= 0 && v.Pin.Firm <= s.Most && v.Pin.Spot <= s.Most-v.Pin.Firm, p+".pin",
				fmt.Sprintf("%d and %d", v.Pin.Firm, v.Pin.Spot), "firm and spot of 0 or more with a sum of at most most")
		}
	}
}
