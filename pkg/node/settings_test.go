package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const goodSettings = `{"name":"vm-1","domain":"z","service":"desk","targetAddress":"10.0.0.1:80",
 "listen":{"callers":"10.0.0.1:1","daemons":"10.0.0.1:2","fleet":"10.0.0.1:3","announcements":"10.0.0.1:4","readiness":"10.0.0.1:5"},
 "store":"10.0.0.9:80","heartbeatMS":1000,"drainPeriodMS":2000,"stopGraceMS":5000,"evacuationMS":5000,
 "retries":{"ratio":0.2,"slack":60,"windowMS":10000}}`

func loadSettings(t *testing.T, content string) (*Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	return LoadSettings(file, nil)
}

// TestEvacuationSetting guards against a deployment without evacuations that watches them,
// and against a bound that is invalid and accepted.
func TestEvacuationSetting(t *testing.T) {
	s, err := loadSettings(t, goodSettings)
	assert.NilError(t, err)
	assert.Equal(t, s.Evacuation, Milliseconds(5000))
	s, err = loadSettings(t, strings.Replace(goodSettings, `"evacuationMS":5000,`, "", 1))
	assert.NilError(t, err)
	assert.Equal(t, s.Evacuation, Milliseconds(0))
	_, err = loadSettings(t, strings.Replace(goodSettings, `"evacuationMS":5000`, `"evacuationMS":-1`, 1))
	assert.ErrorContains(t, err, `$.evacuationMS is "-1"`)
}
