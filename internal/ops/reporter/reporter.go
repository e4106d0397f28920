// Package reporter collects metrics of the service by class and serves them over HTTP.
//
// # Usage
//
//	r := reporter.New()
//	r.Configure(document)
//	r.ReportRequest(reporter.Result{Class: "chat", Arrived: arrived, Completed: true, Tokens: 120})
//	r.Count(reporter.Hedges, 1)
//	r.Set(reporter.OpenRequests, 17)
//	mux.Handle("/metrics", r.Handler())
//
// The labels are the class and the use of a certificate. Only classes of the
// configuration in force are shown, so that the number of series is bounded:
// results of other classes are counted under Other. Organisations, models and
// upstreams are not used as labels.
//
// # Attainment
//
// A request attains its target when it completes within the targets first, gap
// and total of its class. Refused and broken requests count as missed, and
// requests whose caller went away do not count. Crest attainment is the
// attainment of the requests that arrived in the busiest CrestWindow of the
// last CrestHistory, because an average over minutes hides the peak of a load
// swing.
package reporter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// Other is the class name under which unknown classes are counted.
const Other validator.ClassName = "other"

// Result describes how one caller's request ended.
type Result struct {
	Class   validator.ClassName
	Arrived time.Time
	// Refused is the reason when the request was not run.
	Refused scheduler.Reason
	// Completed is set when the caller received the whole answer.
	Completed bool
	// Abandoned is set when the caller went away before the end.
	Abandoned bool
	// Queue is the time until the first slot was granted.
	Queue time.Duration
	// First is the time from arrival to the first token; it is zero without one.
	First time.Duration
	// Gap is the mean time between tokens; it is zero with fewer than two tokens.
	Gap time.Duration
	// Total is the time from arrival to the end of the answer.
	Total time.Duration
	// Tokens counts the tokens that were passed to the caller.
	Tokens int
	// Wasted counts the tokens that were generated for the request and discarded,
	// for example by hedges, retries and broken answers.
	Wasted int
}

// Reporter holds all metrics of a process. It is safe for concurrent use.
type Reporter struct {
	clock        clockwork.Clock
	registry     metrics.Registry
	ready        func() (bool, string)
	certificates func() []Certificate
	counts       map[Counter]metrics.Counter
	gauges       map[Gauge]metrics.GaugeFloat64

	mutex   sync.RWMutex
	classes map[validator.ClassName]*class
}

// Option configures a new Reporter.
type Option func(*Reporter)

// WithClock replaces the clock.
func WithClock(c clockwork.Clock) Option { return func(r *Reporter) { r.clock = c } }

// WithReady sets the function that the health page calls. It returns whether the process
// is ready, and otherwise the reason.
func WithReady(ready func() (bool, string)) Option { return func(r *Reporter) { r.ready = ready } }

// Certificate is a certificate or an authority file that the process uses.
type Certificate struct {
	Use   string
	Until time.Time
}

// WithCertificates sets the function that lists the certificates in use.
func WithCertificates(list func() []Certificate) Option {
	return func(r *Reporter) { r.certificates = list }
}

// New returns a Reporter whose only class is Other.
func New(options ...Option) *Reporter {
	r := &Reporter{
		clock:        clockwork.NewRealClock(),
		registry:     metrics.NewRegistry(),
		ready:        func() (bool, string) { return true, "" },
		certificates: func() []Certificate { return nil },
		counts:       make(map[Counter]metrics.Counter),
		gauges:       make(map[Gauge]metrics.GaugeFloat64),
	}
	for _, o := range options {
		o(r)
	}
	for _, c := range counters {
		r.counts[c] = metrics.NewRegisteredCounter(string(c), r.registry)
	}
	for _, g := range gauges {
		r.gauges[g] = metrics.NewRegisteredGaugeFloat64(string(g), r.registry)
	}
	r.classes = map[validator.ClassName]*class{Other: newClass(validator.Class{Name: Other}, r.registry)}
	return r
}

// Configure sets the classes and their targets. Metrics of a class that stays are kept,
// and those of a class that is gone are dropped.
func (r *Reporter) Configure(d *validator.Document) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next := map[validator.ClassName]*class{Other: r.classes[Other]}
	for _, c := range d.Classes {
		if c.Name == Other {
			continue
		}
		k := r.classes[c.Name]
		if k == nil {
			k = newClass(c, r.registry)
		}
		k.setTargets(c)
		next[c.Name] = k
	}
	for n, k := range r.classes {
		if next[n] == nil {
			k.unregister(r.registry)
		}
	}
	r.classes = next
}

// Registry returns the registry, for parts that add metrics of their own.
func (r *Reporter) Registry() metrics.Registry { return r.registry }

// ReportRequest records the end of a request.
func (r *Reporter) ReportRequest(v Result) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	k := r.classes[v.Class]
	if k == nil {
		k = r.classes[Other]
	}
	k.report(v, r.clock.Now())
}

// Count adds to a counter.
func (r *Reporter) Count(c Counter, n int64) { r.counts[c].Inc(n) }

// Set sets a gauge.
func (r *Reporter) Set(g Gauge, v float64) { r.gauges[g].Update(v) }

// Counter names an event that is counted for the whole process.
type Counter string

// Hedges and the constants that follow are the counters of a process.
const (
	// Hedges counts second attempts of running requests.
	Hedges Counter = "hedges"
	// Retries counts attempts after a failed one.
	Retries Counter = "retries"
	// Preemptions counts attempts cancelled for a higher tier.
	Preemptions Counter = "preemptions"
	// Resumes counts attempts that continue a partial answer.
	Resumes Counter = "resumes"
	// Crashes counts upstreams lost while they ran requests.
	Crashes Counter = "crashes"
	// Unknowns counts calls whose outcome is not known.
	Unknowns Counter = "unknowns"
	// Elections counts changes of the control leader or of a cell's owner.
	Elections Counter = "elections"
	// Applies counts accepted configuration changes.
	Applies Counter = "applies"
)

// Gauge names a value of the whole process.
type Gauge string

// RevisionInForce and the constants that follow are the gauges of a process.
const (
	// RevisionInForce is the number of the configuration revision in force.
	RevisionInForce Gauge = "revision"
	// ConfirmedAge is the time in seconds since the revision in force was last confirmed.
	ConfirmedAge Gauge = "confirmed"
	// OpenRequests counts callers' requests that are not finished.
	OpenRequests Gauge = "open"
	// QueuedRequests counts requests that wait for a slot in the own cell.
	QueuedRequests Gauge = "queued"
	// LiveUpstreams counts upstreams with a valid lease.
	LiveUpstreams Gauge = "upstreams"
	// LiveHosts counts entry hosts with a valid lease.
	LiveHosts Gauge = "hosts"
	// Draining is 1 during a planned stop.
	Draining Gauge = "draining"
)

var (
	counters = []Counter{Hedges, Retries, Preemptions, Resumes, Crashes, Unknowns, Elections, Applies}
	gauges   = []Gauge{RevisionInForce, ConfirmedAge, OpenRequests, QueuedRequests, LiveUpstreams, LiveHosts, Draining}
)
