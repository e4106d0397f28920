package reporter

import "time"

// CrestWindow and CrestHistory are the windows of crest attainment, the attainment at peak
// load.
const (
	// CrestWindow is the width of the busiest window. It is long enough for a steady ratio
	// and shorter than a load swing.
	CrestWindow = 5 * time.Second
	// CrestHistory is how far back the busiest window is searched for.
	CrestHistory = 10 * time.Minute

	historySeconds = int64(CrestHistory / time.Second)
	windowSeconds  = int64(CrestWindow / time.Second)
)

// bucket counts the requests that arrived within one second of Unix time and have ended,
// by whether they met their targets.
type bucket struct {
	second      int64
	met, missed int64
}

// crest keeps one bucket for each second of the history in a ring.
type crest struct {
	ring [historySeconds]bucket
}

// add counts a request that arrived at the given time and ends now. It ignores requests
// that arrived outside the history.
func (c *crest) add(arrived, now time.Time, met bool) {
	s := arrived.Unix()
	if s > now.Unix() || s <= now.Unix()-historySeconds {
		return
	}
	current := &c.ring[s%historySeconds]
	if current.second > s {
		return
	}
	if current.second != s {
		*current = bucket{second: s}
	}
	if met {
		current.met++
	} else {
		current.missed++
	}
}

// attainment returns the share of requests in the busiest window that met their targets,
// and whether there were any.
func (c *crest) attainment(now time.Time) (float64, bool) {
	var sum, best bucket
	last := now.Unix()
	for s := last - historySeconds + 1; s <= last; s++ {
		entering, leaving := c.bucketAt(s), c.bucketAt(s-windowSeconds)
		if s-windowSeconds <= last-historySeconds {
			leaving = bucket{}
		}
		sum.met += entering.met - leaving.met
		sum.missed += entering.missed - leaving.missed
		if sum.met+sum.missed > best.met+best.missed {
			best = sum
		}
	}
	return share(best.met, best.missed)
}

// bucketAt returns the bucket of a second, which is empty when no request was counted.
func (c *crest) bucketAt(second int64) bucket {
	// Seconds before the Unix epoch only occur with a broken clock.
	if second < 0 {
		return bucket{}
	}
	if b := c.ring[second%historySeconds]; b.second == second {
		return b
	}
	return bucket{}
}
