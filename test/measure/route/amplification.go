package route

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
	"nutmegstand.example/nutmegstand/pkg/route/chain"
	"nutmegstand.example/nutmegstand/pkg/route/routetest"
	"nutmegstand.example/nutmegstand/test/measure/report"
)

const (
	// budgetPart is the stated retry budget: a tenth of first attempts.
	budgetPart = 0.1
	// chainPace is the time between two calls of a chain.
	chainPace = 10 * time.Millisecond
)

// chainHop is the sender of one hop: it runs the target of the next hop, which
// calls the hop after it, and fails when that call fails.
type chainHop struct {
	next   *route.Router // nil at the last hop
	copies bool          // the target copies the answer header No-Retry
	calls  *int          // attempts that reach the last target
}

func (h *chainHop) Send(ctx context.Context, _ string, head *pb.CallHead, _ []byte) (*route.Reply, error) {
	if h.next == nil {
		*h.calls++
		return failedReply(false), nil
	}
	call := &route.Call{Method: "GET", Host: host, Path: "/", Target: "/", Inner: true, Chain: chain.FromHead(head, time.Now())}
	answer, err := h.next.Route(ctx, call)
	if err == nil && answer.Status == 200 {
		return &route.Reply{Head: &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_ANSWERED, Status: 200}}, nil
	}
	return failedReply(h.copies), nil
}

func failedReply(noRetry bool) *route.Reply {
	head := &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_ANSWERED, Status: 503}
	if noRetry {
		head.Headers = []*pb.Header{{Name: chain.NoRetry, Value: "1"}}
	}
	return &route.Reply{Head: head}
}

// chainCalls sends calls through a chain of routers whose last target fails,
// and returns the attempts that reach it for each call.
func chainCalls(tb testing.TB, hops, calls int, copies bool) float64 {
	tb.Helper()
	reached := 0
	var next *route.Router
	for hop := range hops {
		var s routetest.Fakes
		service := hopService()
		service.Routes[0].Retry = &config.Retry{Attempts: 4}
		s.Config.Snapshot.Store(routetest.Snapshot(tb, []string{"hop"}, service))
		s.Endpoints.Set("hop", routetest.ReadyEndpoints("hop", "v1", "a", 10, 10)...)
		options := s.Options(&chainHop{next: next, copies: copies, calls: &reached}, "a")
		options.Name = fmt.Sprint("hop-", hop)
		router, err := route.New(options)
		if err != nil {
			tb.Fatalf("router: %v", err)
		}
		next = router
	}
	for range calls {
		_, _ = next.Route(context.Background(), &route.Call{Method: "GET", Host: host, Path: "/", Target: "/"})
		time.Sleep(chainPace)
	}
	return float64(reached) / float64(calls)
}

// retryAlways is the baseline: three immediate retries at each hop.
func retryAlways(hops int) int {
	if hops == 0 {
		return 1
	}
	attempts := 0
	for range 4 {
		attempts += retryAlways(hops - 1)
	}
	return attempts
}

// measureAmplification measures the attempts at the end of a failing chain.
func measureAmplification(t *testing.T, calls int) {
	t.Helper()
	const hops, baselineHops = 12, 8
	length := chainPace.Seconds() * float64(calls)
	minimum := (3 + 0.5*length) / float64(calls) // the stated small minimum, per call
	for _, copies := range []bool{true, false} {
		var value float64
		synctest.Test(t, func(t *testing.T) { value = chainCalls(t, hops, calls, copies) })
		bound := 1 + budgetPart + minimum
		if !copies {
			// Each hop retries within its own budget, so the budgets compound.
			bound = math.Pow(bound, hops)
		}
		report.Emit(t, report.Line{
			Measure: "retry_amplification", Case: fmt.Sprintf("%d hops, targets copy the header: %t", hops, copies),
			Value: value, Unit: "attempts per call", Bound: report.Bound(bound), OK: value <= bound,
		})
	}
	report.Emit(t, report.Line{
		Measure: "retry_amplification", Case: fmt.Sprintf("%d hops, three immediate retries", baselineHops),
		Value: float64(retryAlways(baselineHops)), Unit: "attempts per call", OK: true,
	})
}
