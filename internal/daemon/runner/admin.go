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

// retryHint is what operators are told about a refusal whose retry time only
// the owner of the cell knows.
const retryHint = validator.Duration(time.Second)

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", d.reporter.Handler())
	if d.entry != nil {
		mux.Handle("/admin/", inspector.New(source{d}, d.guardian))
	}
	return mux
}

// readiness answers the health page of the admin address.
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

// Upstreams lists what this host knows of the upstreams.
func (s source) Upstreams(context.Context) (inspector.Upstreams, error) {
	e := s.daemon.entry
	now := e.awake.Now()
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

// Drain starts a planned stop of the process.
func (s source) Drain(_ context.Context, operator string) (inspector.Drain, error) {
	d := s.daemon
	repeated := !d.requestStop()
	d.logger.Info("operator asked for a planned stop", zap.String("operator", operator), zap.Bool("repeated", repeated))
	return inspector.Drain{Host: d.settings.Name, Open: d.entry.open(), Repeated: repeated}, nil
}

// Explain tells what this host's scheduler would do with a request. On a host
// that does not own the cell it knows only this host's own part.
func (s source) Explain(_ context.Context, q inspector.Query) (inspector.Explanation, error) {
	e := s.daemon.entry
	c, fresh := e.follower.Current()
	if c.Document == nil {
		return inspector.Explanation{}, fmt.Errorf("no configuration is in force on this host")
	}
	class, err := resolve(c.Document, &q)
	if err != nil {
		return inspector.Explanation{}, err
	}
	x := inspector.Explanation{
		Host:         e.settings.Name,
		Revision:     c.Revision,
		Class:        class.Name,
		Tier:         class.Tier,
		Organisation: q.Organisation,
		Pool:         q.Pool,
		Cell:         e.settings.Cell,
		Owner:        e.members.Snapshot().Owner(e.settings.Cell),
		Candidates:   []inspector.Candidate{},
	}
	if !fresh {
		x.Decision, x.Reason, x.Retry = string(scheduler.Refused), "the configuration is not confirmed as current", retryHint
		return x, nil
	}
	e.decide(&x, class)
	return x, nil
}

func (e *entry) decide(x *inspector.Explanation, c validator.Class) {
	now := e.clock.Now()
	d := e.local.Explain(scheduler.Request{Pool: x.Pool, Class: c.Name, Organisation: x.Organisation, Arrived: now})
	x.Decision = string(d.Decision)
	x.Ahead = d.Ahead
	for _, k := range d.Candidates {
		reason := fmt.Sprintf("%s, %d of %d slots in use", k.State, k.Used, k.Slots)
		x.Candidates = append(x.Candidates, inspector.Candidate{Upstream: k.Upstream, Usable: k.Usable, Reason: reason})
	}
	switch d.Decision {
	case scheduler.Granted:
		x.Reason = "an upstream has a free slot and no request of this tier or a more urgent one waits"
	case scheduler.Queued:
		x.Reason = fmt.Sprintf("%d requests of this tier or a more urgent one wait", d.Ahead)
	case scheduler.Refused:
		x.Reason = string(d.Reason)
		x.Retry = retryHint
	}
	switch x.Owner {
	case x.Host:
	case "":
		x.Reason += "; the cell has no owner at the moment, so each host dispatches on its part of the slots"
	default:
		x.Reason += "; this host does not own the cell, so ask " + string(x.Owner) + " for the whole queue"
	}
}

// resolve finds the class of a query and checks its names.
func resolve(d *validator.Document, q *inspector.Query) (validator.Class, error) {
	x := validator.Compile(d)
	if _, ok := x.Organisation(q.Organisation); !ok {
		return validator.Class{}, &inspector.NotFoundError{Kind: "organisation", Name: string(q.Organisation)}
	}
	name, ok := poolClass(x, q.Pool)
	if !ok {
		return validator.Class{}, &inspector.NotFoundError{Kind: "model or service", Name: string(q.Pool)}
	}
	if q.Class != "" {
		name = q.Class
	}
	c, ok := x.Class(name)
	if !ok {
		return validator.Class{}, &inspector.NotFoundError{Kind: "class", Name: string(name)}
	}
	return *c, nil
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
