package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `{"name":"vm-1","domain":"zone-a","service":"desk","targetAddress":"10.0.0.5:1","listen":{"callers":"10.0.0.5:2",
"daemons":"10.0.0.5:3","fleet":"10.0.0.5:4","announcements":"10.0.0.5:5","readiness":"10.0.0.5:6"},"store":"10.0.0.9:7",
"heartbeatMS":500,"drainPeriodMS":1000,"stopGraceMS":5000,"retries":{"ratio":0.2,"slack":60,"windowMS":10000}LIMITS}`

func loadWithLimits(t *testing.T, limits string) (*Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(validSettings, "LIMITS", limits, 1)), 0o600))
	return LoadSettings(file)
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
