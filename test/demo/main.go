// Command demo demonstrates the main functions of nutmegstand with separate processes
// on loopback: a stand-in store, and 12 daemons with their targets in 3 failure
// domains, which run two services in two versions each. It exits with a non-zero
// status if a guarantee is violated.
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

// demoTimeout limits the duration of the whole demo.
const demoTimeout = 85 * time.Second

func main() {
	binDir := flag.String("bin", "bin", "`directory` of the program binaries")
	basePort := flag.Int("base-port", 21000, "first `port` of the port range")
	examples := flag.String("examples", "examples", "`directory` of the example files")
	logs := flag.String("logs", "", "`directory` for the logs; if empty, the logs are removed at the end")
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
	vms := newVMs(basePort)
	calls, err := newLoad(vms)
	if err != nil {
		return 1, err
	}
	d := &demo{
		ctx: ctx, startedAt: time.Now(), dir: dir, examples: examples, basePort: basePort,
		children: &processes.Group{BinDir: binDir, LogDir: logs}, vms: vms, load: calls,
		admin: &adminClient{program: filepath.Join(binDir, "nutmegctl"), tokenFile: token, vms: vms},
	}
	defer d.children.StopAll()
	if err := d.runSteps(); err != nil {
		return 1, err
	}
	if violated := d.table.print(os.Stdout); violated > 0 {
		return 1, nil
	}
	return 0, nil
}
