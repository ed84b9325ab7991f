package soak

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// request records one client request and its outcome.
type request struct {
	machine    string
	order      bool // non-idempotent: must not be executed twice
	digest     [sha256.Size]byte
	executions []string // IDs of the targets
	status     int      // of the response, 0 if there was none
}

// history records every request that clients sent and every execution at a target.
type history struct {
	evacuations
	mu           sync.Mutex
	requests     map[string]*request
	violations   []string
	retiredAt    map[string]time.Time // from when on a version must receive no requests
	faulty       map[string]bool      // versions whose targets return errors
	statusCounts map[int]int
}

func newHistory() *history {
	return &history{requests: make(map[string]*request), retiredAt: make(map[string]time.Time), faulty: make(map[string]bool), statusCounts: make(map[int]int)}
}

// addViolation records a violated guarantee.
func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (h *history) addRequest(id, machine string, order bool, digest [sha256.Size]byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[id] = &request{machine: machine, order: order, digest: digest}
}

// addExecution records a request that a target runs, and checks its body.
func (h *history) addExecution(id, target string, body []byte) {
	digest := sha256.Sum256(body)
	h.mu.Lock()
	r := h.requests[id]
	if r != nil {
		r.executions = append(r.executions, target)
	}
	h.mu.Unlock()
	if r != nil && r.digest != digest {
		h.addViolation("changed body: request %s was executed by %s with %d bytes that its client did not send", id, target, len(body))
	}
	if r == nil {
		h.addViolation("unknown request: %q, which no client sent, was executed by %s", id, target)
	}
}

func (h *history) addResponse(id string, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[id].status = status
	h.statusCounts[status]++
}

func (h *history) markFaulty(version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faulty[version] = true
}

func (h *history) isFaulty(version string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faulty[version]
}

// setRetired sets whether a version must receive no requests from now on.
func (h *history) setRetired(version string, retired bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.retiredAt, version)
	if retired {
		h.retiredAt[version] = time.Now()
	}
}

// checkVersion checks that the version of the target that received a request is not
// retired. The retirement is recorded shortly after the system reports the end of
// the move.
func (h *history) checkVersion(id, version string) {
	h.mu.Lock()
	retiredAt, retired := h.retiredAt[version]
	h.mu.Unlock()
	if retired {
		h.addViolation("retired version: request %s reached %s %s after the retirement was recorded", id, version, time.Since(retiredAt))
	}
}

// guaranteesNotExecuted reports whether a response status guarantees that the
// request was not executed.
func guaranteesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// check checks the recorded requests after all of them have ended, and returns all
// violations.
func (h *history) check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations := h.violations
	for id, r := range h.requests {
		if r.order && len(r.executions) > 1 {
			violations = append(violations, fmt.Sprintf("duplicate execution: order %s of %s was executed by %v", id, r.machine, r.executions))
		}
		if r.order && len(r.executions) > 0 && guaranteesNotExecuted(r.status) {
			violations = append(violations, fmt.Sprintf("false refusal: order %s of %s was executed by %v but got status %d", id, r.machine, r.executions, r.status))
		}
	}
	return violations
}
