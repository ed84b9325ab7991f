package target_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target"
	"nutmegstand.example/nutmegstand/pkg/target/faketarget"
)

// asyncReply is the result of Gate.Do with its time of arrival.
type asyncReply struct {
	head *pb.AnswerHead
	body string
	at   time.Time
}

func doAsync(ctx context.Context, d *faketarget.Daemon, head *pb.CallHead) <-chan asyncReply {
	ch := make(chan asyncReply, 1)
	go func() {
		answer, body := d.Gate.Do(ctx, head, nil)
		ch <- asyncReply{answer, string(body), time.Now()}
	}()
	return ch
}

func withLatency(d time.Duration) faketarget.Script {
	return faketarget.Script{Latency: func(*target.Request) time.Duration { return d }}
}

func inVirtualTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

// TestRefusals guards against running a call that must be refused, and against a
// wrong refusal code, for each code that a single call can cause.
func TestRefusals(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	key := func() string { return faketarget.Key(time.Now(), 1) }
	cases := map[pb.Refusal]func(d *faketarget.Daemon) (context.Context, *pb.CallHead){
		pb.Refusal_REFUSAL_WRONG_VERSION: func(*faketarget.Daemon) (context.Context, *pb.CallHead) {
			head := faketarget.Call("c", "/", time.Second)
			head.TargetVersion = "v2"
			return context.Background(), head
		},
		pb.Refusal_REFUSAL_LEAVING: func(d *faketarget.Daemon) (context.Context, *pb.CallHead) {
			d.Gate.Leave()
			return context.Background(), faketarget.Call("c", "/", time.Second)
		},
		pb.Refusal_REFUSAL_TAKEN_BACK: func(d *faketarget.Daemon) (context.Context, *pb.CallHead) {
			d.TakenBack.Store(true)
			return context.Background(), faketarget.Call("c", "/", time.Second)
		},
		pb.Refusal_REFUSAL_STALE_CONFIG: func(d *faketarget.Daemon) (context.Context, *pb.CallHead) {
			d.NoBundle.Store(true)
			return context.Background(), faketarget.Call("c", "/", time.Second)
		},
		pb.Refusal_REFUSAL_DEADLINE: func(*faketarget.Daemon) (context.Context, *pb.CallHead) {
			return context.Background(), faketarget.Call("c", "/", 0)
		},
		pb.Refusal_REFUSAL_CANCELLED: func(*faketarget.Daemon) (context.Context, *pb.CallHead) {
			return cancelled, faketarget.Call("c", "/", time.Second)
		},
		pb.Refusal_REFUSAL_NO_LEASE: func(d *faketarget.Daemon) (context.Context, *pb.CallHead) {
			d.LeaseEnd.Store(time.Now().UnixNano())
			return context.Background(), faketarget.Order("c", key(), time.Second)
		},
		pb.Refusal_REFUSAL_NOT_HOME: func(d *faketarget.Daemon) (context.Context, *pb.CallHead) {
			view := func() []*pb.Endpoint { return []*pb.Endpoint{{Name: "vm-2", EligibleSinceMs: 1}} }
			d.Endpoints.Store(&view)
			return context.Background(), faketarget.Order("c", key(), time.Second)
		},
		pb.Refusal_REFUSAL_NO_TARGET: func(d *faketarget.Daemon) (context.Context, *pb.CallHead) {
			d.Target.Crash()
			return context.Background(), faketarget.Call("c", "/", time.Second)
		},
	}
	for refusal, prepare := range cases {
		inVirtualTime(t, func(t *testing.T) {
			d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: faketarget.Script{Restart: time.Second}})
			ctx, head := prepare(d)
			answer, _ := d.Gate.Do(ctx, head, nil)
			assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_NOT_RUN, refusal.String())
			assert.Equal(t, answer.GetRefusal(), refusal)
			assert.Equal(t, len(d.Target.Runs()), 0, refusal.String())
			time.Sleep(time.Minute) // wait for the probe of a target that is down to end
		})
	}
}

// TestChecksBeforeDispatch guards against running a call that passed a check at its
// arrival but no longer passes it at its dispatch: each condition changes while the
// call is queued.
func TestChecksBeforeDispatch(t *testing.T) {
	changes := map[pb.Refusal]func(d *faketarget.Daemon){
		pb.Refusal_REFUSAL_NO_LEASE:     func(d *faketarget.Daemon) { d.LeaseEnd.Store(time.Now().UnixNano()) },
		pb.Refusal_REFUSAL_TAKEN_BACK:   func(d *faketarget.Daemon) { d.TakenBack.Store(true) },
		pb.Refusal_REFUSAL_STALE_CONFIG: func(d *faketarget.Daemon) { d.NoBundle.Store(true) },
	}
	for refusal, change := range changes {
		inVirtualTime(t, func(t *testing.T) {
			d := faketarget.NewDaemon(faketarget.Config{
				Name: "vm-1", Script: withLatency(100 * time.Millisecond), Limits: target.Limits{Slots: 1, Connections: 1},
			})
			first := doAsync(context.Background(), d, faketarget.Call("first", "/", time.Second))
			synctest.Wait()
			second := doAsync(context.Background(), d, faketarget.Order("second", faketarget.Key(time.Now(), 1), time.Second))
			synctest.Wait()
			change(d)
			assert.Equal(t, (<-first).head.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
			assert.Equal(t, (<-second).head.GetRefusal(), refusal)
			assert.Equal(t, len(d.Target.Runs()), 1)
		})
	}
}

// TestLeaveDuringChecks guards against dispatching a call if the target begins to
// leave during the call's final check: the drain may already have counted the running
// calls.
func TestLeaveDuringChecks(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1"})
		checks := 0
		d.OnCheck = func() {
			if checks++; checks == 2 {
				d.Gate.Leave()
			}
		}
		answer, _ := d.Gate.Do(context.Background(), faketarget.Call("c", "/", time.Second), nil)
		assert.Equal(t, answer.GetRefusal(), pb.Refusal_REFUSAL_LEAVING)
		assert.Equal(t, len(d.Target.Runs()), 0)
	})
}

