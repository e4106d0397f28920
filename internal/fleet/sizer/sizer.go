// Package sizer decides how many upstreams of a pool are wanted in each data centre, and
// how many of them may be spot upstreams, which cost less and may be reclaimed.
//
// The total follows the load and what its crests need. A part is firm, which means that it is
// not reclaimed: it serves the two most urgent tiers when spot upstreams are gone. Wanted
// numbers change rarely: they grow at once and shrink only after a long time with much less
// load, because an upstream that starts has no cached prompts.
//
// # Usage
//
// A Sizer is a pure state machine for one pool. Pass it what is seen, keep the plan when it
// has changed, and order the numbers that Due lists:
//
//	s := sizer.New(scaling)
//	s.Restore(kept)
//	plan, changed := s.Step(now, sizer.Input{Load: load, Present: present})
//	orders := s.Due(now, plan, present)
package sizer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// crestFactor is how much more than the mean load a crest is expected to bring before
	// one was seen. Upstreams take seconds to start, most of the length of a crest.
	crestFactor = 2.2
	// crestReserve is the part that is added to the highest load seen.
	crestReserve = 0.15
	// meanTime is the time constant of the mean load, and crestTime that with which the
	// highest load is forgotten.
	meanTime  = 10 * time.Second
	crestTime = 10 * time.Minute
	// firstCost is the part of the price of the upstreams that were found which may be
	// spent while no load is known, and firstMost bounds the total in relation to theirs.
	// What spot upstreams save beyond that is spent on a reserve: a crest that comes before
	// the load is known would be over before more had started.
	firstCost = 0.5
	firstMost = 2.0
	// maxReplaced is the largest number of upstreams that are replaced by spot ones. Both serve
	// for a while then, and the control hosts carry some thousands of upstreams.
	maxReplaced = 512
	// minFirm is the least part of the total that is not reclaimed. It covers a second
	// group that is reclaimed before the first was replaced.
	minFirm = 0.1
	// growth is the least part of the total by which it grows, so that small changes of the
	// load cause no orders.
	growth = 0.2
	// peakTime is the time constant of the load that counts as a crest. A shorter one is
	// over before an upstream has started.
	peakTime = 2 * time.Second
	// shrinkage is the part of the total below which the need has to stay for shrinkTime
	// before it is reduced.
	shrinkage  = 0.7
	shrinkTime = 5 * time.Minute
	// evenShare is the part of the total that is spread evenly over the data centres. The
	// rest follows the callers.
	evenShare = 0.7
)

// Count is a number of upstreams of each kind.
type Count struct {
	Firm int `json:"firm"`
	Spot int `json:"spot"`
}

// Total returns the number of both kinds.
func (c Count) Total() int { return c.Firm + c.Spot }

// Counts holds the upstreams of a pool in each data centre.
type Counts map[registrar.DataCentre]Count

// Total returns the number of upstreams in all data centres.
func (c Counts) Total() Count {
	var sum Count
	for _, n := range c {
		sum.Firm += n.Firm
		sum.Spot += n.Spot
	}
	return sum
}

// Reason tells why the wanted numbers are what they are.
type Reason string

// Reasons of a plan.
const (
	// FirstSight goes by the number of upstreams that were found, as no load is known yet.
	FirstSight Reason = "first sight"
	// Grown says that crests, or the loss of a group, need more.
	Grown Reason = "load grew"
	// Floor says that the two most urgent tiers need more that is not reclaimed.
	Floor Reason = "urgent load grew"
	// Shrunk says that less was needed for a long time.
	Shrunk Reason = "load shrank"
	// Reclaimed adds firm upstreams because spot ones are gone and none are to be had.
	Reclaimed Reason = "spot upstreams reclaimed"
	// Replaced says that the spot upstreams are back.
	Replaced Reason = "spot upstreams are back"
	// Bounds says that the configuration has changed.
	Bounds Reason = "bounds changed"
)

// Plan is what is wanted of a pool. It is kept in the replicated log, so that the next
// holder of the duty goes on from it.
type Plan struct {
	Wanted Counts `json:"wanted"`
	// Size is the total that the load calls for, before bounds and pins.
	Size int `json:"size"`
	// Stopgap is the number of firm upstreams that stand in for reclaimed ones.
	Stopgap int `json:"stopgap,omitempty"`
	// Kept is set for a pool that was found with more than maxReplaced upstreams. Its firm
	// ones stay.
	Kept   bool   `json:"kept,omitempty"`
	Reason Reason `json:"reason"`
}

