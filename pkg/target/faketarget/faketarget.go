// Package faketarget provides an in-memory target for tests and measurements. It
// works in virtual time, records every run, and fails as its script specifies.
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
	ID         int
	CallID     string
	Key        string
	Path       string
	Member     string
	Started    time.Time
	Ended      time.Time // zero if it never ended
	Concurrent int       // other runs in progress when it started
}

// Script specifies the latency and the faults of a target. Nil functions have no
// effect.
type Script struct {
	// Latency returns the duration of a request.
	Latency func(request *target.Request) time.Duration
	// CrashOn reports whether the request crashes the target.
	CrashOn func(request *target.Request) bool
	// TruncateOn reports whether the response is truncated after the request has run.
	TruncateOn func(request *target.Request) bool
	// ResetOn reports whether the connection is reset after the request has run.
	ResetOn func(request *target.Request) bool
	// Restart is the time for which the target is down after a crash. With 0 it
	// accepts connections again immediately; if negative, it stays down.
	Restart time.Duration
}

// Target is the in-memory target. It implements target.Backend and
// target.Connector.
type Target struct {
	script Script

	mu      sync.Mutex
	runs    []*Run
	active  int
	down    bool
	crashes int
	process chan struct{} // closed and replaced at a crash
	probes  int
}

// New returns a target that is up.
func New(script Script) *Target { return &Target{script: script, process: make(chan struct{})} }

// SetTarget implements target.Connector.
func (t *Target) SetTarget(string, int, int) {}

// Accepts implements target.Backend and target.Connector.
func (t *Target) Accepts(context.Context) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probes++
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
	return &exchange{target: t, process: t.process}, nil
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
	close(t.process)
	t.process = make(chan struct{})
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

// Probes returns the number of calls of Accepts.
func (t *Target) Probes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.probes
}

type exchange struct {
	target  *Target
	process chan struct{}
}

// Release implements target.Exchange.
func (e *exchange) Release() {}

// Do implements target.Exchange. The response body contains the ID of the run and
// the path, so that tests detect a response to a different request.
func (e *exchange) Do(ctx context.Context, request *target.Request) (*target.Response, error) {
	t := e.target
	run := t.start(e.process, request)
	if run == nil {
		return nil, &target.IncompleteResponseError{Reset: true, Cause: syscall.ECONNRESET}
	}
	if t.script.CrashOn != nil && t.script.CrashOn(request) {
		defer t.Crash()
	}
	timer := time.NewTimer(t.latency(request))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.process:
		return nil, &target.IncompleteResponseError{Reset: true, Cause: io.EOF}
	case <-ctx.Done():
		t.end(e.process, run)
		return nil, &target.IncompleteResponseError{Cause: ctx.Err()}
	}
	if !t.end(e.process, run) {
		return nil, &target.IncompleteResponseError{Reset: true, Cause: io.EOF}
	}
	if t.script.CrashOn != nil && t.script.CrashOn(request) {
		return nil, &target.IncompleteResponseError{Reset: true, Cause: io.EOF}
	}
	if t.script.ResetOn != nil && t.script.ResetOn(request) {
		return nil, &target.IncompleteResponseError{Reset: true, Cause: io.EOF}
	}
	if t.script.TruncateOn != nil && t.script.TruncateOn(request) {
		return nil, &target.IncompleteResponseError{Cause: errors.New("faketarget: answer cut by script")}
	}
	body := fmt.Sprintf("%d %s", run.ID, request.Head.GetPath())
	return &target.Response{Status: 200, Body: []byte(body)}, nil
}

func (t *Target) latency(request *target.Request) time.Duration {
	if t.script.Latency == nil {
		return 0
	}
	return t.script.Latency(request)
}

func (t *Target) start(process chan struct{}, request *target.Request) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	if process != t.process {
		return nil
	}
	head := request.Head
	run := &Run{
		ID: len(t.runs) + 1, CallID: head.GetCallId(), Key: head.GetKey(), Path: head.GetPath(),
		Member: head.GetMember(), Started: time.Now(), Concurrent: t.active,
	}
	t.runs = append(t.runs, run)
	t.active++
	return run
}

// end records the end of a run and returns true, or returns false if the target
// crashed after the run had started.
func (t *Target) end(process chan struct{}, run *Run) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if process != t.process {
		return false
	}
	t.active--
	run.Ended = time.Now()
	return true
}
