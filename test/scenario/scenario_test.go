package scenario

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
)

// keep keeps the directories with the logs of all processes after the test.
var keep = flag.Bool("keep", false, "keep the logs of the processes")

// parallel is the maximum number of concurrent scenarios. It limits the running
// processes to about 40.
const parallel = 4

// TestScenarios guards against failures that only occur with separate processes:
// state lost when a process is killed, leases used after they expired during a
// pause, calls interrupted by a stop. Each script starts with the failure that it
// tests.
func TestScenarios(t *testing.T) { runScripts(t, "testdata") }

// TestPausedDistributor guards against orders that run twice, and against
// replaced versions that take effect again, when the daemon of a distributor is
// paused and resumed.
func TestPausedDistributor(t *testing.T) { runScripts(t, "testdata/paused") }

func runScripts(t *testing.T, dir string) {
	t.Parallel()
	binDir := t.TempDir()
	build := exec.Command("go", "build", "-o", binDir+string(os.PathSeparator), "../../cmd/...")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	config, err := filepath.Abs("testdata/config")
	assert.NilError(t, err)
	params := Params(dir, binDir, config, parallel)
	params.TestWork = *keep
	testscript.Run(t, params)
}
