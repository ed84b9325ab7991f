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

// keep leaves the directories with the logs of all processes.
var keep = flag.Bool("keep", false, "keep the logs of the processes")

// parallel bounds the processes that run at the same time to about 40.
const parallel = 4

// TestScenarios guards against failures that only whole processes show: state
// lost by a kill, leases held through a pause, calls cut by a stop. Each script
// names the failure that it is about.
func TestScenarios(t *testing.T) { runScripts(t, "testdata") }

// TestPausedDistributor guards against orders that run twice, and versions that
// come back, when the daemon of a distributor is paused and resumed.
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
