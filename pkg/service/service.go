// Package service runs a daemon as a process: its settings, logs, signals and
// exit code.
package service

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadUsage = 2
)

// settingsPoll is the time between looks at the settings file, which may change
// without a signal.
const settingsPoll = 5 * time.Second

// Runner is a daemon that is ready to run.
type Runner interface {
	Run(ctx context.Context) error
}

// Reloader is a daemon that takes changed settings while it runs.
type Reloader interface{ Reload(file string) }

// Program is what the settings ask for.
type Program struct {
	MemoryLimit int64 // in bytes, 0 for none
	GCPercent   int   // 0 for the runtime's own
	Level       zapcore.Level
	Build       func(*zap.Logger) (Runner, error)
}

// Main runs the daemon that load makes of the settings file on the command line.
// It does not return.
func Main(load func(file string) (*Program, error)) {
	os.Exit(run(load))
}

func run(load func(file string) (*Program, error)) int {
	file := flag.String("settings", "", "settings `file` in JSON")
	flag.Parse()
	if *file == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitBadUsage
	}
	return runFile(*file, load)
}

// runFile asks for signals before anything else: a signal to a process that has
// not done so ends it at once.
func runFile(file string, load func(file string) (*Program, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	p, err := load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadUsage
	}
	return p.run(ctx, file, hangup)
}

func (p *Program) run(ctx context.Context, file string, hangup <-chan os.Signal) int {
	if p.MemoryLimit > 0 {
		debug.SetMemoryLimit(p.MemoryLimit)
	}
	if p.GCPercent > 0 {
		debug.SetGCPercent(p.GCPercent)
	}
	hlog.SetLevel(hlog.LevelFatal) // the daemon logs its own events
	logger, flush := telemetry.NewLogger(os.Stdout, p.Level)
	defer flush()
	d, err := p.Build(logger)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if r, ok := d.(Reloader); ok {
		go watchSettings(ctx, file, hangup, r)
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// watchSettings reloads the settings on SIGHUP and when the file has changed.
func watchSettings(ctx context.Context, file string, hangup <-chan os.Signal, r Reloader) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	held := modified(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if modified(file).Equal(held) {
				continue
			}
		}
		held = modified(file)
		r.Reload(file)
	}
}

// modified returns the time of a file's last change, zero if it cannot be read;
// the reload then reports why.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
