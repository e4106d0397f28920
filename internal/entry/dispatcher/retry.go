package dispatcher

import (
	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// The hosts of a cell have equal parts of its retry budgets. A host passes its part to the
// owner by linking to it; the owner tells the host what that part is worth, and the host
// takes it along when the link ends. So what is saved up exists once, whichever hosts
// schedule, and the next owner has what the last one left.

const (
	// retryStep is the change of a host's part of a budget, in repeats, from which on the
	// host is told.
	retryStep = 0.05
	// maxRepeats bounds the repeats in another host's message.
	maxRepeats = 1e6
)

// deposit adds saved repeats to the budgets of the scheduler.
func (l *Local) deposit(list []scheduler.Deposit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range list {
		l.step(d)
	}
	l.publishShares()
}

// withdraw removes saved repeats, which another host uses from now on.
func (l *Local) withdraw(list []scheduler.Deposit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range list {
		l.step(scheduler.Withdraw(d))
	}
	l.publishShares()
}

// takeRepeats removes and returns all that the scheduler has saved up.
func (l *Local) takeRepeats() []scheduler.Deposit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.TakeRepeats()
}

// setRetryPart sets the part of the cell's hosts whose repeats the scheduler allows.
func (l *Local) setRetryPart(part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(scheduler.RetryPart{Part: part})
}

// publishShares computes the part of the budgets that each linked host has. The caller
// holds mu.
func (l *Local) publishShares() {
	hosts := 1 + l.linkedHosts.Load()
	if hosts == 1 {
		l.shares.Store(nil)
		return
	}
	list := l.scheduler.SavedRepeats()
	for i := range list {
		list[i].Repeats /= float64(hosts)
	}
	l.shares.Store(&list)
}

// newShares returns the parts of the budgets that the host has to be told. The caller
// holds mu.
func (n *session) newShares() []*wire.RetryShare {
	list := n.server.settings.Local.shares.Load()
	if n.foreign || list == nil {
		return nil
	}
	var news []scheduler.Deposit
	for _, d := range *list {
		if change := d.Repeats - n.told[d.Pool]; change >= retryStep || change <= -retryStep {
			n.told[d.Pool] = d.Repeats
			news = append(news, d)
		}
	}
	return encodeRepeats(news)
}

// takeShare takes what the owner says about this host's part. The caller holds mu.
func (l *link) takeShare(list []*wire.RetryShare) {
	for _, d := range decodeRepeats(list) {
		l.share[d.Pool] = d.Repeats
	}
}

// endShare returns this host's part of the budgets, which the link leaves to it.
func (l *link) endShare() []scheduler.Deposit {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := listRepeats(l.share)
	clear(l.share)
	return list
}

// pass gives this host's part of the budgets to the owner.
func (l *link) pass(list []scheduler.Deposit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending.retries = encodeRepeats(list)
	l.signal()
}

func listRepeats(m map[validator.PoolName]float64) []scheduler.Deposit {
	list := make([]scheduler.Deposit, 0, len(m))
	for name, n := range m {
		list = append(list, scheduler.Deposit{Pool: name, Repeats: n})
	}
	return list
}

func encodeRepeats(list []scheduler.Deposit) []*wire.RetryShare {
	var all []*wire.RetryShare
	for _, d := range list {
		all = append(all, &wire.RetryShare{Pool: string(d.Pool), Repeats: d.Repeats})
	}
	return all
}

// decodeRepeats returns the parts in a message. It leaves out what is no number from 0 to
// maxRepeats.
func decodeRepeats(list []*wire.RetryShare) []scheduler.Deposit {
	var all []scheduler.Deposit
	for _, m := range list {
		if m.Repeats >= 0 && m.Repeats <= maxRepeats {
			all = append(all, scheduler.Deposit{Pool: validator.PoolName(m.Pool), Repeats: m.Repeats})
		}
	}
	return all
}

// updateRetryPart sets the part of the cell's hosts whose repeats this host's scheduler
// allows. A host that doesn't know the number of hosts saves up as little as possible.
func (f *ownerTracker) updateRetryPart() {
	s := f.cell.settings
	hosts := float64(f.hostCount.count())
	switch {
	case f.owning:
		s.Local.setRetryPart(min(float64(1+s.Local.linkedHosts.Load())/hosts, 1))
	case s.Membership.Counted():
		s.Local.setRetryPart(1 / hosts)
	default:
		s.Local.setRetryPart(0)
	}
}
