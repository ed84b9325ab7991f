// Package target measures the target side in virtual time: goodput, lateness
// and fairness under overload, the rules of idempotency keys under faults, and
// planned stops.
package target

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target"
	"nutmegstand.example/nutmegstand/pkg/target/faketarget"
)

const (
	loadSlots = 10
	// loadLatency is the mean service time, of which half is fixed and half is
	// exponentially distributed.
	loadLatency = 10 * time.Millisecond
	// Calls have one of two deadlines with equal probability.
	shortDeadline = 60 * time.Millisecond
	longDeadline  = 400 * time.Millisecond
	// noDeadline is the deadline sent to baselines that ignore deadlines.
	noDeadline = time.Hour
)

// capacity is the number of calls per second that the slots can run.
const capacity = float64(loadSlots) / (float64(loadLatency) / float64(time.Second))

// plannedCall is one call of a load. Calls are generated before the run, so that
// all schedulers get the same calls for a seed.
type plannedCall struct {
	at       time.Duration
	member   int
	deadline time.Duration
	latency  time.Duration
}

// load is a planned open-loop load.
type load struct {
	duration time.Duration
	calls    []plannedCall
	members  int
}

// planLoad generates Poisson arrivals. The shares are the arrival rates of the
// members, as multiples of the capacity.
func planLoad(seed uint64, duration time.Duration, shares []float64) load {
	rng := rand.New(rand.NewPCG(seed, 0x6c6f6164))
	var total float64
	for _, share := range shares {
		total += share
	}
	plan := load{duration: duration, members: len(shares)}
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (total * capacity)
		if at >= duration.Seconds() {
			return plan
		}
		call := plannedCall{
			at:       time.Duration(at * float64(time.Second)),
			member:   pickMember(rng, shares, total),
			deadline: shortDeadline,
			latency:  loadLatency/2 + time.Duration(rng.ExpFloat64()*float64(loadLatency/2)),
		}
		if rng.IntN(2) == 0 {
			call.deadline = longDeadline
		}
		plan.calls = append(plan.calls, call)
	}
}

func pickMember(rng *rand.Rand, shares []float64, total float64) int {
	x := rng.Float64() * total
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// loadResult counts the outcomes of the calls of a load.
type loadResult struct {
	inTime      atomic.Int64 // answered by the deadline
	run         atomic.Int64 // sent to the target
	late        atomic.Int64 // sent to the target and not answered by the deadline
	refused     atomic.Int64
	refusalTime atomic.Int64 // total time until refusals, in nanoseconds
	byMember    []atomic.Int64
}

func (r *loadResult) goodput(duration time.Duration) float64 {
	return float64(r.inTime.Load()) / (capacity * duration.Seconds())
}

func (r *loadResult) lateness() float64 {
	return float64(r.late.Load()) / float64(max(r.run.Load(), 1))
}

// meanRefusalMS returns the mean time until a refusal, in milliseconds.
func (r *loadResult) meanRefusalMS() float64 {
	return float64(r.refusalTime.Load()) / float64(max(r.refused.Load(), 1)) / float64(time.Millisecond)
}

// runLoad sends a load to a gate with the given scheduler. It must run in a
// synctest bubble.
func runLoad(plan load, queue target.Scheduler, deadlineAware bool) *loadResult {
	fake := faketarget.New(faketarget.Script{Latency: func(r *target.Request) time.Duration {
		var i int
		_, _ = fmt.Sscan(r.Head.GetCallId(), &i)
		return plan.calls[i].latency
	}})
	daemon := faketarget.NewDaemon(faketarget.Config{
		Name: "vm-1", Target: fake, Queue: queue, Limits: target.Limits{Slots: loadSlots, Connections: 130},
	})
	result := &loadResult{byMember: make([]atomic.Int64, plan.members)}
	var wait sync.WaitGroup
	start := time.Now()
	for i, call := range plan.calls {
		time.Sleep(time.Until(start.Add(call.at)))
		wait.Go(func() {
			sentDeadline := call.deadline
			if !deadlineAware {
				sentDeadline = noDeadline
			}
			head := faketarget.Call(fmt.Sprint(i), "/stock", sentDeadline)
			head.Member = fmt.Sprint("shop-", call.member)
			sent := time.Now()
			answer, _ := daemon.Gate.Do(context.Background(), head, nil)
			// Calls that were queued at the end of the load don't count.
			if time.Since(start) <= plan.duration {
				result.count(call, answer, time.Since(sent))
			}
		})
	}
	wait.Wait()
	return result
}

func (r *loadResult) count(call plannedCall, answer *pb.AnswerHead, elapsed time.Duration) {
	switch {
	case answer.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN:
		r.refused.Add(1)
		r.refusalTime.Add(int64(elapsed))
		return
	case answer.GetOutcome() == pb.Outcome_OUTCOME_ANSWERED && elapsed <= call.deadline:
		r.inTime.Add(1)
		r.byMember[call.member].Add(1)
	default:
		r.late.Add(1)
	}
	r.run.Add(1)
}

// jainIndex returns Jain's fairness index.
func jainIndex(values []float64) float64 {
	var sum, squares float64
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(values)) * squares)
}