// equals reports whether the same numbers are wanted.
func (p *Plan) equals(other *Plan) bool {
	return p.Size == other.Size && p.Stopgap == other.Stopgap && maps.Equal(p.Wanted, other.Wanted)
}

// Input is what is seen of a pool.
type Input struct {
	Load    Load
	Present Counts
	// Unavailable holds the data centres in which no spot upstreams are to be had at the moment.
	Unavailable map[registrar.DataCentre]bool
}

// Sizer holds what is remembered of one pool. It is not safe for concurrent use.
type Sizer struct {
	scaling *validator.Scaling
	plan    *Plan
	// mean and crest are the mean and the highest number of upstreams that were busy, and
	// urgent the highest number for the two most urgent tiers.
	mean, crest, urgent float64
	// recent is the load over peakTime, in all and for these tiers.
	recent, recentUrgent float64
	seen                 time.Time
	// served is set once the pool has had work: from then on its caches are warm.
	served bool
	// lowSince is since when much less than the total would do.
	lowSince time.Time
	// released is when upstreams were last let go.
	released time.Time
	// back is since when all reclaimed upstreams are back.
	back     time.Time
	restored bool
}

// New returns a Sizer for a pool whose upstreams may be ordered as the scaling says.
func New(s *validator.Scaling) *Sizer { return &Sizer{scaling: s} }

// Configure replaces the bounds, prices and pins.
func (s *Sizer) Configure(c *validator.Scaling) { s.scaling = c }

// Restore continues from the plan of an earlier holder of the duty.
func (s *Sizer) Restore(p *Plan) { s.plan, s.restored = p, true }

// Restored reports whether the Sizer continues from the plan of another holder.
func (s *Sizer) Restored() bool { return s.restored }

// Step returns what is wanted, and whether that has changed.
func (s *Sizer) Step(now time.Time, in Input) (Plan, bool) {
	s.observe(now, in.Load)
	if s.plan == nil {
		found := in.Present.Total().Total()
		s.plan = &Plan{Kept: found > maxReplaced}
		s.plan = s.newPlan(s.first(found), FirstSight, in.Load)
		return *s.plan, true
	}
	before := s.plan
	s.plan = s.next(now, in)
	return *s.plan, !s.plan.equals(before)
}

// next returns the plan that follows the present one, which may be the same.
func (s *Sizer) next(now time.Time, in Input) *Plan {
	need, size, missing := s.need(), s.plan.Size, s.stopgap(in)
	replaced := s.replaced(now, in)
	if float64(need) >= float64(size)*shrinkage {
		s.lowSince = now
	}
	switch {
	case float64(need) > float64(size)*(1+growth):
		return s.keepStopgap(s.newPlan(need, Grown, in.Load))
	case s.served && now.Sub(s.lowSince) >= shrinkTime:
		s.lowSince = now
		return s.newPlan(need, Shrunk, in.Load)
	case !s.fits(s.plan.Wanted):
		return s.newPlan(size, Bounds, in.Load)
	case !s.safe(s.plan.Wanted):
		return s.keepStopgap(s.newPlan(size, Floor, in.Load))
	case missing > 0:
		return s.standIn(missing, in)
	case replaced:
		return s.newPlan(size, Replaced, in.Load)
	}
	return s.plan
}

// first returns the total for a pool of which only the upstreams found are known.
func (s *Sizer) first(found int) int {
	if s.scaling.Spot <= 0 || s.plan.Kept {
		return found
	}
	factor := firstCost / (minFirm + (1-minFirm)*s.scaling.Spot)
	return int(float64(found) * min(max(factor, 1), firstMost))
}

// observe adds a load to the mean and the crest.
func (s *Sizer) observe(now time.Time, l Load) {
	if !s.seen.IsZero() {
		past := now.Sub(s.seen).Seconds()
		last := math.Exp(-past / peakTime.Seconds())
		s.recent = last*s.recent + (1-last)*l.Busy
		s.recentUrgent = last*s.recentUrgent + (1-last)*l.Urgent
		keep := math.Exp(-past / meanTime.Seconds())
		s.mean = keep*s.mean + (1-keep)*l.Busy
		fade := math.Exp(-past / crestTime.Seconds())
		s.crest, s.urgent = fade*s.crest, fade*s.urgent
	}
	s.seen = now
	if s.lowSince.IsZero() {
		s.lowSince = now
	}
	s.crest, s.urgent = max(s.crest, s.recent), max(s.urgent, s.recentUrgent)
	s.served = s.served || l.Busy > 0
}

