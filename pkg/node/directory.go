package node

import (
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/evacuation"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/proxy/balance"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// directoryMaxAge is the age above which the directory is rebuilt even if the version
// of the table is unchanged, since a member becomes silent without a new version.
const directoryMaxAge = 200 * time.Millisecond

// targetSilentAfter is the age of a daemon's last heartbeat above which its target
// counts as unavailable and is used only if no other is left. Connection failures
// exclude the target earlier.
const targetSilentAfter = 4 * time.Second

// directory provides the table of the fleet as endpoints by service.
type directory struct {
	table  *fleet.Table
	clock  clock.Clock
	zone   string
	config *routing.Current

	evacuations *evacuation.State

	mu        sync.Mutex
	version   uint64
	builtAt   clock.Instant
	services  map[string][]*balance.Endpoint
	endpoints map[string]builtEndpoint // by daemon
}

// builtEndpoint is an endpoint with the state of the member from which it was built.
// It is reused while neither the state nor the availability changes.
type builtEndpoint struct {
	state *fleet.State
	*balance.Endpoint
}

var _ proxy.Directory = (*directory)(nil)

// Endpoints implements proxy.Directory.
func (d *directory) Endpoints(service string) []*balance.Endpoint {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if version := d.table.Version(); version != d.version || now.Sub(d.builtAt) > directoryMaxAge {
		d.build(version, now)
	}
	return d.services[service]
}

func (d *directory) build(version uint64, now clock.Instant) {
	d.version, d.builtAt = version, now
	services := make(map[string][]*balance.Endpoint, len(d.services))
	endpoints := make(map[string]builtEndpoint, len(d.endpoints))
	config, evacuations := d.config.Load(), d.evacuations.Since()
	d.table.Each(func(m *fleet.Member) {
		t := m.State.Target
		if t == nil {
			return
		}
		_, evacuated := evacuations[m.State.Zone]
		available := !t.Leaving && !t.Down && !m.State.Leaving && !evacuated && (m.Self || now.Sub(m.LastHeartbeat) < targetSilentAfter)
		e := d.endpoints[m.Name]
		coldRate := 0.0
		if t.WarmupLeftMS > 0 {
			if service := config.Service(t.Service); service != nil {
				coldRate = service.ColdRate
			}
		}
		if e.state != m.State || e.Available != available || e.Evacuated != evacuated || e.ColdRate != coldRate {
			e = builtEndpoint{m.State, &balance.Endpoint{
				Daemon: m.Name, Address: m.State.CallAddress, Domain: m.State.Zone, SameDomain: m.State.Zone == d.zone, Local: m.Self,
				Target: t.ID, Service: t.Service, Version: t.Version, Slots: t.Slots, LinkMbps: m.State.LinkMbps,
				WarmAt:   time.Now().Add(time.Duration(t.WarmupLeftMS)*time.Millisecond - now.Sub(m.StateChangedAt)),
				ColdRate: coldRate, Available: available, Evacuated: evacuated,
			}}
		}
		if !m.Self {
			e.PublishLoad(m.TargetLoad(), time.Now().Add(-now.Sub(m.LastHeartbeat)))
		}
		endpoints[m.Name] = e
		services[t.Service] = append(services[t.Service], e.Endpoint)
	})
	d.services, d.endpoints = services, endpoints
}

// publishedLoad returns the load of the local target as it is published to peers, 0 if
// there is no target.
func publishedLoad(load *proxy.Load) byte {
	if load == nil || load.Slots == 0 {
		return 0
	}
	return fleet.EncodeLoad(float64(load.Busy+load.Queued) / float64(load.Slots))
}
