package summarizer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func news(cell string, incarnation, sequence uint64, live int, age time.Duration) summarizer.AgedSummary {
	return summarizer.AgedSummary{Age: age, Summary: summarizer.Summary{
		Cell:  registrar.CellName(cell),
		Stamp: summarizer.Stamp{Incarnation: incarnation, Sequence: sequence},
		Pools: []summarizer.Pool{{Name: "story", Live: live}},
	}}
}

func publish(live int) summarizer.Publish {
	return summarizer.Publish{Dispatcher: "10.0.0.1:7070", Pools: []summarizer.Pool{{Name: "story", Live: live}}}
}

// step is the arrival of a summary, at a time after the start. began is when its exchange
// started, also counted from the start.
type step struct {
	at    time.Duration
	began time.Duration
	news  summarizer.AgedSummary
}

// TestMergeOrder guards against summaries that replace newer ones although they
// are late, duplicated or out of order, or come from an earlier dispatcher.
func TestMergeOrder(t *testing.T) {
	cases := map[string]struct {
		steps []step
		look  time.Duration
		live  int // -1 when the cell must not count
	}{
		"newer sequence":                       {[]step{{news: news("east", 5, 1, 1, 0)}, {at: 1, news: news("east", 5, 2, 2, 0)}}, 1, 2},
		"out of order":                         {[]step{{news: news("east", 5, 2, 2, 0)}, {at: 1, news: news("east", 5, 1, 1, 0)}}, 1, 2},
		"earlier dispatcher":                   {[]step{{news: news("east", 6, 1, 2, 0)}, {at: 1, news: news("east", 5, 99, 1, 0)}}, 1, 2},
		"next dispatcher":                      {[]step{{news: news("east", 5, 99, 1, 0)}, {at: 1, news: news("east", 6, 1, 2, 0)}}, 1, 2},
		"duplicate extends no life":            {[]step{{news: news("east", 5, 1, 1, 0)}, {at: 14 * time.Second, began: 14 * time.Second, news: news("east", 5, 1, 1, 0)}}, summarizer.Lifetime, -1},
		"expires":                              {[]step{{news: news("east", 5, 1, 1, 0)}}, summarizer.Lifetime, -1},
		"age counts":                           {[]step{{news: news("east", 5, 1, 1, 10*time.Second)}}, 5 * time.Second, -1},
		"late answer":                          {[]step{{at: 14 * time.Second, began: 0, news: news("east", 5, 1, 1, time.Second)}}, 14 * time.Second, -1},
		"slow answer counts from its question": {[]step{{at: 6 * time.Second, began: 0, news: news("east", 5, 1, 1, 0)}}, summarizer.Lifetime, -1},
		"odd age":                              {[]step{{news: news("east", 5, 1, 1, -time.Hour)}}, summarizer.Lifetime, -1},
		"old after expiry":                     {[]step{{news: news("east", 5, 9, 2, 0)}, {at: time.Minute, began: time.Minute, news: news("east", 5, 8, 1, 0)}}, time.Minute, -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := summarizer.New("west", "")
			for _, p := range c.steps {
				s.Step(at(p.at), summarizer.Merge{From: "east", Began: at(p.began), Summaries: []summarizer.AgedSummary{p.news}})
			}
			cells := s.Cells(at(c.look))
			if c.live < 0 {
				assert.Equal(t, len(cells), 0)
				return
			}
			assert.Equal(t, len(cells), 1)
			assert.Equal(t, cells[0].Pools[0].Live, c.live)
		})
	}
}

// TestRegionParted guards against a cell that is lost permanently, or is listed again
// with old figures, after its region was partitioned for an hour.
func TestRegionParted(t *testing.T) {
	s := summarizer.New("west", "")
	n := news("east", 5, 7, 2, 0)
	n.Summary.Dispatcher = "10.1.0.1:7070"
	s.Step(at(0), summarizer.Merge{From: "east", Began: at(0), Summaries: []summarizer.AgedSummary{n}})
	assert.DeepEqual(t, s.Step(at(summarizer.Lifetime), summarizer.Tick{}), []summarizer.Action{summarizer.Expired{Cell: "east"}})
	healed := time.Hour
	s.Step(at(healed), summarizer.Tick{})
	assert.Equal(t, len(s.Cells(at(healed))), 0)
	assert.Equal(t, s.Known()[0].Dispatcher, "10.1.0.1:7070", "the address to find the cell again is lost")
	assert.Equal(t, len(s.Answer(at(healed), nil, false)), 0, "an expired summary is passed on")
	old := news("east", 5, 6, 9, 0)
	s.Step(at(healed), summarizer.Merge{From: "north", Began: at(healed), Summaries: []summarizer.AgedSummary{old}})
	assert.Equal(t, len(s.Cells(at(healed))), 0)
	fresh := news("east", 5, 700, 3, 0)
	actions := s.Step(at(healed), summarizer.Merge{From: "east", Began: at(healed), Summaries: []summarizer.AgedSummary{fresh}})
	assert.DeepEqual(t, actions, []summarizer.Action{summarizer.Appeared{Cell: "east"}})
	assert.Equal(t, s.Cells(at(healed))[0].Pools[0].Live, 3)
}

