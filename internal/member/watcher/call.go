package watcher

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// ask makes a call and applies the response. It fails if another host should be asked next.
func (w *Watcher) ask(began time.Time, address string, brief bool) error {
	if address == "" {
		return errNoHost
	}
	q := w.request(began, address, brief)
	timeout := w.timeout(q)
	ctx, cancel := context.WithTimeout(w.context, timeout)
	defer cancel()
	a, err := w.caller.Members(ctx, address, q)
	if err != nil {
		return err
	}
	w.applyResponse(began, address, q, a)
	w.learn(began, address, a)
	switch {
	case brief && len(a.GetHosts()) == 0:
		return errNoHost
	case a.GetIncomplete() && !w.wantsUpstreams():
		return errIncomplete
	case !brief && !a.GetIncomplete() && w.age.isAged(w.clock.Now(), w.knownUntil(began, a)):
		return errAged
	}
	return nil
}

// timeout returns the timeout of a call: the time for which its response may wait, and the
// transit time.
func (w *Watcher) timeout(q *wire.MembersRequest) time.Duration {
	hold := w.age.hold()
	switch {
	case q.GetBrief():
		return briefTimeout
	case hold == 0:
		return callTimeout
	case q.GetEpoch() == 0:
		// The response contains the whole view and doesn't wait.
		return wholeTimeout
	}
	return hold + transitTime
}

// knownUntil returns the time up to which the other host knew all acknowledged departures
// when it responded, or the zero time if it didn't say.
func (w *Watcher) knownUntil(began time.Time, a *wire.MembersResponse) time.Time {
	if a.Known == nil {
		return time.Time{}
	}
	// The other host counts from the arrival of the call, which is not before began, so
	// the result is not too late.
	return began.Add(-time.Duration(a.GetKnown()) * time.Millisecond)
}

var (
	errNoHost     = fmt.Errorf("no host is known")
	errIncomplete = fmt.Errorf("the host has started and does not know all upstreams yet")
	errAged       = fmt.Errorf("the view of the host is outdated")
)

// request builds the request to the host at the address.
func (w *Watcher) request(now time.Time, address string, brief bool) *wire.MembersRequest {
	q := &wire.MembersRequest{
		Host: string(w.self.Name), Centre: string(w.self.Centre), Cell: string(w.self.Cell), Brief: brief,
		Hold: w.age.hold().Milliseconds(),
	}
	if w.options.Revisions != nil {
		q.Revision = w.options.Revisions.Confirmation().Revision
	}
	if w.options.Fingerprints != nil {
		q.Fingerprints = w.prints.TakeUnsent(address, w.options.Fingerprints.Fingerprints(), now)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.source.address != address || w.source.informedEpoch == 0 {
		q.Departures = gossiper.EncodeDepartures(w.mirror.Departures(now))
		w.sentBatches = w.departBatches
	}
	if w.source.address != address {
		return q
	}
	q.Epoch, q.Number = w.source.epoch, w.source.number
	if w.source.wantsUpstreams {
		w.addUpstreams(now, q)
	}
	return q
}

// addUpstreams adds the upstreams that this host knows to a request. The caller holds mu.
func (w *Watcher) addUpstreams(now time.Time, q *wire.MembersRequest) {
	list, remaining := w.mirror.LiveUpstreams(now)
	q.Remaining = remaining.Milliseconds()
	for _, u := range list {
		q.Upstreams = append(q.Upstreams, gossiper.EncodeUpstream(registrar.RelayedAnnouncement{Upstream: u}))
	}
}

// applyResponse applies a response to the mirror and records the host as the source.
func (w *Watcher) applyResponse(began time.Time, address string, q *wire.MembersRequest, a *wire.MembersResponse) {
	c := registrar.ViewUpdate{
		Began: began, Full: a.GetFull(), KnownUntil: w.knownUntil(began, a),
		Departures: gossiper.DecodeDepartures(a.GetDepartures()),
	}
	for _, h := range a.GetHosts() {
		c.Hosts = append(c.Hosts, gossiper.DecodeHost(h).Host)
	}
	for _, u := range a.GetUpstreams() {
		c.Changed = append(c.Changed, gossiper.DecodeUpstream(u).Upstream)
	}
	w.mu.Lock()
	now := w.clock.Now()
	w.age.observeResponse(now, c.Hosts, a.GetIncomplete())
	informed := w.informedEpoch(address, q, a)
	switch {
	case q.GetBrief() || a.GetIncomplete():
		sent := w.source.wantsUpstreams && w.source.address == address
		w.source = source{address: address, informedEpoch: informed}
		_, remaining := w.mirror.LiveUpstreams(now)
		w.source.wantsUpstreams = a.GetIncomplete() && !sent && remaining > 0
		w.queue = append(w.queue, w.mirror.ApplyHosts(now, c.Hosts)...)
	default:
		w.source = source{address: address, epoch: a.GetEpoch(), number: a.GetNumber(), informedEpoch: informed}
		before := w.mirror.Snapshot()
		actions := w.mirror.Apply(now, c)
		w.logListing(now, before, address, c.Full, actions)
		w.queue = append(w.queue, actions...)
		if !now.Before(began.Add(w.options.Lease)) {
			// The response came too late to be applied, so later changes must not
			// refer to it.
			w.source.epoch, w.source.number = 0, 0
		}
	}
	w.mu.Unlock()
	w.deliver()
}

// informedEpoch returns the epoch of the response if the other host knows, in that epoch,
// all departures that this host knows, and 0 otherwise. The caller holds mu.
func (w *Watcher) informedEpoch(address string, q *wire.MembersRequest, a *wire.MembersResponse) uint64 {
	known := w.source.address == address && w.source.informedEpoch == a.GetEpoch()
	brought := len(q.GetDepartures()) > 0 && w.sentBatches == w.departBatches
	if known || brought || len(w.mirror.Departures(w.clock.Now())) == 0 {
		return a.GetEpoch()
	}
	return 0
}

// learn processes the fingerprints and the confirmation in a response.
func (w *Watcher) learn(began time.Time, address string, a *wire.MembersResponse) {
	if prints := a.GetFingerprints(); len(prints) > 0 && w.options.Fingerprints != nil {
		w.options.Fingerprints.MergeFingerprints(prints)
	}
	if w.options.Revisions == nil || a.GetRevision() == 0 {
		return
	}
	c := gossiper.Confirmation{Revision: a.GetRevision(), Check: a.GetCheck(), Age: -1}
	if a.Confirmed != nil {
		// The confirmation counts from its own time, which is later than the start of
		// the call if it came while the response waited.
		confirmedAt := began.Add(-time.Duration(a.GetConfirmed()) * time.Millisecond)
		began, c.Age = confirmedAt, 0
	}
	w.options.Revisions.Learn(address, began, c)
}
