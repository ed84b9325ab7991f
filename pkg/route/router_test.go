package route_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
	"nutmegstand.example/nutmegstand/pkg/route/chain"
	"nutmegstand.example/nutmegstand/pkg/route/routetest"
)

// stockService has one idempotent and one non-idempotent route.
func stockService() config.Service {
	second := config.Duration(time.Second)
	return config.Service{Name: "stock", Version: "v1", Slots: 10, Routes: []config.Route{
		{Name: "read", Host: "s.example", Path: "/", Methods: []string{"GET"}, Idempotent: true, Deadline: second, Retry: &config.Retry{Attempts: 3}},
		{Name: "order", Host: "s.example", Path: "/", Methods: []string{"POST"}, Deadline: second, Retry: &config.Retry{Attempts: 3}},
	}}
}

type fixture struct {
	routetest.Fakes
	network *routetest.Network
	router  *route.Router
}

// newFixture returns a router with one target for each handler, in the caller's domain.
func newFixture(t testing.TB, change func(*route.Options), handlers ...routetest.Handler) *fixture {
	f := &fixture{network: routetest.NewNetwork(t)}
	f.Config.Snapshot.Store(routetest.Snapshot(t, []string{"stock"}, stockService()))
	endpoints := routetest.ReadyEndpoints("stock", "v1", "a", len(handlers), 10)
	f.Endpoints.Set("stock", endpoints...)
	for i, handler := range handlers {
		f.network.Listen(t, endpoints[i].GetAddress(), handler)
	}
	peers := link.NewPeers(f.network.Dial)
	t.Cleanup(func() { _ = peers.Close() })
	options := f.Options(route.NewMeshSender(peers), "a")
	if change != nil {
		change(&options)
	}
	var err error
	f.router, err = route.New(options)
	assert.NilError(t, err)
	return f
}

func get() *route.Call {
	return &route.Call{Method: "GET", Host: "s.example", Path: "/", Target: "/"}
}

func post(key string) *route.Call {
	return &route.Call{Method: "POST", Host: "s.example", Path: "/", Target: "/", Key: key, Body: []byte("x")}
}

func fixed(result routetest.Result) routetest.Handler {
	return func(context.Context, *pb.CallHead, []byte) routetest.Result { return result }
}

func counted(n *atomic.Int32, handler routetest.Handler) routetest.Handler {
	return func(ctx context.Context, head *pb.CallHead, body []byte) routetest.Result {
		n.Add(1)
		return handler(ctx, head, body)
	}
}

// TestOutcomeIsTrue guards against "not run" for a call that may have run, a truncated
// answer returned as complete, and a retry of a call that must not be retried, such as
// one that has crashed two targets.
func TestOutcomeIsTrue(t *testing.T) {
	truncated := routetest.Answer(200, make([]byte, 600<<10))
	truncated.Truncate = true
	complete := routetest.Answer(200, []byte("complete"))
	overload := routetest.Refuse(pb.Refusal_REFUSAL_OVERLOAD)
	crashed := routetest.Result{Head: &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: "target crashed", Crashed: true}}
	cases := []struct {
		name     string
		call     *route.Call
		results  []routetest.Result // in the order of the attempts
		outcome  string
		attempts int32
	}{
		{"idempotent call after a truncated answer", get(), []routetest.Result{truncated, complete}, "answered", 2},
		{"idempotent call refused after a truncated answer", get(), []routetest.Result{truncated, overload, overload}, "unknown", 3},
		{"idempotent call, all dropped", get(), []routetest.Result{{Drop: true}, {Drop: true}, {Drop: true}}, "unknown", 3},
		{"idempotent call refused everywhere", get(), []routetest.Result{overload, overload, overload}, "not-run", 3},
		{"non-idempotent call after a truncated answer", post(""), []routetest.Result{truncated, complete}, "unknown", 1},
		{"non-idempotent call dropped", post(""), []routetest.Result{{Drop: true}, complete}, "unknown", 1},
		{"non-idempotent call after a refusal", post(""), []routetest.Result{overload, complete}, "answered", 2},
		{"keyed call at its home only", post("k"), []routetest.Result{overload, complete}, "not-run", 1},
		{"suspect request", get(), []routetest.Result{routetest.Refuse(pb.Refusal_REFUSAL_SUSPECT), complete}, "not-run", 1},
		{"idempotent call after a crash", get(), []routetest.Result{crashed, complete}, "answered", 2},
		{"idempotent call after two crashes", get(), []routetest.Result{crashed, crashed, complete}, "unknown", 2},
		{"failed answer kept when the retry is refused", get(), []routetest.Result{routetest.Answer(500, nil), overload, overload}, "answered", 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var n atomic.Int32
			handler := func(context.Context, *pb.CallHead, []byte) routetest.Result { return c.results[n.Add(1)-1] }
			f := newFixture(t, nil, handler, handler, handler)
			answer, err := f.router.Route(t.Context(), c.call)
			_, outcome := route.Classify(err)
			assert.Equal(t, outcome, c.outcome, "error %v", err)
			assert.Equal(t, n.Load(), c.attempts)
			if err == nil && answer.Status == 200 {
				assert.Equal(t, string(answer.Body), "complete")
			}
		})
	}
}

