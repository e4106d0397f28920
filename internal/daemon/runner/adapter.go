package runner

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// membership adapts the members to dispatcher.Membership.
type membership struct {
	members members
	clock   clockwork.Clock
	started time.Time
}

// countingPeriod is the time after the start during which the number of hosts may be
// incomplete: some watching hosts may not have asked this host yet, nor another one, which
// passes their number on once a second.
const countingPeriod = 5 * time.Second

// Counted reports whether countingPeriod has passed since the start, so that the number
// of hosts is known.
func (m membership) Counted() bool { return m.clock.Since(m.started) >= countingPeriod }

// Owner returns the entry host that owns the cell, if any is alive.
func (m membership) Owner(c registrar.CellName) (registrar.HostName, bool) {
	h := m.members.Snapshot().Owner(c)
	return h, h != ""
}

// Successor returns the entry host that would own the cell if its owner were lost. It
// reports false when there is none.
func (m membership) Successor(c registrar.CellName) (registrar.HostName, bool) {
	if next := m.members.Snapshot().Successors(c); len(next) > 0 {
		return next[0].Name, true
	}
	return "", false
}

// Address returns the address at which other hosts reach the entry host.
func (m membership) Address(h registrar.HostName) (string, bool) {
	found, ok := m.members.Snapshot().Host(h)
	return found.Address, ok
}

// Hosts counts the live entry hosts.
func (m membership) Hosts() int { return m.members.Snapshot().FleetSize() }

// Schedulers counts the live hosts that may own a cell and take part in the gossip exchange.
func (m membership) Schedulers() int { return len(m.members.Snapshot().Hosts()) }

// Upstream returns the upstream if it has a valid lease now.
func (m membership) Upstream(id registrar.UpstreamID) (registrar.Upstream, bool) {
	return m.members.Snapshot().Upstream(m.clock.Now(), id)
}

// Current reports whether the view is recent enough for sending new requests.
func (m membership) Current() bool { return m.members.Current() }

// crashes adapts the scheduler's crash records to gossiper.Fingerprints.
type crashes struct {
	local *dispatcher.Local
	clock clockwork.Clock
}

// Fingerprints returns the settled crash records of this host.
func (c crashes) Fingerprints() []*wire.Fingerprint {
	now := c.clock.Now()
	return dispatcher.EncodeCrashes(c.local.Crashes().Settled(now), now)
}

// MergeFingerprints adds the crash records of another host to those of the scheduler.
func (c crashes) MergeFingerprints(list []*wire.Fingerprint) {
	if records := dispatcher.DecodeCrashes(list, c.clock.Now()); !records.Empty() {
		c.local.Learn(records)
	}
}
