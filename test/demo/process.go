package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopTimeout bounds the wait for a process to end after SIGTERM.
const stopTimeout = 20 * time.Second

// process is one child process of the demo with its log file.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// fleet starts processes and makes sure that none is left behind.
type fleet struct {
	binDir string
	logDir string
	mu     sync.Mutex
	all    []*process
}

func (f *fleet) start(name, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(f.logDir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.binDir, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	// A killed demo must not leave its children behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, p)
	return p, nil
}

// kill ends the process without notice.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// stop ends the process by SIGTERM and returns its error.
func (p *process) stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		p.kill()
		return fmt.Errorf("%s did not end within %s", p.name, stopTimeout)
	}
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// stopAll ends every process that still runs, all at the same time.
func (f *fleet) stopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range f.all {
		wg.Go(func() {
			if p.running() {
				_ = p.stop()
			}
		})
	}
	wg.Wait()
}

// left returns the names of processes that still run.
func (f *fleet) left() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, p := range f.all {
		if p.running() {
			names = append(names, p.name)
		}
	}
	return names
}

// eventually polls condition until it holds or ctx ends.
func eventually(ctx context.Context, interval time.Duration, condition func() bool) bool {
	for {
		if condition() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(interval):
		}
	}
}
