// Package provider defines the calls to the infrastructure provider that one host at a
// time makes for the whole deployment: usage reports and orders for upstreams.
//
// # Usage
//
//	err := p.ReportUsage(ctx, provider.Authority{Holder: host, Fence: fence}, report)
//	switch {
//	case errors.Is(err, provider.ErrRefused):
//		// A host with a higher fencing number has called; stop.
//	case errors.Is(err, provider.ErrBusy):
//		// The call was not carried out; try again later.
//	case err != nil:
//		// The call may still be carried out, seconds later and after newer ones.
//	}
//
// The calls can't be read back. A holder therefore repeats a call without a clear answer
// with exactly the same content.
package provider

import (
	"context"
	"errors"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// Errors of calls that were certainly not carried out. Any other error leaves that open.
var (
	// ErrRefused says that the fencing number is lower than one that the provider has seen
	// for the same subject or, for an order, that no such upstreams are to be had at the
	// moment. The provider does not tell the two apart.
	ErrRefused = errors.New("refused by the provider")
	// ErrBusy says that the provider takes no more calls at the moment.
	ErrBusy = errors.New("the provider is busy")
	// ErrNotPermitted says that the duty was lost before the call was written.
	ErrNotPermitted = errors.New("the duty was lost before the call was written")
)

// Fence is the fencing number of a lease. It grows with each change of the holder.
type Fence uint64

// Authority identifies the holder of a duty in its calls.
type Authority struct {
	Holder registrar.HostName
	Fence  Fence
}

// Window is the number of a usage window. Window k begins k times the length of a window
// after the start of 1970.
type Window int64

// UsageReport holds the requests of each organisation that upstreams began in a window.
type UsageReport struct {
	Window Window
	Counts map[validator.OrganisationName]uint64
}

// Order sets the number of upstreams of a pool in a data centre. Spot upstreams are counted
// separately from the others.
type Order struct {
	Pool   validator.PoolName
	Centre registrar.DataCentre
	// Spot upstreams are cheaper and may be reclaimed, all of a data centre at once.
	Spot  bool
	Count int
}

// Provider takes the calls of the holder of a duty.
type Provider interface {
	ReportUsage(context.Context, Authority, UsageReport) error
	OrderUpstreams(context.Context, Authority, Order) error
}
