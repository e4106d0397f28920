package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/attributor"
	"github.com/amaranthcart/amaranthcart/internal/policy/balancer"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
	"github.com/amaranthcart/amaranthcart/internal/policy/estimator"
)

// Scheduler orders the requests of one cell and assigns them to upstreams. It
// performs no I/O, reads no clock and is not safe for concurrent use.
type Scheduler struct {
	random        *rand.Rand
	balancer      *balancer.Balancer
	classes       map[validator.ClassName]*class
	fallback      *class
	organisations map[validator.OrganisationName]*organisation
	pools         map[validator.PoolName]*pool
	upstreams     map[registrar.UpstreamID]*upstream
	requests      map[RequestID]*request
	interrupted   map[RequestID]interruption
	bars          map[barKey]bar
	// leaving holds the processes that are known to be shutting down.
	leaving map[registrar.UpstreamID]bar
	limits  map[registrar.UpstreamID]*knownLimit
	// limitShare is the share, from 0 to 1, of each upstream rate limit that this
	// scheduler may use.
	limitShare float64
	unsettled  bool
	// hosts is the number of schedulers among which the cell is divided, and wholeSince
	// is when this one last got the whole cell.
	hosts      int
	wholeSince time.Time
	// unheard holds the hosts that were not heard within silenceTimeout, and when that
	// was noticed last.
	unheard map[registrar.HostName]time.Time
	// lateAt is when a tick was last late by more than maxDelay.
	lateAt time.Time
	// retryShare is the number of repeats that each first submission allows, and
	// retryBurst the number that the whole cell saves up in a pool. retryPart is this
	// scheduler's part of that, and retryStart what a new budget begins with.
	retryShare, retryBurst, retryPart, retryStart float64
	// budgets are the retry budgets of the pools that have had an upstream.
	budgets map[validator.PoolName]*retryBudget
	// perToken is the time to read a prompt token that is assumed for a new pool.
	perToken time.Duration
	// memory is the KV cache size of an engine in tokens, by model.
	memory      map[validator.PoolName]int
	detector    *detector.Detector
	attributor  *attributor.Attributor
	beginnings  []beginning
	estimator   *estimator.Estimator
	virtualTime [validator.LowestTier + 1]float64
	actions     []Action
	// cached lists the engines that hold each prompt block.
	cached blockIndex
	// compared is the memory of candidates, and usable that of choose.
	compared, usable []*upstream
}

// Option configures a new Scheduler.
type Option func(*Scheduler)

