// Command demo runs nutmegstand's main job with separate processes on loopback:
// a stand-in store, 12 daemons with their targets in 3 failure domains, two
// services in two versions. It exits non-zero when a promise is broken.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"nutmegstand.example/nutmegstand/test/processes"
)

// demoTimeout is the longest time of the whole demo.
const demoTimeout = 85 * time.Second

func main() {
	binDir := flag.String("bin", "bin", "`directory` of the programs")
	basePort := flag.Int("base-port", 21000, "first `port` of the range")
	examples := flag.String("examples", "examples", "`directory` of the example files")
	logs := flag.String("logs", "", "`directory` to keep the logs in; empty removes them")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	code, err := run(ctx, *binDir, *basePort, *examples, *logs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	os.Exit(code)
}

func run(ctx context.Context, binDir string, basePort int, examples, logs string) (int, error) {
	dir, err := os.MkdirTemp("", "nutmegstand-demo-")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(dir)
	if logs == "" {
		logs = dir
	} else if err := os.MkdirAll(logs, 0o755); err != nil {
		return 1, err
	}
	token := filepath.Join(dir, "token")
	if err := os.WriteFile(token, []byte(adminToken), 0o600); err != nil {
		return 1, err
	}
	vms := layout(basePort)
	calls, err := newLoad(vms)
	if err != nil {
		return 1, err
	}
	d := &demo{
		ctx: ctx, began: time.Now(), dir: dir, examples: examples, basePort: basePort,
		fleet: &processes.Fleet{BinDir: binDir, LogDir: logs}, vms: vms, load: calls,
		control: &control{program: filepath.Join(binDir, "nutmegctl"), tokenFile: token, vms: vms},
	}
	defer d.fleet.StopAll()
	if err := d.play(); err != nil {
		return 1, err
	}
	if broken := d.table.print(os.Stdout); broken > 0 {
		return 1, nil
	}
	return 0, nil
}
