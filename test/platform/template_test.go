package platform_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/node"
	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
	"nutmegstand.example/nutmegstand/platform"
	"nutmegstand.example/nutmegstand/test/platform/standin"
)

var placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)

// renderTemplate fills in the settings template as the platform does, and returns the file.
func renderTemplate(t *testing.T, fields map[string]any) string {
	t.Helper()
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.json"))
	assert.NilError(t, err)
	content := placeholder.ReplaceAllStringFunc(string(template), func(text string) string {
		match := placeholder.FindStringSubmatch(text)
		var value any = fields
		for _, part := range strings.Split(match[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[part]
			case []any:
				i, err := strconv.Atoi(part)
				assert.NilError(t, err)
				value = v[i]
			}
		}
		assert.Assert(t, value != nil, "the template names %s", text)
		rendered, err := json.Marshal(value)
		assert.NilError(t, err)
		if plain, ok := value.(string); ok && match[2] == "" {
			return plain
		}
		return string(rendered)
	})
	assert.Assert(t, json.Valid([]byte(content)), "%s", content)
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	return file
}

// templateFields returns the fields that the platform fills in.
func templateFields() map[string]any {
	return map[string]any{
		"node": "vm-1", "zone": "z", "service": "desk", "app_addr": "10.0.0.1:80", "ip": "10.0.0.1", "bootstrap": true, "heartbeat_ms": 5,
		"listen":         map[string]any{"inbound": "10.0.0.1:1", "outbound": "10.0.0.1:2", "ready": "10.0.0.1:3", "control": "10.0.0.1:4"},
		"internal_ports": []any{5, 6}, "platform": map[string]any{"address": "10.0.0.9:80"},
		"limits": map[string]any{"memory_mb": 5, "link_mbps": 5, "cpu_share": 5},
		"bounds": map[string]any{"drain_ms": 5, "grace_s": 5, "retry_budget_ratio": 5, "retry_slack": 5, "budget_window_s": 5},
	}
}

// TestSettingsTemplate guards against a settings template that is no valid JSON, or names
// unknown settings, with or without the bound on evacuations.
func TestSettingsTemplate(t *testing.T) {
	for _, want := range []node.Milliseconds{0, 5} {
		fields := templateFields()
		if want > 0 {
			fields["bounds"].(map[string]any)["evacuation_ms"] = 5
		}
		settings, err := node.LoadSettings(renderTemplate(t, fields), platform.ApplyBounds)
		assert.NilError(t, err)
		assert.Equal(t, settings.Evacuation, want)
	}
}

// TestFractionsInTemplate guards against a figure of the platform with a fraction that
// becomes another figure in the settings: a stop grace of 6.5 s was 6.5 ms.
func TestFractionsInTemplate(t *testing.T) {
	fields := templateFields()
	fields["heartbeat_ms"] = 1500.5
	fields["limits"] = map[string]any{"memory_mb": 284.5, "link_mbps": 12.5, "cpu_share": 0.16}
	fields["bounds"] = map[string]any{
		"drain_ms": 2000.5, "grace_s": 6.5, "retry_budget_ratio": 0.25, "retry_slack": 64.5, "budget_window_s": 7.25, "evacuation_ms": 5000.5,
		"quota_window_s": 2.5, "quota_overrun": 0.15, "quota_slack": 20.5, "other": true,
	}
	s, err := node.LoadSettings(renderTemplate(t, fields), platform.ApplyBounds)
	assert.NilError(t, err)
	for name, c := range map[string]struct{ got, want time.Duration }{
		"heartbeat":     {s.Heartbeat.Duration(), 1500500 * time.Microsecond},
		"drain period":  {s.DrainPeriod.Duration(), 2000500 * time.Microsecond},
		"stop grace":    {s.StopGrace.Duration(), 6500 * time.Millisecond},
		"retry window":  {s.Retries.Window.Duration(), 7250 * time.Millisecond},
		"evacuation":    {s.Evacuation.Duration(), 5000500 * time.Microsecond},
		"limits window": {s.WorkspaceLimits.Window.Duration(), 2500 * time.Millisecond},
	} {
		assert.Equal(t, c.got, c.want, name)
	}
	assert.Equal(t, s.MemoryLimitBytes, int64(284_500_000))
	assert.DeepEqual(t, []float64{s.LinkMbps, s.Cores, s.Retries.Ratio, s.Retries.Slack}, []float64{12.5, 0.16, 0.25, 64.5})
	assert.DeepEqual(t, []float64{s.WorkspaceLimits.Overrun, s.WorkspaceLimits.Slack}, []float64{0.15, 20.5})
}

// TestReloadAppliesBounds guards against a reload that drops what the bounds of the
// deployment determine.
func TestReloadAppliesBounds(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	m := (&deployment{t: t, store: standin.NewStore(t)}).newMachine(0)
	objects := platform.NewObjects(m.store)
	n, err := node.New(m.settings, node.Platform{
		Headers: proxytest.Names, Operator: platform.NewOperator(objects), Store: objects, ApplyBounds: platform.ApplyBounds,
	}, zap.New(core))
	assert.NilError(t, err)
	fields := templateFields()
	fields["bounds"].(map[string]any)["grace_s"] = 7.5
	n.Reload(renderTemplate(t, fields))
	reloaded := logs.FilterMessage("settings_reloaded").All()
	assert.Equal(t, len(reloaded), 1, "%v", logs.All())
	assert.Equal(t, reloaded[0].ContextMap()["stop_grace"], 7500*time.Millisecond)
}
