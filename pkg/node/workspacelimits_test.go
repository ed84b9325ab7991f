package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/fleet/fleettest"
)

const validSettings = `{"name":"vm-1","domain":"zone-a","service":"desk","targetAddress":"10.0.0.5:1","listen":{"callers":"10.0.0.5:2",
"daemons":"10.0.0.5:3","fleet":"10.0.0.5:4","announcements":"10.0.0.5:5","readiness":"10.0.0.5:6"},"store":"10.0.0.9:7",
"heartbeatMS":500,"drainPeriodMS":1000,"stopGraceMS":5000,"retries":{"ratio":0.2,"slack":60,"windowMS":10000}LIMITS}`

func loadWithLimits(t *testing.T, limits string) (*Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(validSettings, "LIMITS", limits, 1)), 0o600))
	return LoadSettings(file, nil)
}

// TestWorkspaceLimitSettings guards against bounds for workspaces that cannot be held,
// and against daemons that hold limits without being told to.
func TestWorkspaceLimitSettings(t *testing.T) {
	s, err := loadWithLimits(t, "")
	assert.NilError(t, err)
	assert.Assert(t, s.WorkspaceLimits == nil)
	n := &Node{settings: s}
	assert.NilError(t, n.buildLimiter())
	assert.Assert(t, n.ingressLimiter() == nil)

	s, err = loadWithLimits(t, `,"workspaceLimits":{"windowMS":5000,"overrun":0.1,"slack":20}`)
	assert.NilError(t, err)
	assert.Equal(t, *s.WorkspaceLimits, WorkspaceLimits{Window: 5000, Overrun: 0.1, Slack: 20})

	_, err = loadWithLimits(t, `,"workspaceLimits":{"windowMS":70000,"overrun":-0.1,"slack":-1}`)
	for _, problem := range []string{
		`$.workspaceLimits.windowMS is "70000", allowed: 1000 to 60000`,
		`$.workspaceLimits.overrun is "-0.1", allowed: 0 or more`,
		`$.workspaceLimits.slack is "-1", allowed: 0 or more requests`,
	} {
		assert.ErrorContains(t, err, problem)
	}
}

// TestQuotaMembers guards against a source of members that waits for its own lock: no
// daemon of a deployment with limits served a request. It also guards against a peer that
// counts as one of the same restart although it has run for longer.
func TestQuotaMembers(t *testing.T) {
	const started = 1_700_000_000_000
	c := &clock.Manual{}
	n := &Node{clock: c, table: fleet.NewTable("self", started, fleet.State{}, c)}
	for name, incarnation := range map[string]uint64{"older": started - 10_000, "restarted": started - 1000} {
		fleettest.Hear(t, n.table, fleet.NewTable(name, incarnation, fleet.State{}, c))
	}
	older := make(map[string]bool)
	for _, m := range (quotaSource{n}).Members() {
		older[m.Name] = m.Older
	}
	assert.DeepEqual(t, older, map[string]bool{"self": false, "older": true, "restarted": false})
}
