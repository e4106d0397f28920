package coordinator

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/control/applier"
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// Keep reads or writes a named value. A read goes through the log too, so that it sees each
// value whose writer has had an answer.
func (s service) Keep(ctx context.Context, q *connect.Request[wire.KeepRequest]) (*connect.Response[wire.KeepResponse], error) {
	m := q.Msg
	if m.Name == "" {
		return nil, invalidArgument("a value needs a name")
	}
	if len(m.Value) > applier.MaximumValueBytes {
		return nil, invalidArgument("the value is too long")
	}
	if err := checkLengths(m.Name); err != nil {
		return nil, err
	}
	return answerAtLeader(ctx, s.c, q, func(ctx context.Context) (*wire.KeepResponse, error) {
		r, err := s.c.submit(ctx, &record.Command{Change: &record.Command_Keep{Keep: m}})
		if err != nil {
			return nil, err
		}
		if r.Full {
			return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("the table of values is full"))
		}
		return r.Keep, nil
	}, wireconnect.ControlClient.Keep)
}
