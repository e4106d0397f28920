package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulation reviews a candidacy every candidacyPoll of simulated time.
type simulation struct {
	candidacy
	now time.Time
}

func (s *simulation) pass(d time.Duration, joined, owned bool) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(candidacyPoll)
		s.review(s.now, joined, owned)
	}
}

// TestStand guards against a starting host that takes the cell from its owner before
// it knows the upstreams, and against a cell without an owner.
func TestStand(t *testing.T) {
	s := &simulation{now: time.Unix(1_700_000_000, 0)}
	s.pass(joinTimeout, false, false)
	assert.Assert(t, !s.offered, "it has met nobody")
	s.pass(viewDelay, true, true)
	assert.Assert(t, !s.offered, "it doesn't know the upstreams")
	s.pass(2*candidacyPoll, true, true)
	assert.Assert(t, s.offered)

	s = &simulation{now: time.Unix(1_700_000_000, 0)}
	s.pass(candidacyPoll, true, false)
	assert.Assert(t, s.offered, "nobody else is there")
}

// TestStandAfterStall guards against an owner that freezes for seven seconds and takes the
// cell back at once when it resumes during peak load, knowing nothing of the engines.
func TestStandAfterStall(t *testing.T) {
	s := &simulation{now: time.Unix(1_700_000_000, 0)}
	s.pass(2*viewDelay, true, true)
	assert.Assert(t, s.offered)

	s.now = s.now.Add(7 * time.Second)
	assert.Assert(t, s.review(s.now, true, false), "the others seem silent at first")
	s.pass(viewDelay/2, true, false)
	assert.Assert(t, !s.offered)
	s.pass(stallBackoff-viewDelay, true, true)
	assert.Assert(t, !s.offered, "another host is the owner")
	s.pass(viewDelay, true, true)
	assert.Assert(t, s.offered, "it offers itself again in the end")

	s.now = s.now.Add(7 * time.Second)
	s.review(s.now, true, true)
	s.pass(viewDelay+2*candidacyPoll, true, false)
	assert.Assert(t, s.offered, "the others are gone")
}
