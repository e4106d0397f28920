package dispatcher

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// encodeRequest converts a request, and the slot that it holds if any, to a message.
func encodeRequest(r scheduler.Request, held holding, now time.Time) *wire.SlotRequest {
	m := &wire.SlotRequest{
		Id:           string(r.ID),
		Pool:         string(r.Pool),
		Class:        string(r.Class),
		Organisation: string(r.Organisation),
		Prompt:       uint32(max(r.Prompt, 0)),
		Limit:        uint32(max(r.Limit, 0)),
		Prefix:       r.Prefix,
		Repeatable:   r.Repeatable,
		Whole:        r.Whole,
		Retry:        r.Retry,
		Moved:        r.Moved,
		Unsent:       r.Unsent,
		Fingerprint:  r.Fingerprint,
		Emitted:      uint32(max(r.Emitted, 0)),
		Age:          now.Sub(r.Arrived).Milliseconds(),
		Held:         string(held.upstream),
		Unread:       held.unread,
		Spilled:      string(r.Spilled),
		Busy:         r.Busy,
		Rescue:       r.Rescue,
		Parts:        r.Parts,
	}
	if !r.Waiting.IsZero() {
		m.Waited = max(now.Sub(r.Waiting).Milliseconds(), 0)
	}
	if !held.granted.IsZero() {
		age := max(now.Sub(held.granted).Milliseconds(), 0)
		m.Granted = &age
	}
	for _, end := range r.Ends {
		m.Ends = append(m.Ends, uint32(max(end, 0)))
	}
	for _, id := range r.Avoid {
		m.Avoid = append(m.Avoid, string(id))
	}
	return m
}

// decodeRequest converts a message to a request. Its age is taken from now.
func decodeRequest(m *wire.SlotRequest, now time.Time) scheduler.Request {
	r := scheduler.Request{
		ID:           scheduler.RequestID(m.Id),
		Origin:       originOf(m.Id),
		Pool:         validator.PoolName(m.Pool),
		Class:        validator.ClassName(m.Class),
		Organisation: validator.OrganisationName(m.Organisation),
		Prompt:       int(m.Prompt),
		Limit:        int(m.Limit),
		Prefix:       m.Prefix,
		Repeatable:   m.Repeatable,
		Whole:        m.Whole,
		Retry:        m.Retry,
		Moved:        m.Moved,
		Unsent:       m.Unsent,
		Fingerprint:  m.Fingerprint,
		Emitted:      int(m.Emitted),
		Spilled:      registrar.CellName(m.Spilled),
		Busy:         m.Busy,
		Rescue:       m.Rescue,
		Parts:        m.Parts,
		Arrived:      now.Add(-time.Duration(max(m.Age, 0)) * time.Millisecond),
	}
	if m.Waited > 0 {
		r.Waiting = now.Add(-milliseconds(m.Waited))
	}
	for _, end := range m.Ends {
		r.Ends = append(r.Ends, int(end))
	}
	for _, id := range m.Avoid {
		r.Avoid = append(r.Avoid, registrar.UpstreamID(id))
	}
	return r
}

// decodeHolding returns the slot that the request of a message holds.
func decodeHolding(m *wire.SlotRequest, now time.Time) holding {
	h := holding{upstream: registrar.UpstreamID(m.Held), unread: m.Unread}
	if m.Granted != nil {
		h.granted = now.Add(-milliseconds(*m.Granted))
	}
	return h
}

// encodeProgress converts an event of an attempt to a message, which is empty for other
// events.
func encodeProgress(e scheduler.Event) *wire.SlotProgress {
	switch e := e.(type) {
	case scheduler.FirstToken:
		return &wire.SlotProgress{Id: string(e.ID), Upstream: string(e.Upstream), Kind: wire.SlotProgress_KIND_FIRST_TOKEN}
	case scheduler.Progress:
		return &wire.SlotProgress{Id: string(e.ID), Upstream: string(e.Upstream), Kind: wire.SlotProgress_KIND_PROGRESS, Tokens: uint32(max(e.Tokens, 0))}
	case scheduler.Finished:
		return &wire.SlotProgress{Id: string(e.ID), Upstream: string(e.Upstream), Kind: wire.SlotProgress_KIND_FINISHED, Tokens: uint32(max(e.Tokens, 0)), Outcome: uint32(e.Outcome)}
	case scheduler.Cancel:
		return &wire.SlotProgress{Id: string(e.ID), Kind: wire.SlotProgress_KIND_CANCELLED}
	}
	return &wire.SlotProgress{}
}

