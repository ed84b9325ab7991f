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
	// recentUse is an idle time after which no peer closes a connection unless its process
	// ends.
	recentUse = time.Second
)

// pool holds the idle connections to one address as a stack, so that the most
// recently used one is reused first.
type pool struct {
	address string
	closed  bool
	lost    func() // called when the process of the peer seems to have ended, if set

	mu   sync.Mutex
	idle []*conn
	open int // connections that are being opened, in use or idle
}

func newPool(address string) *pool { return &pool{address: address} }

// get returns an idle connection that was last used at most maxIdle ago, or a
// new connection.
func (p *pool) get(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	closed := false // by the peer, within the idle limit
	for {
		c := p.pop(maxIdle)
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		closed = true
		p.discard(c)
		if c.recentlyUsed() {
			p.reportLost()
		}
	}
	if closed && p.unused() {
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

// recentlyUsed reports whether a connection is idle for less than recentUse.
func (c *conn) recentlyUsed() bool { return time.Since(c.idleSince) < recentUse }

// unused reports whether no connection is in use. Those in use fail if the process of the
// peer ends.
func (p *pool) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open <= len(p.idle)
}

// reportLost reports that the process of the peer seems to have ended: it has closed a
// connection that was just in use, or all of them. Peers may also close single idle
// connections earlier than expected. The caller does not hold mu.
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

// removeUnusable reports whether the process of the peer seems to have ended.
func (p *pool) removeUnusable() (lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	closed := false // by the peer, within the idle limit
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		expired := time.Since(c.idleSince) > c.idleLimit()
		if !expired && c.reusable() {
			return false
		}
		closed = closed || !expired
		lost = lost || !expired && c.recentlyUsed()
		_ = c.Close()
		p.open--
		return true
	})
	return lost || closed && p.open == 0
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
