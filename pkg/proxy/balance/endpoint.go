package balance

import (
	"sync/atomic"
	"time"
)

// Endpoint is a target that calls may be sent to.
type Endpoint struct {
	Daemon     string
	Address    string // of the target side of its daemon
	Domain     string // failure domain of the target
	SameDomain bool   // in the failure domain of the local daemon
	Local      bool   // on the machine of the local daemon
	Target     string
	Service    string
	Version    string
	Slots      int
	LinkMbps   float64   // of the target's machine, 0 if unknown
	WarmAt     time.Time // end of the cold start
	ColdRate   float64   // requests per second that the target tolerates until WarmAt, 0 for no limit
	Available  bool      // not leaving, down, silent or evacuated
	Evacuated  bool      // in a failure domain that is being evacuated

	published atomic.Pointer[publishedLoad] // nil if none is known
}

// publishedLoad is a load that the daemon of a target has published to all daemons.
type publishedLoad struct {
	load float64 // running and waiting requests relative to the slots
	at   time.Time
}

// PublishLoad sets the load that the target's daemon has published: its running and
// waiting requests relative to its slots, and when this daemon received it.
func (e *Endpoint) PublishLoad(load float64, at time.Time) {
	if known := e.published.Load(); known == nil || known.at.Before(at) {
		e.published.Store(&publishedLoad{load, at})
	}
}
