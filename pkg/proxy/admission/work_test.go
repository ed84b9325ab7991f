package admission

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
	"nutmegstand.example/nutmegstand/pkg/proxy/cost"
)

// learn lets a queue see runs of 100 ms, of which 3% take seven times as long.
func learn(t testing.TB, q *Queue) {
	for i := range 1000 {
		request, ran := newRequest(1, time.Hour, false), 100*time.Millisecond
		if i%33 == 0 {
			ran *= 7
		}
		assert.Equal(t, q.Acquire(t.Context(), request), "")
		q.Finish(request, ran)
	}
}

// TestWaitForLongRuns guards against a wait that is derived from an average run although
// the running requests are known to take long: the request waits in vain.
func TestWaitForLongRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(2)
		learn(t, q)
		occupy(t, q, 2)
		fresh := q.Load()
		assert.Assert(t, fresh.Wait > 80*time.Millisecond && fresh.Wait < 110*time.Millisecond, "%v", fresh.Wait)
		assert.Assert(t, fresh.Backlog > 210*time.Millisecond && fresh.Backlog < 260*time.Millisecond, "%v", fresh.Backlog)
		time.Sleep(200 * time.Millisecond) // only long runs last this long
		long := q.Load()
		assert.Assert(t, long.Wait > 400*time.Millisecond && long.Wait < 550*time.Millisecond, "%v", long.Wait)
		assert.Assert(t, long.Backlog > 800*time.Millisecond && long.Backlog < 1100*time.Millisecond, "%v", long.Backlog)
		assert.Equal(t, q.Acquire(t.Context(), newRequest(1, 5*time.Second, false)), ReasonQueueFull)
	})
}

// TestFinishFreesOwnSlot guards against outstanding work that counts a request that has
// ended, or one that keeps the work of a request that was cancelled in the queue.
func TestFinishFreesOwnSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(2)
		learn(t, q)
		first, second := newRequest(1, time.Hour, false), newRequest(1, time.Hour, false)
		assert.Equal(t, q.Acquire(t.Context(), first), "")
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, q.Acquire(t.Context(), second), "")
		go func() { assert.Check(t, q.Acquire(t.Context(), newRequest(1, time.Minute, true)) == "") }()
		synctest.Wait()
		assert.Equal(t, q.Load().Queued, 1)
		q.Finish(first, 0)
		synctest.Wait()
		left := q.Load()
		assert.Equal(t, left.Busy, 2)
		assert.Assert(t, left.Backlog < 260*time.Millisecond, "%v", left.Backlog)
		q.Finish(second, 0)
		finishOldest(q)
		assert.Equal(t, q.Load().Backlog, time.Duration(0))
	})
}

// TestEqualRunsWaitAsBefore guards against a wait that differs from the one known from the
// average where all requests are alike.
func TestEqualRunsWaitAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(4)
		occupy(t, q, 4)
		for range 3 {
			q.waiting = append(q.waiting, &waiter{request: &attempt.Request{Route: "r"}})
		}
		wait := q.Load().Wait // four runs end one after another
		assert.Assert(t, wait > q.serviceTime*85/100 && wait < q.serviceTime*115/100, "%v", wait)
	})
}

func BenchmarkLoad(b *testing.B) {
	q := NewQueue(9)
	learn(b, q)
	for range 9 {
		q.start(newRequest(1, time.Hour, false), cost.ClassOf(newRequest(1, time.Hour, false)))
	}
	for _, waiting := range []int{0, 10, 200} {
		q.waiting = nil
		for range waiting {
			q.waiting = append(q.waiting, &waiter{class: q.running[0].class})
		}
		b.Run(strconv.Itoa(waiting), func(b *testing.B) {
			for b.Loop() {
				q.Load()
			}
		})
	}
}
