package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
	"golang.org/x/time/rate"
)

const (
	// expectedTokens is the assumed length of an answer before any is known.
	expectedTokens = 256
	// promptWeight is the cost of a prompt token against a generated one:
	// prefill handles about ten tokens in the time of one decoding step.
	promptWeight = 0.1
	// leaseTime is how long an announcement lasts; a pool without upstreams
	// can have one again after it.
	leaseTime = 3 * time.Second
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 100 * time.Millisecond
	// defaultWait bounds the wait of classes that state none.
	defaultWait = 60 * time.Second
)

// request is the scheduler's record of a request that waits or runs.
type request struct {
	Request
	pool         *pool
	class        *class
	organisation *organisation
	attempts     []*attempt
	// queued is when the current wait began.
	queued time.Time
	// due is the latest start that can still meet the target.
	due     time.Time
	waiting bool
	parked  bool
	// toRead is what an engine has to read for the request, while it waits.
	toRead time.Duration
	// suspect is set when the request had met a crash at its submission.
	suspect bool
	// obstacle is what kept it from a slot when it was considered last.
	obstacle Obstacle
	index    int
}

// resubmit takes over what a new submission of the request changes.
func (r *request) resubmit(now time.Time, sent Request) {
	sent.Arrived = r.Arrived
	r.Request = sent
	r.queued = now
	r.obstacle = Unconsidered
}

// cost is the number of tokens charged for an answer of the given length.
func (r *request) cost(tokens int) float64 {
	if r.Limit > 0 {
		tokens = min(tokens, r.Limit)
	}
	return float64(tokens) + promptWeight*float64(r.Prompt)
}

func (r *request) attempt(u registrar.UpstreamID) *attempt {
	for _, a := range r.attempts {
		if a.upstream.Name == u {
			return a
		}
	}
	return nil
}

func (r *request) avoids(u registrar.UpstreamID) bool { return slices.Contains(r.Avoid, u) }

// attempt is one execution of a request on an upstream.
type attempt struct {
	request  *request
	upstream *upstream
	granted  time.Time
	first    time.Time
	// reported is the time of the last news of progress.
	reported time.Time
	tokens   int
	charge   float64
	// preempted is set when the attempt was asked to give way.
	preempted bool
	// moving is set when the attempt was asked to go on elsewhere.
	moving bool
	// protected attempts were overdue and are not preempted.
	protected bool
	process   detector.Process
	// unread is the part of the prompt that the engine had to read, weighted for the
	// memory in use, and memory the tokens of it that the attempt takes.
	unread float64
	memory int
	// adopted attempts began under another scheduler: granted is when this one heard of
	// them.
	adopted bool
	// blind is set when it was not known how much the engine had to read: the attempt
	// is adopted, or the engine's cache was not known when it began.
	blind bool
	// ahead is what the engine had to read before it, and reading what it reads
	// for the attempt until the first token.
	ahead, reading time.Duration
	// shared lists the blocks that the engine reads for the attempt and that
	// other requests may have too.
	shared []uint64
	// tier is the one of the request when the attempt began, tightness that of its
	// class, and repeatable tells whether it could give way.
	tier       validator.Tier
	tightness  float64
	repeatable bool
}

// class is a request class with its targets as durations.
type class struct {
	name validator.ClassName
	tier validator.Tier
	// priority is what engines are told, from 0 for the most urgent.
	priority                int
	first, gap, total, wait time.Duration
	floor                   float64
	// tightness compares the target for the time between tokens with that of the
	// tightest class, which has 1. Streams of loose classes have 0: they lose
	// little by an engine that reads beside them.
	tightness float64
	// late requests are still served when there is room.
	late bool
}

func newClass(c validator.Class) *class {
	k := &class{
		name:  c.Name,
		tier:  min(max(c.Tier, 0), validator.LowestTier),
		first: time.Duration(c.First),
		gap:   time.Duration(c.Gap),
		total: time.Duration(c.Total),
		wait:  time.Duration(c.Wait),
		floor: c.Floor,
		late:  c.Late,
	}
	if k.wait <= 0 {
		k.wait = defaultWait
	}
	k.priority = int(k.tier)
	if c.Urgency > 0 {
		k.priority = c.Urgency - 1
	}
	return k
}

// organisation holds its limits and debts.
type organisation struct {
	name    validator.OrganisationName
	share   float64
	limit   int
	limiter *rate.Limiter
	// open counts the requests that wait or run.
	open int
	// debt is the tokens used by share, for each tier.
	debt [validator.LowestTier + 1]float64
}

func (o *organisation) configure(c validator.Organisation) {
	o.share, o.limit = c.Share, c.Limit
	if o.share <= 0 {
		o.share = 1
	}
	switch {
	case c.Rate <= 0:
		o.limiter = nil
	case o.limiter == nil || o.limiter.Limit() != rate.Limit(c.Rate):
		o.limiter = rate.NewLimiter(rate.Limit(c.Rate), max(1, int(c.Rate)))
	}
}

// admit checks the limits for a new request and returns how long to stay away
// when one is reached.
func (o *organisation) admit(now time.Time) (time.Duration, bool) {
	if o.limit > 0 && o.open >= o.limit {
		return time.Second, false
	}
	if o.limiter != nil && !o.limiter.AllowN(now, 1) {
		return time.Duration(float64(time.Second) / float64(o.limiter.Limit())), false
	}
	return 0, true
}

func (s *Scheduler) class(name validator.ClassName) *class {
	if c := s.classes[name]; c != nil {
		return c
	}
	return s.fallback
}

func (s *Scheduler) organisation(name validator.OrganisationName) *organisation {
	o := s.organisations[name]
	if o == nil {
		o = &organisation{name: name, share: 1}
		s.organisations[name] = o
	}
	return o
}

// configure puts new classes and organisations in force and reorders what
// waits. Requests of a class that no longer exists get the lowest tier.
func (s *Scheduler) configure(now time.Time, d *validator.Document) {
	clear(s.classes)
	for _, c := range d.Classes {
		s.classes[c.Name] = newClass(c)
	}
	s.compareGaps()
	clear(s.memory)
	for _, m := range d.Models {
		if m.Memory > 0 {
			s.memory[m.Name] = m.Memory
		}
	}
	known := make(map[validator.OrganisationName]bool, len(d.Organisations))
	for _, c := range d.Organisations {
		known[c.Name] = true
		s.organisation(c.Name).configure(c)
	}
	for name, o := range s.organisations {
		if !known[name] && o.open == 0 {
			delete(s.organisations, name)
		}
	}
	var waiting []*request
	for _, r := range s.requests {
		if r.waiting {
			waiting = append(waiting, r)
			s.dequeue(r)
		}
		r.class = s.class(r.Class)
		r.due = s.due(r)
	}
	for _, p := range s.pools {
		clear(p.ages)
		clear(p.credits)
	}
	slices.SortFunc(waiting, func(a, b *request) int {
		if d := a.queued.Compare(b.queued); d != 0 {
			return d
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	for _, r := range waiting {
		s.enqueue(r)
	}
	for _, p := range s.pools {
		s.dispatch(now, p)
	}
}
