// Package docs_test checks that the documentation matches the code.
package docs_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	_ "nutmegstand.example/nutmegstand/pkg/daemon" // registers the events of the daemon with the native interface
	_ "nutmegstand.example/nutmegstand/pkg/node"   // registers the events of the daemon for the platform
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

// root is the module root, relative to the directory of this package.
const root = "../.."

// TestEventCatalogue guards against a catalogue for operators that differs from the
// events in the code.
func TestEventCatalogue(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "events.md"))
	assert.NilError(t, err)
	assert.Equal(t, string(page), telemetry.Catalogue(), "run: go run ./test/events > docs/events.md")
}
