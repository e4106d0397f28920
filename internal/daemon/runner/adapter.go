package runner

import (
	"slices"

	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// membership adapts the gossiper to dispatcher.Membership.
type membership struct {
	gossiper *gossiper.Gossiper
	clock    clockwork.Clock
	self     registrar.HostName
}

// Owner returns the entry host that owns the cell, if any is alive.
func (m membership) Owner(c registrar.CellName) (registrar.HostName, bool) {
	h := m.gossiper.Snapshot().Owner(c)
	return h, h != ""
}

// Successor returns the entry host that would own the cell without its owner.
func (m membership) Successor(c registrar.CellName) (registrar.HostName, bool) {
	if next := m.gossiper.Snapshot().Successors(c); len(next) > 0 {
		return next[0].Name, true
	}
	return "", false
}

// Address returns where other hosts reach the entry host.
func (m membership) Address(h registrar.HostName) (string, bool) {
	found, ok := m.gossiper.Snapshot().Host(h)
	return found.Address, ok
}

// Hosts counts the live entry hosts of this host's view.
func (m membership) Hosts() int { return len(m.gossiper.Snapshot().Hosts()) }

// Upstream looks the upstream up as of now.
func (m membership) Upstream(id registrar.UpstreamID) (registrar.Upstream, bool) {
	return m.gossiper.Snapshot().Upstream(m.clock.Now(), id)
}

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
