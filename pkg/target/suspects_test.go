package target_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target"
	"nutmegstand.example/nutmegstand/pkg/target/faketarget"
)

// poisonScript returns the script of a target that crashes on paths that contain
// "poison".
func poisonScript() faketarget.Script {
	return faketarget.Script{
		Latency: func(r *target.Request) time.Duration {
			if strings.Contains(r.Head.GetPath(), "poison") {
				return 20 * time.Millisecond
			}
			return 50 * time.Millisecond // still running at a crash
		},
		CrashOn: func(r *target.Request) bool { return strings.Contains(r.Head.GetPath(), "poison") },
		Restart: 100 * time.Millisecond,
	}
}

// TestPoisonedRequest guards against repeated crashes by one request: after one
// crash the request runs exclusively, its second crash is explained, and then it
// is refused for ten minutes.
func TestPoisonedRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: poisonScript()})
		poison := func() *pb.CallHead { return faketarget.Call("poison", "/poison", time.Second) }
		bystander := doAsync(context.Background(), d, faketarget.Call("bystander", "/other", time.Second))
		first := doAsync(context.Background(), d, poison())
		got := <-first
		assert.Equal(t, got.head.GetOutcome(), pb.Outcome_OUTCOME_UNKNOWN)
		assert.Assert(t, got.head.GetCrashed() && !got.head.GetExplained())
		assert.Equal(t, (<-bystander).head.GetOutcome(), pb.Outcome_OUTCOME_UNKNOWN)
		time.Sleep(5 * time.Second)

		busy := doAsync(context.Background(), d, faketarget.Call("busy", "/busy", time.Second))
		synctest.Wait()
		second := doAsync(context.Background(), d, poison())
		assert.Equal(t, (<-busy).head.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
		got = <-second
		assert.Assert(t, got.head.GetCrashed() && got.head.GetExplained())
		runs := d.Target.Runs()
		assert.Equal(t, runs[len(runs)-1].Concurrent, 0, "the suspect did not run exclusively")
		time.Sleep(5 * time.Second)

		answer, _ := d.Gate.Do(context.Background(), poison(), nil)
		assert.Equal(t, answer.GetRefusal(), pb.Refusal_REFUSAL_SUSPECT)
		answer, _ = d.Gate.Do(context.Background(), faketarget.Call("c", "/other", time.Second), nil)
		assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
		assert.Equal(t, d.Target.Crashes(), 2)
		time.Sleep(10 * time.Minute)
		_, _ = d.Gate.Do(context.Background(), poison(), nil)
		assert.Equal(t, d.Target.Crashes(), 3)
		time.Sleep(time.Minute)
	})
}

// TestSuspectsAcrossDaemons guards against counting crashes for each daemon
// separately: the second target runs the request exclusively, and the third one
// refuses it.
func TestSuspectsAcrossDaemons(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		var daemons []*faketarget.Daemon
		for i := range 3 {
			d := faketarget.NewDaemon(faketarget.Config{Name: fmt.Sprint("vm-", i), Script: poisonScript()})
			d.OnSuspect = func(s *pb.Suspect) {
				for _, other := range daemons {
					if other != d {
						other.Gate.Suspects().Apply(d.Name, faketarget.Service, s)
					}
				}
			}
			daemons = append(daemons, d)
		}
		poison := faketarget.Call("poison", "/poison", time.Second)
		answer, _ := daemons[0].Gate.Do(context.Background(), poison, nil)
		assert.Assert(t, answer.GetCrashed() && !answer.GetExplained())
		answer, _ = daemons[1].Gate.Do(context.Background(), poison, nil)
		assert.Assert(t, answer.GetCrashed() && answer.GetExplained())
		answer, _ = daemons[2].Gate.Do(context.Background(), poison, nil)
		assert.Equal(t, answer.GetRefusal(), pb.Refusal_REFUSAL_SUSPECT)
		time.Sleep(time.Minute)
	})
}

// TestCleanRunClearsSuspect guards against a harmless request that stays suspect
// because it was in flight at a crash: one run without a crash clears it, at this
// daemon and at all others.
func TestCleanRunClearsSuspect(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: poisonScript()})
		stock := faketarget.Call("stock", "/stock", time.Second)
		bystander := doAsync(context.Background(), d, stock)
		_, _ = d.Gate.Do(context.Background(), faketarget.Call("poison", "/poison", time.Second), nil)
		<-bystander
		time.Sleep(5 * time.Second)
		fingerprint := target.Fingerprint("GET", "/stock", nil)
		assert.Equal(t, d.Gate.Suspects().Crashes(fingerprint), int32(1))
		answer, _ := d.Gate.Do(context.Background(), stock, nil)
		assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
		assert.Equal(t, d.Gate.Suspects().Crashes(fingerprint), int32(0))
		_, suspects := d.Published()
		last := suspects[len(suspects)-1]
		assert.Equal(t, last.GetFingerprint(), fingerprint)
		assert.Equal(t, last.GetCrashes(), int32(0))
	})
}

