package proxy

import (
	"context"
	"net"
)

// AddTargetConn opens a connection to the target, wraps it and keeps it for the next
// request.
func (g *Gate) AddTargetConn(ctx context.Context, wrap func(net.Conn) net.Conn) error {
	c, err := dial(ctx, g.conns.address)
	if err != nil {
		return err
	}
	g.conns.count(1)
	g.conns.put(newConn(wrap(c.Conn)))
	return nil
}
