package daemon

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/keyhome"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
)

// configSource implements route.ConfigSource with the member's configuration.
type configSource struct{ member *domain.Member }

func (c configSource) Current() *config.Snapshot { return c.member.Snapshot() }

func (c configSource) Subscribe(ctx context.Context, services ...string) error {
	return c.member.Subscribe(ctx, services...)
}

func (c configSource) NotifyNewer(version uint64) { c.member.RecordVersion(version) }

// endpointSource converts the endpoint views of the record table for the request
// path. It caches each converted view until the view changes.
type endpointSource struct {
	table *domain.Table
	views sync.Map // service to *endpointView
}

type endpointView struct {
	source    []*domain.Endpoint
	endpoints []*pb.Endpoint
}

// Endpoints returns the endpoints of a service, including departed ones.
func (s *endpointSource) Endpoints(service string) []*pb.Endpoint {
	source := s.table.Endpoints(service)
	if cached, ok := s.views.Load(service); ok {
		if view := cached.(*endpointView); sameSlice(view.source, source) {
			return view.endpoints
		}
	}
	view := &endpointView{source: source, endpoints: make([]*pb.Endpoint, 0, len(source))}
	for _, e := range source {
		view.endpoints = append(view.endpoints, withObservedState(e))
	}
	s.views.Store(service, view)
	return view.endpoints
}

// sameSlice reports whether both slices are the same view; views are immutable.
func sameSlice(a, b []*domain.Endpoint) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// withObservedState applies the distributors' observations to the endpoint that
// its owner published: a lost or departed endpoint is down and receives no calls,
// and the time of departure is set, so that the endpoint keeps its keys.
func withObservedState(e *domain.Endpoint) *pb.Endpoint {
	if !e.Lost && !e.Departed {
		return e.Endpoint
	}
	endpoint := proto.Clone(e.Endpoint).(*pb.Endpoint)
	endpoint.State = pb.EndpointState_ENDPOINT_DOWN
	if e.Departed && endpoint.GetDepartedMs() == 0 {
		endpoint.DepartedMs = e.DepartedAt.UnixMilli()
	}
	return endpoint
}

// homeFinder implements route.HomeFinder with the rule of package keyhome.
type homeFinder struct{}

func (homeFinder) Home(key string, endpoints []*pb.Endpoint) route.Home {
	created := keyhome.CreatedMS(key)
	result := keyhome.Home(key, created, endpoints, time.Now())
	home := route.Home{Endpoint: result.Endpoint, CreatedMS: created, RetryAfter: result.RetryAfter, Reason: result.Status.String()}
	switch result.Status {
	case keyhome.Found, keyhome.LookupOnly:
		home.Status = route.HomeFound
	case keyhome.NoneEligible:
		home.Status = route.HomeNone
	case keyhome.FromFuture:
		home.Status = route.HomeRefused
	default:
		home.Status = route.HomeUnknown
	}
	return home
}
