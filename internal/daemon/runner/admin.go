package runner

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/ops/inspector"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// retryHint is the retry time that operators see for a refusal, because only the owner
// of the cell knows the real one.
const retryHint = validator.Duration(time.Second)

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", d.reporter.Handler())
	if d.entry != nil {
		mux.Handle("/admin/", inspector.New(source{d}, d.guardian))
	}
	return mux
}

// readiness reports whether the process is ready, and otherwise why not, for the health
// page of the admin address.
func (d *Daemon) readiness() (bool, string) {
	if d.entry == nil {
		return true, ""
	}
	if d.entry.front != nil && d.entry.front.Draining() {
		return false, "a planned stop has begun"
	}
	if _, fresh := d.entry.follower.Current(); !fresh {
		return false, "the configuration is not confirmed as current"
	}
	if !d.entry.joined() {
		return false, "no other entry host has answered yet"
	}
	return true, ""
}

// source adapts an entry host to inspector.Source.
type source struct{ daemon *Daemon }

// Upstreams lists the upstreams that this host knows, sorted by name.
func (s source) Upstreams(context.Context) (inspector.Upstreams, error) {
	e := s.daemon.entry
	now := e.leaseClock.Now()
	list := inspector.Upstreams{Host: e.settings.Name, Upstreams: []inspector.Upstream{}}
	for _, n := range e.members.Snapshot().Entries(now) {
		u := inspector.Upstream{
			Upstream:  n.Upstream,
			Remaining: validator.Duration(n.Until.Sub(now).Truncate(time.Millisecond)),
			Used:      e.local.Used(n.Upstream.Name),
			State:     "live",
		}
		if u.Leaving {
			u.State = "leaving"
		}
		list.Upstreams = append(list.Upstreams, u)
	}
	slices.SortFunc(list.Upstreams, func(a, b inspector.Upstream) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return list, nil
}

// Drain requests a planned stop of the process and returns at once.
func (s source) Drain(_ context.Context, operator string) (inspector.Drain, error) {
	d := s.daemon
	repeated := !d.requestStop()
	d.logger.Info("operator asked for a planned stop", zap.String("operator", operator), zap.Bool("repeated", repeated))
	return inspector.Drain{Host: d.settings.Name, Open: d.entry.open(), Repeated: repeated}, nil
}

// Explain returns what this host's scheduler would do with a request. On a host
// that does not own the cell, the scheduler knows only this host's own part. Explain
// returns an error when no configuration is in force, and an
// *inspector.NotFoundError for a name that is not configured.
func (s source) Explain(_ context.Context, q inspector.Query) (inspector.Explanation, error) {
	e := s.daemon.entry
	current, fresh := e.follower.Current()
	if current.Document == nil {
		return inspector.Explanation{}, fmt.Errorf("no configuration is in force on this host")
	}
	class, err := resolve(current.Document, &q)
	if err != nil {
		return inspector.Explanation{}, err
	}
	explanation := inspector.Explanation{
		Host:         e.settings.Name,
		Revision:     current.Revision,
		Class:        class.Name,
		Tier:         class.Tier,
		Organisation: q.Organisation,
		Pool:         q.Pool,
		Cell:         e.settings.Cell,
		Owner:        e.members.Snapshot().Owner(e.settings.Cell),
		Candidates:   []inspector.Candidate{},
	}
	if !fresh {
		explanation.Decision, explanation.Reason, explanation.Retry = string(scheduler.Refused), "the configuration is not confirmed as current", retryHint
		return explanation, nil
	}
	e.decide(&explanation, class)
	return explanation, nil
}

func (e *entry) decide(explanation *inspector.Explanation, class validator.Class) {
	now := e.clock.Now()
	outcome := e.local.Explain(scheduler.Request{Pool: explanation.Pool, Class: class.Name, Organisation: explanation.Organisation, Arrived: now})
	explanation.Decision = string(outcome.Decision)
	explanation.Ahead = outcome.Ahead
	for _, k := range outcome.Candidates {
		reason := fmt.Sprintf("%s, %d of %d slots in use", k.State, k.Used, k.Slots)
		explanation.Candidates = append(explanation.Candidates, inspector.Candidate{Upstream: k.Upstream, Usable: k.Usable, Reason: reason})
	}
	switch outcome.Decision {
	case scheduler.Granted:
		explanation.Reason = "an upstream has a free slot and no request of this tier or a more urgent one waits"
	case scheduler.Queued:
		explanation.Reason = fmt.Sprintf("%d requests of this tier or a more urgent one wait", outcome.Ahead)
	case scheduler.Refused:
		explanation.Reason = string(outcome.Reason)
		explanation.Retry = retryHint
	}
	switch explanation.Owner {
	case explanation.Host:
	case "":
		explanation.Reason += "; the cell has no owner at the moment, so each host dispatches on its part of the slots"
	default:
		explanation.Reason += "; this host does not own the cell, so ask " + string(explanation.Owner) + " for the whole queue"
	}
}

// resolve returns the class of a query, which is the default class of its pool unless the
// query names one. It returns an *inspector.NotFoundError for a name that is not configured.
func resolve(d *validator.Document, q *inspector.Query) (validator.Class, error) {
	index := validator.Compile(d)
	if _, ok := index.Organisation(q.Organisation); !ok {
		return validator.Class{}, &inspector.NotFoundError{Kind: "organisation", Name: string(q.Organisation)}
	}
	name, ok := poolClass(index, q.Pool)
	if !ok {
		return validator.Class{}, &inspector.NotFoundError{Kind: "model or service", Name: string(q.Pool)}
	}
	if q.Class != "" {
		name = q.Class
	}
	class, ok := index.Class(name)
	if !ok {
		return validator.Class{}, &inspector.NotFoundError{Kind: "class", Name: string(name)}
	}
	return *class, nil
}

// poolClass returns the class that a model or service has by default.
func poolClass(x *validator.Index, p validator.PoolName) (validator.ClassName, bool) {
	if m, ok := x.Model(p); ok {
		return m.Class, true
	}
	s, ok := x.Service(p)
	if !ok {
		return "", false
	}
	return s.Class, true
}
