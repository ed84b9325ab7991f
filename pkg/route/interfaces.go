package route

import (
	"context"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	// Current returns the snapshot in force, nil before the first one.
	Current() *config.Snapshot
	// Subscribe subscribes to the services and returns when their bundles are in
	// the current snapshot.
	Subscribe(ctx context.Context, services ...string) error
	// NotifyNewer reports that a remote daemon has a newer version.
	NotifyNewer(version uint64)
}

// EndpointSource provides the endpoints of a service. The returned slice is
// immutable; when the endpoints change, Endpoints returns a new slice.
type EndpointSource interface {
	Endpoints(service string) []*pb.Endpoint
}

// VersionChooser distributes the calls among the versions of a move.
type VersionChooser interface {
	Choose(bundle *config.Bundle, route *config.Route, call *Call) Choice
	// Shares returns the share of each version of a route, for Explain.
	Shares(bundle *config.Bundle, route *config.Route) map[string]float64
	// Report records the result of an attempt as evidence.
	Report(bundle *config.Bundle, route *config.Route, attempt Attempt)
}

// Sender sends an attempt to the target side at the given address.
type Sender interface {
	// Send returns a NotSentError if the attempt provably did not run. After any other
	// error its outcome is unknown.
	Send(ctx context.Context, address string, head *pb.CallHead, body []byte) (*Reply, error)
}

// Reply is a complete reply of a target side.
type Reply struct {
	Head *pb.AnswerHead
	Body []byte
}

// HomeFinder finds the home of an idempotency key.
type HomeFinder interface {
	Home(key string, endpoints []*pb.Endpoint) Home
}

// Warmer opens a connection to a target side in advance.
type Warmer interface {
	Warm(ctx context.Context, address string) error
}

// UsageSink receives the usage of members that use more than half of their
// allowance. Distributors respond with shares, which are passed to
// Router.ApplyShares.
type UsageSink interface {
	PublishUsage(service string, usage []*pb.Usage)
}
