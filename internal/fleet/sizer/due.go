package sizer

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// complete is the part of the wanted upstreams that has to serve before others are let
	// go. A few always start again after a crash.
	complete = 0.95
	// releasePause is the time between two releases of upstreams whose caches are warm. The
	// prompts that they kept are read again by the others meanwhile.
	releasePause = 10 * time.Second
)

// Order is a number of upstreams of one kind to be ordered in a data centre.
type Order struct {
	Centre registrar.DataCentre
	Spot   bool
	Count  int
	// Missing is set while fewer are present, and Changed while another number is.
	Missing, Changed bool
}

// Due returns the number to be ordered now for each data centre and kind. A reduction is
// left out until those that replace the upstreams are in service, so that new ones serve
// before old ones are let go. Spot upstreams for which the bound of a data centre leaves no
// room beside the firm ones that they replace come after these.
func (s *Sizer) Due(now time.Time, p Plan, present Counts) []Order {
	var list []Order
	reachable := 0
	for c, w := range p.Wanted {
		reachable += w.Firm + s.spotNow(w, present[c])
	}
	spare := present.Total().Total() - int(complete*float64(reachable))
	warm := s.served && now.Sub(s.released) < releasePause
	for _, name := range s.byPriceDescending() {
		w, have := p.Wanted[name], present[name]
		spot := s.spotNow(w, have)
		for _, o := range []Order{
			{name, true, spot, have.Spot < spot, have.Spot != spot},
			{name, false, w.Firm, have.Firm < w.Firm, have.Firm != w.Firm},
		} {
			excess := have.Firm - w.Firm
			if o.Spot {
				excess = have.Spot - spot
			}
			if excess <= 0 {
				list = append(list, o)
				continue
			}
			if excess > spare || warm {
				continue
			}
			spare -= excess
			warm = s.served
			s.released = now
			list = append(list, o)
		}
	}
	return list
}

// spotNow returns the number of spot upstreams that a data centre has room for at the moment.
func (s *Sizer) spotNow(wanted, have Count) int {
	room := s.scaling.Most - max(wanted.Firm, have.Firm)
	return min(wanted.Spot, max(room, have.Spot, 0))
}

// byPriceDescending lists the data centres, the dearest first.
func (s *Sizer) byPriceDescending() []registrar.DataCentre {
	var list []registrar.DataCentre
	for _, c := range s.byPrice() {
		list = append(list, registrar.DataCentre(c.Name))
	}
	slices.Reverse(list)
	return list
}
