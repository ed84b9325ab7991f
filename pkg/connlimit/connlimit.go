// Package connlimit decides which connection of a listener is closed when the listener
// has no room for another connection or for more memory. It uses no network and no
// clock.
package connlimit

import (
	"container/list"
	"sync"
)

// Reason is why a connection was closed or refused.
type Reason string

// Reasons.
const (
	// Room means that the listener has its maximum number of connections.
	Room Reason = "connections"
	// Memory means that heads and requests that were read ahead use the memory of the
	// listener.
	Memory Reason = "memory"
	// Size means that the bytes before a response exceed the limit.
	Size Reason = "size"
	// Time means that a request did not arrive in time.
	Time Reason = "time"
)

// servedShare is the largest fraction of the connections that may have completed a
// request. New connections always get the rest, so that clients that keep many idle
// connections cannot exclude the others.
const servedShare = 7.0 / 8

// readAheadShare is the largest fraction of the memory that connections with a request
// in progress may take for further requests. The rest remains for the next request of
// a connection without one.
const readAheadShare = 1.0 / 2

// Limits bound the connections of a listener.
type Limits struct {
	Connections int
	Memory      int64 // bytes of heads and of requests that were read ahead
}

// Pool holds the connections of a listener.
type Pool struct {
	limits Limits

	mu     sync.Mutex
	fresh  list.List // connections that have not completed a request, oldest first
	served list.List // connections that have, in the order of their latest request
	memory int64
}

// NewPool returns a pool without connections.
func NewPool(limits Limits) *Pool { return &Pool{limits: limits} }

// Conn is a connection in a pool.
type Conn struct {
	pool    *Pool
	evict   func(Reason)
	queue   *list.List // fresh or served, nil after the end
	place   *list.Element
	active  int  // requests in progress
	stalled bool // its client does not take a response
	memory  int64
}

// Add adds a connection. If the pool is full, it closes another connection in place of
// which this one is added: among those without a request in progress the oldest that
// has not completed a request, or else the one whose latest request is the longest ago;
// after these one whose client does not take a response. It returns nil if there is none.
// evict is called, without a lock, when the connection has to be closed.
func (p *Pool) Add(evict func(Reason)) *Conn {
	p.mu.Lock()
	var victim *Conn
	if p.fresh.Len()+p.served.Len() >= p.limits.Connections {
		if victim = p.victim(); victim == nil {
			p.mu.Unlock()
			return nil
		}
		victim.remove()
	}
	c := &Conn{pool: p, evict: evict, queue: &p.fresh}
	c.place = p.fresh.PushBack(c)
	p.mu.Unlock()
	if victim != nil {
		victim.evict(Room)
	}
	return c
}

// victim returns the first connection to close, nil if there is none.
func (p *Pool) victim() *Conn {
	if victim := p.first(nil, idle); victim != nil {
		return victim
	}
	return p.first(nil, stalled)
}

// first returns the first connection that suits and comes before c in its queue, nil if
// there is none. Those that have not completed a request come first.
func (p *Pool) first(c *Conn, suits func(*Conn) bool) *Conn {
	if victim := before(&p.fresh, c, suits); victim != nil {
		return victim
	}
	return before(&p.served, c, suits)
}

func idle(c *Conn) bool { return c.active == 0 }

func stalled(c *Conn) bool { return c.stalled }

// holding reports whether closing the connection for its memory is of use.
func holding(c *Conn) bool { return c.memory > 0 && (c.active == 0 || c.stalled) }

// before returns the first connection of a queue that suits and comes before c, nil if
// there is none.
func before(queue *list.List, c *Conn, suits func(*Conn) bool) *Conn {
	for place := queue.Front(); place != nil; place = place.Next() {
		other := place.Value.(*Conn)
		if other == c {
			return nil
		}
		if suits(other) {
			return other
		}
	}
	return nil
}

// remove removes the connection from its pool. The caller holds mu.
func (c *Conn) remove() {
	if c.queue == nil {
		return
	}
	c.queue.Remove(c.place)
	c.queue = nil
	c.pool.memory -= c.memory
	c.memory = 0
}

// Remove removes the connection after its end.
func (c *Conn) Remove() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.remove()
}

// Begin records the start of a request. The connection is not closed for others until
// its requests have ended.
func (c *Conn) Begin() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.active++
}

// End records the end of a request. If too many connections have completed a request,
// the one whose latest request is the longest ago is closed.
func (c *Conn) End() {
	p := c.pool
	p.mu.Lock()
	c.active--
	if c.queue == nil {
		p.mu.Unlock()
		return
	}
	c.queue.Remove(c.place)
	c.queue = &p.served
	c.place = p.served.PushBack(c)
	var victim *Conn
	if float64(p.served.Len()) > max(1, float64(p.limits.Connections)*servedShare) {
		victim = before(&p.served, c, idle)
	}
	if victim != nil {
		victim.remove()
	}
	p.mu.Unlock()
	if victim != nil {
		victim.evict(Room)
	}
}

// SetStalled records whether the client does not take a response. Such a connection may
// be closed for others during its request.
func (c *Conn) SetStalled(stalled bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.stalled = stalled
}

// Take takes memory for a part of a request. If there is too little, it closes
// connections that have taken some and come earlier in the order of Add, or that have
// completed a request. It reports false if there is no such connection; this one then
// has to wait or to be closed. With a request in progress it gets less and closes no
// others.
func (c *Conn) Take(bytes int64) bool {
	p := c.pool
	p.mu.Lock()
	ok, victims := p.take(c, bytes)
	p.mu.Unlock()
	for _, victim := range victims {
		victim.evict(Memory)
	}
	return ok
}

func (p *Pool) take(c *Conn, bytes int64) (ok bool, victims []*Conn) {
	if c.queue == nil {
		return false, nil
	}
	if c.active > 0 {
		if float64(p.memory+bytes) > float64(p.limits.Memory)*readAheadShare {
			return false, nil
		}
		c.add(bytes)
		return true, nil
	}
	for p.memory+bytes > p.limits.Memory {
		victim := p.first(c, holding)
		if victim == nil {
			return false, victims
		}
		victim.remove()
		victims = append(victims, victim)
	}
	c.add(bytes)
	return true, victims
}

func (c *Conn) add(bytes int64) {
	c.memory += bytes
	c.pool.memory += bytes
}

// Release returns memory that was taken.
func (c *Conn) Release(bytes int64) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.queue != nil {
		c.add(-bytes)
	}
}

// Usage is the state of a pool.
type Usage struct {
	Fresh, Served int // connections that have not and that have completed a request
	Memory        int64
}

// Usage returns the state of the pool.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Fresh: p.fresh.Len(), Served: p.served.Len(), Memory: p.memory}
}
