package platform_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/test/platform/standin"
)

const (
	// maxStretch is the time by which a store that was away may delay what the operator
	// writes after its return.
	maxStretch = 5 * time.Second
	// configWatchPeriod is the longest time for which a watch of the configuration waits.
	configWatchPeriod = 2 * time.Second
	// storedAgain is the time within which a departure is stored again after the return.
	storedAgain = 2 * time.Second
)

// noAbsence stands for a store that returns at once and does not cut its watches.
const noAbsence = -1

// absences are the times for which the store is away before it returns from a copy. With 0
// it cuts its watches only.
var absences = []time.Duration{noAbsence, 0, 100 * time.Millisecond, time.Second, 5 * time.Second}

// newDrill returns a deployment whose daemons have settled their roles.
func newDrill(t *testing.T, n int) *deployment {
	d := newDeployment(t, n)
	d.awaitTargets()
	time.Sleep(time.Second)
	return d
}

// returnFrom makes the store unavailable for a time and lets it return from a copy.
func (d *deployment) returnFrom(c *standin.Copy, away time.Duration) {
	if away == noAbsence {
		d.store.Replace(c)
		return
	}
	d.store.Leave()
	time.Sleep(away)
	d.store.Return(c)
}

// writeOthers writes objects of another writer, which take revisions of the store.
func (d *deployment) writeOthers() {
	for i := range 20 {
		d.store.Put("other", fmt.Sprintf("object-%d", i), map[string]any{})
	}
}

// forEachAbsence runs a test for each time for which the store may be away.
func forEachAbsence(t *testing.T, test func(t *testing.T, away time.Duration)) {
	for _, away := range absences {
		t.Run(away.String(), func(t *testing.T) { test(t, away) })
	}
}

// TestConfigurationAfterReturn guards against daemons that do not get a configuration that
// was written after the store had returned from a copy: they watched from a revision that
// the store has assigned again. It also guards against a return to the copy's configuration.
func TestConfigurationAfterReturn(t *testing.T) {
	forEachAbsence(t, func(t *testing.T, away time.Duration) {
		d := newDrill(t, 6)
		old := d.store.Copy()
		d.writeOthers()
		d.configure(2, "/look/", "/two/")
		for _, m := range d.machines {
			eventually(t, "the route is in force", applyTimeout, func() bool { return m.get("/two/") == http.StatusOK })
		}
		time.Sleep(configWatchPeriod) // the watches go on from the last revision
		d.returnFrom(old, away)
		d.configure(2, "/look/", "/two/")
		d.configure(3, "/look/", "/two/", "/three/")
		d.writeOthers()
		d.writeOthers()
		for _, m := range d.machines {
			assert.Equal(t, m.get("/two/"), http.StatusOK, "the configuration of the copy is in force")
		}
		deadline := time.Now().Add(applyTimeout + maxStretch)
		for _, m := range d.machines {
			eventually(t, "the new route is in force", time.Until(deadline), func() bool { return m.get("/three/") == http.StatusOK })
		}
	})
}

// TestDepartureAfterReturn guards against requests to a target that has left, after the
// store has returned from a copy without its departure and all daemons were lost.
func TestDepartureAfterReturn(t *testing.T) {
	forEachAbsence(t, func(t *testing.T, away time.Duration) {
		d := newDrill(t, 3)
		leaving := d.machines[0]
		leaving.setState("")
		old := d.store.Copy()
		assert.Equal(t, leaving.remove(), http.StatusOK)
		d.returnFrom(old, away)
		returned := time.Now()
		d.writeOthers()
		eventually(t, "the departure is stored again", maxStretch, func() bool {
			entry := d.store.Get("nutmegstand-daemons", leaving.settings.Name)
			return entry != nil && bytes.Contains(entry.Spec, []byte(leaving.id))
		})
		if away <= time.Second {
			assert.Assert(t, time.Since(returned) < storedAgain, "stored after %v", time.Since(returned))
		}
		d.restartAll()
		for _, m := range d.machines {
			eventually(t, "the machine serves", recoveryTimeout, func() bool { return m.get("/look/1") == http.StatusOK })
		}
		assert.Equal(t, leaving.sendHeartbeat("ready"), http.StatusOK)
		before := requestCount(leaving)
		for i := range 60 {
			assert.Equal(t, d.machines[i%3].get("/order/1"), http.StatusOK)
		}
		assert.Equal(t, requestCount(leaving), before, "requests reached a target that has left")
	})
}

// TestEvacuationAfterReturn guards against an evacuation that is not obeyed or not lifted,
// since its fact ranks below one of before the store has returned.
func TestEvacuationAfterReturn(t *testing.T) {
	forEachAbsence(t, func(t *testing.T, away time.Duration) {
		d := newEvacuable(t, 4, nil)
		old := d.store.Copy()
		d.writeOthers()
		d.store.Put("evacuations", evacuated, map[string]any{})
		time.Sleep(evacuationTimeout)
		d.serveWithout(evacuated)
		d.store.Delete("evacuations", evacuated)
		d.awaitUse(evacuated)
		d.returnFrom(old, away)
		d.store.Put("evacuations", evacuated, map[string]any{})
		time.Sleep(evacuationTimeout + maxStretch)
		d.serveWithout(evacuated)
		d.store.Delete("evacuations", evacuated)
		d.awaitUse(evacuated)
	})
}
