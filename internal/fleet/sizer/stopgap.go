package sizer

import (
	"maps"
	"math"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// stopgapTime is how long the reclaimed upstreams have to be back before the firm ones
	// that stood in for them are no longer wanted. Groups are often reclaimed one after the
	// other.
	stopgapTime = 30 * time.Second
	// stopgapStep is the least part of the size that is ordered to stand in, so that a load
	// that rises slowly doesn't cause a call for each upstream.
	stopgapStep = 0.1
)

// stopgap returns how many firm upstreams are missing for the present load while spot ones
// are not to be had somewhere. Those that start are not missing.
func (s *Sizer) stopgap(in Input) int {
	if len(in.Unavailable) == 0 {
		return 0
	}
	coming := 0
	for c, w := range s.plan.Wanted {
		have := in.Present[c]
		coming += max(w.Firm, have.Firm)
		if !in.Unavailable[c] {
			coming += max(w.Spot, have.Spot)
		} else {
			coming += have.Spot
		}
	}
	missing := int(math.Ceil(s.recent*(1+crestReserve))) - coming
	if missing <= 0 {
		return 0
	}
	return max(missing, int(math.Ceil(stopgapStep*float64(s.plan.Size))))
}

// standIn returns the plan with so many more firm upstreams, one after the other in each data
// centre that has room for them. They take the places of spot ones that are not to be had.
func (s *Sizer) standIn(missing int, in Input) *Plan {
	p := &Plan{Wanted: maps.Clone(s.plan.Wanted), Size: s.plan.Size, Stopgap: s.plan.Stopgap, Kept: s.plan.Kept, Reason: Reclaimed}
	for room := true; missing > 0 && room; {
		room = false
		for _, c := range s.byPrice() {
			name := registrar.DataCentre(c.Name)
			w := p.Wanted[name]
			if missing == 0 || c.Pin != nil {
				continue
			}
			if in.Unavailable[name] && w.Spot > in.Present[name].Spot {
				w.Spot--
			} else if w.Total() >= s.scaling.Most {
				continue
			}
			w.Firm++
			p.Wanted[name] = w
			p.Stopgap++
			missing--
			room = true
		}
	}
	return p
}

// replaced reports whether upstreams that stood in for reclaimed ones are no longer needed.
func (s *Sizer) replaced(now time.Time, in Input) bool {
	wanted := complete * float64(s.plan.Wanted.Total().Spot)
	if s.plan.Stopgap == 0 || len(in.Unavailable) > 0 || float64(in.Present.Total().Spot) < wanted {
		s.back = time.Time{}
		return false
	}
	if s.back.IsZero() {
		s.back = now
	}
	return now.Sub(s.back) >= stopgapTime
}

// keepStopgap adds the firm upstreams that stand in for reclaimed ones to a new plan, so that those
// that start or serve already are not let go in between.
func (s *Sizer) keepStopgap(p *Plan) *Plan {
	if s.plan.Stopgap == 0 {
		return p
	}
	p.Stopgap = s.plan.Stopgap
	for c, w := range p.Wanted {
		w.Firm = max(w.Firm, min(s.plan.Wanted[c].Firm, s.scaling.Most))
		w.Spot = min(w.Spot, s.scaling.Most-w.Firm)
		p.Wanted[c] = w
	}
	return p
}
