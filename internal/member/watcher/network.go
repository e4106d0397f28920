package watcher

import (
	"context"
	"fmt"
	"net"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// network is a Caller that makes calls over the network.
type network struct{ clients *dialer.Pool }

func newNetwork(t dialer.TLS) *network {
	return &network{clients: dialer.NewPool(maxClients, dialer.WithTLS(t))}
}

// Members implements Caller. After a failure the connection may be dead, so the next call
// uses a new one.
func (n *network) Members(ctx context.Context, address string, q *wire.MembersRequest) (*wire.MembersResponse, error) {
	d := n.clients.Client(address)
	client := wireconnect.NewPeerClient(d, dialer.URL(address), dialer.Options()...)
	a, err := client.Members(ctx, connect.NewRequest(q))
	if err != nil {
		d.Renew()
		return nil, fmt.Errorf("ask %s for its view: %w", address, err)
	}
	return a.Msg, nil
}

// Announce implements Caller.
func (n *network) Announce(ctx context.Context, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	return gossiper.SendAnnouncement(ctx, n.clients.Client(address), address, q)
}

// Reach implements Caller. It opens a new connection and closes it, because pooled
// connections may be dead.
func (n *network) Reach(ctx context.Context, address string) error {
	d := net.Dialer{Control: dialer.SetUserTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("reach %s: %w", address, err)
	}
	return c.Close()
}

// Close implements Caller.
func (n *network) Close() { n.clients.Close() }
