package node

import (
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/proxy"
)

// directoryRefresh is the age from which the view is built again although no
// state has changed, since silence shows by time alone.
const directoryRefresh = 200 * time.Millisecond

// silentTarget is the age of a daemon's last beat from which its target is only
// used if nothing else is left. Connections to it fail before that.
const silentTarget = 4 * time.Second

// directory is the fleet's table as lists of endpoints.
type directory struct {
	table *fleet.Table
	clock clock.Clock
	zone  string

	mu       sync.Mutex
	version  uint64
	built    clock.Instant
	services map[string][]*proxy.Endpoint
}

var _ proxy.Directory = (*directory)(nil)

// Endpoints implements proxy.Directory.
func (d *directory) Endpoints(service string) []*proxy.Endpoint {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if version := d.table.Version(); version != d.version || now.Sub(d.built) > directoryRefresh {
		d.build(version, now)
	}
	return d.services[service]
}

func (d *directory) build(version uint64, now clock.Instant) {
	d.version, d.built = version, now
	d.services = make(map[string][]*proxy.Endpoint)
	for _, m := range d.table.Members() {
		t := m.State.Target
		if t == nil {
			continue
		}
		d.services[t.Service] = append(d.services[t.Service], &proxy.Endpoint{
			Daemon: m.Name, Address: m.State.CallAddress, Near: m.State.Zone == d.zone, Local: m.Self,
			Target: t.ID, Service: t.Service, Version: t.Version, Slots: t.Slots, LinkMbps: m.State.LinkMbps,
			WarmAt:    time.Now().Add(time.Duration(t.WarmInMS)*time.Millisecond - now.Sub(m.StateAt)),
			Available: !t.Leaving && !t.Down && !m.State.Leaving && (m.Self || now.Sub(m.HeardAt) < silentTarget),
		})
	}
}

// size returns the number of live daemons.
func (d *directory) size() int { return len(d.table.Live()) }
