package ledger

import (
	"context"
	"errors"
	"slices"
)

// ErrShort means that there is no room for the bytes of a body.
var ErrShort = errors.New("too little memory is left for the body")

// ownBytes is the number of first bytes of each body that are charged to the share of the
// first bytes.
const ownBytes Bytes = 16 << 10

// Claim is the use of memory for the body of one request. Its methods may be called by one
// goroutine at a time.
type Claim struct {
	ledger *Ledger
	revoke func()
	// revoked is closed when the body gives way to an older one.
	revoked chan struct{}
	// The fields from here on are protected by the lock of the ledger.
	taken, small Bytes
	// sent is set once an upstream may have received a part of the body.
	sent, gone bool
}

// claims are the open claims in the order in which they were opened.
type claims []*Claim

// newest returns the newest claim that may give way, and nil if there is none.
func (s claims) newest() *Claim {
	for _, c := range slices.Backward(s) {
		if !c.sent && !c.gone && c.taken > c.small {
			return c
		}
	}
	return nil
}

// Open returns a claim without bytes. revoke is called once if the body has to give way;
// it must not block, and the claim must be closed soon afterwards.
func (l *Ledger) Open(revoke func()) *Claim {
	c := &Claim{ledger: l, revoke: revoke, revoked: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claims = append(l.claims, c)
	return c
}

// verdict tells what follows from the wish for further bytes of a body.
type verdict int

const (
	// granted: the bytes are charged.
	granted verdict = iota
	// refused: there is no room, and no newer body that could give way.
	refused
	// waiting: a newer body gives way, or an idle connection may be closed.
	waiting
	// revoked: the body itself has given way.
	revoked
)

// decide charges n bytes if there is room. Otherwise it returns the claim that has to give
// way, or nil if one already does. The lock must be held.
func (l *Ledger) decide(c *Claim, n Bytes) (verdict, *Claim) {
	if c.gone {
		return revoked, nil
	}
	fits := l.total()+n <= l.limit
	if fits && c.taken+n <= ownBytes && l.small+n <= l.limit/smallDivisor {
		c.take(n)
		c.small += n
		l.small += n
		return granted, nil
	}
	if fits && l.used[Body]-l.small+n <= l.share(Body) {
		c.take(n)
		return granted, nil
	}
	if slices.ContainsFunc(l.claims, func(o *Claim) bool { return o.gone && o.taken > o.small }) {
		return waiting, nil
	}
	victim := l.claims.newest()
	if victim == nil || slices.Index(l.claims, victim) <= slices.Index(l.claims, c) {
		return refused, nil
	}
	victim.gone = true
	return waiting, victim
}

// take charges n bytes. The lock must be held.
func (c *Claim) take(n Bytes) {
	c.taken += n
	c.ledger.used[Body] += n
}

// Charge takes n further bytes. If they aren't there, newer bodies that have not been sent
// on give way, and Charge waits for their bytes. It returns ErrShort if this body is the
// newest, or gives way itself.
func (c *Claim) Charge(ctx context.Context, n Bytes) error {
	l := c.ledger
	for {
		for l.full(n) && l.reclaim() {
		}
		l.mu.Lock()
		v, victim := l.decide(c, n)
		returned := l.returned
		l.mu.Unlock()
		if victim != nil {
			l.refused.Inc(1)
			close(victim.revoked)
			victim.revoke()
		}
		switch v {
		case granted:
			return nil
		case refused:
			l.refused.Inc(1)
			return ErrShort
		case revoked:
			// It was counted when it gave way.
			return ErrShort
		case waiting:
		}
		select {
		case <-returned:
		case <-c.revoked:
			return ErrShort
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// full reports whether the whole limit has no room for n bytes.
func (l *Ledger) full(n Bytes) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total()+n > l.limit
}

// Send marks the body as sent on, from when on it doesn't give way. It returns ErrShort if
// the body has already given way.
func (c *Claim) Send() error {
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	if c.gone {
		return ErrShort
	}
	c.sent = true
	return nil
}

// Revoked is closed when the body gives way.
func (c *Claim) Revoked() <-chan struct{} { return c.revoked }

// Scarce reports whether more than half of the share of bodies is in use, so that copies
// for a repeat should not be kept.
func (l *Ledger) Scarce() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used[Body]-l.small > l.share(Body)/2
}

// Return gives back n bytes of the claim.
func (c *Claim) Return(n Bytes) {
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	c.giveBack(n)
}

// giveBack returns n bytes, those of the share of first bytes last. The lock must be held.
func (c *Claim) giveBack(n Bytes) {
	l := c.ledger
	c.taken -= n
	l.used[Body] -= n
	if extra := c.small - c.taken; extra > 0 {
		c.small -= extra
		l.small -= extra
	}
	close(l.returned)
	l.returned = make(chan struct{})
}

// Close returns all bytes of the claim. It may be called more than once.
func (c *Claim) Close() {
	l := c.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.claims, c)
	if i < 0 {
		return
	}
	l.claims = slices.Delete(l.claims, i, i+1)
	c.giveBack(c.taken)
}
