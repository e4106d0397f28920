package follower

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// Times of the calls to control.
const (
	// CallTimeout bounds one call to another host.
	CallTimeout = 700 * time.Millisecond
	// HedgeDelay is how long a control host may take to confirm before the next one
	// is asked as well. A quorum check takes a few round trips; a host that is
	// silently cut off never answers.
	HedgeDelay = 250 * time.Millisecond
	// Askers is how many hosts of a cell normally ask control.
	Askers = 2
	// AskInterval is the age of the latest known confirmation at which these
	// hosts ask.
	AskInterval = time.Second
	// AskAge is the least age at which other hosts ask. The answers that the askers
	// get normally reach all hosts of a cell earlier, so this happens only when the
	// askers are cut off.
	AskAge = 3 * time.Second
	// AskSpread is the least time after AskAge over which the calls of all hosts are
	// spread. AskAge, AskSpread, HedgeDelay and CallTimeout add up to less than
	// LeaseDuration.
	AskSpread = 800 * time.Millisecond
	// AskRate is the number of attempts a second that all hosts of a cell but the askers
	// make together at most, on average. Without it the calls of a large fleet keep
	// control hosts late that are late already.
	AskRate = 150
	// AskTries is the number of control hosts that such a host asks in one attempt.
	AskTries = 2
	// RetryInterval is the least mean time between attempts while none succeeds.
	RetryInterval = 500 * time.Millisecond
	// SilenceTimeout is how long a stream may bring no message before it is replaced.
	// Control sends a heartbeat every second.
	SilenceTimeout = 3 * time.Second
	// StreamRate is the rate in bytes a second at which a stream carries a large revision
	// at least, on top of SilenceTimeout. It is a little less than 10 Mbit/s.
	StreamRate = 1 << 20
	// ReconnectDelay is the mean delay before a stream that ended is opened again. It
	// doubles with each stream in a row that brought nothing.
	ReconnectDelay = 200 * time.Millisecond
	// MaxReconnectDelay bounds the mean delay when all control hosts fail.
	MaxReconnectDelay = 2 * time.Second
)

// maxRevisionBytes bounds the size of a revision that a stream may announce.
const maxRevisionBytes = 4 << 20

// askPlan says when this host asks control.
type askPlan struct {
	// confirmed is the time of the confirmation that the delay was drawn for.
	confirmed time.Time
	// delay is the age of the confirmation at which this host asks.
	delay time.Duration
	// nextTry is the earliest time of the next attempt.
	nextTry time.Time
}

// Rank is the place of this host among the hosts of its cell, counted from 0, and
// their number. All hosts of the cell agree on the order.
type Rank struct {
	Place, Hosts int
}

// askDelay returns the age of the latest confirmation at which a host asks, for a
// random number u from 0 to 1. Hosts that are not askers mostly get a long delay:
// whatever the size of the cell, about the same number of them asks before the
// first answer has reached the others.
func askDelay(u float64, r Rank) time.Duration {
	if r.Place < Askers {
		return AskInterval
	}
	n := math.Max(float64(r.Hosts), 2)
	share := 1 + math.Log(math.Max(u, 1/n))/math.Log(n)
	return AskAge + max(time.Duration(share*float64(AskSpread)), r.turn(u))
}

// turn returns the place of a host, for a random number u from 0 to 1, in the time that the
// attempts of all hosts take at AskRate.
func (r Rank) turn(u float64) time.Duration {
	return time.Duration(u * float64(r.Hosts) / AskRate * float64(time.Second))
}

// retryPause returns the time between two attempts of a host while none succeeds, for a
// random number u from 0 to 1. Hosts that are spread over the turns of all stay so.
func (r Rank) retryPause(u float64) time.Duration {
	pause := time.Duration((0.5 + u) * float64(RetryInterval))
	if r.Place < Askers {
		return pause
	}
	return max(pause, r.turn(1))
}

// due reports whether a host has to ask control now when its latest confirmation
// is of the given time. If so, it records the attempt. u is a random number from 0
// to 1.
func (p *askPlan) due(now, confirmed time.Time, u float64, r Rank) bool {
	if !confirmed.Equal(p.confirmed) {
		*p = askPlan{confirmed: confirmed, delay: askDelay(u, r)}
	}
	if !confirmed.IsZero() && now.Sub(confirmed) < p.delay {
		return false
	}
	if now.Before(p.nextTry) {
		return false
	}
	p.nextTry = now.Add(r.retryPause(u))
	return true
}

// confirmationDue reports whether this host has to ask control.
func (f *Follower) confirmationDue() bool {
	rank, u, now := f.rank(), f.randomFloat(), f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asking.due(now, f.core.Confirmed(), u, rank)
}

func (f *Follower) confirmLoop() {
	turn := int(f.randomFloat() * float64(len(f.addresses())))
	failed := map[string]time.Time{}
	for {
		select {
		case <-f.context.Done():
			return
		case <-f.clock.After(tickInterval):
		}
		if f.confirmationDue() {
			f.confirm(turn, failed)
			turn++
		}
	}
}

