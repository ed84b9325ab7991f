package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func always() bool { return true }

// occupy gets n slots.
func occupy(t *testing.T, a *admission, n int) {
	t.Helper()
	for range n {
		assert.Equal(t, a.acquire(t.Context(), newCall(1, 5*time.Second, false)), "")
	}
}

// waitForSlot returns a channel that receives the time at which a further call gets a slot.
func waitForSlot(t *testing.T, a *admission) <-chan time.Time {
	granted := make(chan time.Time, 1)
	call := newCall(1, 5*time.Second, false)
	call.Objective = 4 * time.Second // waits long enough
	go func() {
		if a.acquire(t.Context(), call) == "" {
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
		a := newAdmission(4)
		occupy(t, a, 2)
		time.AfterFunc(30*time.Millisecond, func() { a.release("r", 0) })
		end := a.isolate(t.Context(), always)
		assert.Assert(t, a.alone())
		granted := waitForSlot(t, a)
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
		a := newAdmission(4)
		occupy(t, a, 2)
		began := time.Now()
		a.isolate(t.Context(), always)
		assert.Equal(t, time.Since(began), isolationWait, "beside a slow request")
		assert.Equal(t, (<-waitForSlot(t, a)).Sub(began), isolationTime)

		began = time.Now()
		a.isolate(t.Context(), always)
		assert.Equal(t, time.Since(began), time.Duration(0), "too soon after another")
		assert.Equal(t, (<-waitForSlot(t, a)).Sub(began), time.Duration(0))

		time.Sleep(isolationInterval)
		began = time.Now()
		cleared := func() bool { return time.Since(began) < 20*time.Millisecond }
		a.isolate(t.Context(), cleared)
		assert.Assert(t, time.Since(began) <= 25*time.Millisecond)
		assert.Assert(t, !a.isolated)
	})
}
