package platform_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/node"
	"nutmegstand.example/nutmegstand/platform"
)

var (
	templateBounds = regexp.MustCompile(`\{\{bounds\|json\}\}`)
	templateText   = regexp.MustCompile(`\{\{(node|zone|service|app_addr|listen\.\w+|platform\.address)\|json\}\}`)
	templateValue  = regexp.MustCompile(`\{\{[^{}#/]+\}\}`)
)

// TestSettingsTemplate guards against a settings template that is no valid JSON, or names
// unknown settings, with or without the bound on evacuations.
func TestSettingsTemplate(t *testing.T) {
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.json"))
	assert.NilError(t, err)
	for bounds, want := range map[string]node.Milliseconds{`{"drain_ms": 5, "evacuation_ms": 5}`: 5, `{"drain_ms": 5}`: 0} {
		content := templateBounds.ReplaceAll(template, []byte(bounds))
		content = regexp.MustCompile(`\{\{bootstrap\|json\}\}`).ReplaceAll(content, []byte("true"))
		content = templateText.ReplaceAll(content, []byte(`"10.0.0.1:80"`))
		content = regexp.MustCompile(`"\{\{ip\}\}`).ReplaceAll(content, []byte(`"10.0.0.1`))
		content = templateValue.ReplaceAll(content, []byte("5"))
		file := filepath.Join(t.TempDir(), "settings.json")
		assert.Assert(t, json.Valid(content), "%s", content)
		assert.NilError(t, os.WriteFile(file, content, 0o600))
		settings, err := node.LoadSettings(file)
		assert.NilError(t, err)
		assert.NilError(t, platform.ApplyBounds(settings))
		assert.Equal(t, settings.Evacuation, want)
	}
}
