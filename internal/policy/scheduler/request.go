package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/attributor"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
	"golang.org/x/time/rate"
)

const (
	// expectedTokens is the assumed length of an answer in tokens until its real
	// length is known.
	expectedTokens = 256
	// promptWeight is the cost of a prompt token relative to a generated one:
	// prefill handles about ten tokens in the time of one decoding step.
	promptWeight = 0.1
	// leaseTime is the duration of an announcement's lease. A pool that has lost
	// all its upstreams can have one again after it.
	leaseTime = 3 * time.Second
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 100 * time.Millisecond
	// defaultWait is the longest wait for classes that do not configure one.
	defaultWait = 60 * time.Second
)

// request is the scheduler's record of a request that waits or runs.
type request struct {
	Request
	pool         *pool
	class        *class
	organisation *organisation
	attempts     []*attempt
	// queued is the time at which the current wait began.
	queued time.Time
	// due is the latest start that can still meet the target.
	due     time.Time
	waiting bool
	parked  bool
	// pendingRead is the shortest time that an engine needs to read the prompt. It
	// is 0 unless the request waits.
	pendingRead time.Duration
	// suspect is set when the request had been in flight at a crash before it was
	// submitted.
	suspect bool
	// repeat is set when the next attempt is an arrival beyond the request's first, and
	// prepaid when the retry budget has been charged for it already.
	repeat, prepaid bool
	// parts are the parts of the request that may crash upstreams.
	parts []attributor.Part
	// obstacle tells what prevented the last try to place the request, at the time tried.
	obstacle Obstacle
	tried    time.Time
	index    int
}

// resubmit applies the changes that a new submission of the request brings.
func (r *request) resubmit(now time.Time, sent Request) {
	sent.Arrived = r.Arrived
	r.Request = sent
	r.queued = now
	if !sent.Waiting.IsZero() && sent.Waiting.Before(now) {
		r.queued = sent.Waiting
	}
	r.obstacle = Unconsidered
}

// cost returns the number of tokens charged for an answer of the given length,
// which counts up to the request's limit.
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
	request      *request
	upstream     *upstream
	granted      time.Time
	firstTokenAt time.Time
	// reported is the time of the latest progress report.
	reported time.Time
	tokens   int
	charge   float64
	// preempted is set when the attempt was asked to free its slot.
	preempted bool
	// moving is set when the attempt was asked to continue on another upstream
	// because its own became slow.
	moving bool
	// paid is set when the attempt is a repeat that the retry budget was charged for,
	// and nextPaid when it was charged for the attempt that follows this one.
	paid, nextPaid bool
	// protected is set for attempts that were overdue when granted; these are not
	// preempted.
	protected bool
	process   detector.Process
	// evidence is the attempt as the attributor knows it.
	evidence attributor.Attempt
	// unreadTokens is the number of prompt tokens that the engine had to read,
	// weighted for the memory in use.
	unreadTokens float64
	// memory is the number of tokens that the attempt takes in the engine's memory
	// besides the parts of its prompt, and answer the expected length of the whole
	// answer among them.
	memory, answer int
	parts          sizedParts
	// context is the number of tokens that a step of the attempt goes over at its end.
	context int
	// adopted is set for attempts that began under another scheduler. Their granted
	// time is when this scheduler learned of them.
	adopted bool
	// cacheUnknown is set when it was not known how much the engine had to read:
	// the attempt is adopted, or the content of the engine's cache was not known
	// when it began.
	cacheUnknown bool
	// backlogAhead is the reading that the engine had queued before this attempt,
	// and readTime the time that it reads for this attempt. readTime is 0 from the
	// first token on.
	backlogAhead, readTime time.Duration
	// sharedBlocks lists the blocks that the engine reads for the attempt and that
	// other requests may share.
	sharedBlocks []uint64
	// tier is the tier of the request when the attempt began, tightness that of its
	// class, and repeatable tells whether the attempt could be preempted.
	tier       validator.Tier
	tightness  float64
	repeatable bool
}

// class is a request class with its targets as durations.
type class struct {
	name validator.ClassName
	tier validator.Tier
	// priority is the value passed to engines; 0 is the most urgent.
	priority                int
	first, gap, total, wait time.Duration
	floor                   float64
	// tightness compares the class's target for the time between tokens with that
	// of the class with the shortest target, which has 1. Classes with a much
	// longer target have 0: reading prompts beside their streams does them little
	// harm.
	tightness float64
	// late tells whether requests that have missed their target are still served
	// when there is capacity.
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

// organisation holds the limits of an organisation and what it has used.
type organisation struct {
	name    validator.OrganisationName
	share   float64
	limit   int
	limiter *rate.Limiter
	// open is the number of requests that wait or run.
	open int
	// debt is the number of tokens used, divided by the organisation's share, for
	// each tier.
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

// admit checks the organisation's limits for a new request. When one is reached it
// returns false and the time after which the caller should retry.
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

// configure applies new classes, organisations and models, and reorders the waiting
// requests. Requests whose class no longer exists get the lowest tier.
func (s *Scheduler) configure(now time.Time, d *validator.Document) {
	clear(s.classes)
	for _, c := range d.Classes {
		s.classes[c.Name] = newClass(c)
	}
	s.setTightness()
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
		clear(p.waits)
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