// TestFailedDialIsNotRun guards against an unknown outcome for an unreachable target
// side, which would prevent the retry of a non-idempotent call.
func TestFailedDialIsNotRun(t *testing.T) {
	f := newFixture(t, nil, fixed(routetest.Answer(200, nil)), fixed(routetest.Answer(200, nil)))
	f.network.Stop("stock-v1-a-0")
	for range 20 {
		answer, err := f.router.Route(t.Context(), post(""))
		assert.NilError(t, err)
		assert.Equal(t, answer.Decision.Endpoint, "stock-v1-a-1")
	}
	// A new router has no connections yet. If an existing connection broke during
	// use, the outcome would correctly be unknown.
	f = newFixture(t, nil, fixed(routetest.Result{}), fixed(routetest.Result{}))
	f.network.Stop("stock-v1-a-0")
	f.network.Stop("stock-v1-a-1")
	_, err := f.router.Route(t.Context(), get())
	_, outcome := route.Classify(err)
	assert.Equal(t, outcome, "not-run")
	var noEndpoint *route.NoEndpointError
	_, err = f.router.Route(t.Context(), get())
	assert.Assert(t, errors.As(err, &noEndpoint), "got %v", err)
	assert.Equal(t, noEndpoint.SetAside, 2)
}

// TestDeadlineIsPropagated guards against an attempt that continues after the deadline
// of its call, an attempt started after the deadline, and a deadline that is not sent
// to the target side.
func TestDeadlineIsPropagated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n atomic.Int32
		var left atomic.Int64
		f := newFixture(t, nil, counted(&n, func(ctx context.Context, head *pb.CallHead, _ []byte) routetest.Result {
			left.Store(head.GetDeadlineMs())
			<-ctx.Done()
			return routetest.Result{Drop: true}
		}))
		call := get()
		start := time.Now()
		call.Chain.Deadline = start.Add(200 * time.Millisecond)
		_, err := f.router.Route(t.Context(), call)
		status, _ := route.Classify(err)
		assert.Equal(t, status, 504)
		assert.Equal(t, left.Load(), int64(200))
		// The library waits 5 ms for a cancelled stream to end.
		assert.Assert(t, time.Since(start) <= 210*time.Millisecond, "took %v", time.Since(start))

		_, err = f.router.Route(t.Context(), call) // its deadline has passed
		_, outcome := route.Classify(err)
		assert.Equal(t, outcome, "not-run")
		assert.Equal(t, n.Load(), int32(1))
		assert.Equal(t, len(f.Versions.Attempts()), 1, "a call without an attempt must not be reported as evidence")
	})
}

// TestConnectionIsReused guards against a new connection for each call, and against a
// connection that becomes unusable after a refusal sent before the whole body was
// received.
func TestConnectionIsReused(t *testing.T) {
	f := newFixture(t, nil, func(_ context.Context, head *pb.CallHead, body []byte) routetest.Result {
		if head.GetMethod() == "POST" {
			return routetest.Refuse(pb.Refusal_REFUSAL_SUSPECT)
		}
		return routetest.Answer(200, make([]byte, 300<<10))
	})
	for range 100 {
		_, err := f.router.Route(t.Context(), get())
		assert.NilError(t, err)
		_, err = f.router.Route(t.Context(), post(""))
		_, outcome := route.Classify(err)
		assert.Equal(t, outcome, "not-run")
	}
	assert.Equal(t, f.network.Dials("stock-v1-a-0"), 1)
}

