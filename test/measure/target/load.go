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
	// loadLatency is the mean service time: half of it fixed, half exponential.
	loadLatency = 10 * time.Millisecond
	// Calls have one of two deadlines with equal chance.
	shortDeadline = 60 * time.Millisecond
	longDeadline  = 400 * time.Millisecond
	// noDeadline is what baselines without deadline awareness are told.
	noDeadline = time.Hour
)

// capacity is the number of calls a second that the slots can run.
const capacity = float64(loadSlots) / (float64(loadLatency) / float64(time.Second))

// plannedCall is one call of a load, drawn before the run so that a seed gives
// the same calls whatever the scheduler does.
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

// planLoad draws Poisson arrivals. Shares gives each member's arrivals in
// multiples of the capacity.
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
			member:   pick(rng, shares, total),
			deadline: shortDeadline,
			latency:  loadLatency/2 + time.Duration(rng.ExpFloat64()*float64(loadLatency/2)),
		}
		if rng.IntN(2) == 0 {
			call.deadline = longDeadline
		}
		plan.calls = append(plan.calls, call)
	}
}

func pick(rng *rand.Rand, shares []float64, total float64) int {
	x := rng.Float64() * total
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// loadResult is what a load got.
type loadResult struct {
	inTime     atomic.Int64 // answered by the deadline
	run        atomic.Int64 // handed to the target
	late       atomic.Int64 // handed to the target and not answered by the deadline
	refused    atomic.Int64
	refuseTime atomic.Int64 // sum, in nanoseconds
	byMember   []atomic.Int64
}

func (r *loadResult) goodput(duration time.Duration) float64 {
	return float64(r.inTime.Load()) / (capacity * duration.Seconds())
}

func (r *loadResult) lateness() float64 {
	return float64(r.late.Load()) / float64(max(r.run.Load(), 1))
}

// meanRefusal is the mean time until a refusal, in milliseconds.
func (r *loadResult) meanRefusal() float64 {
	return float64(r.refuseTime.Load()) / float64(max(r.refused.Load(), 1)) / float64(time.Millisecond)
}

// runLoad plays a load against a gate with the given scheduler. It runs in a
// bubble of virtual time.
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
			told := call.deadline
			if !deadlineAware {
				told = noDeadline
			}
			head := faketarget.Call(fmt.Sprint(i), "/stock", told)
			head.Member = fmt.Sprint("shop-", call.member)
			sent := time.Now()
			answer, _ := daemon.Gate.Do(context.Background(), head, nil)
			// The last queue is emptied after the load's end, which is not goodput.
			if time.Since(start) <= plan.duration {
				result.count(call, answer, time.Since(sent))
			}
		})
	}
	wait.Wait()
	return result
}

func (r *loadResult) count(call plannedCall, answer *pb.AnswerHead, took time.Duration) {
	switch {
	case answer.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN:
		r.refused.Add(1)
		r.refuseTime.Add(int64(took))
		return
	case answer.GetOutcome() == pb.Outcome_OUTCOME_ANSWERED && took <= call.deadline:
		r.inTime.Add(1)
		r.byMember[call.member].Add(1)
	default:
		r.late.Add(1)
	}
	r.run.Add(1)
}

// jain is Jain's index of fairness.
func jain(values []float64) float64 {
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
