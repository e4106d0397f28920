package runner

import (
	"strconv"
	"strings"
	"time"

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

func (m membership) Owner(c registrar.CellName) (registrar.HostName, bool) {
	h := m.gossiper.Snapshot().Owner(c)
	return h, h != ""
}

func (m membership) Address(h registrar.HostName) (string, bool) {
	found, ok := m.gossiper.Snapshot().Host(h)
	return found.Address, ok
}

func (m membership) Hosts() int { return len(m.gossiper.Snapshot().Hosts()) }

func (m membership) Upstream(id registrar.UpstreamID) (registrar.Upstream, bool) {
	return m.gossiper.Snapshot().Upstream(m.clock.Now(), id)
}

// crashes adapts the scheduler's crash records to gossiper.Fingerprints.
type crashes struct{ local *dispatcher.Local }

// processSeparator stands between the name and the incarnation of an upstream;
// names cannot contain it.
const processSeparator = "@"

// Fingerprints returns the crash records of this host.
func (c crashes) Fingerprints() []*wire.Fingerprint {
	var all []*wire.Fingerprint
	for _, r := range c.local.Crashes() {
		f := &wire.Fingerprint{Digest: r.Fingerprint, Crashes: uint32(len(r.Crashes)), Remaining: r.Remaining.Milliseconds()}
		for _, p := range r.Crashes {
			f.Upstreams = append(f.Upstreams, string(p.Upstream)+processSeparator+strconv.FormatUint(uint64(p.Incarnation), 10))
		}
		all = append(all, f)
	}
	return all
}

// MergeFingerprints takes the records of another host.
func (c crashes) MergeFingerprints(list []*wire.Fingerprint) {
	var records []detector.Record
	for _, f := range list {
		r := detector.Record{Fingerprint: f.Digest, Remaining: time.Duration(f.Remaining) * time.Millisecond}
		for _, u := range f.Upstreams {
			name, number, ok := strings.Cut(u, processSeparator)
			incarnation, err := strconv.ParseUint(number, 10, 64)
			if !ok || err != nil {
				continue
			}
			r.Crashes = append(r.Crashes, detector.Process{Upstream: registrar.UpstreamID(name), Incarnation: registrar.Incarnation(incarnation)})
		}
		records = append(records, r)
	}
	if len(records) > 0 {
		c.local.Learn(records)
	}
}
