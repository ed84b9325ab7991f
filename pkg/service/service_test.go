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

// reloadRunner ends with its first reload.
type reloadRunner struct{ reloaded chan string }

func (r *reloadRunner) Run(ctx context.Context) error {
	select {
	case <-r.reloaded:
		return nil
	case <-time.After(settingsPoll / 2): // before the settings file is looked at
		return context.DeadlineExceeded
	}
}

func (r *reloadRunner) Reload(file string) { r.reloaded <- file }

// TestHangupDuringStart guards against a daemon that a SIGHUP ends while it reads
// its settings (found by the soak: it needs some ms before it serves), and against
// one that forgets the signal.
func TestHangupDuringStart(t *testing.T) {
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

// TestStopDuringStart guards against a daemon that a SIGTERM ends before it can
// drain.
func TestStopDuringStart(t *testing.T) {
	code := runFile("unused", func(string) (*Program, error) {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		return &Program{Build: func(*zap.Logger) (Runner, error) { return stopRunner{}, nil }}, nil
	})
	assert.Equal(t, code, 0)
}

type stopRunner struct{}

func (stopRunner) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(settingsPoll):
		return context.DeadlineExceeded
	}
}