// TestLeaveRefusesQueued guards against keeping calls queued for a leaving target,
// which will not run them, and against interrupting running calls.
func TestLeaveRefusesQueued(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{
			Name: "vm-1", Script: withLatency(100 * time.Millisecond), Limits: target.Limits{Slots: 1, Connections: 1},
		})
		start := time.Now()
		running := doAsync(context.Background(), d, faketarget.Call("running", "/", time.Second))
		synctest.Wait()
		queued := doAsync(context.Background(), d, faketarget.Call("queued", "/", time.Second))
		synctest.Wait()
		drained := d.Local.Leave(t.Context())
		assert.Equal(t, drained.Cut, 0)
		assert.Equal(t, drained.Elapsed, 100*time.Millisecond)
		refused := <-queued
		assert.Equal(t, refused.head.GetRefusal(), pb.Refusal_REFUSAL_LEAVING)
		assert.Equal(t, refused.at.Sub(start), time.Duration(0))
		assert.Equal(t, (<-running).head.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
	})
}

// TestDrainDeadline guards against a wrong count of the calls still running at the
// drain deadline.
func TestDrainDeadline(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: withLatency(time.Second)})
		for i := range 3 {
			doAsync(context.Background(), d, faketarget.Call(fmt.Sprint(i), "/", 5*time.Second))
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		assert.Equal(t, d.Local.Leave(ctx).Cut, 3)
		time.Sleep(time.Second)
	})
}

// TestCancelQueued guards against running a queued call that its caller cancelled.
func TestCancelQueued(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{
			Name: "vm-1", Script: withLatency(100 * time.Millisecond), Limits: target.Limits{Slots: 1, Connections: 1},
		})
		first := doAsync(context.Background(), d, faketarget.Call("first", "/", time.Second))
		synctest.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		second := doAsync(ctx, d, faketarget.Call("second", "/", time.Second))
		synctest.Wait()
		cancel()
		assert.Equal(t, (<-second).head.GetRefusal(), pb.Refusal_REFUSAL_CANCELLED)
		<-first
		time.Sleep(time.Second)
		assert.Equal(t, len(d.Target.Runs()), 1)
	})
}

// TestCancelRunning guards against keeping a slot for a running idempotent call
// that its caller cancelled, and against reporting it as not run.
func TestCancelRunning(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: withLatency(time.Second)})
		ctx, cancel := context.WithCancel(context.Background())
		call := doAsync(ctx, d, faketarget.Call("c", "/", 5*time.Second))
		synctest.Wait()
		cancel()
		got := <-call
		assert.Equal(t, got.head.GetOutcome(), pb.Outcome_OUTCOME_UNKNOWN)
		assert.Equal(t, got.head.GetLoad().GetInUse(), int32(0))
	})
}

// TestDeadlineWhileRunning guards against reporting a call as not run if its
// deadline passes after it was sent to the target.
func TestDeadlineWhileRunning(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: withLatency(time.Second)})
		start := time.Now()
		answer, _ := d.Gate.Do(context.Background(), faketarget.Call("c", "/", 200*time.Millisecond), nil)
		assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_UNKNOWN)
		assert.Equal(t, answer.GetStatus(), int32(504))
		assert.Equal(t, time.Since(start), 200*time.Millisecond)
		assert.Equal(t, answer.GetConfigVersion(), uint64(7))
		assert.Equal(t, answer.GetLoad().GetSlots(), int32(10))
	})
}

// TestEstimateDecaysAfterSlowPhase guards against refusing calls permanently on the
// service time estimate of a slow phase of the target that has ended.
func TestEstimateDecaysAfterSlowPhase(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		latency := 2 * time.Second
		d := faketarget.NewDaemon(faketarget.Config{
			Name:   "vm-1",
			Script: faketarget.Script{Latency: func(*target.Request) time.Duration { return latency }},
			Limits: target.Limits{Slots: 1, Connections: 1},
		})
		for range 5 {
			_, _ = d.Gate.Do(context.Background(), faketarget.Call("slow", "/", 3*time.Second), nil)
		}
		latency = time.Millisecond
		answered := 0
		for i := range 100 {
			answer, _ := d.Gate.Do(context.Background(), faketarget.Call(fmt.Sprint(i), "/", 50*time.Millisecond), nil)
			if answer.GetOutcome() == pb.Outcome_OUTCOME_ANSWERED {
				answered++
			}
		}
		assert.Equal(t, answered, 100)

		latency = 2 * time.Second
		_, _ = d.Gate.Do(context.Background(), faketarget.Call("slow", "/", 3*time.Second), nil)
		latency = time.Millisecond
		time.Sleep(10 * time.Second)
		first := doAsync(context.Background(), d, faketarget.Call("first", "/", 50*time.Millisecond))
		second := doAsync(context.Background(), d, faketarget.Call("second", "/", 50*time.Millisecond))
		assert.Equal(t, (<-first).head.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
		assert.Equal(t, (<-second).head.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
	})
}
