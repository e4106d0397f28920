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

// network makes calls over the network.
type network struct{ clients *dialer.Pool }

func newNetwork(t dialer.TLS) *network {
	return &network{clients: dialer.NewPool(maxClients, dialer.WithTLS(t))}
}

// Members makes a call. After a failure the connection may be silent for good, so that
// the next call uses another one.
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

// Announce passes an announcement on.
func (n *network) Announce(ctx context.Context, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	return gossiper.SendAnnouncement(ctx, n.clients.Client(address), address, q)
}

// Reach opens a connection and closes it. Those that are kept may be dead, so that they
// show nothing.
func (n *network) Reach(ctx context.Context, address string) error {
	d := net.Dialer{Control: dialer.SetUserTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("reach %s: %w", address, err)
	}
	return c.Close()
}

// Close closes the connections.
func (n *network) Close() { n.clients.Close() }
