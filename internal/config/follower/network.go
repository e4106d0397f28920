package follower

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// Network makes a follower's calls to control and to other entry hosts.
type Network interface {
	// Confirm returns the number and digest of the current revision, checked by a
	// quorum of the control hosts.
	Confirm(ctx context.Context, address string, q *wire.ConfirmRequest) (*wire.ConfirmResponse, error)
	// Watch calls receive with each message until the stream ends.
	Watch(ctx context.Context, address string, q *wire.WatchRequest, receive func(*wire.WatchResponse)) error
	// Fetch returns the revision or a later one.
	Fetch(ctx context.Context, source Source, number uint64) (*wire.Revision, error)
	// Close closes all connections.
	Close()
}

// maxClients bounds the hosts to which connections are kept.
const maxClients = 1000

type network struct {
	tls     dialer.TLS
	clients *dialer.Pool
}

func newNetwork(t dialer.TLS) *network {
	return &network{tls: t, clients: dialer.NewPool(maxClients, dialer.WithTLS(t))}
}

// Confirm asks a control host.
func (n *network) Confirm(ctx context.Context, address string, q *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	c := n.clients.Client(address)
	a, err := wireconnect.NewControlClient(c, dialer.URL(address), dialer.Options()...).Confirm(ctx, connect.NewRequest(q))
	if err != nil {
		c.Renew()
		return nil, fmt.Errorf("confirm with %s: %w", address, err)
	}
	return a.Msg, nil
}

// Watch follows a control host over a separate connection, so that the end of the
// stream disturbs no other call.
func (n *network) Watch(ctx context.Context, address string, q *wire.WatchRequest, receive func(*wire.WatchResponse)) (err error) {
	c := dialer.New(dialer.WithTLS(n.tls))
	defer c.Close()
	s, err := wireconnect.NewControlClient(c, dialer.URL(address), dialer.Options()...).Watch(ctx, connect.NewRequest(q))
	if err != nil {
		return fmt.Errorf("watch %s: %w", address, err)
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	for s.Receive() {
		receive(s.Msg())
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("watch %s: %w", address, err)
	}
	return nil
}

// Fetch gets a revision from a peer or a control host.
func (n *network) Fetch(ctx context.Context, source Source, number uint64) (*wire.Revision, error) {
	c := n.clients.Client(source.Address)
	var r *wire.Revision
	var err error
	if source.Peer {
		var a *connect.Response[wire.FetchResponse]
		a, err = wireconnect.NewPeerClient(c, dialer.URL(source.Address), dialer.Options()...).Fetch(ctx, connect.NewRequest(&wire.FetchRequest{Revision: number}))
		if err == nil {
			r = a.Msg.GetRevision()
		}
	} else {
		var a *connect.Response[wire.GetResponse]
		a, err = wireconnect.NewControlClient(c, dialer.URL(source.Address), dialer.Options()...).Get(ctx, connect.NewRequest(&wire.GetRequest{Revision: number}))
		if err == nil {
			r = a.Msg.GetRevision()
		}
	}
	if err != nil {
		c.Renew()
		return nil, fmt.Errorf("fetch revision %d from %s: %w", number, source.Address, err)
	}
	if r == nil {
		return nil, fmt.Errorf("fetch revision %d from %s: the answer is empty", number, source.Address)
	}
	return r, nil
}

// Close closes the connections in the pool.
func (n *network) Close() { n.clients.Close() }

func decodeRevision(r *wire.Revision) Revision {
	return Revision{Number: r.GetNumber(), Document: r.GetDocument(), Digest: r.GetDigest(), Accepted: time.Unix(0, r.GetAccepted())}
}

func encodeRevision(r Revision) *wire.Revision {
	return &wire.Revision{Number: r.Number, Document: r.Document, Digest: r.Digest, Accepted: r.Accepted.UnixNano()}
}
