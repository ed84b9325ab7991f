package scenario

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

// process is one child process with its log file.
type process struct {
	name string
	log  string
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

// starter starts every process on one thread that lives as long as the test
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

// start appends the output to the log of the name, so that a restart keeps it.
func (f *fleet) start(name, program string, args ...string) (*process, error) {
	file := filepath.Join(f.logDir, name+".log")
	log, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.binDir, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	starter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, log: file, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, p)
	return p, nil
}

// signal sends a signal to a process that runs.
func (p *process) signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// kill ends the process without notice, also while it is paused.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

// stop ends the process by SIGTERM and returns its error.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
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

// killAll ends every process that still runs and waits for it.
func (f *fleet) killAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.all {
		_ = p.signal(syscall.SIGKILL)
	}
	for _, p := range f.all {
		<-p.done
	}
}
