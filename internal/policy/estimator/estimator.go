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
// Estimates follow changes: a sample covers the last one to two windows of
// observations.
package estimator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

const (
	// window is the number of observations after which older ones fade.
	window = 400
	// enough is the number of observations from which a sample is used.
	enough = 20
	// maxValue bounds what a histogram records; larger values count as it.
	maxValue = 1 << 20
	// DefaultOutput is the length in tokens assumed before any answer of the
	// class is known.
	DefaultOutput = 256
)

// sample is a distribution of the latest observations.
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

// view is the histogram to read: the previous window until the current one has
// enough observations.
func (s *sample) view() *hdrhistogram.Histogram {
	if s == nil {
		return nil
	}
	if s.current.TotalCount() < window/4 && s.previous != nil {
		return s.previous
	}
	if s.current.TotalCount() < enough {
		return nil
	}
	return s.current
}

// rest is the mean of what values above a floor have left above it.
func (s *sample) rest(floor int64) (int64, bool) {
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
		// Longer than anything seen: expect as much again as a tenth.
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

// New returns an Estimator that knows nothing yet.
func New() *Estimator {
	return &Estimator{
		pairs:   make(map[pair]*sample),
		classes: make(map[validator.ClassName]*sample),
		starts:  make(map[validator.ClassName]*sample),
	}
}

// Answered records the length of a complete answer.
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

// Remaining is the mean number of tokens that an answer still needs when it
// already has the given number.
func (e *Estimator) Remaining(c validator.ClassName, o validator.OrganisationName, emitted int) int {
	if n, ok := e.pairs[pair{c, o}].rest(int64(emitted)); ok {
		return int(n)
	}
	if n, ok := e.classes[c].rest(int64(emitted)); ok {
		return int(n)
	}
	return max(DefaultOutput-emitted, DefaultOutput/4)
}

// Output is a quantile of the answer lengths.
func (e *Estimator) Output(c validator.ClassName, o validator.OrganisationName, quantile float64) int {
	for _, s := range []*sample{e.pairs[pair{c, o}], e.classes[c]} {
		if h := s.view(); h != nil {
			return int(h.ValueAtQuantile(100 * quantile))
		}
	}
	return DefaultOutput
}

// Start is a quantile of the time from a grant to the first token, or zero
// while it is unknown.
func (e *Estimator) Start(c validator.ClassName, quantile float64) time.Duration {
	if h := e.starts[c].view(); h != nil {
		return time.Duration(h.ValueAtQuantile(100*quantile)) * time.Millisecond
	}
	return 0
}

// Forget drops what is known of an organisation.
func (e *Estimator) Forget(o validator.OrganisationName) {
	for k := range e.pairs {
		if k.organisation == o {
			delete(e.pairs, k)
		}
	}
}
