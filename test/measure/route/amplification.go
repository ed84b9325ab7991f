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
	// retryBudgetRatio is the retry budget of the design, as a ratio of first
	// attempts.
	retryBudgetRatio = 0.1
	// callInterval is the time between two calls through the chain.
	callInterval = 10 * time.Millisecond
)

// chainHop is the sender of one hop. It simulates the target of the hop, which
// calls the next hop and fails if that call fails.
type chainHop struct {
	next         *route.Router // nil at the last hop
	copiesHeader bool          // the target copies the response header No-Retry
	calls        *int          // counts the attempts that reach the last target
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
	return failedReply(h.copiesHeader), nil
}

func failedReply(noRetry bool) *route.Reply {
	head := &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_ANSWERED, Status: 503}
	if noRetry {
		head.Headers = []*pb.Header{{Name: chain.NoRetry, Value: "1"}}
	}
	return &route.Reply{Head: head}
}

// chainCalls sends calls through a chain of routers whose last target fails, and
// returns the attempts per call that reach the last target.
func chainCalls(tb testing.TB, hops, calls int, copiesHeader bool) float64 {
	tb.Helper()
	reached := 0
	var next *route.Router
	for hop := range hops {
		var s routetest.Fakes
		service := hopService()
		service.Routes[0].Retry = &config.Retry{Attempts: 4}
		s.Config.Snapshot.Store(routetest.Snapshot(tb, []string{"hop"}, service))
		s.Endpoints.Set("hop", routetest.ReadyEndpoints("hop", "v1", "a", 10, 10)...)
		options := s.Options(&chainHop{next: next, copiesHeader: copiesHeader, calls: &reached}, "a")
		options.Name = fmt.Sprint("hop-", hop)
		router, err := route.New(options)
		if err != nil {
			tb.Fatalf("create router: %v", err)
		}
		next = router
	}
	for range calls {
		_, _ = next.Route(context.Background(), &route.Call{Method: "GET", Host: host, Path: "/", Target: "/"})
		time.Sleep(callInterval)
	}
	return float64(reached) / float64(calls)
}

// attemptsWithoutBudget returns the attempts per call of the baseline, which
// makes three immediate retries at each hop.
func attemptsWithoutBudget(hops int) int {
	if hops == 0 {
		return 1
	}
	attempts := 0
	for range 4 {
		attempts += attemptsWithoutBudget(hops - 1)
	}
	return attempts
}

// measureAmplification measures the attempts that reach the end of a failing
// chain.
func measureAmplification(t *testing.T, calls int) {
	t.Helper()
	const hops, baselineHops = 12, 8
	length := callInterval.Seconds() * float64(calls)
	minimumBudget := (3 + 0.5*length) / float64(calls) // minimum retry budget of the design, per call
	for _, copiesHeader := range []bool{true, false} {
		var value float64
		synctest.Test(t, func(t *testing.T) { value = chainCalls(t, hops, calls, copiesHeader) })
		bound := 1 + retryBudgetRatio + minimumBudget
		if !copiesHeader {
			// Each hop retries within its own budget, so the budgets compound.
			bound = math.Pow(bound, hops)
		}
		report.Emit(t, report.Line{
			Measure: "retry_amplification", Case: fmt.Sprintf("%d hops, targets copy the header: %t", hops, copiesHeader),
			Value: value, Unit: "attempts per call", Bound: report.Bound(bound), OK: value <= bound,
		})
	}
	report.Emit(t, report.Line{
		Measure: "retry_amplification", Case: fmt.Sprintf("%d hops, three immediate retries", baselineHops),
		Value: float64(attemptsWithoutBudget(baselineHops)), Unit: "attempts per call", OK: true,
	})
}
