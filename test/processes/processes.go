// Package processes starts the programs of this project as child processes for
// the demo and the scenarios, and makes sure that none is left behind.
package processes

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// stopTimeout bounds the wait for a process to end after SIGTERM. It is longer
// than the drain timeout of the daemons.
const stopTimeout = 20 * time.Second

// Process is one child process with its log file.
type Process struct {
	Log  string // file of the output
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Fleet starts processes and keeps track of them.
type Fleet struct {
	BinDir string
	LogDir string
	mu     sync.Mutex
	all    []*Process
}

// starter starts every process on one thread that lives as long as this
// process: the signal at the parent's death is sent when the thread that
// started the child ends.
var starter = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// Start appends the output to the log of the name, so that a restart keeps it.
func (f *Fleet) Start(name, program string, args ...string) (*Process, error) {
	file := filepath.Join(f.LogDir, name+".log")
	log, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.BinDir, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	starter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, Log: file, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, p)
	return p, nil
}

// PID returns the process number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Err returns the error of a process that has ended.
func (p *Process) Err() error {
	<-p.done
	return p.err
}

// Signal sends a signal to a process that runs.
func (p *Process) Signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill ends the process without notice, also while it is paused.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop ends the process by SIGTERM and returns its error.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%s did not end within %s", p.Name, stopTimeout)
	}
}

// Running reports whether the process has not ended; a nil process has not run.
func (p *Process) Running() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// KillAll ends every process that still runs and waits for it.
func (f *Fleet) KillAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.all {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range f.all {
		<-p.done
	}
}

// StopAll ends every process that still runs by SIGTERM, all at the same time.
func (f *Fleet) StopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range f.all {
		wg.Go(func() {
			if p.Running() {
				_ = p.Stop()
			}
		})
	}
	wg.Wait()
}

// Left returns the names of processes that still run.
func (f *Fleet) Left() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, p := range f.all {
		if p.Running() {
			names = append(names, p.Name)
		}
	}
	return names
}
