package proxy

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// idleShare is the part of the other side's stated idle time after which a
	// connection is not used any more; the rest covers the way there.
	idleShare = 0.7
	// defaultIdle is used where the other side states no idle time.
	defaultIdle = 4 * time.Second
)

// pool keeps idle connections to one address, the last used first.
type pool struct {
	address string
	closed  bool

	mu   sync.Mutex
	idle []*conn
	open int
}

func newPool(address string) *pool { return &pool{address: address} }

// get returns an idle connection that was used within maxIdle, or a new one.
func (p *pool) get(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.pop(maxIdle)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		p.discard(c)
	}
	c, err := dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	return c, nil
}

func (p *pool) pop(maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	if age := time.Since(c.idledAt); age > maxIdle || age > c.usable() {
		return nil
	}
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (c *conn) usable() time.Duration {
	if c.idleFor > 0 {
		return time.Duration(float64(c.idleFor) * idleShare)
	}
	return defaultIdle
}

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.open--
		_ = c.Close()
		return
	}
	c.idledAt = time.Now()
	p.idle = append(p.idle, c)
}

func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// sweep closes connections that are idle for too long to be used.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if time.Since(c.idledAt) <= c.usable() {
			return false
		}
		_ = c.Close()
		p.open--
		return true
	})
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}
