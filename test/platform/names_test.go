package platform_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// wireNames are names from the wire formats of the platform that the product uses for
// nothing else.
var wireNames = []string{
	"Attempt-Id", "Time-Remaining", "Response-Signature", "Expected-Instance", "Not-Executed", "Calling-Service", "Instance-Id",
	"/v1/instances", "/v1/readiness", "warmup_left_ms", "heartbeat_addr", "resource_type", "path_prefix",
	"target_latency_ms", "weighted_split", "max_attempts", "created_rev", "at_rev", "has_more", "delete_requested",
	"X-Api-Key", "Tenant-Name", "api_keys", "auth_exempt", "rate_per_s", "burst_size", "config/main", "rollouts/", "rolled_back", `duration_s"`,
	"warmup_s", "warmup_per_s", "Warmup-Remaining", "evacuation_ms",
}

// TestWireNames guards against names from the wire formats of the platform in code
// outside of the platform adapter and its tests.
func TestWireNames(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, dir := range []string{"cmd", "pkg", "test"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && path == filepath.Join(root, "test", "platform") {
				return fs.SkipDir
			}
			if filepath.Ext(path) != ".go" {
				return nil
			}
			content, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, name := range wireNames {
				assert.Check(t, !strings.Contains(string(content), name), "%s contains %q", path, name)
			}
			return nil
		})
		assert.NilError(t, err)
	}
}
