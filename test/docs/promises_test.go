package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// testReference matches a reference to a test, such as `pkg/config.TestMatch`.
var testReference = regexp.MustCompile("`((?:(?:pkg|test|cmd)/[a-z/]+|platform))\\.((?:Test|Fuzz)[A-Za-z0-9_]+)`")

// TestPromisesNameExistingTests guards against a promise that refers to a test that
// has been renamed or removed.
func TestPromisesNameExistingTests(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "PROMISES.md"))
	assert.NilError(t, err)
	references := testReference.FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(references) > 0, "PROMISES.md names no test")
	for _, match := range references {
		assert.Assert(t, hasTest(t, match[1], match[2]), "%s has no test %s", match[1], match[2])
	}
}

// TestPromisesGiveVerdicts guards against a table row without one of the three allowed
// verdicts.
func TestPromisesGiveVerdicts(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "PROMISES.md"))
	assert.NilError(t, err)
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		if !strings.HasPrefix(line, "| ") || len(cells) != 6 || cells[0] == "promise" || cells[0] == "failure" || strings.HasPrefix(cells[0], "---") {
			continue
		}
		rows++
		verdict := strings.TrimSpace(cells[5])
		assert.Assert(t, verdict == "proved" || verdict == "partly" || verdict == "not proved", "row %q has verdict %q, want proved, partly or not proved", cells[0], verdict)
	}
	assert.Assert(t, rows >= 10, "found %d rows, want at least 10", rows)
}

func hasTest(t *testing.T, dir, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, dir, "*_test.go"))
	assert.NilError(t, err)
	for _, file := range files {
		content, err := os.ReadFile(file)
		assert.NilError(t, err)
		if strings.Contains(string(content), "func "+name+"(") {
			return true
		}
	}
	return false
}
