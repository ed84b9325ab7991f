package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
)

func newRequest(priority int, deadline time.Duration, inner bool) *attempt.Request {
	return &attempt.Request{Route: "r", Priority: priority, Objective: time.Second, Inner: inner, Deadline: time.Now().Add(deadline)}
}

// finishOldest frees the slot of the call that has run for the longest time.
func finishOldest(q *Queue) {
	q.mu.Lock()
	oldest := q.running[0].request
	q.mu.Unlock()
	q.Finish(oldest, 0)
}

// TestAdmissionOrder guards against inner calls, calls with a higher priority
// and calls with an earlier deadline waiting behind others.
func TestAdmissionOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1)
		assert.Equal(t, q.Acquire(t.Context(), newRequest(0, time.Second, false)), "")
		waiting := []struct {
			name    string
			request *attempt.Request
		}{
			{"late deadline", newRequest(2, 5*time.Second, false)},
			{"earlier deadline", newRequest(2, 3*time.Second, false)},
			{"high priority", newRequest(1, 5*time.Second, false)},
			{"inner", newRequest(3, 5*time.Second, true)},
		}
		order := make(chan string, len(waiting))
		q.serviceTime = 10 * time.Millisecond // short enough to queue all of them
		for _, w := range waiting {
			go func() {
				if q.Acquire(context.Background(), w.request) == "" {
					order <- w.name
				}
			}()
			synctest.Wait()
		}
		for _, want := range []string{"inner", "high priority", "earlier deadline", "late deadline"} {
			finishOldest(q)
			assert.Equal(t, <-order, want)
		}
	})
}

// TestEarlyRefusal guards against queueing calls that would wait too long, and
// against refusing inner calls as early as others.
func TestEarlyRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(2)
		q.serviceTime = 500 * time.Millisecond
		for range 2 {
			assert.Equal(t, q.Acquire(t.Context(), newRequest(1, 2*time.Second, false)), "")
		}
		started := time.Now()
		assert.Equal(t, q.Acquire(t.Context(), newRequest(1, 2*time.Second, false)), ReasonQueueFull)
		assert.Equal(t, time.Since(started), time.Duration(0))
		time.AfterFunc(400*time.Millisecond, func() { finishOldest(q) })
		assert.Equal(t, q.Acquire(t.Context(), newRequest(1, 2*time.Second, true)), "")
	})
}

// TestSlotsAreNotExceeded guards against granting a slot twice when a caller
// cancels while its slot is being granted.
func TestSlotsAreNotExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1)
		q.serviceTime = time.Millisecond
		for range 50 {
			assert.Equal(t, q.Acquire(t.Context(), newRequest(1, time.Second, false)), "")
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan string)
			go func() { done <- q.Acquire(ctx, newRequest(1, time.Second, false)) }()
			synctest.Wait()
			go cancel()
			finishOldest(q)
			if <-done == "" {
				finishOldest(q)
			}
			synctest.Wait()
			assert.Equal(t, q.busy, 0)
		}
	})
}
