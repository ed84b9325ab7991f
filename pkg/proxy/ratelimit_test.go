package proxy_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
)

// rateLimited returns a handler that names a rate limit.
func rateLimited(limit string) proxytest.Handler {
	return func(r *proxytest.Request) bool {
		proxytest.Write(r, http.StatusOK, proxytest.Names.RateLimit+": "+limit+"\r\n", "ok")
		return true
	}
}

// pressInterval is the pause of a caller between two requests.
const pressInterval = 20 * time.Millisecond

// press sends requests from several callers for the given time, and returns the number
// of responses by status.
func (m *mesh) press(callers int, duration time.Duration) map[int]int {
	var mu sync.Mutex
	statuses := make(map[int]int)
	var running sync.WaitGroup
	end := time.Now().Add(duration)
	for range callers {
		running.Go(func() {
			for time.Now().Before(end) {
				status := m.get("/look/1").status
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(pressInterval)
			}
		})
	}
	running.Wait()
	return statuses
}

// TestRateLimitAfterRestart guards against a daemon that exceeds the limit of its target
// after a restart, until the first response.
func TestRateLimitAfterRestart(t *testing.T) {
	const limit, slots = 1, 40
	m := newMesh(t, 2)
	limited := m.targetSides[1]
	limited.target.Handle(rateLimited("1"))
	for len(limited.target.Requests()) == 0 {
		m.get("/look/1")
	}
	limited.target.Handle(func(r *proxytest.Request) bool {
		time.Sleep(time.Second)
		return rateLimited("1")(r)
	})
	replaced := localTarget(1, limited)
	replaced.ID, replaced.Slots = "restarting", slots
	limited.gate.SetTarget(replaced) // a gate keeps nothing of a target with another ID
	replaced.ID = m.endpoints[1].Target
	limited.gate.SetTarget(replaced)
	m.hideFirst.Store(true)
	before := len(limited.target.Requests())
	m.press(slots, time.Second)
	got := len(limited.target.Requests()) - before
	assert.Assert(t, float64(got) <= 1.5*limit+5, "%d requests in 1 s after a restart at a limit of %d a second", got, limit)
}

// TestRateLimitOfTarget guards against a target that gets more requests than the limit
// that it names.
func TestRateLimitOfTarget(t *testing.T) {
	m := newMesh(t, 2)
	m.targetSides[1].target.Handle(rateLimited("10"))
	for len(m.targetSides[1].target.Requests()) == 0 {
		m.get("/look/1")
	}
	const duration = 2 * time.Second
	before := len(m.targetSides[1].target.Requests())
	statuses := m.press(6, duration)
	got := len(m.targetSides[1].target.Requests()) - before
	assert.Assert(t, float64(got) <= 1.5*10*duration.Seconds()+5, "%d requests in %v at a limit of 10 a second", got, duration)
	assert.Equal(t, len(statuses), 1, "responses by status: %v", statuses)
	assert.Assert(t, statuses[http.StatusOK] > 0)
}