// need returns the number of upstreams that the load and its crests call for. It is more
// than twice the mean load, so that a crest or the loss of the largest group of spot
// upstreams is covered, but not both at the same moment.
func (s *Sizer) need() int {
	need := max(s.mean*crestFactor, s.crest*(1+crestReserve))
	most := len(s.scaling.Centres) * s.scaling.Most
	return min(int(math.Ceil(need)), most)
}

// newPlan returns a plan with the given total, spread over the data centres.
func (s *Sizer) newPlan(size int, reason Reason, l Load) *Plan {
	p := &Plan{Wanted: Counts{}, Size: size, Kept: s.plan.Kept, Reason: reason}
	shares := s.shares(l)
	for i, c := range s.scaling.Centres {
		n := int(math.Round(float64(size) * shares[i]))
		p.Wanted[registrar.DataCentre(c.Name)] = Count{Firm: min(max(n, s.scaling.Least), s.scaling.Most)}
	}
	if s.scaling.Spot > 0 && s.scaling.Spot < 1 && !p.Kept {
		s.replaceFirm(p)
	}
	for _, c := range s.scaling.Centres {
		if c.Pin != nil {
			p.Wanted[registrar.DataCentre(c.Name)] = Count{Firm: c.Pin.Firm, Spot: c.Pin.Spot}
		}
	}
	return p
}

// fits reports whether the wanted numbers keep to the bounds and pins of the configuration.
func (s *Sizer) fits(wanted Counts) bool {
	for _, c := range s.scaling.Centres {
		w, known := wanted[registrar.DataCentre(c.Name)]
		switch {
		case !known, w.Total() > s.scaling.Most, c.Pin == nil && w.Total() < s.scaling.Least,
			c.Pin != nil && w != Count{Firm: c.Pin.Firm, Spot: c.Pin.Spot}:
			return false
		}
	}
	return len(wanted) == len(s.scaling.Centres)
}

// shares returns the part of the total that each data centre gets.
func (s *Sizer) shares(l Load) []float64 {
	list := make([]float64, len(s.scaling.Centres))
	var callers float64
	for _, c := range s.scaling.Centres {
		callers += l.Callers[registrar.DataCentre(c.Name)]
	}
	for i, c := range s.scaling.Centres {
		list[i] = 1 / float64(len(list))
		if callers > 0 {
			list[i] = evenShare*list[i] + (1-evenShare)*l.Callers[registrar.DataCentre(c.Name)]/callers
		}
	}
	return list
}

// replaceFirm makes all but a floor in each data centre spot upstreams. With the loss of the
// spot upstreams of any one of them the rest still serves the two most urgent tiers.
func (s *Sizer) replaceFirm(p *Plan) {
	total := p.Wanted.Total().Total()
	urgent := int(math.Ceil(s.urgent * (1 + crestReserve)))
	left := int(math.Ceil(minFirm * float64(total)))
	for i, c := range s.byPrice() {
		name, rest := registrar.DataCentre(c.Name), len(s.scaling.Centres)-i
		here := p.Wanted[name].Total()
		even := (left + rest - 1) / rest
		firm := min(max(even, urgent-(total-here)), here)
		left = max(left-firm, 0)
		p.Wanted[name] = Count{Firm: firm, Spot: here - firm}
	}
}

// safe reports whether the loss of the spot upstreams of any data centre leaves what the two
// most urgent tiers need, as far as more firm upstreams could.
func (s *Sizer) safe(wanted Counts) bool {
	total, urgent := wanted.Total().Total(), int(math.Ceil(s.urgent))
	for _, c := range s.scaling.Centres {
		w := wanted[registrar.DataCentre(c.Name)]
		if c.Pin == nil && w.Spot > 0 && total-w.Spot < urgent {
			return false
		}
	}
	return true
}

// byPrice lists the data centres, the cheapest first.
func (s *Sizer) byPrice() []validator.ScalingCentre {
	list := slices.Clone(s.scaling.Centres)
	slices.SortStableFunc(list, func(a, b validator.ScalingCentre) int { return cmp.Compare(a.Price, b.Price) })
	return list
}
