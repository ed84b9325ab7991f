package route_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
	"nutmegstand.example/nutmegstand/pkg/route/routetest"
)

// counterValues returns the sum of each counter by name and member.
func counterValues(t *testing.T, reader *sdkmetric.ManualReader) map[string]int64 {
	var data metricdata.ResourceMetrics
	assert.NilError(t, reader.Collect(t.Context(), &data))
	values := map[string]int64{}
	for _, scope := range data.ScopeMetrics {
		for _, m := range scope.Metrics {
			for _, point := range m.Data.(metricdata.Sum[int64]).DataPoints {
				member, _ := point.Attributes.Value("member")
				values[m.Name+"/"+member.AsString()] += point.Value
			}
		}
	}
	return values
}

// TestMemberIsCountedOnce guards against a call that is counted for its member once
// per attempt, again for its inner calls, or not at all if it is refused.
func TestMemberIsCountedOnce(t *testing.T) {
	reader := sdkmetric.NewManualReader()
	refuse := fixed(routetest.Refuse(pb.Refusal_REFUSAL_OVERLOAD))
	f := newFixture(t, func(o *route.Options) {
		o.Meter = sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("test")
	}, refuse, refuse, refuse)
	service := stockService()
	service.Routes[0].Limits = &config.Limits{PerMember: &config.Rate{PerSecond: 0.001, Burst: 1}}
	f.Config.Snapshot.Store(routetest.Snapshot(t, []string{"stock"}, service))
	call := get()
	call.Chain.Member = "shop"
	_, err := f.router.Route(t.Context(), call)
	_, outcome := route.Classify(err)
	assert.Equal(t, outcome, "not-run")
	values := counterValues(t, reader)
	assert.Equal(t, values["nutmegstand.calls/shop"], int64(1))
	assert.Equal(t, values["nutmegstand.attempts/"], int64(3))
	assert.Equal(t, values["nutmegstand.retries/"], int64(2))

	_, err = f.router.Route(t.Context(), call)
	var limited *route.LimitError
	assert.Assert(t, errors.As(err, &limited))
	assert.Assert(t, limited.RetryAfter > time.Minute)
	inner := get()
	inner.Inner, inner.Chain.Member = true, "shop"
	_, err = f.router.Route(t.Context(), inner)
	assert.Assert(t, !errors.As(err, &limited), "inner calls must not be rate limited again")
	values = counterValues(t, reader)
	assert.Equal(t, values["nutmegstand.calls/shop"], int64(2))
	assert.Equal(t, values["nutmegstand.inner_calls/"], int64(1))
}

// TestOneDecisionLinePerCall guards against calls without a decision log line, or with
// one that lacks the fields needed to trace the call.
func TestOneDecisionLinePerCall(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	f := newFixture(t, func(o *route.Options) { o.Logger = zap.New(core) },
		fixed(routetest.Refuse(pb.Refusal_REFUSAL_OVERLOAD)), fixed(routetest.Answer(200, nil)))
	for range 10 {
		_, err := f.router.Route(t.Context(), get())
		assert.NilError(t, err)
	}
	lines := logs.FilterField(zap.Int("event", 1500)).All()
	assert.Equal(t, len(lines), 10)
	fields := lines[0].ContextMap()
	assert.Equal(t, fields["endpoint"], "stock-v1-a-1")
	assert.Equal(t, fields["version"], "v1")
	assert.Equal(t, fields["outcome"], "answered")
	assert.Assert(t, fields["call"] != "")
}

// TestFirstCallSubscribes guards against calls that fail because the daemon has not
// fetched the bundles of their host yet.
func TestFirstCallSubscribes(t *testing.T) {
	f := newFixture(t, nil, fixed(routetest.Answer(200, nil)))
	f.Config.Snapshot.Store(routetest.Snapshot(t, nil, stockService()))
	f.Config.OnSubscribe = func(services []string) (*config.Snapshot, error) {
		assert.DeepEqual(t, services, []string{"stock"})
		return routetest.Snapshot(t, services, stockService()), nil
	}
	assert.DeepEqual(t, f.router.Explain("s.example", "/", "GET").Unsubscribed, []string{"stock"})
	_, err := f.router.Route(t.Context(), get())
	assert.NilError(t, err)
	f.Config.Snapshot.Store(routetest.Snapshot(t, nil, stockService()))
	f.Config.OnSubscribe = func([]string) (*config.Snapshot, error) { return nil, errors.New("no distributor") }
	_, err = f.router.Route(t.Context(), get())
	_, outcome := route.Classify(err)
	assert.Equal(t, outcome, "not-run")
}

