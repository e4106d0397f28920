package coordinator

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/control/replicator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

const (
	// exchangeTimeout is below the election timeout: a connection that went
	// silent is replaced before the followers miss the leader.
	exchangeTimeout = 400 * time.Millisecond
	// maximumQueued bounds the messages to a host that isn't reachable.
	maximumQueued = 4096
	// maximumExchange bounds the messages of one request in bytes.
	maximumExchange = 2 << 20
	// maximumRequest bounds what a control host reads: a batch of messages
	// with one large entry, or a configuration document.
	maximumRequest = 8 << 20
)

// transport sends messages to the other control hosts.
type transport struct {
	logger *zap.Logger
	name   string
	tls    dialer.TLS
	group  *conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	addresses map[string]string
	lanes     map[string]*lane
	clients   map[string]*caller
	closed    bool
}

// lane is the queue of messages to one host.
type lane struct {
	mu       sync.Mutex
	messages []*record.Message
	wake     chan struct{}
}

// caller is a client for forwarded calls.
type caller struct {
	http    *dialer.Client
	control wireconnect.ControlClient
}

func newTransport(l *zap.Logger, name string, peers []Peer, t dialer.TLS, g *conc.WaitGroup) *transport {
	x := &transport{
		logger: l, name: name, tls: t, group: g, addresses: map[string]string{},
		lanes: map[string]*lane{}, clients: map[string]*caller{},
	}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	for _, p := range peers {
		x.addresses[p.Name] = p.Address
	}
	return x
}

// add notes the addresses of hosts.
func (t *transport) add(peers []Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range peers {
		t.addresses[p.Name] = p.Address
	}
}

// learn notes the address that a host gives in its introduction, which is
// newer than the one in the settings.
func (t *transport) learn(m *record.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range m.Members {
		if t.addresses[x.Name] == "" {
			t.addresses[x.Name] = x.Address
		}
	}
	if m.Address == "" || m.Name == t.name {
		return
	}
	t.addresses[m.Name] = m.Address
}

// address returns where a host is reached; the fallback comes from the
// membership.
func (t *transport) address(name, fallback string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.addresses[name]; a != "" {
		return a
	}
	return fallback
}

// send queues a message. It may be lost.
func (t *transport) send(s replicator.Send) {
	t.mu.Lock()
	if t.addresses[s.Name] == "" && s.Address != "" {
		t.addresses[s.Name] = s.Address
	}
	l := t.lanes[s.Name]
	if l == nil && !t.closed {
		l = &lane{wake: make(chan struct{}, 1)}
		t.lanes[s.Name] = l
		t.group.Go(func() { t.run(s.Name, l) })
	}
	t.mu.Unlock()
	if l != nil {
		l.add(s.Message)
	}
}

func (l *lane) add(m *record.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.messages) >= maximumQueued {
		return
	}
	l.messages = append(l.messages, m)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// take returns encoded messages up to a size.
func (l *lane) take() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var encoded [][]byte
	size, n := 0, 0
	for _, m := range l.messages {
		data, err := proto.Marshal(m)
		if err == nil && size > 0 && size+len(data) > maximumExchange {
			break
		}
		n++
		if err != nil {
			continue
		}
		size += len(data)
		encoded = append(encoded, data)
	}
	l.messages = l.messages[n:]
	if len(l.messages) == 0 {
		l.messages = nil
	}
	return encoded
}

// drop empties the queue: the replica repeats what matters.
func (l *lane) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messages = nil
}

// run sends the messages of a lane, one request at a time and in order.
func (t *transport) run(name string, l *lane) {
	client := dialer.New(dialer.WithTLS(t.tls))
	defer client.Close()
	reachable := true
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-l.wake:
		}
		for messages := l.take(); len(messages) > 0; messages = l.take() {
			err := t.exchange(client, name, messages)
			if (err == nil) != reachable && t.ctx.Err() == nil {
				reachable = err == nil
				t.logger.Info("reachability of a control host changed",
					zap.String("host", name), zap.Bool("reachable", reachable), zap.Error(err))
			}
			if err != nil {
				// The connection may be silent for good; a new one may work.
				client.Renew()
				t.renew(t.address(name, ""))
				l.drop()
			}
		}
	}
}

// exchange sends one request.
func (t *transport) exchange(client *dialer.Client, name string, messages [][]byte) error {
	ctx, cancel := context.WithTimeout(t.ctx, exchangeTimeout)
	defer cancel()
	c := wireconnect.NewControlClient(client, dialer.URL(t.address(name, "")))
	_, err := c.Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{Messages: messages}))
	return err
}

// client returns a client for forwarded calls to an address.
func (t *transport) client(address string) *caller {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.clients[address]
	if c == nil {
		h := dialer.New(dialer.WithTLS(t.tls))
		c = &caller{http: h, control: wireconnect.NewControlClient(h, dialer.URL(address), connect.WithReadMaxBytes(maximumRequest))}
		t.clients[address] = c
	}
	return c
}

// renew makes later calls to an address use a new connection. Calls on the old
// one run on.
func (t *transport) renew(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.clients[address]; c != nil {
		c.http.Renew()
	}
}

// close ends the lanes.
func (t *transport) close() {
	t.mu.Lock()
	t.closed = true
	clients := t.clients
	t.clients = map[string]*caller{}
	t.mu.Unlock()
	t.cancel()
	for _, c := range clients {
		c.http.Close()
	}
}
