package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
)

// TestWarmth guards against a target that counts as warm while its state is unknown, or as
// cold for longer.
func TestWarmth(t *testing.T) {
	at := func(d time.Duration) clock.Instant { return clock.Instant(time.Minute).Add(d) }
	var w warmth
	w.hear(at(0), 2*time.Second)
	assert.Assert(t, w.announced(at(1999*time.Millisecond)))
	assert.Assert(t, !w.announced(at(2*time.Second)))
	assert.Assert(t, !w.unknown(0))

	w.lose(at(3 * time.Second))
	assert.Assert(t, w.unknown(0))
	w.hear(at(3*time.Second+heartbeatTransit/2), 0)
	assert.Assert(t, w.unknown(0), "a heartbeat that may be older than the loss")
	w.hear(at(4*time.Second), 0)
	assert.Assert(t, !w.unknown(0))

	assert.Assert(t, w.unknown(at(5*time.Second)), "an evacuation ended after the last heartbeat")
	w.hear(at(6*time.Second), 0)
	assert.Assert(t, !w.unknown(at(5*time.Second)))
}
