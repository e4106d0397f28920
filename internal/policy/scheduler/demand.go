package scheduler

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// Demand is the load of a pool at a moment, for deciding how many upstreams it needs.
type Demand struct {
	Pool validator.PoolName
	// Tiers holds the load of each tier.
	Tiers [validator.LowestTier + 1]TierDemand
	// Reading is the number of engines that the pool keeps reading prompts, those that wait
	// included.
	Reading float64
	// Memory is the number of tokens that an engine keeps; 0 if it is unknown.
	Memory int
	// Hosts counts the requests that run and wait by the entry host that received them. The
	// name is empty for those of the owner of the cell.
	Hosts map[registrar.HostName]int
}

// TierDemand is the load of one tier.
type TierDemand struct {
	Running, Waiting int
	// Tokens is the number of tokens of their prompts and answers at most. Parts that
	// requests share count for each of them.
	Tokens int
}

// Demands returns the load of each pool.
func (s *Scheduler) Demands(now time.Time) []Demand {
	var all []Demand
	for name, p := range s.pools {
		d := Demand{Pool: name, Memory: s.memory[name], Hosts: map[registrar.HostName]int{}}
		var unread time.Duration
		for _, u := range p.upstreams {
			d.Reading += u.readLoad(now)
			for _, a := range u.attempts {
				d.add(a.request, true)
			}
		}
		for _, waits := range p.waits {
			for _, r := range waits {
				d.add(r, false)
				unread += r.pendingRead
			}
		}
		d.Reading += unread.Seconds() / readLoadTime.Seconds()
		all = append(all, d)
	}
	return all
}

// add counts a request that runs or waits.
func (d *Demand) add(r *request, running bool) {
	t := &d.Tiers[r.class.tier]
	t.Tokens += r.Prompt + r.Limit
	d.Hosts[r.Host]++
	if running {
		t.Running++
		return
	}
	t.Waiting++
}
