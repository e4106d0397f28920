// Package keeper holds the lease of a duty: of the calls to the provider that one host at
// a time makes for the whole deployment.
//
// A keeper that is offered the duty asks control for the lease of its name and renews it.
// Its host makes a call only while Authority says so, and looks again right before the
// call is written, because a process may be frozen at any moment. The lease counts from
// the start of the call that renewed it. Control counts it from the log entry, which is
// later.
//
// A host that has acted under an earlier fencing number does not act under a new one
// before a lease and the time of a call have passed, because another host may have acted
// in between. The same holds after the start of a process, for the one before it.
//
// # Usage
//
//	k := keeper.New("usage", control, keeper.WithHolder(host), keeper.WithDuration(lease))
//	defer k.Close()
//	k.Offer(true)
//	if a, ok := k.Authority(); ok {
//		err := p.ReportUsage(k.Guard(ctx, a), a, report)
//		// Succeeded, Failed or Refused, as the error says.
//	}
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// DefaultDuration is the duration of a lease without WithDuration.
const DefaultDuration = 10 * time.Second

// Leaser grants leases: Control.Lease at one of the control hosts.
type Leaser interface {
	Lease(context.Context, *wire.LeaseRequest) (*wire.LeaseResponse, error)
}

// Keeper holds the lease of one duty. It is safe for concurrent use.
type Keeper struct {
	name     string
	leaser   Leaser
	holder   registrar.HostName
	duration time.Duration
	clock    clockwork.Clock
	logger   *zap.Logger
	token    func() string
	changed  func(held bool)

	group conc.WaitGroup
	once  sync.Once
	// requests ends at Close, and the calls to control that ask for the lease with it.
	requests context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	lease *lease
	// reported is whether the last log line said that the duty is held.
	reported bool
}

// Option configures a new Keeper.
type Option func(*Keeper)

// WithHolder sets the name of this host in calls and for operators.
func WithHolder(h registrar.HostName) Option { return func(k *Keeper) { k.holder = h } }

// WithDuration sets the duration of the lease.
func WithDuration(d time.Duration) Option { return func(k *Keeper) { k.duration = d } }

// WithClock sets the clock, which has to count the time for which the machine was
// suspended.
func WithClock(c clockwork.Clock) Option { return func(k *Keeper) { k.clock = c } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(k *Keeper) { k.logger = l } }

// WithToken sets the source of unique tokens.
func WithToken(f func() string) Option { return func(k *Keeper) { k.token = f } }

// WithChanged sets a function that is called when the duty was taken or lost. It must not
// call the keeper.
func WithChanged(f func(held bool)) Option { return func(k *Keeper) { k.changed = f } }

// New returns a keeper of the duty with the name, and starts it. It asks for nothing
// before Offer.
func New(name string, leaser Leaser, options ...Option) *Keeper {
	k := &Keeper{
		name:     name,
		leaser:   leaser,
		duration: DefaultDuration,
		clock:    clockwork.NewRealClock(),
		logger:   zap.NewNop(),
		token:    uuid.NewString,
		changed:  func(bool) {},
	}
	for _, o := range options {
		o(k)
	}
	k.lease = newLease(k.clock.Now(), k.duration, k.token)
	k.requests, k.cancel = context.WithCancel(context.Background())
	k.group.Go(k.run)
	return k
}

// Offer says whether this host wants the duty. When it no longer does, the lease is
// released; its calls have to be over by then.
func (k *Keeper) Offer(wanted bool) {
	k.step(offer{wanted: wanted && k.requests.Err() == nil})
}

// Authority returns what a call that starts now carries. It reports false while this host
// does not hold the duty.
func (k *Keeper) Authority() (provider.Authority, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fence, ok := k.lease.act(k.clock.Now())
	k.report(ok)
	return provider.Authority{Holder: k.holder, Fence: fence}, ok
}

// Guard returns a context for a call under the authority. The call is not written once
// the duty is lost or has another fencing number.
func (k *Keeper) Guard(ctx context.Context, a provider.Authority) context.Context {
	return provider.WithPermit(ctx, func() bool {
		now, ok := k.Authority()
		return ok && now.Fence == a.Fence
	})
}

// Refused says that the provider has seen a higher fencing number. The lease is released
// and not asked for within its duration.
func (k *Keeper) Refused() { k.step(refused{}) }

// Failed says that a call had no clear answer. After several in a row the lease is
// released and left to another host for its duration.
func (k *Keeper) Failed() { k.step(failed{}) }

// Succeeded says that a call had a clear answer.
func (k *Keeper) Succeeded() { k.step(succeeded{}) }

// Close releases the lease and waits for all goroutines. Later calls do nothing.
func (k *Keeper) Close() {
	k.once.Do(func() {
		k.cancel()
		k.Offer(false)
		k.group.Wait()
	})
}

// run renews the lease until Close.
func (k *Keeper) run() {
	ticker := k.clock.NewTicker(k.duration / ticksPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-k.requests.Done():
			return
		case <-ticker.Chan():
			k.step(tick{})
		}
	}
}

// step handles an event and carries out what follows from it.
func (k *Keeper) step(e event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	for _, a := range k.lease.step(now, e) {
		switch a := a.(type) {
		case request:
			k.group.Go(func() { k.ask(a) })
		case release:
			k.group.Go(func() { k.release(a) })
		}
	}
	k.report(k.lease.holds(now))
}

// report logs that the duty was taken or lost.
func (k *Keeper) report(held bool) {
	if held == k.reported {
		return
	}
	k.reported = held
	k.changed(held)
	text := "duty lost"
	if held {
		text = "duty taken"
	}
	k.logger.Info(text, zap.String("duty", k.name), zap.Uint64("fence", uint64(k.lease.fence)))
}

// ask requests or renews the lease.
func (k *Keeper) ask(a request) {
	ctx, cancel := clockwork.WithTimeout(k.requests, k.clock, k.callTimeout())
	defer cancel()
	r, err := k.leaser.Lease(ctx, &wire.LeaseRequest{
		Name: k.name, Holder: string(k.holder), Token: a.token, Duration: k.duration.Milliseconds(),
	})
	if err != nil {
		k.logger.Info("control did not answer a request for a lease", zap.String("duty", k.name), zap.Error(err))
		k.step(unanswered{token: a.token})
		return
	}
	k.step(answer{
		token: a.token, sent: a.sent, granted: r.Granted, fence: provider.Fence(r.Fence),
		remaining: time.Duration(r.Remaining) * time.Millisecond,
	})
}

// release gives the lease back. Control ends it by itself when the call is lost.
func (k *Keeper) release(a release) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), k.clock, k.callTimeout())
	defer cancel()
	q := &wire.LeaseRequest{Name: k.name, Holder: string(k.holder), Token: a.token, Release: true}
	if _, err := k.leaser.Lease(ctx, q); err != nil {
		k.logger.Info("control did not answer the release of a lease", zap.String("duty", k.name), zap.Error(err))
	}
}

// callTimeout bounds a call to control. An answer that comes later leaves little of the
// lease.
func (k *Keeper) callTimeout() time.Duration { return k.duration / 2 }
