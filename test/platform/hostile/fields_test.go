package hostile

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/node"
)

// shortFields is a head of 16,000 bytes inside the limits, without its end. Its fields have
// different names of few bytes.
func shortFields() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var head strings.Builder
	head.WriteString("GET /look/1 HTTP/1.1\nHost: fish.example\n")
	for i := 0; head.Len() < 16000; i++ {
		for n := i; ; n /= len(letters) {
			head.WriteByte(letters[n%len(letters)])
			if n < len(letters) {
				break
			}
		}
		head.WriteString(":\n")
	}
	return head.String()
}

// TestHeadsWithoutEnd guards against clients whose unfinished heads exhaust the memory of
// the daemon, since a decoded field takes many times the memory of its bytes.
func TestHeadsWithoutEnd(t *testing.T) {
	const crowd = 300
	d := startDaemon(t, node.Limits{}, targetSlots)
	head := client{shortFields(), "", 0}
	clients := make(map[string]client)
	for i := range crowd / clientsPerKind {
		clients[strings.Repeat("x", i)] = head
	}
	stop := attack(d.settings.Listen.Callers, clients)
	defer stop()
	time.Sleep(attackTime)
	assert.Assert(t, d.process.Running(), "the process has ended")
	memory := d.peakMemory()
	t.Logf("peak memory %d MB", memory/1e6)
	assert.Check(t, memory < memoryLimit, "peak memory %d bytes, bound %d", memory, memoryLimit)
	d.awaitOrdinary()
	assert.Check(t, d.peakMemory() < memoryLimit, "peak memory %d bytes, bound %d", d.peakMemory(), memoryLimit)
}
