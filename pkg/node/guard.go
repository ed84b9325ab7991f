package node

import (
	"net"
	"time"

	"nutmegstand.example/nutmegstand/pkg/connguard"
	"nutmegstand.example/nutmegstand/pkg/connlimit"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

const (
	// headerBytes is the maximum size of a header before the first configuration, and
	// where the configuration sets none.
	headerBytes = 64 << 10
	// requestLineBytes is added to the configured size, which may not include the
	// request line.
	requestLineBytes = 2 << 10
	// hopHeaderBytes is the largest size of the fields that daemons add to the header
	// of a request, together with what a server reads ahead of the body.
	hopHeaderBytes = 16 << 10
	// peerHeaderBytes is the smallest bound on the header of a request between daemons.
	// The caller side may already have a configuration with a larger maximum; the memory
	// of the listener bounds such headers as well.
	peerHeaderBytes = 128 << 10
	// controlBytes is the maximum size of a request for the announcements, readiness
	// and metrics listeners. The largest are heartbeats, with a body of up to 64 KB.
	controlBytes = 96 << 10
	// headerTimeout and idleTimeout bound the connections of callers before the first
	// configuration, and those of the other listeners. They are longer than the times
	// that operators configure.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// timeoutGrace is added to the configured timeouts, because no connection may be
	// closed before the configured time.
	timeoutGrace = 2 * time.Second
)

// limits returns the limits of the configuration in force, 0 where it sets none.
func (n *Node) limits() routing.Limits {
	if table := n.config.Load(); table != nil {
		return table.Config.Limits
	}
	return routing.Limits{}
}

// callerLimits returns the limits on the requests of callers that are in force.
func (n *Node) callerLimits() proxy.CallerLimits {
	configured := n.limits()
	limits := proxy.CallerLimits{HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if configured.HeaderBytes > 0 {
		limits.HeaderBytes = configured.HeaderBytes + requestLineBytes
	}
	if configured.HeaderTimeout > 0 {
		limits.HeaderTimeout = configured.HeaderTimeout + timeoutGrace
	}
	if configured.IdleTimeout > 0 {
		limits.IdleTimeout = configured.IdleTimeout + timeoutGrace
	}
	return limits
}

// reporter returns the reporter of a listener.
func (n *Node) reporter(listener string) *connguard.Reporter {
	return connguard.NewReporter(listener, n.connections, n.logger)
}

// guard creates the pool of a listener and applies its limits. The server of callers
// uses its pool itself.
func (n *Node) guard(name string, listener net.Listener) net.Listener {
	limits := n.settings.listenerLimits(name)
	pool := connlimit.NewPool(connlimit.Limits{Connections: limits.Connections, Memory: limits.HeadMemoryBytes})
	n.pools[name] = pool
	options := connguard.Options{
		Pool: pool, Reporter: n.reporter(name), Stall: n.settings.stall(), RequestTime: headerTimeout, IdleTime: idleTimeout,
		RequestBytes: func() int64 { return controlBytes },
	}
	switch name {
	case "callers":
		return listener
	case "daemons":
		options.Marked = true
		options.RequestBytes = func() int64 { return int64(max(n.callerLimits().HeaderBytes, peerHeaderBytes) + hopHeaderBytes) }
	case "fleet":
		options.KeepsBuffers = true
		// A peer closes the stream of a call after it has received the response, so bytes
		// may precede a long wait for the next call.
		options.RequestTime = idleTimeout
		options.RequestBytes = func() int64 { return link.MaxMessageBytes }
	}
	return connguard.New(listener, options)
}