// TestCancelReachesTarget guards against a target that continues to work for a caller
// that has disconnected.
func TestCancelReachesTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cancelled := make(chan time.Duration, 1)
		f := newFixture(t, nil, func(ctx context.Context, _ *pb.CallHead, _ []byte) routetest.Result {
			start := time.Now()
			<-ctx.Done()
			cancelled <- time.Since(start)
			return routetest.Result{Drop: true}
		})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := f.router.Route(ctx, get())
		_, outcome := route.Classify(err)
		assert.Equal(t, outcome, "unknown")
		assert.Assert(t, <-cancelled <= 60*time.Millisecond)
		attempts := f.Versions.Attempts()
		assert.Assert(t, attempts[0].Cancelled, "a cancelled attempt must not count against the version")
	})
}

// TestChainBoundsRetries guards against retries that multiply over the hops of a call
// chain, and against chains of unlimited depth.
func TestChainBoundsRetries(t *testing.T) {
	var n atomic.Int32
	refuse := counted(&n, fixed(routetest.Refuse(pb.Refusal_REFUSAL_OVERLOAD)))
	f := newFixture(t, nil, refuse, refuse, refuse)
	call := get()
	call.Inner = true
	call.Chain = chain.State{Depth: 5, Attempts: 7} // two retries were made at earlier hops
	_, err := f.router.Route(t.Context(), call)
	assert.Assert(t, err != nil)
	assert.Equal(t, n.Load(), int32(1))
	call.Chain.Depth = 16
	var tooDeep *route.DepthError
	_, err = f.router.Route(t.Context(), call)
	assert.Assert(t, errors.As(err, &tooDeep))

	n.Store(0)
	failed := routetest.Answer(503, nil)
	failed.Head.Headers = []*pb.Header{{Name: chain.NoRetry, Value: "1"}}
	f = newFixture(t, nil, counted(&n, fixed(failed)), counted(&n, fixed(failed)))
	answer, err := f.router.Route(t.Context(), get())
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 503)
	assert.Equal(t, n.Load(), int32(1), "the next hop has already used its attempts")
}

// TestHomeStatuses guards against a keyed call that runs although its home has
// departed, there is no home, or the key is refused.
func TestHomeStatuses(t *testing.T) {
	var n atomic.Int32
	f := newFixture(t, nil, counted(&n, fixed(routetest.Answer(200, nil))))
	f.Homes.Statuses = map[string]route.Home{
		"departed": {Status: route.HomeUnknown}, "none": {Status: route.HomeNone}, "future": {Status: route.HomeRefused},
	}
	for key, want := range map[string]string{"departed": "unknown", "none": "not-run", "future": "bad-request"} {
		_, err := f.router.Route(t.Context(), post(key))
		_, outcome := route.Classify(err)
		assert.Equal(t, outcome, want, key)
	}
	assert.Equal(t, n.Load(), int32(0))
}

// TestAssignedKeysFollowVersion guards against non-idempotent calls that are sent to a
// version other than the chosen one, or without a key.
func TestAssignedKeysFollowVersion(t *testing.T) {
	var keys atomic.Int32
	handler := func(_ context.Context, head *pb.CallHead, _ []byte) routetest.Result {
		if head.GetKey() != "" && head.GetTargetVersion() == "v2" {
			keys.Add(1)
		}
		return routetest.Answer(200, nil)
	}
	f := newFixture(t, nil, handler)
	both := append(routetest.ReadyEndpoints("stock", "v1", "a", 5, 10), routetest.ReadyEndpoints("stock", "v2", "a", 2, 10)...)
	for _, e := range both {
		f.network.Listen(t, e.GetAddress(), handler)
	}
	f.Endpoints.Set("stock", both...)
	f.Versions.Pick = func(*config.Bundle) route.Choice { return route.Choice{Version: "v2"} }
	for range 50 {
		_, err := f.router.Route(t.Context(), post(""))
		assert.NilError(t, err)
	}
	assert.Equal(t, keys.Load(), int32(50))
}
