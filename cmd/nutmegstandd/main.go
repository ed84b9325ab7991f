// Command nutmegstandd is the daemon that runs beside each target.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cloudwego/hertz/pkg/common/hlog"

	"nutmegstand.example/nutmegstand/pkg/daemon"
	"nutmegstand.example/nutmegstand/pkg/settings"
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadUsage = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	file := flag.String("settings", "", "settings `file` in JSON")
	flag.Parse()
	if *file == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitBadUsage
	}
	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadUsage
	}
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(s.MemoryLimitBytes)
	}
	hlog.SetLevel(hlog.LevelFatal) // the daemon logs its own events
	logger, flush := telemetry.NewLogger(os.Stdout, s.Log.ZapLevel())
	defer flush()
	d, err := daemon.New(s, logger)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
