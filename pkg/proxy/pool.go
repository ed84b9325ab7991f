package proxy

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// idleShare is the fraction of the idle timeout announced by the peer after
	// which a connection is no longer used. The margin covers the network time
	// of a request.
	idleShare = 0.7
	// defaultIdle is used if the peer does not announce an idle timeout.
	defaultIdle = 4 * time.Second
)

// pool holds the idle connections to one address as a stack, so that the most
// recently used one is reused first.
type pool struct {
	address string
	closed  bool
	lost    func() // called when the peer has closed an idle connection before its idle limit, if set

	mu   sync.Mutex
	idle []*conn
	open int // connections that are being opened, in use or idle
}

func newPool(address string) *pool { return &pool{address: address} }

// get returns an idle connection that was last used at most maxIdle ago, or a
// new connection.
func (p *pool) get(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.pop(maxIdle)
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		p.discard(c)
		p.reportLost()
	}
	p.count(1) // before the dial, so that the pool is not removed meanwhile
	c, err := dial(ctx, p.address)
	if err != nil {
		p.count(-1)
		return nil, err
	}
	return c, nil
}

// reportLost reports that the peer has closed an idle connection early, as it does if
// its process has ended. The caller does not hold mu.
func (p *pool) reportLost() {
	if p.lost != nil {
		p.lost()
	}
}

// count changes the number of open connections.
func (p *pool) count(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += change
}

func (p *pool) pop(maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	if age := time.Since(c.idleSince); age > maxIdle || age > c.idleLimit() {
		return nil
	}
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// idleLimit returns the idle time after which the connection must not be used.
func (c *conn) idleLimit() time.Duration {
	if c.peerIdleTimeout > 0 {
		return time.Duration(float64(c.peerIdleTimeout) * idleShare)
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
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.count(-1)
}

// sweep closes the connections that have exceeded their idle limit, and those that the
// peer has closed or on which it sends bytes that belong to no response.
func (p *pool) sweep() {
	if p.removeUnusable() {
		p.reportLost()
	}
}

// removeUnusable reports whether one of the removed connections was closed by the peer
// before its idle limit.
func (p *pool) removeUnusable() (lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		expired := time.Since(c.idleSince) > c.idleLimit()
		if !expired && c.reusable() {
			return false
		}
		lost = lost || !expired
		_ = c.Close()
		p.open--
		return true
	})
	return lost
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
