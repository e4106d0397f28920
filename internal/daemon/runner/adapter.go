package runner

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// membership adapts the members to dispatcher.Membership.
type membership struct {
	members members
	clock   clockwork.Clock
	started time.Time
}

// countTime is how long after the start the watching hosts may not all have asked this
// host or another one, which passes their number on once a second.
const countTime = 5 * time.Second

// Counted reports whether the number of hosts is known.
func (m membership) Counted() bool { return m.clock.Since(m.started) >= countTime }

// Owner returns the entry host that owns the cell, if any is alive.
func (m membership) Owner(c registrar.CellName) (registrar.HostName, bool) {
	h := m.members.Snapshot().Owner(c)
	return h, h != ""
}

// Successor returns the entry host that would own the cell without its owner.
func (m membership) Successor(c registrar.CellName) (registrar.HostName, bool) {
	if next := m.members.Snapshot().Successors(c); len(next) > 0 {
		return next[0].Name, true
	}
	return "", false
}

// Address returns where other hosts reach the entry host.
func (m membership) Address(h registrar.HostName) (string, bool) {
	found, ok := m.members.Snapshot().Host(h)
	return found.Address, ok
}

// Hosts counts the live entry hosts.
func (m membership) Hosts() int { return m.members.Snapshot().FleetSize() }

// Schedulers counts the live hosts that exchange all news.
func (m membership) Schedulers() int { return len(m.members.Snapshot().Hosts()) }

// Upstream looks the upstream up as of now.
func (m membership) Upstream(id registrar.UpstreamID) (registrar.Upstream, bool) {
	return m.members.Snapshot().Upstream(m.clock.Now(), id)
}

// Current reports whether the view is young enough to send new requests on.
func (m membership) Current() bool { return m.members.Current() }

// crashes adapts the scheduler's crash records to gossiper.Fingerprints.
type crashes struct{ local *dispatcher.Local }

// Fingerprints returns the crash records of this host that are certain.
func (c crashes) Fingerprints() []*wire.Fingerprint {
	records := c.local.Crashes()
	records = slices.DeleteFunc(records, func(r detector.Record) bool { return !r.Settled() })
	return dispatcher.EncodeCrashes(records)
}

// MergeFingerprints takes the records of another host.
func (c crashes) MergeFingerprints(list []*wire.Fingerprint) {
	if records := dispatcher.DecodeCrashes(list); len(records) > 0 {
		c.local.Learn(records)
	}
}
