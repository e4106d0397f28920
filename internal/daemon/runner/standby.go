package runner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// joinTime is how long a starting host waits for an answer from another one.
	// It covers several exchanges with each seed.
	joinTime = 3 * time.Second
	// standPoll is how often a host looks whether it stands for owner of its cell.
	standPoll = 50 * time.Millisecond
	// viewTime is how long a host that has met another one, or has stood still,
	// leaves the cell to the others. It covers an exchange of news, so that a host
	// which takes the cell over knows its upstreams.
	viewTime = time.Second
	// stallTime is the pause between two looks from which the host has stood still
	// for so long that the others have another owner.
	stallTime = 600 * time.Millisecond
	// restTime is how long a host that stood still leaves the cell to the others. Each
	// change of the owner costs the cell what the last one knew of the engines.
	restTime = 30 * time.Second
)

// candidacy decides whether a host stands for owner of its cell.
type candidacy struct {
	// met is when the host first met another one, or woke.
	met time.Time
	// rest is until when the host stays away because it stood still.
	rest time.Time
	last time.Time
	// stands is set while it stands for owner.
	stands bool
}

// review looks at the host's situation: whether it has met another host, and whether
// the cell has an owner among the others. It reports whether the host stood still.
func (c *candidacy) review(now time.Time, joined, owned bool) (stalled bool) {
	stalled = c.stands && now.Sub(c.last) > stallTime
	c.last = now
	switch {
	case stalled:
		c.stands, c.met, c.rest = false, now, now.Add(restTime)
	case c.stands || !joined:
	case c.met.IsZero():
		c.met = now
		c.stands = !owned
	case c.rest.IsZero():
		c.stands = !owned || now.Sub(c.met) >= viewTime
	default:
		c.stands = now.Sub(c.met) >= viewTime && (!owned || !now.Before(c.rest))
	}
	return stalled
}

// joined reports whether this host has met another entry host, or has tried for
// long enough. Before that it would take itself for the owner of the cell and
// dispatch beside the real one, without knowing which requests crash upstreams.
func (e *entry) joined() bool {
	if len(e.members.Snapshot().Hosts()) > 1 || e.clock.Since(e.started) > joinTime {
		return true
	}
	return e.alone()
}

// alone reports whether the settings name no other entry host.
func (e *entry) alone() bool {
	return !slices.ContainsFunc(e.settings.Seeds, func(address string) bool { return address != e.settings.Advertise })
}

// stand offers this host as owner of its cell once it knows the cell, or at once
// if it has met another host and the cell has no owner. A host that stood still
// leaves the cell to the others for a time.
func (e *entry) stand(ctx context.Context) {
	t := e.clock.NewTicker(standPoll)
	defer t.Stop()
	var c candidacy
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		stood := c.stands
		owned := e.members.Snapshot().Owner(e.settings.Cell) != ""
		if c.review(e.awake.Now(), e.joined(), owned) {
			e.logger.Info("this host stood still; it leaves the cell to the others", zap.Duration("rest", restTime))
		}
		if c.stands != stood {
			e.members.Drain(!c.stands)
		}
	}
}

// withdraw ends the candidacy, so that it can't offer a host that is stopping.
func (e *entry) withdraw() {
	if e.standby != nil {
		e.standby()
	}
	e.group.Wait()
}