// TestFrequentRequestIsNotRefused guards against refusing a harmless request that
// many callers send, and that is therefore in flight at the crashes of two targets.
func TestFrequentRequestIsNotRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		script := poisonScript()
		a := faketarget.NewDaemon(faketarget.Config{Name: "vm-a", Script: script})
		b := faketarget.NewDaemon(faketarget.Config{Name: "vm-b", Script: script})
		a.OnSuspect = func(s *pb.Suspect) { b.Gate.Suspects().Apply("vm-a", faketarget.Service, s) }
		b.OnSuspect = func(s *pb.Suspect) { a.Gate.Suspects().Apply("vm-b", faketarget.Service, s) }
		stock := func() *pb.CallHead { return faketarget.Call("stock", "/stock", time.Second) }
		for _, d := range []*faketarget.Daemon{a, b} {
			_, _ = d.Gate.Do(context.Background(), stock(), nil)
		}
		for _, d := range []*faketarget.Daemon{a, b} {
			doAsync(context.Background(), d, stock())
			doAsync(context.Background(), d, faketarget.Call("poison", "/poison/"+d.Name, time.Second))
		}
		time.Sleep(5 * time.Second)
		for _, d := range []*faketarget.Daemon{a, b} {
			assert.Equal(t, d.Target.Crashes(), 1)
			answer, _ := d.Gate.Do(context.Background(), stock(), nil)
			assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
		}
	})
}

// TestSuspectsDoNotBlock guards against starving other requests while suspects wait
// to run exclusively: the other requests get most of the capacity.
func TestSuspectsDoNotBlock(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{
			Name: "vm-1", Script: withLatency(10 * time.Millisecond), Limits: target.Limits{Slots: 4, Connections: 4},
		})
		for i := range 200 {
			path := fmt.Sprint("/suspect/", i)
			d.Gate.Suspects().Apply("vm-2", faketarget.Service, &pb.Suspect{
				Fingerprint: target.Fingerprint("GET", path, nil), Crashes: 1,
			})
		}
		var wait sync.WaitGroup
		var mu sync.Mutex
		answered, suspects := 0, 0
		for i := range 200 {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				answer, _ := d.Gate.Do(context.Background(), faketarget.Call("s", fmt.Sprint("/suspect/", i), time.Second), nil)
				mu.Lock()
				defer mu.Unlock()
				if answer.GetOutcome() == pb.Outcome_OUTCOME_ANSWERED {
					suspects++
				}
			})
		}
		for i := range 200 {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				answer, _ := d.Gate.Do(context.Background(), faketarget.Call("c", fmt.Sprint("/clean/", i), 200*time.Millisecond), nil)
				mu.Lock()
				defer mu.Unlock()
				if answer.GetOutcome() == pb.Outcome_OUTCOME_ANSWERED {
					answered++
				}
			})
		}
		wait.Wait()
		// The load of the clean calls is half of the capacity.
		assert.Assert(t, answered >= 190, "%d of 200 clean calls were answered", answered)
		assert.Assert(t, suspects > 10, "%d suspects ran", suspects)
		for _, run := range d.Target.Runs() {
			if strings.HasPrefix(run.Path, "/suspect/") {
				assert.Equal(t, run.Concurrent, 0, "%s ran concurrently with others", run.Path)
			}
		}
	})
}

// TestCrashWithImmediateRestart guards against missing a crash if the target accepts
// connections again before the reset is examined: the announcement of a new
// instance shows the crash.
func TestCrashWithImmediateRestart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		script := poisonScript()
		script.Restart = 0
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: script})
		fingerprint := target.Fingerprint("GET", "/poison", nil)
		_, _ = d.Gate.Do(context.Background(), faketarget.Call("poison", "/poison", time.Second), nil)
		assert.Equal(t, d.Gate.Suspects().Crashes(fingerprint), int32(0))
		time.Sleep(time.Second)
		assert.NilError(t, d.Local.Announce(faketarget.Announcement("second")))
		assert.Equal(t, d.Gate.Suspects().Crashes(fingerprint), int32(1))
	})
}

// TestResetWithoutCrash guards against marking requests as suspect if a connection
// is reset while the target keeps running, or if a leaving target is stopped.
func TestResetWithoutCrash(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		script := withLatency(20 * time.Millisecond)
		script.Restart = time.Second
		script.ResetOn = func(r *target.Request) bool { return r.Head.GetPath() == "/reset" }
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: script})
		answer, _ := d.Gate.Do(context.Background(), faketarget.Call("c", "/reset", time.Second), nil)
		assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_UNKNOWN)
		assert.Assert(t, !answer.GetCrashed())
		assert.Equal(t, d.Gate.Suspects().Crashes(target.Fingerprint("GET", "/reset", nil)), int32(0))

		call := doAsync(context.Background(), d, faketarget.Call("c", "/cut", time.Second))
		synctest.Wait()
		d.Gate.Leave()
		d.Target.Crash()
		got := <-call
		assert.Equal(t, got.head.GetOutcome(), pb.Outcome_OUTCOME_UNKNOWN)
		assert.Assert(t, !got.head.GetCrashed())
		assert.Equal(t, d.Gate.Suspects().Crashes(target.Fingerprint("GET", "/cut", nil)), int32(0))
		time.Sleep(time.Second)
	})
}

// TestCrashWhileListenerAccepts guards against mistaking a crash for the reset of a
// single connection, because the listener of the ending process still accepts
// connections when the reset is examined.
func TestCrashWhileListenerAccepts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		script := withLatency(20 * time.Millisecond)
		script.ResetOn = func(r *target.Request) bool { return r.Head.GetPath() == "/poison" }
		script.Restart = time.Second
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: script})
		call := doAsync(context.Background(), d, faketarget.Call("c", "/poison", time.Second))
		time.Sleep(25 * time.Millisecond)
		d.Target.Crash()
		got := <-call
		assert.Equal(t, got.head.GetOutcome(), pb.Outcome_OUTCOME_UNKNOWN)
		assert.Assert(t, got.head.GetCrashed())
		assert.Equal(t, d.Gate.Suspects().Crashes(target.Fingerprint("GET", "/poison", nil)), int32(1))
		time.Sleep(5 * time.Second) // wait for the probe to end
	})
}
