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

// configSource gives the member daemon's configuration to the router.
type configSource struct{ member *domain.Member }

func (c configSource) Current() *config.Snapshot { return c.member.Snapshot() }

func (c configSource) Subscribe(ctx context.Context, services ...string) error {
	return c.member.Subscribe(ctx, services...)
}

func (c configSource) Newer(version uint64) { c.member.NoteVersion(version) }

// endpointSource converts the record table's views for the request path. A view
// is converted once, when it changes.
type endpointSource struct {
	table *domain.Table
	views sync.Map // service to *endpointView
}

type endpointView struct {
	source    []*domain.Endpoint
	endpoints []*pb.Endpoint
}

// Endpoints returns the endpoints of a service, with the departed ones.
func (s *endpointSource) Endpoints(service string) []*pb.Endpoint {
	source := s.table.Endpoints(service)
	if held, ok := s.views.Load(service); ok {
		if view := held.(*endpointView); sameSlice(view.source, source) {
			return view.endpoints
		}
	}
	view := &endpointView{source: source, endpoints: make([]*pb.Endpoint, 0, len(source))}
	for _, e := range source {
		view.endpoints = append(view.endpoints, observed(e))
	}
	s.views.Store(service, view)
	return view.endpoints
}

// sameSlice reports whether both slices are the same view; views are immutable.
func sameSlice(a, b []*domain.Endpoint) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// observed adds what the distributors observed to the owner's record: a daemon
// that is not heard gets no calls, and a departed one keeps its keys.
func observed(e *domain.Endpoint) *pb.Endpoint {
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

// homeFinder applies the rule of key homes for the caller side.
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
