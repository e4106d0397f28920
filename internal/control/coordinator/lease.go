package coordinator

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// Lease grants, renews or releases a named lease.
func (s service) Lease(ctx context.Context, q *connect.Request[wire.LeaseRequest]) (*connect.Response[wire.LeaseResponse], error) {
	m := q.Msg
	if m.Name == "" || m.Token == "" {
		return nil, invalidArgument("a lease needs a name and a token")
	}
	if !m.Release && m.Duration <= 0 {
		return nil, invalidArgument("a lease needs a duration")
	}
	if err := checkLengths(m.Name, m.Holder, m.Token); err != nil {
		return nil, err
	}
	return answerAtLeader(ctx, s.c, q, func(ctx context.Context) (*wire.LeaseResponse, error) {
		r, err := s.c.submit(ctx, &record.Command{Change: &record.Command_Lease{Lease: m}})
		if err != nil {
			return nil, err
		}
		if r.Full {
			return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("the lease table is full"))
		}
		return r.Lease, nil
	}, wireconnect.ControlClient.Lease)
}
