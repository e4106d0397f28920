package reporter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// The reservoir parameters are those of go-metrics' documentation: 1028 values give a
// quantile within 5% at 99.9% confidence, and the decay factor 0.015 favours the
// last five minutes.
const (
	reservoirSize = 1028
	decayFactor   = 0.015
)

// shortTokens is the longest answer that counts as short for head-of-line
// blocking. The benchmark uses the same bound.
const shortTokens = 256

// reasons are the values of the label reason besides otherReason.
var reasons = []scheduler.Reason{
	scheduler.Overloaded, scheduler.NoUpstream, scheduler.OverLimit, scheduler.Poisonous, scheduler.PoisonousPart, scheduler.OutOfRetries,
}

// otherReason is the label of refusals for other reasons, such as an unconfirmed
// revision.
const otherReason scheduler.Reason = "other"

// class holds the metrics of one class. All its histograms are in nanoseconds.
type class struct {
	name    validator.ClassName
	targets atomic.Pointer[validator.Class]

	attained, missed, abandoned metrics.Counter
	goodput, wasted             metrics.Counter
	refused                     map[scheduler.Reason]metrics.Counter
	queue, first, gap, total    metrics.Histogram
	// blocking is the queue time of short answers only.
	blocking metrics.Histogram

	mutex sync.Mutex
	crest crest
}

func newClass(c validator.Class, r metrics.Registry) *class {
	k := &class{
		name:      c.Name,
		attained:  metrics.NewCounter(),
		missed:    metrics.NewCounter(),
		abandoned: metrics.NewCounter(),
		goodput:   metrics.NewCounter(),
		wasted:    metrics.NewCounter(),
		refused:   make(map[scheduler.Reason]metrics.Counter),
		queue:     newHistogram(),
		first:     newHistogram(),
		gap:       newHistogram(),
		total:     newHistogram(),
		blocking:  newHistogram(),
	}
	for _, v := range append([]scheduler.Reason{otherReason}, reasons...) {
		k.refused[v] = metrics.NewCounter()
	}
	k.setTargets(c)
	for n, m := range k.metrics() {
		// Names are unique, because they begin with the class.
		_ = r.Register(n, m)
	}
	return k
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayFactor))
}

// metrics returns all metrics by their names in the registry.
func (k *class) metrics() map[string]any {
	prefix := "class." + string(k.name) + "."
	byName := map[string]any{
		prefix + "attained":  k.attained,
		prefix + "missed":    k.missed,
		prefix + "abandoned": k.abandoned,
		prefix + "goodput":   k.goodput,
		prefix + "wasted":    k.wasted,
		prefix + "queue":     k.queue,
		prefix + "first":     k.first,
		prefix + "gap":       k.gap,
		prefix + "total":     k.total,
		prefix + "blocking":  k.blocking,
	}
	for v, c := range k.refused {
		byName[prefix+"refused."+string(v)] = c
	}
	return byName
}

func (k *class) unregister(r metrics.Registry) {
	for n := range k.metrics() {
		r.Unregister(n)
	}
}

func (k *class) setTargets(c validator.Class) { k.targets.Store(&c) }

func (k *class) report(v Result, now time.Time) {
	k.wasted.Inc(int64(v.Wasted))
	if v.Abandoned {
		k.abandoned.Inc(1)
		return
	}
	if v.Refused != "" {
		k.refuse(v.Refused)
	} else {
		k.observe(v)
	}
	met := v.Refused == "" && attains(v, k.targets.Load())
	if met {
		k.attained.Inc(1)
		k.goodput.Inc(int64(v.Tokens))
	} else {
		k.missed.Inc(1)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.crest.add(v.Arrived, now, met)
}

func (k *class) refuse(v scheduler.Reason) {
	counter, ok := k.refused[v]
	if !ok {
		counter = k.refused[otherReason]
	}
	counter.Inc(1)
}

func (k *class) observe(v Result) {
	k.queue.Update(int64(v.Queue))
	k.total.Update(int64(v.Total))
	if v.Tokens > 0 && v.Tokens <= shortTokens {
		k.blocking.Update(int64(v.Queue))
	}
	if v.First > 0 {
		k.first.Update(int64(v.First))
	}
	if v.Gap > 0 {
		k.gap.Update(int64(v.Gap))
	}
}

// attains reports whether a request that was run met its targets.
func attains(v Result, c *validator.Class) bool {
	within := func(d time.Duration, target validator.Duration) bool {
		return target == 0 || d <= time.Duration(target)
	}
	return v.Completed && within(v.First, c.First) && within(v.Gap, c.Gap) && within(v.Total, c.Total)
}

// attainment returns the share of requests that attained their target, and
// whether there were any.
func (k *class) attainment() (float64, bool) {
	return share(k.attained.Count(), k.missed.Count())
}

func (k *class) crestAttainment(now time.Time) (float64, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.crest.attainment(now)
}

func share(met, missed int64) (float64, bool) {
	if met+missed == 0 {
		return 0, false
	}
	return float64(met) / float64(met+missed), true
}
