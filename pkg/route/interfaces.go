package route

import (
	"context"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// ConfigSource gives the configuration in force.
type ConfigSource interface {
	// Current returns the snapshot in force, nil before the first.
	Current() *config.Snapshot
	// Subscribe returns when the bundles of the services are in the current
	// snapshot.
	Subscribe(ctx context.Context, services ...string) error
	// Newer tells that another daemon has a newer version.
	Newer(version uint64)
}

// EndpointSource gives the endpoints of a service. The slice is immutable: a
// change of the endpoints gives a new slice.
type EndpointSource interface {
	Endpoints(service string) []*pb.Endpoint
}

// VersionChooser divides the calls between the versions of a move.
type VersionChooser interface {
	Choose(bundle *config.Bundle, route *config.Route, call *Call) Choice
	// Shares gives the share of each version of a route, for Explain.
	Shares(bundle *config.Bundle, route *config.Route) map[string]float64
	// Report takes the result of an attempt as evidence.
	Report(bundle *config.Bundle, route *config.Route, attempt Attempt)
}

// Sender performs one attempt at the target side with the given address.
type Sender interface {
	// Send returns a NotSentError if the attempt provably did not run, and a
	// CutError if its outcome is unknown.
	Send(ctx context.Context, address string, head *pb.CallHead, body []byte) (*Reply, error)
}

// Reply is a whole reply of a target side.
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

// UsageSink takes the usage of members that use more than half of their
// allowance. Distributors answer with shares, which Router.ApplyShares takes.
type UsageSink interface {
	PublishUsage(service string, usage []*pb.Usage)
}
