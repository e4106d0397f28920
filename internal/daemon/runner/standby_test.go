package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stander drives a candidacy at its usual pace.
type stander struct {
	candidacy
	now time.Time
}

func (s *stander) pass(d time.Duration, joined, owned bool) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(standPoll)
		s.review(s.now, joined, owned)
	}
}

// TestStand guards against a starting host that takes the cell from its owner before
// it knows the upstreams, and against a cell without an owner.
func TestStand(t *testing.T) {
	s := &stander{now: time.Unix(1_700_000_000, 0)}
	s.pass(joinTime, false, false)
	assert.Assert(t, !s.stands, "it has met nobody")
	s.pass(viewTime, true, true)
	assert.Assert(t, !s.stands, "it doesn't know the upstreams")
	s.pass(2*standPoll, true, true)
	assert.Assert(t, s.stands)

	s = &stander{now: time.Unix(1_700_000_000, 0)}
	s.pass(standPoll, true, false)
	assert.Assert(t, s.stands, "nobody else is there")
}

// Pattern: the owner of the cell freezes for seven seconds, and wakes in the crest. It
// took the cell back at once, with nothing known of the engines.
func TestStandAfterStall(t *testing.T) {
	s := &stander{now: time.Unix(1_700_000_000, 0)}
	s.pass(2*viewTime, true, true)
	assert.Assert(t, s.stands)

	s.now = s.now.Add(7 * time.Second)
	assert.Assert(t, s.review(s.now, true, false), "the others seem silent at first")
	s.pass(viewTime/2, true, false)
	assert.Assert(t, !s.stands)
	s.pass(restTime-viewTime, true, true)
	assert.Assert(t, !s.stands, "another host is the owner")
	s.pass(viewTime, true, true)
	assert.Assert(t, s.stands, "it stands again in the end")

	s.now = s.now.Add(7 * time.Second)
	s.review(s.now, true, true)
	s.pass(viewTime+2*standPoll, true, false)
	assert.Assert(t, s.stands, "the others are gone")
}
