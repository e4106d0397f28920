package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// TestOffers guards against slots that a host uses beside the owner although one scheduler
// has to count or order them: those of organisations with limits, of upstreams with a rate
// limit, of models, and while other requests wait.
func TestOffers(t *testing.T) {
	limited := document()
	limited.Organisations = append(limited.Organisations, validator.Organisation{Name: "limited", Share: 1, Limit: 5})
	for name, c := range map[string]struct {
		change func(s *Scheduler, r *Request)
		want   bool
	}{
		"free slot":      {func(*Scheduler, *Request) {}, true},
		"limited":        {func(_ *Scheduler, r *Request) { r.Organisation = "limited" }, false},
		"unknown pool":   {func(_ *Scheduler, r *Request) { r.Pool = "other" }, false},
		"model":          {func(_ *Scheduler, r *Request) { r.Pool = "m" }, false},
		"avoided":        {func(_ *Scheduler, r *Request) { r.Avoid = []registrar.UpstreamID{"ledger-0"} }, false},
		"rate limit":     {func(s *Scheduler, _ *Request) { s.Step(start, Limit{Upstream: "ledger-0", Rate: 5, At: start}) }, false},
		"no slot left":   {func(s *Scheduler, r *Request) { submitAs(s, *r, "a") }, false},
		"another waits":  {func(s *Scheduler, r *Request) { submitAs(s, *r, "a"); submitAs(s, *r, "b") }, false},
		"slot was freed": {func(s *Scheduler, r *Request) { submitAs(s, *r, "a"); s.Step(start, Cancel{ID: "a"}) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := New()
			s.Step(start, Configure{Document: limited})
			s.Step(start, Observe{registrar.Upstream{Name: "ledger-0", Services: []validator.PoolName{"ledger"}, Slots: 1, Incarnation: 1, Sequence: 1}})
			s.Step(start, Observe{registrar.Upstream{Name: "engine-0", Models: []validator.PoolName{"m"}, Slots: 1, Incarnation: 1, Sequence: 1}})
			r := Request{ID: "r", Pool: "ledger", Class: "top", Organisation: "small", Arrived: start}
			c.change(s, &r)
			assert.Equal(t, s.Offers(start, r), c.want)
		})
	}
}

// submitAs submits a copy of the request with another ID.
func submitAs(s *Scheduler, r Request, id RequestID) {
	r.ID = id
	s.Step(start, Submit{r})
}
