package target_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target"
	"nutmegstand.example/nutmegstand/pkg/target/faketarget"
)

// TestRepeats guards against a wrong result of a repeated key: a repeat waits during
// the run, gets the stored response afterwards, is rejected if its body differs,
// and has an unknown outcome once only a tombstone is left.
func TestRepeats(t *testing.T) {
	for _, dated := range []bool{true, false} {
		inVirtualTime(t, func(t *testing.T) {
			d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: withLatency(100 * time.Millisecond)})
			key := "order-17"
			if dated {
				key = faketarget.Key(time.Now(), 17)
			}
			order := func() *pb.CallHead { return faketarget.Order("c", key, time.Second) }
			start := time.Now()
			first := doAsync(context.Background(), d, order())
			synctest.Wait()
			second := doAsync(context.Background(), d, order())
			got, repeated := <-first, <-second
			assert.Equal(t, got.head.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
			assert.Equal(t, repeated.head.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
			assert.Equal(t, repeated.body, got.body)
			assert.Equal(t, repeated.at.Sub(start), 100*time.Millisecond)

			time.Sleep(9 * time.Minute)
			answer, body := d.Gate.Do(context.Background(), order(), nil)
			assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
			assert.Equal(t, string(body), got.body)

			answer, _ = d.Gate.Do(context.Background(), order(), []byte("another body"))
			assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_BAD_REQUEST)
			assert.Equal(t, answer.GetStatus(), int32(422))

			other := order()
			other.Member = "shop-2"
			if !dated { // a dated key of this age is only looked up
				answer, body = d.Gate.Do(context.Background(), other, nil)
				assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
				assert.Assert(t, string(body) != got.body, "a member got the response of another member")
			}

			for _, pause := range []time.Duration{time.Minute, 49 * time.Minute} {
				time.Sleep(pause)
				answer, body = d.Gate.Do(context.Background(), order(), nil)
				assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_UNKNOWN)
				assert.Equal(t, len(body), 0)
			}
			for _, run := range d.Target.Runs()[1:] {
				assert.Equal(t, run.Member, "shop-2", "the key ran again")
			}
		})
	}
}

// TestRunContinuesAfterCancel guards against losing the response of an order whose
// caller cancelled during the run: a repeat must get it.
func TestRunContinuesAfterCancel(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: withLatency(100 * time.Millisecond)})
		order := faketarget.Order("c", faketarget.Key(time.Now(), 1), time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		first := doAsync(ctx, d, order)
		synctest.Wait()
		cancel()
		<-first
		answer, _ := d.Gate.Do(context.Background(), order, nil)
		assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
		assert.Equal(t, len(d.Target.Runs()), 1)
	})
}

// TestRepeatWhileDraining guards against refusing a repeat as not run at a leaving
// target, although the order was run.
func TestRepeatWhileDraining(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1"})
		order := faketarget.Order("c", faketarget.Key(time.Now(), 1), time.Second)
		_, _ = d.Gate.Do(context.Background(), order, nil)
		d.Gate.Leave()
		answer, _ := d.Gate.Do(context.Background(), order, nil)
		assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
	})
}

// TestRepeatAfterRefusal guards against storing a refusal: a repeat that waited for
// an attempt which was then refused must run.
func TestRepeatAfterRefusal(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{
			Name: "vm-1", Script: withLatency(100 * time.Millisecond), Limits: target.Limits{Slots: 1, Connections: 1},
		})
		busy := doAsync(context.Background(), d, faketarget.Call("busy", "/", time.Second))
		synctest.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		order := faketarget.Order("c", faketarget.Key(time.Now(), 1), time.Second)
		first := doAsync(ctx, d, order)
		synctest.Wait()
		second := doAsync(context.Background(), d, order)
		synctest.Wait()
		cancel()
		assert.Equal(t, (<-first).head.GetRefusal(), pb.Refusal_REFUSAL_CANCELLED)
		assert.Equal(t, (<-second).head.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
		<-busy
		assert.Equal(t, len(d.Target.Runs()), 2)
	})
}

// TestNoRerunAfterUnknownOutcome guards against running an order again after a
// crash of the target made its outcome unknown.
func TestNoRerunAfterUnknownOutcome(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		script := withLatency(100 * time.Millisecond)
		script.Restart = time.Second
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: script})
		order := faketarget.Order("c", faketarget.Key(time.Now(), 1), time.Second)
		first := doAsync(context.Background(), d, order)
		synctest.Wait()
		d.Target.Crash()
		assert.Equal(t, (<-first).head.GetOutcome(), pb.Outcome_OUTCOME_UNKNOWN)
		time.Sleep(5 * time.Second)
		answer, _ := d.Gate.Do(context.Background(), order, nil)
		assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_UNKNOWN)
		assert.Equal(t, len(d.Target.Runs()), 1)
	})
}
