package dispatcher

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

const (
	// surveyInterval is how often the owner looks for upstreams that it has not asked
	// yet.
	surveyInterval = 250 * time.Millisecond
	// surveyBatch is the number of upstreams asked in a review. A new owner has to take
	// over the requests of all hosts at the same time.
	surveyBatch = 40
	// surveyCalls is the number of calls at a time. It bounds the memory that answers take,
	// also those of upstreams that send bytes without end.
	surveyCalls = 4
	// surveyTimeout bounds one call. A later answer is of little use: the owner knows by
	// then what it sent there itself.
	surveyTimeout = time.Second
)

// Inventory asks upstreams which parts of prompts they cache.
type Inventory interface {
	// Kept returns the cached blocks of prompts of an upstream. It ends with ctx.
	Kept(ctx context.Context, u registrar.Upstream) ([]scheduler.Block, error)
}

// surveyor asks each engine with a known memory once for its cached prompts, when this
// host has become the owner of the cell. The last owner, which knew them, may be lost.
type surveyor struct {
	settings Settings
	// asked holds the incarnation of each engine that was asked. nextReview is the
	// earliest time of the next review.
	asked      map[registrar.UpstreamID]registrar.Incarnation
	nextReview time.Time
	// calls holds one value for each call that is open.
	calls chan struct{}
	group conc.WaitGroup
}

func newSurveyor(s Settings) *surveyor {
	return &surveyor{settings: s, asked: map[registrar.UpstreamID]registrar.Incarnation{}, calls: make(chan struct{}, surveyCalls)}
}

// review asks the engines that have not been asked since this host owns the cell, or
// since they restarted. It does nothing when less than surveyInterval has passed.
func (v *surveyor) review(ctx context.Context, owning bool) {
	if v.settings.Inventory == nil {
		return
	}
	if !owning {
		clear(v.asked)
		return
	}
	now := v.settings.Clock.Now()
	if now.Before(v.nextReview) {
		return
	}
	v.nextReview = now.Add(surveyInterval)
	asked := 0
	for _, u := range v.settings.Local.engines() {
		if asked >= surveyBatch {
			return
		}
		if known, ok := v.asked[u.Name]; ok && known == u.Incarnation {
			continue
		}
		if !v.settings.Local.spend(u.Name) {
			continue
		}
		v.asked[u.Name] = u.Incarnation
		asked++
		v.group.Go(func() { v.ask(ctx, u) })
	}
}

// ask asks one engine and passes its answer to the scheduler.
func (v *surveyor) ask(ctx context.Context, u registrar.Upstream) {
	select {
	case v.calls <- struct{}{}:
		defer func() { <-v.calls }()
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	blocks, err := v.settings.Inventory.Kept(ctx, u)
	if err != nil {
		v.settings.Logger.Info("could not get the prompts cached by an upstream", zap.String("upstream", string(u.Name)), zap.Error(err))
		return
	}
	v.settings.Logger.Info("got the prompts cached by an upstream", zap.String("upstream", string(u.Name)), zap.Int("blocks", len(blocks)))
	v.settings.Local.recordKept(scheduler.Kept{Upstream: u.Name, Incarnation: u.Incarnation, Blocks: blocks})
}

// close waits for the calls, which end with their context.
func (v *surveyor) close() { v.group.Wait() }
