package runner

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
	"github.com/amaranthcart/amaranthcart/internal/usage/accountant"
	"github.com/amaranthcart/amaranthcart/internal/usage/collector"
	"github.com/amaranthcart/amaranthcart/internal/usage/counter"
)

// usageDuty is the name of the lease for usage reports.
const usageDuty = "usage"

// offerInterval is how often a host checks whether it owns its cell, for the duty.
const offerInterval = 100 * time.Millisecond

// usage counts what upstreams begin, and reports it on the owner of the cell.
type usage struct {
	entry   *entry
	counter *counter.Counter
	// accountant is nil on a host that may not own the default cell.
	accountant *accountant.Accountant
	group      conc.WaitGroup
	stop       chan struct{}
}

// newUsage returns the part for usage reports, or nil if the settings call for none.
func newUsage(e *entry, p provider.Provider) *usage {
	settings := e.settings.Provider
	if settings == nil || settings.Usage == nil || p == nil {
		return nil
	}
	window, late := time.Duration(settings.Usage.Window), time.Duration(settings.Usage.Late)
	u := &usage{entry: e, counter: counter.New(window, e.leaseClock, e.clock), stop: make(chan struct{})}
	if !e.settings.MayOwnCell() || e.settings.Cell != loader.DefaultCell {
		return u
	}
	group, registry := newControlGroup(e, groupTimeout), e.reporter.Registry()
	taken := metrics.GetOrRegisterCounter("usage.taken", registry)
	lost := metrics.GetOrRegisterCounter("usage.lost", registry)
	changed := func(held bool) {
		if held {
			taken.Inc(1)
			return
		}
		lost.Inc(1)
	}
	u.accountant = accountant.New(accountant.Options{
		Keeper: e.newKeeper(usageDuty, group, changed), Store: group, Provider: p,
		Counter: u.counter, Host: e.settings.Name, Window: window, Late: late,
		Clock: e.leaseClock, Logger: e.logger.Named("usage"), Metrics: registry,
	})
	return u
}

// messages returns what the links of the cell carry for usage reports; nil without them.
func (u *usage) messages() *dispatcher.Usage {
	if u == nil {
		return nil
	}
	m := &dispatcher.Usage{Counter: u.counter}
	if a := u.accountant; a != nil {
		m.Time = a.Time
		m.Collect = func(n dispatcher.UsageNews) {
			a.Merge(collector.Source{Host: n.Host, Boot: n.Boot}, n.Clock, n.Counts)
		}
	}
	return m
}

// begun returns the function that counts a request; nil without usage reports.
func (u *usage) begun() func(validator.OrganisationName) {
	if u == nil {
		return nil
	}
	return u.counter.Begun
}

// start offers this host for the duty while it owns its cell.
func (u *usage) start() {
	if u == nil || u.accountant == nil {
		return
	}
	u.group.Go(func() {
		ticker := u.entry.clock.NewTicker(offerInterval)
		defer ticker.Stop()
		for {
			select {
			case <-u.stop:
				return
			case <-ticker.Chan():
				u.accountant.Offer(u.entry.server.Owns())
			}
		}
	})
}

// close ends the calls, releases the duty and waits.
func (u *usage) close() {
	if u == nil {
		return
	}
	close(u.stop)
	u.group.Wait()
	if u.accountant != nil {
		u.accountant.Close()
	}
}
