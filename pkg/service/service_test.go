package service

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// reloadRunner runs until its first reload.
type reloadRunner struct{ reloaded chan string }

func (r *reloadRunner) Run(ctx context.Context) error {
	select {
	case <-r.reloaded:
		return nil
	case <-time.After(settingsPollInterval / 2): // before the first check of the settings file
		return context.DeadlineExceeded
	}
}

func (r *reloadRunner) Reload(file string) { r.reloaded <- file }

// TestSIGHUPDuringStart guards against a daemon that is terminated by a SIGHUP, or
// ignores it, while it reads its settings. The start takes some milliseconds, and in the
// soak test a SIGHUP arrived during that time.
func TestSIGHUPDuringStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte("{}"), 0o600))
	code := runFile(file, func(string) (*Program, error) {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		return &Program{Build: func(*zap.Logger) (Runner, error) {
			return &reloadRunner{reloaded: make(chan string, 1)}, nil
		}}, nil
	})
	assert.Equal(t, code, 0)
}

// TestSIGTERMDuringStart guards against a daemon that is terminated by a SIGTERM during
// its start without a graceful shutdown.
func TestSIGTERMDuringStart(t *testing.T) {
	code := runFile("unused", func(string) (*Program, error) {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		return &Program{Build: func(*zap.Logger) (Runner, error) { return contextRunner{}, nil }}, nil
	})
	assert.Equal(t, code, 0)
}

// contextRunner runs until its context is done.
type contextRunner struct{}

func (contextRunner) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(settingsPollInterval):
		return context.DeadlineExceeded
	}
}
