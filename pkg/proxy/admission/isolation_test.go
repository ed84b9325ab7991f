package admission

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func always() bool { return true }

// occupy gets n slots.
func occupy(t *testing.T, q *Queue, n int) {
	t.Helper()
	for range n {
		assert.Equal(t, q.Acquire(t.Context(), newRequest(1, 5*time.Second, false)), "")
	}
}

// waitForSlot returns a channel that receives the time at which a further call gets a slot.
func waitForSlot(t *testing.T, q *Queue) <-chan time.Time {
	granted := make(chan time.Time, 1)
	request := newRequest(1, 5*time.Second, false)
	request.Objective = 4 * time.Second // waits long enough
	go func() {
		if q.Acquire(t.Context(), request) == "" {
			granted <- time.Now()
		}
	}()
	synctest.Wait()
	return granted
}

// TestIsolation guards against a suspect that runs beside other requests although they
// end soon, and against requests that get a slot while it runs alone.
func TestIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(4)
		occupy(t, q, 2)
		time.AfterFunc(30*time.Millisecond, func() { finishOldest(q) })
		end := q.Isolate(t.Context(), always)
		assert.Assert(t, q.alone())
		granted := waitForSlot(t, q)
		select {
		case <-granted:
			t.Fatal("a call got a slot beside the suspect")
		default:
		}
		time.Sleep(10 * time.Millisecond)
		ended := time.Now()
		end()
		assert.Equal(t, (<-granted).Sub(ended), time.Duration(0))
	})
}

// TestIsolationEnds guards against suspects that keep other requests from a target for
// long: slow requests beside them, slow suspects, many suspects, and one that is cleared
// by a run elsewhere.
func TestIsolationEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(4)
		occupy(t, q, 2)
		began := time.Now()
		q.Isolate(t.Context(), always)
		assert.Equal(t, time.Since(began), isolationWait, "beside a slow request")
		assert.Equal(t, (<-waitForSlot(t, q)).Sub(began), isolationTime)

		began = time.Now()
		q.Isolate(t.Context(), always)
		assert.Equal(t, time.Since(began), time.Duration(0), "too soon after another")
		assert.Equal(t, (<-waitForSlot(t, q)).Sub(began), time.Duration(0))

		time.Sleep(isolationInterval)
		began = time.Now()
		cleared := func() bool { return time.Since(began) < 20*time.Millisecond }
		q.Isolate(t.Context(), cleared)
		assert.Assert(t, time.Since(began) <= 25*time.Millisecond)
		assert.Assert(t, !q.isolated)
	})
}
