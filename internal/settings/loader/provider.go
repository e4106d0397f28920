package loader

import (
	"fmt"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/decoder"
	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// Provider configures the calls to the infrastructure provider. They are made by one host
// at a time, which holds a lease for them.
type Provider struct {
	// Address is the provider's address as host:port.
	Address string `json:"address"`
	// Rate is how many calls per second the provider takes from all hosts together; 0
	// means no bound.
	Rate float64 `json:"rate,omitempty"`
	// Lease is how long a host that holds a duty keeps it without renewing it. A host
	// that lost a duty does not take it back within this time.
	Lease validator.Duration `json:"lease"`
	// Usage configures usage reports; without it none are sent.
	Usage *Usage `json:"usage,omitempty"`
	// Order is set if upstreams are ordered where the configuration says how.
	Order bool `json:"order,omitempty"`
}

// Usage configures usage reports.
type Usage struct {
	// Window is the length of the span of wall clock time that a report covers.
	Window validator.Duration `json:"window"`
	// Late is how long after the end of its window a report is due.
	Late validator.Duration `json:"late"`
}

const (
	minDutyLease = 500 * time.Millisecond
	maxDutyLease = time.Hour
	minWindow    = time.Second
	maxWindow    = 24 * time.Hour
)

func checkProvider(v *Provider, p *decoder.Problems) {
	if v == nil {
		return
	}
	p.Check(reachable(v.Address), "$.provider.address", v.Address, peerAllowed)
	p.Check(v.Rate >= 0, "$.provider.rate", v.Rate, "0 (no bound) or more")
	checkSpan("$.provider.lease", v.Lease, minDutyLease, maxDutyLease, p)
	if v.Usage != nil {
		checkSpan("$.provider.usage.window", v.Usage.Window, minWindow, maxWindow, p)
		checkSpan("$.provider.usage.late", v.Usage.Late, minWindow, maxWindow, p)
	}
}

func checkSpan(path string, v validator.Duration, low, high time.Duration, p *decoder.Problems) {
	d := time.Duration(v)
	p.Check(d >= low && d <= high, path, v, fmt.Sprintf("a duration from %v to %v", low, high))
}
