package dialer

import "sync"

// Pool keeps one client for each address.
type Pool struct {
	limit   int
	options []Option

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool makes an empty pool. A pool that has more than limit clients drops them
// all, so that addresses of hosts that are gone take no memory for good; hosts in use
// get a new client with their next call.
func NewPool(limit int, options ...Option) *Pool {
	return &Pool{limit: limit, options: options, clients: map[string]*Client{}}
}

// Client returns the client for an address.
func (p *Pool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[address]; c != nil {
		return c
	}
	if len(p.clients) >= p.limit {
		p.drop()
	}
	c := New(p.options...)
	p.clients[address] = c
	return c
}

// Close closes the connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop()
}

func (p *Pool) drop() {
	for _, c := range p.clients {
		c.Close()
	}
	clear(p.clients)
}
