package dialer

import "sync"

// Pool keeps one client for each address.
type Pool struct {
	limit   int
	options []Option

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool whose clients have the options. A pool that would exceed
// limit clients drops them all, so that the addresses of lost hosts don't occupy memory
// forever; hosts in use get a new client with their next call.
func NewPool(limit int, options ...Option) *Pool {
	return &Pool{limit: limit, options: options, clients: map[string]*Client{}}
}

// Client returns the client for an address and creates it if there is none.
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

// Close drops all clients and closes their idle connections.
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
