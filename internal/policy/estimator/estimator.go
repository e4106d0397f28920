// Package estimator learns how long answers are and how soon they start.
//
// # Usage
//
//	e := estimator.New()
//	e.Answered(class, organisation, tokens)
//	e.Started(class, delay)
//	left := e.Remaining(class, organisation, emitted)
//	due := arrived.Add(target - e.Start(class, 0.9))
//
// Estimates follow changes: each is based on the latest window of observations or,
// until that one is a quarter full, on the window before it.
package estimator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

const (
	// window is the number of observations in the current histogram after which a
	// new one is started.
	window = 400
	// minObservations is the number of observations from which a sample is used.
	minObservations = 20
	// maxValue is the largest value that a histogram records; larger ones are
	// recorded as this value.
	maxValue = 1 << 20
	// DefaultOutput is the assumed length of an answer in tokens before any answer
	// of its class is known.
	DefaultOutput = 256
)

// sample is the distribution of the latest observations.
type sample struct {
	current, previous *hdrhistogram.Histogram
}

func newSample() *sample {
	return &sample{current: hdrhistogram.New(1, maxValue, 1)}
}

func (s *sample) add(v int64) {
	if s.current.TotalCount() >= window {
		s.previous, s.current = s.current, s.previous
		if s.current == nil {
			s.current = hdrhistogram.New(1, maxValue, 1)
		}
		s.current.Reset()
	}
	// The value is within the range of the histogram, so there is no error.
	_ = s.current.RecordValue(min(max(v, 1), maxValue))
}

// view returns the histogram to read from, or nil when there are too few
// observations. It is the previous one until the current one has a quarter of a
// window.
func (s *sample) view() *hdrhistogram.Histogram {
	if s == nil {
		return nil
	}
	if s.current.TotalCount() < window/4 && s.previous != nil {
		return s.previous
	}
	if s.current.TotalCount() < minObservations {
		return nil
	}
	return s.current
}

// meanRest returns the mean of how far the values above floor exceed it, and false
// when there are too few observations.
func (s *sample) meanRest(floor int64) (int64, bool) {
	h := s.view()
	if h == nil {
		return 0, false
	}
	var sum, n int64
	for _, b := range h.Distribution() {
		middle := (b.From + b.To) / 2
		if b.Count > 0 && middle > floor {
			sum += b.Count * (middle - floor)
			n += b.Count
		}
	}
	if n == 0 {
		// The value exceeds every observation: assume that a tenth of it is still
		// to come.
		return max(floor/10, 1), true
	}
	return sum / n, true
}

type pair struct {
	class        validator.ClassName
	organisation validator.OrganisationName
}

// Estimator learns from finished work. It is not safe for concurrent use.
type Estimator struct {
	pairs   map[pair]*sample
	classes map[validator.ClassName]*sample
	starts  map[validator.ClassName]*sample
}

// New returns an Estimator without observations.
func New() *Estimator {
	return &Estimator{
		pairs:   make(map[pair]*sample),
		classes: make(map[validator.ClassName]*sample),
		starts:  make(map[validator.ClassName]*sample),
	}
}

// Answered records the length in tokens of a complete answer.
func (e *Estimator) Answered(c validator.ClassName, o validator.OrganisationName, tokens int) {
	record(e.pairs, pair{c, o}, int64(tokens))
	record(e.classes, c, int64(tokens))
}

// Started records the time from a grant to the first token.
func (e *Estimator) Started(c validator.ClassName, d time.Duration) {
	record(e.starts, c, d.Milliseconds())
}

func record[K comparable](samples map[K]*sample, k K, v int64) {
	s := samples[k]
	if s == nil {
		s = newSample()
		samples[k] = s
	}
	s.add(v)
}

// Remaining returns the expected number of tokens that an answer still needs when
// it already has the given number. It uses the answers of the organisation in the
// class if there are enough, else those of the class, and else DefaultOutput. The
// result is at least 1 once there are enough answers, and at least a quarter of
// DefaultOutput before.
func (e *Estimator) Remaining(c validator.ClassName, o validator.OrganisationName, emitted int) int {
	if n, ok := e.pairs[pair{c, o}].meanRest(int64(emitted)); ok {
		return int(n)
	}
	if n, ok := e.classes[c].meanRest(int64(emitted)); ok {
		return int(n)
	}
	return max(DefaultOutput-emitted, DefaultOutput/4)
}

// Output returns a quantile, from 0 to 1, of the answer lengths in tokens, or
// DefaultOutput when too few answers are known.
func (e *Estimator) Output(c validator.ClassName, o validator.OrganisationName, quantile float64) int {
	for _, s := range []*sample{e.pairs[pair{c, o}], e.classes[c]} {
		if h := s.view(); h != nil {
			return int(h.ValueAtQuantile(100 * quantile))
		}
	}
	return DefaultOutput
}

// Start returns a quantile, from 0 to 1, of the time from a grant to the first
// token, or 0 when too few observations are known.
func (e *Estimator) Start(c validator.ClassName, quantile float64) time.Duration {
	if h := e.starts[c].view(); h != nil {
		return time.Duration(h.ValueAtQuantile(100*quantile)) * time.Millisecond
	}
	return 0
}

// Forget removes the observations of an organisation.
func (e *Estimator) Forget(o validator.OrganisationName) {
	for k := range e.pairs {
		if k.organisation == o {
			delete(e.pairs, k)
		}
	}
}
