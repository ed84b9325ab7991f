package proxy

import (
	"net"
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

// TestIdleCloseIsNoLoss guards against a target that counts as cold since it closes single
// connections that are idle for long, and against a lost process that goes unnoticed.
func TestIdleCloseIsNoLoss(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	lost := 0
	p := newPool(listener.Addr().String())
	p.lost = func() { lost++ }
	var peers []net.Conn
	var conns []*conn
	for range 3 {
		c, err := p.get(t.Context(), time.Hour)
		assert.NilError(t, err)
		peer, err := listener.Accept()
		assert.NilError(t, err)
		conns, peers = append(conns, c), append(peers, peer)
	}
	idle := func(i int, age time.Duration) {
		p.put(conns[i])
		conns[i].idleSince = time.Now().Add(-age)
		assert.NilError(t, peers[i].Close())
		for conns[i].reusable() {
			time.Sleep(time.Millisecond)
		}
	}
	idle(0, 2*recentUse)
	p.sweep()
	assert.Equal(t, lost, 0, "others are in use")
	idle(1, recentUse/10)
	p.sweep()
	assert.Equal(t, lost, 1, "closed just after its last use")
	idle(2, 2*recentUse)
	p.sweep()
	assert.Equal(t, lost, 2, "the last one")
}
