package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// attempt is what is known of one request of a client.
type attempt struct {
	machine string
	order   bool // must not run twice
	runs    []string
	status  int // of the answer, 0 without one
}

// ledger holds every request that clients sent and every run that targets saw.
type ledger struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	broken   []string
	ended    map[string]time.Time // since when a version must get no request
	bad      map[string]bool      // versions whose targets fail
	statuses map[int]int
}

func newLedger() *ledger {
	return &ledger{attempts: make(map[string]*attempt), ended: make(map[string]time.Time), bad: make(map[string]bool), statuses: make(map[int]int)}
}

// breach records a broken promise.
func (l *ledger) breach(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (l *ledger) sent(id, machine string, order bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id] = &attempt{machine: machine, order: order}
}

func (l *ledger) ran(id, target string) {
	l.mu.Lock()
	a := l.attempts[id]
	if a != nil {
		a.runs = append(a.runs, target)
	}
	l.mu.Unlock()
	if a == nil {
		l.breach("unasked: request %q, which no client sent, ran at %s", id, target)
	}
}

func (l *ledger) answered(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id].status = status
	l.statuses[status]++
}

func (l *ledger) markBad(version string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bad[version] = true
}

func (l *ledger) isBad(version string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bad[version]
}

// end says that a version must get no request from now on, or may again.
func (l *ledger) end(version string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.ended, version)
	if on {
		l.ended[version] = time.Now()
	}
}

// checkVersion checks that a request may reach a target of a version. The end of a
// version is noted here a little after it was reported.
func (l *ledger) checkVersion(id, version string) {
	l.mu.Lock()
	at, ended := l.ended[version]
	l.mu.Unlock()
	if ended {
		l.breach("version: request %s reached %s %s after its end was reported", id, version, time.Since(at))
	}
}

// promisesNotRun reports whether a status says that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// close checks all requests once nothing is under way.
func (l *ledger) close() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := l.broken
	for id, a := range l.attempts {
		if a.order && len(a.runs) > 1 {
			broken = append(broken, fmt.Sprintf("twice: order %s of %s ran at %v", id, a.machine, a.runs))
		}
		if a.order && len(a.runs) > 0 && promisesNotRun(a.status) {
			broken = append(broken, fmt.Sprintf("refused: order %s of %s ran at %v and was answered %d", id, a.machine, a.runs, a.status))
		}
	}
	return broken
}
