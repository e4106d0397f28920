package relayer

import (
	"strconv"
	"time"

	"go.uber.org/zap"
)

// logRepeat logs why a request is sent to another upstream.
func (r *Relayer) logRepeat(c *call, a *attempt, cause error) {
	r.logger.Info("attempt failed; trying another upstream",
		zap.String("request", c.intent.ID), zap.String("upstream", string(a.upstream.Name)),
		zap.Int("attempt", c.attempts), zap.Bool("sent", a.send.Sent.Load()), zap.String("event", c.stream.lastID), zap.Strings("parts", c.loggedParts()), zap.Error(cause))
}

// maxLoggedParts bounds the parts of a request in a log line.
const maxLoggedParts = 16

// loggedParts lists the parts of the request in the form of log lines, so that the parts
// that failed requests have in common can be found.
func (c *call) loggedParts() []string {
	parts := c.slotRequest.Parts
	if len(parts) == 0 {
		parts = c.slotRequest.Prefix
	}
	var list []string
	for _, id := range parts[:min(len(parts), maxLoggedParts)] {
		list = append(list, strconv.FormatUint(id, 16))
	}
	return list
}

// noteView records the age of the view of the upstreams for the log.
func (c *call) noteView() {
	if c.relayer.options.ViewAge != nil {
		c.viewAge = c.relayer.options.ViewAge()
	}
}

// logEnd writes one log line for each request that tells what decided it and how it
// ended.
func (r *Relayer) logEnd(c *call, now time.Time) {
	fields := []zap.Field{
		zap.String("request", c.intent.ID), zap.Int("status", c.status),
		zap.Duration("took", now.Sub(c.arrived)),
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", string(c.route.Name)), zap.String("pool", string(c.slotRequest.Pool)))
	}
	if c.organisation != nil {
		fields = append(fields, zap.String("organisation", string(c.organisation.Name)))
	}
	if c.class != nil {
		fields = append(fields, zap.String("class", string(c.class.Name)), zap.Int("tier", int(c.class.Tier)))
	}
	if c.upstream != "" {
		fields = append(fields, zap.String("upstream", string(c.upstream)), zap.Int("attempts", c.attempts), zap.Int("unsent", c.unsent),
			zap.Duration("queued", c.grantedAt.Sub(c.arrived)), zap.Duration("predicted", c.predicted), zap.Duration("view", c.viewAge))
	}
	if c.trace.Scheduler != "" {
		fields = append(fields, zap.String("scheduler", string(c.trace.Scheduler)), zap.Int("moves", c.trace.Moves),
			zap.Duration("asked", now.Sub(c.trace.Asked)), zap.Duration("configured", c.configured))
	}
	if c.model {
		fields = append(fields, zap.Int("prompt", c.slotRequest.Prompt), zap.Int("limit", c.slotRequest.Limit))
	}
	if !c.firstAt.IsZero() {
		fields = append(fields, zap.Duration("first", c.firstAt.Sub(c.arrived)), zap.Int("events", c.stream.events))
	}
	if c.code == "" {
		r.served.Info("request served", fields...)
		return
	}
	fields = append(fields, zap.String("code", c.code), zap.Bool("ran", c.mayHaveRun))
	if c.retry > 0 {
		fields = append(fields, zap.Duration("retry", c.retry))
	}
	if c.cause != nil {
		fields = append(fields, zap.Error(c.cause))
	}
	if parts := c.loggedParts(); len(parts) > 0 {
		fields = append(fields, zap.Strings("parts", parts))
	}
	if c.mayHaveRun || c.status == statusClientGone {
		r.failures.Inc(1)
		r.logger.Info("request failed", fields...)
		return
	}
	r.refusals.Inc(1)
	r.logger.Info("request refused", fields...)
}