// confirm asks control hosts in turn, those that failed within the last lease
// duration last, until one confirms. A host that takes longer than HedgeDelay counts
// as failed, and the next one is asked as well; all but the askers ask AskTries of them.
// The map failed holds the time of each host's last failure.
func (f *Follower) confirm(turn int, failed map[string]time.Time) {
	known := f.addresses()
	order := make([]string, 0, len(known))
	for i := range known {
		order = append(order, known[(turn+i)%len(known)])
	}
	now := f.clock.Now()
	lately := func(a string) int {
		if t, ok := failed[a]; ok && now.Sub(t) < LeaseDuration {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(a, b string) int { return lately(a) - lately(b) })
	if f.rank().Place >= Askers {
		order = order[:min(len(order), AskTries)]
	}

	ctx, cancel := context.WithCancel(f.context)
	var calls conc.WaitGroup
	defer calls.Wait()
	defer cancel()
	var mu sync.Mutex
	results := make(chan bool, len(order))
	pending := 0
	for _, a := range order {
		calls.Go(func() {
			err := f.confirmWith(ctx, a)
			mu.Lock()
			defer mu.Unlock()
			delete(failed, a)
			if err != nil && ctx.Err() == nil {
				failed[a] = f.clock.Now()
			}
			results <- err == nil
		})
		pending++
		select {
		case ok := <-results:
			pending--
			if ok {
				return
			}
		case <-f.clock.After(HedgeDelay):
			mu.Lock()
			failed[a] = f.clock.Now()
			mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
	for ; pending > 0; pending-- {
		if <-results {
			return
		}
	}
}

func (f *Follower) confirmWith(ctx context.Context, address string) error {
	began := f.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	f.mu.Lock()
	number := f.core.Current().Number
	f.mu.Unlock()
	q := &wire.ConfirmRequest{Host: f.host, Centre: f.centre, Revision: number, Others: f.others()}
	a, err := f.network.Confirm(ctx, address, q)
	if err != nil {
		f.log.Debug("A control host did not confirm.", zap.Error(err))
		return err
	}
	f.apply(Confirmed{Number: a.GetRevision(), Check: HashDigest(a.GetDigest()), At: began, Source: Source{Address: address}})
	return nil
}

// watchLoop keeps one stream to a control host open and moves to the next one
// when it ends or goes silent.
func (f *Follower) watchLoop() {
	turn := int(f.randomFloat() * float64(len(f.addresses())))
	for failures := 0; ; {
		known := f.addresses()
		address := known[turn%len(known)]
		turn++
		if f.watch(address, failures) {
			failures = 0
		} else {
			failures++
		}
		pause := min(ReconnectDelay<<min(failures, 8), MaxReconnectDelay)
		select {
		case <-f.context.Done():
			return
		case <-f.clock.After(time.Duration((0.5 + f.randomFloat()) * float64(pause))):
		}
	}
}

// watch follows one control host until its stream ends or goes silent, and reports
// whether it sent anything. The argument failures counts the streams in a row before
// it that brought nothing.
func (f *Follower) watch(address string, failures int) bool {
	ctx, cancel := context.WithCancel(f.context)
	defer cancel()
	silence := f.clock.AfterFunc(SilenceTimeout, cancel)
	defer silence.Stop()
	f.mu.Lock()
	number := f.core.Current().Number
	f.mu.Unlock()
	heard := false
	defer f.coming.Store(0)
	err := f.network.Watch(ctx, address, &wire.WatchRequest{Host: f.host, Centre: f.centre, Revision: number}, func(m *wire.WatchResponse) {
		if !heard && failures > 0 {
			f.log.Info("The stream from control is open again.", zap.String("address", address))
		}
		heard = true
		silence.Reset(SilenceTimeout + time.Duration(min(m.GetSize(), maxRevisionBytes))*time.Second/StreamRate)
		f.coming.Store(m.GetComing())
		if r := m.GetRevision(); r != nil {
			f.apply(Offered{Revision: decodeRevision(r), Source: Source{Address: address}})
		}
	})
	if f.context.Err() == nil {
		if !heard {
			failures++
		}
		f.logStreamEnd(address, heard, failures, err)
	}
	return heard
}

// logStreamEnd logs the end of a stream. While control is down a stream ends every
// second or so, so only the first failure and the one after which all control
// hosts have failed are logged above the debug level. A stream that brought a message
// before it ended is always logged as a warning.
func (f *Follower) logStreamEnd(address string, heard bool, failures int, err error) {
	level, message := zap.DebugLevel, "The stream from control ended; trying the next control host."
	switch {
	case heard || failures == 1 && len(f.addresses()) > 1:
		level = zap.WarnLevel
	case failures == len(f.addresses()):
		level, message = zap.WarnLevel, "No control host sends its stream; trying them in turn until one does."
	}
	f.log.Log(level, message, zap.String("address", address), zap.Error(err))
}
