package reporter

import "time"

// Windows of the crest measure.
const (
	// CrestWindow is long enough for a steady share and shorter than a load
	// swing.
	CrestWindow = 5 * time.Second
	// CrestHistory is how far back the busiest window is looked for.
	CrestHistory = 10 * time.Minute

	buckets = int64(CrestHistory / time.Second)
	window  = int64(CrestWindow / time.Second)
)

// bucket counts the requests that arrived within one second.
type bucket struct {
	second      int64
	met, missed int64
}

// crest keeps one bucket for each second of the history in a ring.
type crest struct {
	ring [buckets]bucket
}

// add counts a request that arrived at the given time and has ended now.
func (c *crest) add(arrived, now time.Time, met bool) {
	s := arrived.Unix()
	if s > now.Unix() || s <= now.Unix()-buckets {
		return
	}
	b := &c.ring[s%buckets]
	if b.second > s {
		return
	}
	if b.second != s {
		*b = bucket{second: s}
	}
	if met {
		b.met++
	} else {
		b.missed++
	}
}

// attainment returns the share of met requests in the busiest window.
func (c *crest) attainment(now time.Time) (float64, bool) {
	var sum, best bucket
	last := now.Unix()
	for s := last - buckets + 1; s <= last; s++ {
		in, out := c.at(s), c.at(s-window)
		if s-window <= last-buckets {
			out = bucket{}
		}
		sum.met += in.met - out.met
		sum.missed += in.missed - out.missed
		if sum.met+sum.missed > best.met+best.missed {
			best = sum
		}
	}
	return share(best.met, best.missed)
}

func (c *crest) at(second int64) bucket {
	// Seconds before the Unix epoch only occur with a broken clock.
	if second < 0 {
		return bucket{}
	}
	if b := c.ring[second%buckets]; b.second == second {
		return b
	}
	return bucket{}
}
