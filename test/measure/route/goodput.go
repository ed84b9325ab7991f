package route

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
	"nutmegstand.example/nutmegstand/pkg/route/routetest"
	"nutmegstand.example/nutmegstand/test/measure/report"
)

const (
	goodputTargets  = 10
	goodputSlots    = 10
	goodputService  = 20 * time.Millisecond
	goodputDeadline = 300 * time.Millisecond
	goodputCallers  = 4
	slowFactor      = 10
	// settleTime is the initial part of a run, whose calls are not counted for any
	// policy.
	settleTime = time.Second
)

// goodputCase is a load on a fleet in which part of the targets may be faulty.
type goodputCase struct {
	name    string
	failing int     // targets that fail calls immediately
	slow    int     // targets whose service time is slowFactor times longer
	load    float64 // offered load as a ratio of the capacity of all healthy targets
}

// policy makes one call and returns whether it succeeded.
type policy func(ctx context.Context) bool

// policyFactory creates the policy of one caller.
type policyFactory func(tb testing.TB, f *fleet, caller int, seed uint64) policy

// routerPolicy uses route.Router.
func routerPolicy(tb testing.TB, f *fleet, caller int, seed uint64) policy {
	tb.Helper()
	var s routetest.Fakes
	service := config.Service{Name: "hop", Version: "v1", Slots: goodputSlots, Routes: []config.Route{
		{Name: "get", Host: host, Path: "/", Idempotent: true, Deadline: config.Duration(goodputDeadline), Retry: &config.Retry{Attempts: 3}},
	}}
	s.Config.Snapshot.Store(routetest.Snapshot(tb, []string{"hop"}, service))
	s.Endpoints.Set("hop", routetest.ReadyEndpoints("hop", "v1", "a", goodputTargets, goodputSlots)...)
	options := s.Options(f, "a")
	options.Name, options.Seed = fmt.Sprint("caller-", caller), seed*100+uint64(caller)+1
	router, err := route.New(options)
	if err != nil {
		tb.Fatalf("create router: %v", err)
	}
	return func(ctx context.Context) bool {
		answer, err := router.Route(ctx, &route.Call{Method: "GET", Host: host, Path: "/", Target: "/"})
		return err == nil && answer.Status == 200
	}
}

// roundRobin calls the targets in turn, with immediate retries after any failure,
// and ignores the results of earlier calls.
func roundRobin(retries int) policyFactory {
	return func(_ testing.TB, f *fleet, caller int, _ uint64) policy {
		var next atomic.Int64
		next.Store(int64(caller))
		endpoints := routetest.ReadyEndpoints("hop", "v1", "a", goodputTargets, goodputSlots)
		return func(ctx context.Context) bool {
			ctx, cancel := context.WithTimeout(ctx, goodputDeadline)
			defer cancel()
			for range 1 + retries {
				e := endpoints[int(next.Add(1))%len(endpoints)]
				reply, err := f.Send(ctx, e.GetAddress(), nil, nil)
				if err == nil && reply.Head.GetOutcome() == pb.Outcome_OUTCOME_ANSWERED && reply.Head.GetStatus() == 200 {
					return true
				}
				if ctx.Err() != nil {
					return false
				}
			}
			return false
		}
	}
}

// goodput runs one policy and returns the share of successful calls, the attempts
// per call and the number of calls.
func goodput(tb testing.TB, c goodputCase, newPolicy policyFactory, seed uint64, length time.Duration) (answeredShare, attempts, offered float64) {
	tb.Helper()
	f := &fleet{targets: map[string]*queueTarget{}}
	for i, e := range routetest.ReadyEndpoints("hop", "v1", "a", goodputTargets, goodputSlots) {
		service := goodputService
		if i >= c.failing && i < c.failing+c.slow {
			service *= slowFactor
		}
		f.targets[e.GetAddress()] = newQueueTarget(goodputSlots, service, i < c.failing, seed*1000+uint64(i))
	}
	policies := make([]policy, goodputCallers)
	for i := range policies {
		policies[i] = newPolicy(tb, f, i, seed)
	}
	healthy := float64(goodputTargets-c.failing-c.slow) * goodputSlots / goodputService.Seconds()
	random := rand.New(rand.NewPCG(seed, 3))
	var calls, answered atomic.Int64
	var group sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < length; i++ {
		counted := time.Since(start) >= settleTime
		if counted {
			calls.Add(1)
		}
		call := policies[i%goodputCallers]
		group.Go(func() {
			if call(context.Background()) && counted {
				answered.Add(1)
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() / (c.load * healthy) * float64(time.Second)))
	}
	group.Wait()
	offered = float64(calls.Load())
	counted := float64(length-settleTime) / float64(length)
	return float64(answered.Load()) / offered, float64(f.attempts) * counted / offered, offered
}

// twoStandardErrors returns two standard errors of the difference between two
// proportions, each of the given number of calls. Under overload, every policy
// that keeps the targets busy reaches their capacity, so that the remaining
// differences are random.
func twoStandardErrors(proportion, calls float64) float64 {
	return 2 * math.Sqrt(2*proportion*(1-proportion)/calls)
}

// measureGoodput compares the router with the baselines on the same seeds. The
// router must not be worse than the better baseline by more than two standard
// errors.
func measureGoodput(t *testing.T, c goodputCase, seeds []uint64, length time.Duration) {
	t.Helper()
	policies := []struct {
		name      string
		newPolicy policyFactory
	}{
		{"round robin without limits", roundRobin(0)},
		{"three immediate retries", roundRobin(3)},
		{"router", routerPolicy},
	}
	for _, seed := range seeds {
		best := 0.0
		for _, p := range policies {
			var answeredShare, attempts, calls float64
			synctest.Test(t, func(t *testing.T) { answeredShare, attempts, calls = goodput(t, c, p.newPolicy, seed, length) })
			isRouter := p.name == "router"
			report.Emit(t, report.Line{Measure: "goodput", Case: c.name + ", " + p.name, Seed: seed, Value: answeredShare, Unit: "part of calls", OK: !isRouter || answeredShare >= best-twoStandardErrors(best, calls)})
			report.Emit(t, report.Line{Measure: "attempts", Case: c.name + ", " + p.name, Seed: seed, Value: attempts, Unit: "per call", OK: true})
			best = max(best, answeredShare)
		}
	}
}
