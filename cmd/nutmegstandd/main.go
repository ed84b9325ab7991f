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
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/daemon"
	"nutmegstand.example/nutmegstand/pkg/node"
	"nutmegstand.example/nutmegstand/pkg/settings"
	"nutmegstand.example/nutmegstand/pkg/telemetry"
	"nutmegstand.example/nutmegstand/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadUsage = 2
)

// settingsPoll is the time between looks at the settings file, which may change
// without a signal.
const settingsPoll = 5 * time.Second

// runner is a daemon that is ready to run.
type runner interface {
	Run(ctx context.Context) error
}

// reloader is a daemon that takes changed settings while it runs.
type reloader interface{ Reload(file string) }

// program is what the settings ask for.
type program struct {
	file        string
	memoryLimit int64
	gcPercent   int // 0 for the runtime's own
	level       zapcore.Level
	build       func(*zap.Logger) (runner, error)
}

func main() {
	os.Exit(run())
}

func run() int {
	file := flag.String("settings", "", "settings `file` in JSON")
	onPlatform := flag.Bool("platform", false, "run on the platform of package platform; its settings differ")
	flag.Parse()
	if *file == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitBadUsage
	}
	load := loadDaemon
	if *onPlatform {
		load = loadNode
	}
	p, err := load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadUsage
	}
	return p.run()
}

func (p *program) run() int {
	if p.memoryLimit > 0 {
		debug.SetMemoryLimit(p.memoryLimit)
	}
	if p.gcPercent > 0 {
		debug.SetGCPercent(p.gcPercent)
	}
	hlog.SetLevel(hlog.LevelFatal) // the daemon logs its own events
	logger, flush := telemetry.NewLogger(os.Stdout, p.level)
	defer flush()
	d, err := p.build(logger)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if r, ok := d.(reloader); ok {
		go p.watchSettings(ctx, r)
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// watchSettings reloads the settings on SIGHUP and when the file has changed.
func (p *program) watchSettings(ctx context.Context, r reloader) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	held := modified(p.file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if modified(p.file).Equal(held) {
				continue
			}
		}
		held = modified(p.file)
		r.Reload(p.file)
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

func loadDaemon(file string) (*program, error) {
	s, err := settings.Load(file)
	if err != nil {
		return nil, err
	}
	return &program{
		file: file, memoryLimit: s.MemoryLimitBytes, level: s.Log.ZapLevel(),
		build: func(l *zap.Logger) (runner, error) { return daemon.New(s, l) },
	}, nil
}

func loadNode(file string) (*program, error) {
	s, err := node.LoadSettings(file)
	if err != nil {
		return nil, err
	}
	objects := platform.NewObjects(s.Store)
	p := node.Platform{
		Headers: platform.Headers(), Operator: platform.NewOperator(objects), Store: objects, Edge: platform.Edge{},
	}
	return &program{
		file: file, memoryLimit: s.MemoryLimitBytes, gcPercent: s.GCPercent, level: zapcore.InfoLevel,
		build: func(l *zap.Logger) (runner, error) { return node.New(s, p, l) },
	}, nil
}