// TestDispatcherLost guards against a new dispatcher whose summaries are considered
// old because its clock is behind that of the last dispatcher.
func TestDispatcherLost(t *testing.T) {
	other := summarizer.New("east", "")
	next := summarizer.New("west", "")
	ahead := uint64(at(time.Hour).UnixNano())
	last := []summarizer.AgedSummary{news("west", ahead, 40, 1, 0)}
	other.Step(at(0), summarizer.Merge{From: "west", Began: at(0), Summaries: last})
	next.Step(at(0), summarizer.Merge{From: "west", Began: at(0), Summaries: last})
	next.Step(at(time.Second), publish(3))
	pass(next, other, at(time.Second))
	assert.Equal(t, other.Cells(at(time.Second))[0].Pools[0].Live, 3)
}

// TestRestartUnaware guards against a restarted dispatcher whose clock was set back, and
// that never learns that the other cells ignore its summaries.
func TestRestartUnaware(t *testing.T) {
	other := summarizer.New("east", "")
	ahead := uint64(at(time.Hour).UnixNano())
	other.Step(at(0), summarizer.Merge{From: "west", Began: at(0), Summaries: []summarizer.AgedSummary{news("west", ahead, 40, 1, 0)}})
	next := summarizer.New("west", "")
	next.Step(at(0), publish(3))
	pass(next, other, at(0))
	assert.Equal(t, other.Cells(at(0))[0].Pools[0].Live, 1)
	pass(other, next, at(time.Second))
	next.Step(at(summarizer.UrgentInterval), publish(3))
	pass(next, other, at(summarizer.UrgentInterval))
	assert.Equal(t, other.Cells(at(summarizer.UrgentInterval))[0].Pools[0].Live, 3)
}

func pass(from, to *summarizer.Summarizer, now time.Time) {
	to.Step(now, summarizer.Merge{From: "west", Began: now, Summaries: from.Answer(now, to.KnownStamps(), false)})
}

// TestPublishRate guards against a cell that makes too many summaries because its upstreams
// change all the time, and against one that makes too few to stay listed.
func TestPublishRate(t *testing.T) {
	cases := map[string]struct {
		live func(i int) int
		most int
	}{
		"steady":      {func(int) int { return 2 }, 13},
		"come and go": {func(i int) int { return i % 2 }, 31},
		"one crash":   {func(i int) int { return min(i/30, 1) }, 14},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := summarizer.New("west", "")
			n := 0
			for i := range 601 {
				n += len(s.Step(at(time.Duration(i)*100*time.Millisecond), publish(c.live(i))))
			}
			assert.Assert(t, n <= c.most, "%d summaries in a minute, at most %d are allowed", n, c.most)
			assert.Assert(t, n >= 12, "%d summaries in a minute would let the cell expire", n)
		})
	}
}

// TestCrashIsUrgent guards against a cell that is considered live for a whole Interval
// after it lost its last upstream.
func TestCrashIsUrgent(t *testing.T) {
	s := summarizer.New("west", "")
	s.Step(at(0), publish(1))
	assert.Equal(t, len(s.Step(at(time.Second), publish(0))), 0)
	assert.Equal(t, len(s.Step(at(summarizer.UrgentInterval), publish(0))), 1)
}

// TestTableBound guards against memory that grows with invented cell names.
func TestTableBound(t *testing.T) {
	s := summarizer.New("west", "")
	for i := range 2 * summarizer.MaxCells {
		s.Step(at(0), summarizer.Merge{Began: at(0), Summaries: []summarizer.AgedSummary{news(time.Duration(i).String(), 1, 1, 1, 0)}})
	}
	assert.Equal(t, len(s.Known()), summarizer.MaxCells)
}
