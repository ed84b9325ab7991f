// Package routetest provides fakes of the dependencies of a router for tests and
// benchmarks: a configuration source, endpoints, a version chooser, a home finder, and
// target sides that reply with the result of a function.
package routetest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
)

// Snapshot returns a snapshot of version 1 that contains the services.
func Snapshot(tb testing.TB, subscribed []string, services ...config.Service) *config.Snapshot {
	tb.Helper()
	manifest := &config.Manifest{Version: 1, Entries: map[string]config.Entry{}}
	content := map[string][]byte{}
	for i := range services {
		bundle := config.Bundle{Service: services[i]}
		data := bundle.Encode()
		manifest.Entries[services[i].Name] = config.Entry{Digest: config.Digest(data), Hosts: bundle.Hosts()}
		content[config.Digest(data)] = data
	}
	delta := manifest.Delta(nil)
	delta.Bundles = content
	snapshot, err := (*config.Snapshot)(nil).Next(delta, subscribed)
	if err != nil {
		tb.Fatalf("build snapshot: %v", err)
	}
	return snapshot
}

// Config is a fake route.ConfigSource. OnSubscribe returns the snapshot after a
// subscription.
type Config struct {
	Snapshot     atomic.Pointer[config.Snapshot]
	OnSubscribe  func(services []string) (*config.Snapshot, error)
	NewerVersion atomic.Uint64 // last version passed to NotifyNewer
}

// Current implements route.ConfigSource.
func (c *Config) Current() *config.Snapshot { return c.Snapshot.Load() }

// Subscribe replaces the snapshot with the result of OnSubscribe.
func (c *Config) Subscribe(_ context.Context, services ...string) error {
	snapshot, err := c.OnSubscribe(services)
	if err == nil {
		c.Snapshot.Store(snapshot)
	}
	return err
}

// NotifyNewer stores the version in NewerVersion.
func (c *Config) NotifyNewer(version uint64) { c.NewerVersion.Store(version) }

// Endpoints is a fake route.EndpointSource.
type Endpoints struct {
	mu        sync.Mutex
	byService map[string][]*pb.Endpoint
}

// Set replaces the endpoints of a service.
func (e *Endpoints) Set(service string, endpoints ...*pb.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byService == nil {
		e.byService = map[string][]*pb.Endpoint{}
	}
	e.byService[service] = slices.Clone(endpoints)
}

// Endpoints returns the endpoints of a service.
func (e *Endpoints) Endpoints(service string) []*pb.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byService[service]
}

// ReadyEndpoints returns n ready endpoints named after the service.
func ReadyEndpoints(service, version, domain string, n, slots int) []*pb.Endpoint {
	endpoints := make([]*pb.Endpoint, n)
	for i := range endpoints {
		name := fmt.Sprintf("%s-%s-%s-%d", service, version, domain, i)
		endpoints[i] = &pb.Endpoint{
			Name: name, Address: name, Domain: domain, Service: service, Version: version,
			State: pb.EndpointState_ENDPOINT_READY, Slots: int32(slots),
		}
	}
	return endpoints
}

// Versions is a fake route.VersionChooser that calls Pick and records the reported
// attempts.
type Versions struct {
	Pick func(bundle *config.Bundle) route.Choice // nil chooses the version of the service

	mu       sync.Mutex
	attempts []route.Attempt
}

// Choose returns the result of Pick.
func (v *Versions) Choose(bundle *config.Bundle, _ *config.Route, _ *route.Call) route.Choice {
	if v.Pick == nil {
		return route.Choice{Version: bundle.Service.Version}
	}
	return v.Pick(bundle)
}

// Shares returns a share of 1 for the chosen version.
func (v *Versions) Shares(bundle *config.Bundle, r *config.Route) map[string]float64 {
	return map[string]float64{v.Choose(bundle, r, nil).Version: 1}
}

// Report records the attempt.
func (v *Versions) Report(_ *config.Bundle, _ *config.Route, attempt route.Attempt) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.attempts = append(v.attempts, attempt)
}

// Attempts returns the recorded attempts.
func (v *Versions) Attempts() []route.Attempt {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.attempts)
}

// Homes is a fake route.HomeFinder that finds homes by rendezvous hash over the ready
// endpoints. Statuses overrides the result for individual keys.
type Homes struct{ Statuses map[string]route.Home }

// Home returns the home of the key.
func (h *Homes) Home(key string, endpoints []*pb.Endpoint) route.Home {
	if home, ok := h.Statuses[key]; ok {
		return home
	}
	byName := map[string]*pb.Endpoint{}
	var names []string
	for _, e := range endpoints {
		if e.GetState() == pb.EndpointState_ENDPOINT_READY {
			byName[e.GetName()] = e
			names = append(names, e.GetName())
		}
	}
	if len(names) == 0 {
		return route.Home{Status: route.HomeNone, Reason: "no endpoint is eligible", RetryAfter: time.Second}
	}
	return route.Home{Status: route.HomeFound, Endpoint: byName[rendezvous.New(names, xxhash.Sum64String).Lookup(key)]}
}

// Fakes holds the fake dependencies of a router.
type Fakes struct {
	Config    Config
	Endpoints Endpoints
	Versions  Versions
	Homes     Homes
}

// Options returns router options that use the fakes.
func (s *Fakes) Options(sender route.Sender, domain string) route.Options {
	return route.Options{
		Name: "caller", Domain: domain, Config: &s.Config, Endpoints: &s.Endpoints, Versions: &s.Versions,
		Homes: &s.Homes, Sender: sender, Meter: noop.NewMeterProvider().Meter("test"), Logger: zap.NewNop(), Seed: 1,
	}
}