// TestConnectionsOpenedInAdvance guards against a first call to a new endpoint that
// has to wait for a connection.
func TestConnectionsOpenedInAdvance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sender *route.MeshSender
		f := newFixture(t, nil, fixed(routetest.Answer(200, nil)))
		endpoints := append(f.Endpoints.Endpoints("stock"), routetest.ReadyEndpoints("stock", "v1", "b", 2, 10)...)
		for _, e := range endpoints[1:] {
			f.network.Listen(t, e.GetAddress(), fixed(routetest.Answer(200, nil)))
		}
		f.Endpoints.Set("stock", endpoints...)
		peers := link.NewPeers(f.network.Dial)
		defer peers.Close()
		sender = route.NewMeshSender(peers)
		options := f.Options(sender, "a")
		options.Warmer = sender
		router, err := route.New(options)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { router.Run(ctx) })
		_, err = router.Route(ctx, get()) // to the only endpoint of the local domain
		assert.NilError(t, err)
		synctest.Wait()
		for _, e := range endpoints[1:] {
			assert.Equal(t, f.network.Dials(e.GetAddress()), 1)
		}
		cancel()
		group.Wait()
	})
}

// TestExplain guards against an explanation that does not match the routing of calls,
// or that cannot be encoded as JSON.
func TestExplain(t *testing.T) {
	f := newFixture(t, nil, fixed(routetest.Answer(200, nil)), fixed(routetest.Answer(200, nil)))
	endpoints := f.Endpoints.Endpoints("stock")
	endpoints = append(endpoints, routetest.ReadyEndpoints("stock", "v2", "b", 1, 10)...)
	leaving := routetest.ReadyEndpoints("stock", "v1", "b", 1, 10)[0]
	leaving.State = pb.EndpointState_ENDPOINT_LEAVING
	f.Endpoints.Set("stock", append(endpoints, leaving)...)
	f.network.Stop("stock-v1-a-0")
	for range 10 {
		_, err := f.router.Route(t.Context(), get())
		assert.NilError(t, err)
	}
	explanation := f.router.Explain("s.example", "/x", "GET")
	assert.Assert(t, explanation.Matched && explanation.Idempotent)
	reasons := map[string]string{}
	for _, target := range explanation.Targets {
		reasons[target.Name] = target.Reason
	}
	assert.DeepEqual(t, reasons, map[string]string{
		"stock-v1-a-0": "set aside: it could not be reached or refused",
		"stock-v1-a-1": "in the subset",
		"stock-v2-b-0": "its version has no share",
		"stock-v1-b-0": "leaving",
	})
	data, err := json.Marshal(explanation)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), `"setAsideMs":`))
	assert.Assert(t, f.router.Explain("s.example", "/x", "PUT").Reason != "")
	assert.Assert(t, f.router.Explain("none.example", "/x", "GET").Reason != "")
}

// usageSink records the published usage.
type usageSink struct {
	mu    sync.Mutex
	usage []*pb.Usage
}

func (u *usageSink) PublishUsage(_ string, usage []*pb.Usage) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.usage = append(u.usage, usage...)
}

func (u *usageSink) members() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var members []string
	for _, usage := range u.usage {
		members = append(members, usage.GetMember())
	}
	return members
}

// TestSharesAreApplied guards against a running router that does not publish usage, or
// does not apply the share returned by a distributor.
func TestSharesAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &usageSink{}
		f := newFixture(t, func(o *route.Options) { o.Usage = sink }, fixed(routetest.Answer(200, nil)))
		service := stockService()
		service.Routes[0].Limits = &config.Limits{PerMember: &config.Rate{PerSecond: 10, Burst: 10}}
		f.Config.Snapshot.Store(routetest.Snapshot(t, []string{"stock"}, service))
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { f.router.Run(ctx) })
		admitted := func(calls int) int {
			n := 0
			for range calls {
				call := get()
				call.Chain.Member = "shop"
				if _, err := f.router.Route(t.Context(), call); err == nil {
					n++
				}
				time.Sleep(100 * time.Millisecond)
			}
			return n
		}
		assert.Equal(t, admitted(10), 10)
		synctest.Wait() // usage is published at the end of each second
		assert.DeepEqual(t, sink.members(), []string{"shop"})
		f.router.ApplyShares("stock", []*pb.Usage{{Route: "read", Member: "shop", SharePerSecond: 1}})
		n := admitted(40)
		assert.Assert(t, n >= 4 && n <= 6, "%d calls in 4 s at a share of 1/s", n)
		cancel()
		group.Wait()
	})
}
