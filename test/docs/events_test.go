// Package docs_test keeps documents equal to the code.
package docs_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	_ "nutmegstand.example/nutmegstand/pkg/daemon" // registers the events of the product's own interface
	_ "nutmegstand.example/nutmegstand/pkg/node"   // and those of the platform's daemon
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

// root is the module root as seen from this package.
const root = "../.."

// TestEventCatalogue guards against an event that operators cannot look up.
func TestEventCatalogue(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "events.md"))
	assert.NilError(t, err)
	assert.Equal(t, string(page), telemetry.Catalogue(), "run: go run ./test/events > docs/events.md")
}
