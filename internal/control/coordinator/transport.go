package coordinator

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/control/limiter"
	"github.com/amaranthcart/amaranthcart/internal/control/replicator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

const (
	// exchangeTimeout is shorter than the election timeout, so that a silent
	// connection is replaced before the followers miss the leader.
	exchangeTimeout = 400 * time.Millisecond
	// maximumQueuedMessages limits the messages that wait for one host, for
	// example because it isn't reachable. Further ones are dropped.
	maximumQueuedMessages = 4096
	// maximumExchangeBytes limits the messages in one request, unless a single
	// message is larger.
	maximumExchangeBytes = 2 << 20
	// maximumSendBytes limits the requests that are on their way to all hosts at the
	// same time: one with the largest document to each of four. Small requests aren't
	// counted, so that heartbeats don't wait.
	maximumSendBytes = 18 << 20
	// exchangeRate is the rate in bytes a second at which another host takes at least
	// a large request, on top of exchangeTimeout. A host that has lost its disk writes
	// the snapshot meanwhile; a request that ends too early takes all that waits
	// behind it along.
	exchangeRate = 2 << 20
	// maximumQueuedBytes limits the size of the messages that wait for one host, unless
	// there is only one. They share their data with the log, but keep entries that the
	// log has dropped.
	maximumQueuedBytes = 8 << 20
	// maximumRequestBytes limits the size of a request that a control host
	// reads: a batch of messages with one large entry, or a configuration
	// document.
	maximumRequestBytes = 8 << 20
)

// transport sends messages to the other control hosts and holds the clients for
// forwarded calls.
type transport struct {
	logger *zap.Logger
	name   string
	tls    dialer.TLS
	group  *conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
	// sends bounds the large requests on their way.
	sends *limiter.Limiter

	mu        sync.Mutex
	addresses map[string]string
	queues    map[string]*sendQueue
	clients   map[string]*forwardClient
	closed    bool
}

// sendQueue holds the messages that wait to be sent to one host.
type sendQueue struct {
	mu       sync.Mutex
	messages []*record.Message
	// size is the sum of messageSize of the messages.
	size int
	wake chan struct{}
}

// forwardClient is a client for forwarded calls to one address.
type forwardClient struct {
	http    *dialer.Client
	control wireconnect.ControlClient
}

func newTransport(l *zap.Logger, name string, peers []Peer, t dialer.TLS, g *conc.WaitGroup) *transport {
	created := &transport{
		logger: l, name: name, tls: t, group: g, addresses: map[string]string{},
		queues: map[string]*sendQueue{}, clients: map[string]*forwardClient{}, sends: limiter.New(maximumSendBytes),
	}
	created.ctx, created.cancel = context.WithCancel(context.Background())
	for _, p := range peers {
		created.addresses[p.Name] = p.Address
	}
	return created
}

// addAddresses records the addresses of hosts.
func (t *transport) addAddresses(peers []Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range peers {
		t.addresses[p.Name] = p.Address
	}
}

// learnAddresses records the address that a host gives in its introduction,
// which is newer than the one in the settings. Addresses of members that the
// message names are used only for hosts without a known address.
func (t *transport) learnAddresses(m *record.Message) {
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

// address returns the address of a host, or the fallback when it isn't known.
// Callers pass the address in the membership as the fallback.
func (t *transport) address(name, fallback string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.addresses[name]; a != "" {
		return a
	}
	return fallback
}

// send queues a message. It may get lost.
func (t *transport) send(s replicator.Send) {
	t.mu.Lock()
	if t.addresses[s.Name] == "" && s.Address != "" {
		t.addresses[s.Name] = s.Address
	}
	queue := t.queues[s.Name]
	if queue == nil && !t.closed {
		queue = &sendQueue{wake: make(chan struct{}, 1)}
		t.queues[s.Name] = queue
		t.group.Go(func() { t.runQueue(s.Name, queue) })
	}
	t.mu.Unlock()
	if queue != nil {
		queue.add(s.Message)
	}
}

func (q *sendQueue) add(m *record.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := messageSize(m)
	if len(q.messages) >= maximumQueuedMessages || q.size > 0 && q.size+size > maximumQueuedBytes {
		return
	}
	q.messages = append(q.messages, m)
	q.size += size
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take removes messages from the queue and returns them encoded, up to the limit in
// bytes but at least one. Messages that can't be encoded are skipped.
func (q *sendQueue) take(limit int) [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	var encoded [][]byte
	size, n := 0, 0
	for _, m := range q.messages {
		if size > 0 && size+messageSize(m) > limit {
			break
		}
		data, err := proto.Marshal(m)
		n++
		q.size -= messageSize(m)
		if err != nil {
			continue
		}
		size += len(data)
		encoded = append(encoded, data)
	}
	q.messages = q.messages[n:]
	if len(q.messages) == 0 {
		q.messages = nil
	}
	return encoded
}

// drop empties the queue. The replica resends what matters.
func (q *sendQueue) drop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.messages, q.size = nil, 0
}

// messageSize approximates the encoded size of a message in bytes.
func messageSize(m *record.Message) int {
	size := len(m.Chunk)
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	return size
}

// nextSize returns the size of the first messages, up to maximumExchangeBytes but at
// least one.
func (q *sendQueue) nextSize() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := 0
	for _, m := range q.messages {
		next := messageSize(m)
		if size > 0 && size+next > maximumExchangeBytes {
			break
		}
		size += next
	}
	return size
}

