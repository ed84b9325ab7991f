package target

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target"
	"nutmegstand.example/nutmegstand/pkg/target/faketarget"
	"nutmegstand.example/nutmegstand/test/measure/report"
)

const (
	stopInterval  = 400 * time.Millisecond
	stopPause     = 50 * time.Millisecond
	drainDeadline = 2 * time.Second
	// stopLoad exceeds the capacity, so that calls are usually queued when a stop
	// begins.
	stopLoad = 1.2
)

// stopResult counts the effects of planned stops on calls.
type stopResult struct {
	calls, stops, unknown, aborted, startedWhileLeaving, falseNotRun int
}

// runStops repeatedly stops and restarts the target under load.
func runStops(seed uint64, duration time.Duration) stopResult {
	plan := planLoad(seed, duration, evenShares(stopLoad))
	fake := faketarget.New(faketarget.Script{Latency: func(r *target.Request) time.Duration {
		var i int
		_, _ = fmt.Sscan(r.Head.GetCallId(), &i)
		return plan.calls[i].latency
	}, Restart: stopPause / 2})
	daemon := faketarget.NewDaemon(faketarget.Config{
		Name: "vm-1", Target: fake, Limits: target.Limits{Slots: loadSlots, Connections: 130},
	})
	result := stopResult{calls: len(plan.calls)}
	var mu sync.Mutex
	notRun := map[string]bool{}
	var leavingPeriods [][2]time.Time
	var wait sync.WaitGroup
	start := time.Now()
	wait.Go(func() {
		for n := 1; time.Since(start) < duration; n++ {
			time.Sleep(stopInterval)
			ctx, cancel := context.WithTimeout(context.Background(), drainDeadline)
			leaveStart := time.Now()
			result.aborted += daemon.Local.Leave(ctx).Cut
			cancel()
			fake.Crash() // ends the process, which aborts any remaining runs
			time.Sleep(stopPause)
			leavingPeriods = append(leavingPeriods, [2]time.Time{leaveStart, time.Now()})
			if err := daemon.Local.Announce(faketarget.Announcement(fmt.Sprint(n))); err != nil {
				panic(err)
			}
			result.stops++
		}
	})
	for i, call := range plan.calls {
		time.Sleep(time.Until(start.Add(call.at)))
		wait.Go(func() {
			// The deadline is longer than any run, so that only a stop can abort one.
			head := faketarget.Call(fmt.Sprint(i), "/stock", longDeadline)
			answer, _ := daemon.Gate.Do(context.Background(), head, nil)
			mu.Lock()
			defer mu.Unlock()
			switch answer.GetOutcome() {
			case pb.Outcome_OUTCOME_UNKNOWN:
				result.unknown++
			case pb.Outcome_OUTCOME_NOT_RUN:
				notRun[head.GetCallId()] = true
			}
		})
	}
	wait.Wait()
	for _, run := range fake.Runs() {
		if notRun[run.CallID] {
			result.falseNotRun++
		}
		for _, period := range leavingPeriods {
			if run.Started.After(period[0]) && run.Started.Before(period[1]) {
				result.startedWhileLeaving++
			}
		}
	}
	return result
}

// measureStops emits the numbers of calls that planned stops aborted, that ran but
// were refused as not run, and that started while the target was leaving.
func measureStops(t testing.TB, virtual func(func()), seed uint64) {
	duration := 4 * time.Second
	if report.Full() {
		duration = 30 * time.Second
	}
	var result stopResult
	virtual(func() { result = runStops(seed, duration) })
	name := fmt.Sprintf("%d planned stops of a target, %d calls", result.stops, result.calls)
	emitZero(t, "calls_cut", name, seed, result.aborted+result.unknown)
	emitZero(t, "false_not_run", name, seed, result.falseNotRun)
	emitZero(t, "new_work_while_leaving", name, seed, result.startedWhileLeaving)
	if result.stops == 0 {
		t.Errorf("seed %d: no planned stop occurred", seed)
	}
}
