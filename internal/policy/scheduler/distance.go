package scheduler

import "time"

const (
	// farTime is the cost of an answer from an engine in another data centre: the difference
	// in waiting time up to which callers don't notice that the near one was chosen.
	farTime = 30 * time.Millisecond
	// farWeight is the cost of sending a prompt to an engine in another data centre, as a
	// part of the time to read all of it.
	farWeight = 0.3
	// farPart is the part of its slots by which the load of an upstream in another data
	// centre has to be lower for it to be preferred to one in the data centre of the
	// request's host.
	farPart = 0.3
)

// isFar reports whether the upstream is in another data centre than the host that sends the
// request, as far as both are known.
func (u *upstream) isFar(r *request) bool {
	return r.Centre != "" && u.Centre != "" && u.Centre != r.Centre
}

// farCost returns the cost of running the request on an engine in another data centre. It
// is 0 for a prompt with a long shared part: requests of all data centres have to find the
// one engine that holds it, also while each host looks for it on its own.
func (s *Scheduler) farCost(u *upstream, r *request) time.Duration {
	if !u.isFar(r) || r.sharedTokens() >= minShared {
		return 0
	}
	return farTime + time.Duration(farWeight*float64(s.readTime(u, r, r.Prompt)))
}

// farLoad returns what is added to the load of an upstream in another data centre.
func (u *upstream) farLoad(r *request) float64 {
	if u.isFar(r) {
		return farPart
	}
	return 0
}

// sharedTokens returns the number of tokens in the parts of the prompt that other requests
// may share: all but the last one.
func (r *request) sharedTokens() int {
	n := min(len(r.Prefix), len(r.Ends))
	if n < 2 {
		return 0
	}
	return r.Ends[n-2]
}
