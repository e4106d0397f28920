package bencher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

const (
	// reportInterval is how often an engine reports its load.
	reportInterval = time.Second
	// reportLag is the longest delay of a report.
	reportLag = time.Second
	// restartTime is how long an engine is away after a crash.
	restartTime = 8 * time.Second
	// slowFactor is by how much the lasting slowdown multiplies the times of the
	// slowed engines.
	slowFactor = 5
	// drainTime is the time after the last arrival in which the calls of a run can
	// end.
	drainTime = 200 * time.Second
	// progressInterval is the time between two progress reports of an attempt.
	progressInterval = 500 * time.Millisecond
)

// router decides where calls run.
type router interface {
	// arrive handles a new call at its entry host.
	arrive(c *call)
	// leave handles a caller that has gone.
	leave(c *call)
	// report handles an engine's announcement when it arrives.
	report(u registrar.Upstream)
}

// hooks are the callbacks of a router for an attempt, as seen by the entry host.
type hooks struct {
	token func(r *run, tokens int)
	end   func(r *run, o scheduler.Outcome)
}

// system is one run of a workload under a router.
type system struct {
	clock
	workload Workload
	random   *rand.Rand
	engines  []*engine
	calls    []*call
	router   router
	dropped  map[*run]bool
}

func newSystem(w Workload, seed uint64, build func(*system) router) *system {
	s := &system{
		workload: w,
		random:   rand.New(rand.NewPCG(seed, 2)),
		calls:    w.calls(seed),
		dropped:  make(map[*run]bool),
	}
	noise := rand.New(rand.NewPCG(seed, 3))
	for i := range w.Engines {
		s.engines = append(s.engines, s.engine(i, noise))
	}
	s.router = build(s)
	for i, e := range s.engines {
		s.after(time.Duration(i)*reportInterval/time.Duration(w.Engines), func() { s.announce(e) })
		s.router.report(e.report())
	}
	for i, at := range w.Crashes {
		e := s.engines[crashedEngine(i, len(s.engines))]
		s.after(at, func() {
			e.crash()
			s.after(restartTime, e.restart)
		})
	}
	for _, c := range s.calls {
		s.after(c.arrived, func() { s.router.arrive(c) })
		s.after(c.arrived+c.demand.Patience, func() { s.losePatience(c) })
	}
	return s
}

// crashedEngine returns the index of the engine that crash i affects.
func crashedEngine(i, engines int) int { return (i*4 + 2) % engines }

// engine returns an engine with a random speed and a few short slowdowns. The last
// Slowed engines also get the lasting slowdown of the workload.
func (s *system) engine(i int, noise *rand.Rand) *engine {
	w := s.workload
	e := &engine{
		clock: &s.clock,
		id:    registrar.UpstreamID(fmt.Sprintf("engine-%02d", i)),
		slots: w.Slots, speed: 0.95 + 0.1*noise.Float64(), incarnation: 1, up: true,
	}
	for at := noise.ExpFloat64() * 90; at < w.Duration.Seconds(); at += 20 + noise.ExpFloat64()*90 {
		from := time.Duration(at * float64(time.Second))
		length := time.Duration((2 + 6*noise.Float64()) * float64(time.Second))
		e.slowdowns = append(e.slowdowns, slowdown{from, from + length, 1.2 + 0.6*noise.Float64()})
	}
	if i >= w.Engines-w.Slowed {
		e.slowdowns = append(e.slowdowns, slowdown{w.Duration / 6, w.Duration + drainTime, slowFactor})
	}
	return e
}

// announce sends the engine's report, which arrives after a random delay, and
// schedules the next one.
func (s *system) announce(e *engine) {
	if e.up {
		u := e.report()
		s.after(time.Duration(s.random.Float64()*float64(reportLag)), func() { s.router.report(u) })
	}
	if s.now < s.workload.Duration+drainTime {
		s.after(reportInterval, func() { s.announce(e) })
	}
}

func (s *system) losePatience(c *call) {
	if !c.ended() && c.firstTokenAt == 0 {
		c.left = true
		s.router.leave(c)
	}
}

func (s *system) find(id registrar.UpstreamID) *engine {
	i := slices.IndexFunc(s.engines, func(e *engine) bool { return e.id == id })
	return s.engines[i]
}

// launch sends an attempt from the entry host to the engine.
func (s *system) launch(c *call, e *engine, priority int, h hooks) *run {
	oneWay := s.workload.OneWay
	r := &run{call: c, engine: e, priority: priority}
	r.onToken = func(n int) {
		if n > 1 && s.now-r.reported < progressInterval {
			return
		}
		r.reported = s.now
		s.after(oneWay, func() {
			if s.dropped[r] || c.ended() {
				return
			}
			if c.firstTokenAt == 0 {
				c.firstTokenAt = s.now
			}
			if h.token != nil {
				h.token(r, n)
			}
		})
	}
	r.onEnd = func(o scheduler.Outcome) {
		s.after(oneWay, func() {
			if s.dropped[r] {
				return
			}
			c.runs = slices.DeleteFunc(c.runs, func(q *run) bool { return q == r })
			if o == scheduler.Completed && !c.ended() {
				c.doneAt = s.now
			}
			h.end(r, o)
		})
	}
	c.runs = append(c.runs, r)
	s.after(oneWay, func() {
		if !s.dropped[r] && !e.add(r) {
			r.onEnd(scheduler.Failed)
		}
	})
	return r
}

// drop cancels an attempt at the entry host, which receives nothing more of it.
func (s *system) drop(r *run) {
	s.dropped[r] = true
	r.call.runs = slices.DeleteFunc(r.call.runs, func(q *run) bool { return q == r })
	s.after(s.workload.OneWay, func() { r.engine.cancel(r) })
}

// Run measures a policy on a workload with a seed.
func Run(w Workload, policy Policy, seed uint64) Result {
	s := newSystem(w, seed, policy.build)
	s.run(w.Duration + drainTime)
	r := s.result()
	r.Workload, r.Policy, r.Seed = w.Name, policy.Name, seed
	return r
}

func (s *system) generatedTokens() int {
	n := 0
	for _, e := range s.engines {
		n += e.generated
	}
	return n
}

// Policy is a named way to route calls.
type Policy struct {
	Name  string
	build func(*system) router
}

// Policies returns the baselines, the measured policy and the bound.
func Policies() []Policy {
	return []Policy{
		{"round-robin", newRoundRobin},
		{"least-requests", newLeastRequests},
		{Measured, newCell},
		{Bound, newOracle},
	}
}

// Names of the measured policy and of the bound.
const (
	Measured = "amaranthcart"
	Bound    = "bound"
)

func tier(c *call) validator.Tier { return c.demand.Class.Tier }
