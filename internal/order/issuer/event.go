package issuer

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// OrderID identifies an order.
type OrderID string

// CallID identifies a call to control.
type CallID uint64

// Fence is a fencing number.
type Fence uint64

// Order tells one engine its complete wanted state.
type Order struct {
	ID       OrderID
	Upstream registrar.UpstreamID
	Address  string
	Fence    Fence
	State    State
	// Until is the end of the lease when the order was issued. The sender must
	// not send the order afterwards.
	Until time.Time
}

// Outcome is what became of an order.
type Outcome int

// Outcomes of orders.
const (
	// Failed means that it is unknown whether the order arrived.
	Failed Outcome = iota
	// Accepted means that the engine accepted the order.
	Accepted
	// Stale means that the engine has seen a higher fencing number.
	Stale
	// Refused means that the order was not sent, or that the engine rejected it.
	Refused
)

// Event is an input of the issuer.
type Event interface{ event() }

// Configure replaces the wanted state.
type Configure struct {
	// Placements may include engines of other cells, which get no orders.
	Placements []validator.Placement
	// Loads bounds the concurrent weight loads in the fleet; 0 means no bound.
	Loads int
}

// Observe replaces what is known about the cell.
type Observe struct {
	// Owner is true while this host owns the cell.
	Owner bool
	// Upstreams are the live upstreams of the cell.
	Upstreams []registrar.Upstream
}

// LeaseAnswer is control's answer to RequestLease.
type LeaseAnswer struct {
	ID      CallID
	Granted bool
	Fence   Fence
	// Remaining is the rest of the lease, whoever holds it.
	Remaining time.Duration
}

// LeaseCallFailed reports that the call of a RequestLease has failed; the lease may or
// may not have been granted.
type LeaseCallFailed struct{ ID CallID }

// OrderResult reports the outcome of a Send.
type OrderResult struct {
	ID       OrderID
	Upstream registrar.UpstreamID
	Outcome  Outcome
}

// Tick reports that time has passed.
type Tick struct{}

func (Configure) event()       {}
func (Observe) event()         {}
func (LeaseAnswer) event()     {}
func (LeaseCallFailed) event() {}
func (OrderResult) event()     {}
func (Tick) event()            {}

// Action is an output of the issuer.
type Action interface{ action() }

// RequestLease asks control to grant, renew or release a lease.
type RequestLease struct {
	ID       CallID
	Name     string
	Holder   string
	Token    string
	Duration time.Duration
	// Release ends the lease of the token; no answer is expected.
	Release bool
}

// Send sends an order.
type Send struct{ Order Order }

// Abort gives up all orders that are being sent.
type Abort struct{}

func (RequestLease) action() {}
func (Send) action()         {}
func (Abort) action()        {}