// WithSeed sets the seed of the random jitter that is added to retry times.
func WithSeed(seed uint64) Option {
	return func(s *Scheduler) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a Scheduler that has no upstreams and no configuration.
func New(options ...Option) *Scheduler {
	s := &Scheduler{
		random:        rand.New(rand.NewPCG(1, 1)),
		classes:       make(map[validator.ClassName]*class),
		fallback:      newClass(validator.Class{Tier: validator.LowestTier}),
		organisations: make(map[validator.OrganisationName]*organisation),
		pools:         make(map[validator.PoolName]*pool),
		upstreams:     make(map[registrar.UpstreamID]*upstream),
		requests:      make(map[RequestID]*request),
		interrupted:   make(map[RequestID]interruption),
		bars:          make(map[barKey]bar),
		leaving:       make(map[registrar.UpstreamID]bar),
		limits:        make(map[registrar.UpstreamID]*knownLimit),
		limitShare:    1,
		unheard:       make(map[registrar.HostName]time.Time),
		hosts:         1,
		retryShare:    DefaultRetryShare,
		retryBurst:    DefaultRetryBurst,
		retryPart:     1,
		retryStart:    DefaultRetryBurst,
		budgets:       make(map[validator.PoolName]*retryBudget),
		perToken:      assumedPerToken,
		memory:        make(map[validator.PoolName]int),
		cached:        make(blockIndex),
		detector:      detector.New(),
		attributor:    attributor.New(),
		estimator:     estimator.New(),
	}
	for _, o := range options {
		o(s)
	}
	s.balancer = balancer.New(s.random)
	return s
}

// Step applies an event at the given time and returns the actions to carry out. The
// returned slice is valid until the next call.
func (s *Scheduler) Step(now time.Time, e Event) []Action {
	s.actions = s.actions[:0]
	switch e := e.(type) {
	case Configure:
		s.configure(now, e.Document)
	case Observe:
		s.observe(now, e.Upstream)
	case Forget:
		s.forget(now, e.Upstream)
	case Submit:
		s.submit(now, e.Request)
	case Adopt:
		s.adopt(now, e)
	case Cancel:
		s.cancel(now, e.ID)
	case FirstToken:
		s.firstToken(now, e)
	case Progress:
		s.progress(now, e)
	case Finished:
		s.finished(now, e)
	case Kept:
		s.updateCache(e)
	case Bar:
		s.bar(now, e)
	case Limit:
		s.limit(now, e)
	case Portion:
		s.setLimitShare(now, e.Part)
	case Learn:
		s.learn(now, e)
	case Settle:
		s.unsettled = !e.Settled
		s.refuseStranded(now)
	case Divide:
		s.divide(now, max(e.Hosts, 1))
	case Deposit:
		s.deposit(e)
	case Withdraw:
		s.withdraw(e)
	case RetryPart:
		s.retryPart = e.Part
	case Tick:
		s.detector.Expire(now)
		s.reviewBeginnings(now)
		s.attributor.Expire(now)
		s.reportVerdicts()
		s.expire(now)
		s.expireInterruptions(now)
		s.expireBars(now)
		s.reviewLimits(now)
		s.refuseStranded(now)
		s.updateTypicalGaps(now)
		s.recordUnheard(now, e.Unheard)
		s.recordDelay(now, e.Late)
		s.checkSilence(now)
		for _, p := range s.pools {
			s.reportSpeed(p)
			s.dispatchTick(now, p)
			s.refuseBeyondQuota(now, p)
			s.preempt(now, p)
			s.hedge(now, p)
			s.move(now, p)
		}
	}
	return s.actions
}

func (s *Scheduler) submit(now time.Time, sent Request) {
	r := s.requests[sent.ID]
	if r != nil && r.waiting {
		return
	}
	o := s.organisation(sent.Organisation)
	resumed := sent.Retry || sent.Moved || sent.Emitted > 0
	if !resumed {
		if wait, ok := o.admit(now); !ok {
			s.refuse(sent.ID, OverLimit, wait)
			return
		}
	}
	parts := partsOf(sent)
	if reason, after := s.condemned(now, &sent, parts); reason != "" {
		s.refuse(sent.ID, reason, after)
		return
	}
	p := s.pool(sent.Pool)
	if !p.live() && !s.unsettled {
		s.refuse(sent.ID, NoUpstream, leaseTime)
		s.prune(p)
		return
	}
	record, interrupted := s.interrupted[sent.origin()]
	delete(s.interrupted, sent.origin())
	repeat := sent.repeats(record, interrupted)
	switch {
	case !resumed && !repeat:
		s.addFirst(p)
	case repeat && !record.paid && !sent.Moved && !p.retries.left():
		s.refuse(sent.ID, OutOfRetries, leaseTime)
		return
	}
	if r == nil {
		r = s.open(now, sent, p, o)
	}
	r.pool = p
	r.resubmit(now, sent)
	r.parts = parts
	r.suspect = s.suspect(now, r)
	r.repeat, r.prepaid = repeat, record.paid
	if interrupted && !record.queued.IsZero() {
		r.queued = record.queued
	}
	r.due = s.due(r)
	if left := s.allBarred(now, r); r.outlasts(now, left) {
		s.refuse(r.ID, NoUpstream, left)
		s.settle(r)
		return
	}
	if ahead := p.waitingUpTo(r.class.tier); !resumed && s.beyondQuota(now, r, ahead) {
		s.refuseLimited(now, r, ahead)
		s.settle(r)
		return
	}
	if !resumed && p.live() && s.crowded(now, r) {
		s.refuseOverloaded(now, r)
		s.settle(r)
		return
	}
	s.enqueue(r)
	s.dispatchNew(now, r)
}

// open creates the record of a request that is about to wait or run.
func (s *Scheduler) open(now time.Time, sent Request, p *pool, o *organisation) *request {
	r := &request{Request: sent, pool: p, organisation: o, class: s.class(sent.Class), parts: partsOf(sent)}
	if r.Arrived.IsZero() || r.Arrived.After(now) {
		r.Arrived = now
	}
	s.requests[sent.ID] = r
	o.open++
	return r
}

// settle removes the record of a request that neither waits nor runs.
func (s *Scheduler) settle(r *request) {
	if r.waiting || len(r.attempts) > 0 {
		return
	}
	delete(s.requests, r.ID)
	r.organisation.open--
}

func (s *Scheduler) adopt(now time.Time, e Adopt) {
	sent, id := e.Request, e.Upstream
	r := s.requests[sent.ID]
	if r == nil {
		r = s.open(now, sent, s.pool(sent.Pool), s.organisation(sent.Organisation))
	}
	if r.attempt(id) != nil {
		return
	}
	u := s.upstreams[id]
	if u == nil {
		u = s.newUpstream(registrar.Upstream{Name: id})
		u.gone = true
		s.upstreams[id] = u
	}
	a := s.start(now, r, u)
	a.adopted, a.cacheUnknown = true, true
	a.evidence.Granted = e.Granted
	if !e.Unread {
		s.attributor.Ended(now, &a.evidence, false)
		a.finishReading()
		s.reviewReading(now, u)
	}
}

func (s *Scheduler) cancel(now time.Time, id RequestID) {
	r := s.requests[id]
	if r == nil {
		return
	}
	if r.waiting {
		s.dequeue(r)
	}
	for len(r.attempts) > 0 {
		s.release(now, r.attempts[0], Abandoned)
	}
	s.settle(r)
	s.dispatchSoon(now, r.pool)
}

func (s *Scheduler) firstToken(now time.Time, e FirstToken) {
	if a := s.attempt(e.ID, e.Upstream); a != nil && a.firstTokenAt.IsZero() {
		a.firstTokenAt = now
		s.answerBegun(now, a)
		s.noteActivity(now, a.upstream)
		s.observeReading(now, a)
		a.upstream.firstTokens++
		a.reported, a.tokens = now, max(a.tokens, 1)
		if !a.request.Whole && !a.adopted {
			s.estimator.Started(a.request.Class, now.Sub(a.granted))
		}
	}
}

func (s *Scheduler) progress(now time.Time, e Progress) {
	a := s.attempt(e.ID, e.Upstream)
	if a == nil {
		return
	}
	s.noteActivity(now, a.upstream)
	if a.firstTokenAt.IsZero() && e.Tokens > 0 {
		a.firstTokenAt, a.reported = now, now
		s.answerBegun(now, a)
		a.upstream.firstTokens++
		s.observeReading(now, a)
	}
	if n := e.Tokens - a.tokens; n > 0 && now.After(a.reported) {
		a.upstream.pace.observe(now, now.Sub(a.reported)/time.Duration(n), n)
		a.reported = now
	}
	a.tokens = max(a.tokens, e.Tokens)
	s.extend(a)
}

func (s *Scheduler) finished(now time.Time, e Finished) {
	a := s.attempt(e.ID, e.Upstream)
	if a == nil {
		return
	}
	r, u := a.request, a.upstream
	if e.Outcome == Completed || e.Outcome == Failed {
		s.noteActivity(now, u)
	}
	a.tokens = max(a.tokens, e.Tokens)
	if e.Outcome == Completed {
		s.estimator.Answered(r.Class, r.Request.Organisation, r.Emitted+a.tokens)
		if !a.adopted {
			r.pool.recordHold(now.Sub(a.granted))
		}
		u.observeSpeed(now, a)
	}
	s.interrupt(now, a, e.Outcome)
	s.release(now, a, e.Outcome)
	s.settle(r)
	switch e.Outcome {
	case Crashed:
		s.connectionLost(now, a)
	case ConnectionRefused, Misdirected:
		if a.process == u.process() {
			s.confirmCrash(now, u)
		}
	case ConnectTimeout:
		s.connectTimedOut(now, u)
	}
	if !u.Serves(r.pool.name) {
		s.dispatchSoon(now, r.pool)
	}
	s.dispatchAll(now, u)
}

func (s *Scheduler) attempt(id RequestID, u registrar.UpstreamID) *attempt {
	if r := s.requests[id]; r != nil {
		return r.attempt(u)
	}
	return nil
}

// start records an attempt on u and charges the organisation for its expected cost.
func (s *Scheduler) start(now time.Time, r *request, u *upstream) *attempt {
	a := &attempt{request: r, upstream: u, granted: now, process: u.process()}
	s.detector.Started(r.Fingerprint, a.process)
	a.evidence = s.evidence(now, u, r)
	s.attributor.Started(now, &a.evidence)
	u.prefixes.add(r.Prefix)
	s.beginReading(now, a)
	r.attempts = append(r.attempts, a)
	u.attempts = append(u.attempts, a)
	a.tightness = r.class.tightness
	u.exposure += a.tightness
	a.repeatable = r.Repeatable
	if a.repeatable {
		r.pool.repeatable++
	}
	a.charge = r.cost(expectedTokens)
	s.charge(r, a.charge)
	return a
}

// release ends an attempt and replaces the expected charge by the actual cost.
func (s *Scheduler) release(now time.Time, a *attempt, o Outcome) {
	r := a.request
	if o != Crashed {
		s.detector.Ended(now, r.Fingerprint, a.process, detectorEnd(o))
		s.endEvidence(now, a, o)
	}
	r.attempts = remove(r.attempts, a)
	a.upstream.attempts = remove(a.upstream.attempts, a)
	s.endReading(now, a)
	a.upstream.removeExposure(a)
	if a.repeatable {
		r.pool.repeatable--
	}
	if a.preempted {
		r.pool.preempting--
	}
	if a.protected {
		r.pool.protected--
	}
	s.charge(r, r.cost(a.tokens)-a.charge)
	if u := a.upstream; u.gone && len(u.attempts) == 0 && s.upstreams[u.Name] == u {
		s.remove(u)
	}
}

func (s *Scheduler) charge(r *request, tokens float64) {
	r.organisation.debt[r.class.tier] += tokens / r.organisation.share
}

func (s *Scheduler) refuse(id RequestID, reason Reason, after time.Duration) {
	s.actions = append(s.actions, Refuse{ID: id, Reason: reason, RetryAfter: s.spread(after)})
}

// refuseOverloaded refuses a request that cannot begin in time.
func (s *Scheduler) refuseOverloaded(now time.Time, r *request) {
	wait := s.drainTime(now, r)
	s.actions = append(s.actions, Refuse{ID: r.ID, Reason: Overloaded, RetryAfter: s.spread(wait), Predicted: wait, Ahead: r.pool.waiting, Obstacle: r.obstacle})
}

// spread returns a random retry time between d and 2*d, so that refused callers do
// not all come back at the same moment. It raises d to minRetryAfter first.
func (s *Scheduler) spread(d time.Duration) time.Duration {
	d = max(d, minRetryAfter)
	return d + time.Duration(s.random.Int64N(int64(d)))
}

func remove(list []*attempt, a *attempt) []*attempt {
	for i := range list {
		if list[i] == a {
			last := len(list) - 1
			list[i] = list[last]
			list[last] = nil
			return list[:last]
		}
	}
	return list
}