// runQueue sends the messages of a queue in order, one request at a time.
func (t *transport) runQueue(name string, queue *sendQueue) {
	client := dialer.New(dialer.WithTLS(t.tls))
	defer client.Close()
	reachable := true
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-queue.wake:
		}
		for {
			sent, err := t.exchangeNext(client, name, queue)
			if !sent {
				break
			}
			if (err == nil) != reachable && t.ctx.Err() == nil {
				reachable = err == nil
				t.logger.Info("reachability of a control host changed",
					zap.String("host", name), zap.Bool("reachable", reachable), zap.Error(err))
			}
			if err != nil {
				// The connection may be permanently silent; a new one may work.
				client.Renew()
				t.renew(t.address(name, ""))
				queue.drop()
			}
		}
	}
}

// exchangeNext sends the next batch of a queue, and reports whether there was one. It
// waits until large batches to other hosts are through.
func (t *transport) exchangeNext(client *dialer.Client, name string, queue *sendQueue) (bool, error) {
	size := queue.nextSize()
	if size > smallBytes {
		if err := t.sends.Acquire(t.ctx, size); err != nil {
			t.logger.Warn("messages for a control host dropped", zap.String("host", name), zap.Int("bytes", size), zap.Error(err))
			queue.drop()
			return false, err
		}
		defer t.sends.Release(size)
	}
	messages := queue.take(max(size, smallBytes))
	if len(messages) == 0 {
		return false, nil
	}
	return true, t.exchange(client, name, messages)
}

// exchangeLimit returns how long a batch may take.
func exchangeLimit(messages [][]byte) time.Duration {
	size := 0
	for _, m := range messages {
		size += len(m)
	}
	return exchangeTimeout + time.Duration(size)*time.Second/exchangeRate
}

// exchange sends one batch of encoded messages.
func (t *transport) exchange(client *dialer.Client, name string, messages [][]byte) error {
	ctx, cancel := context.WithTimeout(t.ctx, exchangeLimit(messages))
	defer cancel()
	c := wireconnect.NewControlClient(client, dialer.URL(t.address(name, "")))
	_, err := c.Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{Messages: messages}))
	return err
}

// client returns the client for forwarded calls to an address.
func (t *transport) client(address string) *forwardClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.clients[address]
	if c == nil {
		httpClient := dialer.New(dialer.WithTLS(t.tls))
		c = &forwardClient{http: httpClient, control: wireconnect.NewControlClient(httpClient, dialer.URL(address), connect.WithReadMaxBytes(maximumRequestBytes))}
		t.clients[address] = c
	}
	return c
}

// renew makes later forwarded calls to an address use a new connection. Calls
// in progress continue on the old one.
func (t *transport) renew(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.clients[address]; c != nil {
		c.http.Renew()
	}
}

// close ends the goroutines that send messages and closes the clients.
func (t *transport) close() {
	t.mu.Lock()
	t.closed = true
	clients := t.clients
	t.clients = map[string]*forwardClient{}
	t.mu.Unlock()
	t.cancel()
	for _, c := range clients {
		c.http.Close()
	}
}
