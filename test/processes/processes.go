// Package processes runs the programs of this project as child processes of tests
// and of the demo, and ensures that no child outlives its parent.
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

// stopTimeout limits the wait for a process to exit after SIGTERM. It is longer
// than the drain timeout of the daemons.
const stopTimeout = 20 * time.Second

// Process is a child process with its log file.
type Process struct {
	Log  string // path of the log file with the output
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Group starts child processes and keeps track of them.
type Group struct {
	BinDir   string
	LogDir   string
	mu       sync.Mutex
	children []*Process
}

// startQueue returns a queue of functions that run on one OS thread, which exists
// until this process exits. All children are started there, since Linux sends the
// parent-death signal (Pdeathsig) when the thread that started the child exits, not
// when the whole parent process does.
var startQueue = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// Start starts a program and appends its output to the log file of the given name, so
// that the output of earlier starts is kept.
func (g *Group) Start(name, program string, args ...string) (*Process, error) {
	file := filepath.Join(g.LogDir, name+".log")
	log, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(g.BinDir, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	startQueue() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, Log: file, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.children = append(g.children, p)
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Err waits until the process has exited and returns its exit error.
func (p *Process) Err() error {
	<-p.done
	return p.err
}

// Signal sends a signal to the process; it does nothing if the process has exited.
func (p *Process) Signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill kills the process with SIGKILL, which also works on a stopped (paused) process,
// and waits until it has exited.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop terminates the process with SIGTERM and returns its exit error. A process that
// has not exited after stopTimeout is killed.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%s did not exit within %s after SIGTERM", p.Name, stopTimeout)
	}
}

// Running reports whether the process is running. A nil process is not running.
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

// KillAll kills all processes that are still running and waits until they have exited.
func (g *Group) KillAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.children {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range g.children {
		<-p.done
	}
}

// StopAll calls Stop concurrently on all processes that are still running.
func (g *Group) StopAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range g.children {
		wg.Go(func() {
			if p.Running() {
				_ = p.Stop()
			}
		})
	}
	wg.Wait()
}

// StillRunning returns the names of the processes that are still running.
func (g *Group) StillRunning() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	for _, p := range g.children {
		if p.Running() {
			names = append(names, p.Name)
		}
	}
	return names
}
