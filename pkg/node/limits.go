package node

import "time"

const (
	// minHeadMemory is the smallest head memory of a listener in bytes. It holds the
	// heads of 64 connections at the usual limit of 16 KB.
	minHeadMemory = 1 << 20
	// defaultMemoryLimit replaces memoryLimitBytes in the defaults where that is 0. It
	// is the memory of the smallest machines.
	defaultMemoryLimit = 184_000_000
	// largeMemoryShare, daemonMemoryShare and smallMemoryShare are the divisors of memoryLimitBytes that
	// give the default head memory of the listeners for callers and the fleet, of the
	// one for daemons, and of those for control messages. All of them together take
	// less than half of the memory. responseMemoryShare is that of buffered responses.
	largeMemoryShare    = 8
	daemonMemoryShare   = 16
	smallMemoryShare    = 64
	responseMemoryShare = 16
	// runtimeMemoryShare is the part of memoryLimitBytes that is the soft limit of the
	// Go runtime. The runtime does not count the pages of the program itself, some 15
	// MB, and exceeds its limit for a moment when memory is needed fast.
	runtimeMemoryShare = 0.85
	// maxConnections is the upper end of the allowed range of connections. The
	// smallest machines have 4,100 file descriptors.
	maxConnections = 65536
	// defaultStall is longer than the idle timeouts that operators configure.
	defaultStall = 30 * time.Second
)

// Default connections of the listeners. Together with the connections that a daemon
// opens itself they stay below the 4,100 file descriptors of the smallest machines.
const (
	callerConnections  = 1536
	daemonConnections  = 768
	fleetConnections   = 512
	controlConnections = 64
)

// ListenerLimits bound what the clients of one listener can use. 0 stands for the
// default.
type ListenerLimits struct {
	Connections     int   `json:"connections,omitempty"`
	HeadMemoryBytes int64 `json:"headMemoryBytes,omitempty"` // heads, and requests that were read ahead
}

// Limits bound what clients can use. No client inside the limits of the configuration
// in force reaches the defaults.
type Limits struct {
	Callers       ListenerLimits `json:"callers,omitzero"`
	Daemons       ListenerLimits `json:"daemons,omitzero"`
	Fleet         ListenerLimits `json:"fleet,omitzero"`
	Announcements ListenerLimits `json:"announcements,omitzero"`
	Readiness     ListenerLimits `json:"readiness,omitzero"`
	Metrics       ListenerLimits `json:"metrics,omitzero"`
	// Stall is the time within which a client must take a part of a response.
	Stall Milliseconds `json:"stallMS,omitempty"`
}

// listeners returns the limits by the name of the listener.
func (l *Limits) listeners() map[string]ListenerLimits {
	return map[string]ListenerLimits{
		"callers": l.Callers, "daemons": l.Daemons, "fleet": l.Fleet,
		"announcements": l.Announcements, "readiness": l.Readiness, "metrics": l.Metrics,
	}
}

// check reports the values outside their allowed range.
func (l *Limits) check(add func(path string, value any, allowed string)) {
	for name, limits := range l.listeners() {
		if limits.Connections < 0 || limits.Connections > maxConnections {
			add("limits."+name+".connections", limits.Connections, "0 for the default, or 1 to 65536")
		}
		if limits.HeadMemoryBytes != 0 && limits.HeadMemoryBytes < minHeadMemory {
			add("limits."+name+".headMemoryBytes", limits.HeadMemoryBytes, "0 for the default, or 1048576 or more")
		}
	}
	if l.Stall < 0 {
		add("limits.stallMS", l.Stall, "0 for the default, or more than 0")
	}
}

// listenerLimits returns the limits of a listener with the defaults filled in.
func (s *Settings) listenerLimits(name string) ListenerLimits {
	limits := s.Limits.listeners()[name]
	connections, share := controlConnections, int64(smallMemoryShare)
	switch name {
	case "callers":
		connections, share = callerConnections, largeMemoryShare
	case "daemons":
		connections, share = daemonConnections, daemonMemoryShare
	case "fleet":
		connections, share = fleetConnections, largeMemoryShare
	}
	if limits.Connections == 0 {
		limits.Connections = connections
	}
	if limits.HeadMemoryBytes == 0 {
		limits.HeadMemoryBytes = max(s.memory()/share, minHeadMemory)
	}
	return limits
}

// memory returns the memory limit, or that of the smallest machines if there is none.
func (s *Settings) memory() int64 {
	if s.MemoryLimitBytes == 0 {
		return defaultMemoryLimit
	}
	return s.MemoryLimitBytes
}

// RuntimeMemoryLimit returns the soft limit of the Go runtime in bytes, 0 for none.
func (s *Settings) RuntimeMemoryLimit() int64 {
	return int64(float64(s.MemoryLimitBytes) * runtimeMemoryShare)
}

// responseMemory returns the memory for buffered responses in bytes.
func (s *Settings) responseMemory() int64 { return max(s.memory()/responseMemoryShare, minHeadMemory) }

// stall returns the time within which a client must take a part of a response.
func (s *Settings) stall() time.Duration {
	if s.Limits.Stall == 0 {
		return defaultStall
	}
	return s.Limits.Stall.Duration()
}
