// Package service runs a daemon as a process. It handles the command line, signals,
// reloading of the settings file, logging and the exit code.
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

// settingsPollInterval is the interval between checks of the settings file, which may
// change without a SIGHUP.
const settingsPollInterval = 5 * time.Second

// Runner is a daemon. Run blocks until the daemon has stopped.
type Runner interface {
	Run(ctx context.Context) error
}

// Reloader is a daemon that can apply changed settings while it runs.
type Reloader interface{ Reload(file string) }

// Program contains the process settings of a daemon and the function that builds it.
type Program struct {
	MemoryLimit int64 // in bytes, 0 for none
	GCPercent   int   // 0 for the default of the Go runtime
	Level       zapcore.Level
	Build       func(*zap.Logger) (Runner, error)
}

// Main runs the daemon that load returns for the settings file given on the command
// line. It does not return.
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

// runFile registers its signal handlers first, because an unhandled SIGTERM or SIGHUP
// terminates the process immediately.
func runFile(file string, load func(file string) (*Program, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	p, err := load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadUsage
	}
	return p.run(ctx, file, sighup)
}

func (p *Program) run(ctx context.Context, file string, sighup <-chan os.Signal) int {
	if p.MemoryLimit > 0 {
		debug.SetMemoryLimit(p.MemoryLimit)
	}
	if p.GCPercent > 0 {
		debug.SetGCPercent(p.GCPercent)
	}
	hlog.SetLevel(hlog.LevelFatal) // the daemon logs its own events instead
	logger, flush := telemetry.NewLogger(os.Stdout, p.Level)
	defer flush()
	daemon, err := p.Build(logger)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if r, ok := daemon.(Reloader); ok {
		go watchSettings(ctx, file, sighup, r)
	}
	if err := daemon.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// watchSettings reloads the settings on SIGHUP and when the file has been modified.
func watchSettings(ctx context.Context, file string, sighup <-chan os.Signal, r Reloader) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		case <-ticker.C:
			if modTime(file).Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(file)
		r.Reload(file)
	}
}

// modTime returns the modification time of a file, zero if it cannot be read. The
// reload then reports the error.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
