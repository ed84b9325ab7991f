// Package faketarget is a target in memory for tests and measurements. It
// works in virtual time, records every run, and fails as scripted.
package faketarget

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"nutmegstand.example/nutmegstand/pkg/target"
)

// Run is one execution of a request.
type Run struct {
	ID      int
	CallID  string
	Key     string
	Path    string
	Member  string
	Started time.Time
	Ended   time.Time // zero if it never ended
	Beside  int       // other runs in progress when it started
}

// Script decides what happens to requests. Nil functions do nothing.
type Script struct {
	// Latency is the time that a request takes.
	Latency func(request *target.Request) time.Duration
	// Kills reports whether the request crashes the target.
	Kills func(request *target.Request) bool
	// Cuts reports whether the answer is cut after the work is done.
	Cuts func(request *target.Request) bool
	// Resets reports whether the connection is reset after the work is done.
	Resets func(request *target.Request) bool
	// Restart is the time that the target is down after a crash. With 0 it is
	// up again before anybody can look; with a negative time it stays down.
	Restart time.Duration
}

// Target is the fake. It implements target.Backend and target.Connector.
type Target struct {
	script Script

	mu      sync.Mutex
	runs    []*Run
	active  int
	down    bool
	crashes int
	life    chan struct{} // closed at a crash
	dials   int
}

// New returns a target that is up.
func New(script Script) *Target { return &Target{script: script, life: make(chan struct{})} }

// SetTarget implements target.Connector.
func (t *Target) SetTarget(string, int, int) {}

// Accepts implements target.Backend and target.Connector.
func (t *Target) Accepts(context.Context) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dials++
	return !t.down
}

// Open implements target.Backend.
func (t *Target) Open(ctx context.Context) (target.Exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, &target.DownError{Cause: syscall.ECONNREFUSED}
	}
	return &exchange{target: t, life: t.life}, nil
}

// Crash ends all runs in progress.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crash()
}

func (t *Target) crash() {
	if t.down {
		return
	}
	t.crashes++
	t.down = t.script.Restart != 0
	close(t.life)
	t.life = make(chan struct{})
	t.active = 0
	if t.script.Restart > 0 {
		time.AfterFunc(t.script.Restart, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.down = false
		})
	}
}

// Runs returns a copy of the runs so far.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make([]Run, len(t.runs))
	for i, run := range t.runs {
		runs[i] = *run
	}
	return runs
}

// Crashes returns the number of crashes so far.
func (t *Target) Crashes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}

// Probes returns how often the target was asked whether it accepts connections.
func (t *Target) Probes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dials
}

type exchange struct {
	target *Target
	life   chan struct{}
}

// Release implements target.Exchange.
func (e *exchange) Release() {}

// Do implements target.Exchange. The answer's body names the run and the path,
// so that a wrong answer is found.
func (e *exchange) Do(ctx context.Context, request *target.Request) (*target.Answer, error) {
	t := e.target
	run := t.start(e.life, request)
	if run == nil {
		return nil, &target.CutError{Reset: true, Cause: syscall.ECONNRESET}
	}
	if t.script.Kills != nil && t.script.Kills(request) {
		defer t.Crash()
	}
	timer := time.NewTimer(t.latency(request))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.life:
		return nil, &target.CutError{Reset: true, Cause: io.EOF}
	case <-ctx.Done():
		t.end(e.life, run)
		return nil, &target.CutError{Cause: ctx.Err()}
	}
	if !t.end(e.life, run) {
		return nil, &target.CutError{Reset: true, Cause: io.EOF}
	}
	if t.script.Kills != nil && t.script.Kills(request) {
		return nil, &target.CutError{Reset: true, Cause: io.EOF}
	}
	if t.script.Resets != nil && t.script.Resets(request) {
		return nil, &target.CutError{Reset: true, Cause: io.EOF}
	}
	if t.script.Cuts != nil && t.script.Cuts(request) {
		return nil, &target.CutError{Cause: errors.New("faketarget: answer cut by script")}
	}
	body := fmt.Sprintf("%d %s", run.ID, request.Head.GetPath())
	return &target.Answer{Status: 200, Body: []byte(body)}, nil
}

func (t *Target) latency(request *target.Request) time.Duration {
	if t.script.Latency == nil {
		return 0
	}
	return t.script.Latency(request)
}

func (t *Target) start(life chan struct{}, request *target.Request) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	if life != t.life {
		return nil
	}
	head := request.Head
	run := &Run{
		ID: len(t.runs) + 1, CallID: head.GetCallId(), Key: head.GetKey(), Path: head.GetPath(),
		Member: head.GetMember(), Started: time.Now(), Beside: t.active,
	}
	t.runs = append(t.runs, run)
	t.active++
	return run
}

// end reports whether the run ended in the life in which it began.
func (t *Target) end(life chan struct{}, run *Run) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if life != t.life {
		return false
	}
	t.active--
	run.Ended = time.Now()
	return true
}
