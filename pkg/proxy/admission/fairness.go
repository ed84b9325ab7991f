package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// serviceHalfLife is the time after which the service that a workspace has received
	// counts half. It is long compared with the waits of requests.
	serviceHalfLife = 5 * time.Second
	// maxShares bounds the number of workspaces whose service is remembered. Those with
	// the least are forgotten first; they go first in any case.
	maxShares = 1024
)

// shares holds the recent service that each workspace has received at a target, in
// nanoseconds of run time. The requests without a workspace count as one.
type shares struct {
	service map[string]float64
	agedAt  time.Time
}

// add adds service to a workspace, and removes it if it is negative.
func (s *shares) add(workspace string, service time.Duration, now time.Time) {
	if s.service == nil {
		s.service, s.agedAt = make(map[string]float64), now
	}
	s.age(now)
	s.service[workspace] = max(0, s.service[workspace]+float64(service))
	if len(s.service) > maxShares {
		s.forget()
	}
}

// age lowers the service of all workspaces, at most ten times per half-life.
func (s *shares) age(now time.Time) {
	passed := now.Sub(s.agedAt)
	if passed < serviceHalfLife/10 {
		return
	}
	factor := math.Exp2(-float64(passed) / float64(serviceHalfLife))
	s.agedAt = now
	for workspace, service := range s.service {
		if service *= factor; service < float64(time.Millisecond) {
			delete(s.service, workspace)
			continue
		}
		s.service[workspace] = service
	}
}

// forget removes the half of the workspaces that has received less service.
func (s *shares) forget() {
	all := make([]float64, 0, len(s.service))
	for _, service := range s.service {
		all = append(all, service)
	}
	slices.Sort(all)
	median := all[len(all)/2]
	for workspace, service := range s.service {
		if service <= median {
			delete(s.service, workspace)
		}
	}
}

// arrange sorts the waiting calls. Among those of the same kind, priority and lateness,
// the workspace that has received less service goes first. A call counts with its expected
// run time for the calls of its workspace behind it.
func (q *Queue) arrange(now time.Time) {
	slices.SortStableFunc(q.waiting, byDeadline)
	if !q.severalWorkspaces() {
		return
	}
	promised := make(map[string]float64)
	for i, w := range q.waiting {
		if i > 0 && !w.sameGroup(q.waiting[i-1]) {
			clear(promised)
		}
		workspace := w.request.Workspace
		w.turn = q.shares.service[workspace] + promised[workspace]
		promised[workspace] += float64(q.restOf(w.class, 0, now))
	}
	slices.SortStableFunc(q.waiting, byTurn)
}

// severalWorkspaces reports whether calls of several workspaces wait.
func (q *Queue) severalWorkspaces() bool {
	for _, w := range q.waiting {
		if w.request.Workspace != q.waiting[0].request.Workspace {
			return true
		}
	}
	return false
}

func byDeadline(a, b *waiter) int {
	switch {
	case a.before(b):
		return -1
	case b.before(a):
		return 1
	}
	return 0
}

func byTurn(a, b *waiter) int {
	if !a.sameGroup(b) {
		return byDeadline(a, b)
	}
	return cmp.Compare(a.turn, b.turn)
}