// decodeProgress converts a message to an event, or to nil for a kind that this version
// does not know.
func decodeProgress(m *wire.SlotProgress) scheduler.Event {
	id := scheduler.RequestID(m.Id)
	u := registrar.UpstreamID(m.Upstream)
	switch m.Kind {
	case wire.SlotProgress_KIND_FIRST_TOKEN:
		return scheduler.FirstToken{ID: id, Upstream: u}
	case wire.SlotProgress_KIND_PROGRESS:
		return scheduler.Progress{ID: id, Upstream: u, Tokens: int(m.Tokens)}
	case wire.SlotProgress_KIND_FINISHED:
		return scheduler.Finished{ID: id, Upstream: u, Outcome: scheduler.Outcome(m.Outcome), Tokens: int(m.Tokens)}
	case wire.SlotProgress_KIND_CANCELLED:
		return scheduler.Cancel{ID: id}
	}
	return nil
}

// addressed is an action with the request that it concerns.
type addressed struct {
	id     scheduler.RequestID
	action scheduler.Action
}

// appendAction adds an action to a message for the requesting host.
func appendAction(m *wire.DispatchResponse, a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Grant:
		m.Grants = append(m.Grants, &wire.SlotGrant{Id: string(a.ID), Upstream: string(a.Upstream), Priority: int32(a.Priority), Predicted: a.Predicted.Milliseconds()})
	case scheduler.Hedge:
		m.Grants = append(m.Grants, &wire.SlotGrant{Id: string(a.ID), Upstream: string(a.Upstream), Priority: int32(a.Priority), Hedge: true})
	case scheduler.Refuse:
		m.Refusals = append(m.Refusals, &wire.SlotRefusal{Id: string(a.ID), Reason: string(a.Reason), Retry: a.RetryAfter.Milliseconds(), Cell: string(a.Cell), Predicted: a.Predicted.Milliseconds(), Ahead: uint32(max(a.Ahead, 0)), Obstacle: string(a.Obstacle)})
	case scheduler.Preempt:
		m.Preempted = append(m.Preempted, &wire.SlotPreemption{Id: string(a.ID), Upstream: string(a.Upstream)})
	}
}

// decodeActions returns the actions of a message.
func decodeActions(m *wire.DispatchResponse) []addressed {
	var all []addressed
	for _, g := range m.Grants {
		id := scheduler.RequestID(g.Id)
		u := registrar.UpstreamID(g.Upstream)
		if g.Hedge {
			all = append(all, addressed{id, scheduler.Hedge{ID: id, Upstream: u, Priority: int(g.Priority)}})
			continue
		}
		all = append(all, addressed{id, scheduler.Grant{ID: id, Upstream: u, Priority: int(g.Priority), Predicted: time.Duration(g.Predicted) * time.Millisecond}})
	}
	for _, r := range m.Refusals {
		id := scheduler.RequestID(r.Id)
		all = append(all, addressed{id, scheduler.Refuse{ID: id, Reason: scheduler.Reason(r.Reason), RetryAfter: time.Duration(r.Retry) * time.Millisecond, Cell: registrar.CellName(r.Cell), Predicted: time.Duration(r.Predicted) * time.Millisecond, Ahead: int(r.Ahead), Obstacle: scheduler.Obstacle(r.Obstacle)}})
	}
	for _, p := range m.Preempted {
		id := scheduler.RequestID(p.Id)
		all = append(all, addressed{id, scheduler.Preempt{ID: id, Upstream: registrar.UpstreamID(p.Upstream)}})
	}
	return all
}
