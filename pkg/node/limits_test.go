package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/connguard"
	"nutmegstand.example/nutmegstand/pkg/connlimit"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// TestLimitSettings guards against limits outside their range that are taken or reported
// without their path, and against defaults that do not fit the smallest machines.
func TestLimitSettings(t *testing.T) {
	s := &Settings{Limits: Limits{
		Callers: ListenerLimits{Connections: -1}, Metrics: ListenerLimits{Connections: maxConnections + 1},
		Fleet: ListenerLimits{HeadMemoryBytes: minHeadMemory - 1}, Stall: -1,
	}}
	var paths []string
	s.Limits.check(func(path string, value any, allowed string) {
		paths = append(paths, fmt.Sprint(path, " ", value, " ", allowed))
	})
	all := strings.Join(paths, "\n")
	for _, expected := range []string{
		"limits.callers.connections -1 ", "limits.metrics.connections 65537 ", "limits.fleet.headMemoryBytes 1048575 ", "limits.stallMS -1 ",
	} {
		assert.Assert(t, strings.Contains(all, expected), "%q is not in\n%s", expected, all)
	}
	assert.Equal(t, len(paths), 4)

	const smallestDescriptors, ownDescriptors = 4100, 1000
	s = &Settings{MemoryLimitBytes: defaultMemoryLimit}
	connections, memory := 0, s.responseMemory()
	for name := range s.Limits.listeners() {
		limits := s.listenerLimits(name)
		connections += limits.Connections
		memory += limits.HeadMemoryBytes
	}
	assert.Assert(t, connections <= smallestDescriptors-ownDescriptors, "%d connections", connections)
	assert.Assert(t, memory < defaultMemoryLimit/2, "%d bytes", memory)
}

// TestCallerLimits guards against limits on callers that are lower than the configured
// ones, and against none before the first configuration.
func TestCallerLimits(t *testing.T) {
	n := &Node{}
	assert.Equal(t, n.callerLimits().HeaderBytes, headerBytes)
	configured := routing.Limits{HeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	n.config.Advance(&routing.Config{Version: 1, Limits: configured})
	limits := n.callerLimits()
	assert.Assert(t, limits.HeaderBytes >= configured.HeaderBytes && limits.HeaderBytes < 2*configured.HeaderBytes)
	assert.Assert(t, limits.HeaderTimeout > configured.HeaderTimeout && limits.IdleTimeout > configured.IdleTimeout)
}

// TestIdlePeersStayConnected guards against connections between daemons that are closed
// some seconds after a call: 64 connections of each daemon ended 10 s after the start of
// a deployment, since the bytes that close a stream counted as the start of a request.
func TestIdlePeersStayConnected(t *testing.T) {
	n := &Node{settings: &Settings{}, logger: zap.NewNop(), pools: make(map[string]*connlimit.Pool)}
	guarded := n.guard("fleet", nil).(*connguard.Listener)
	assert.Assert(t, guarded.RequestTime >= guarded.IdleTime)
}
