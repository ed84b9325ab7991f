package admission

import (
	"context"
	"sync"
	"time"
)

const (
	// isolationWait bounds the wait of a suspect for the other requests of its target to
	// end. It then runs beside them.
	isolationWait = 100 * time.Millisecond
	// isolationTime bounds the time for which a suspect keeps other requests from its
	// target, with isolationWait. Together with isolationInterval, the time between the
	// starts of two isolations, it leaves four fifths of the time to others.
	isolationTime     = 300 * time.Millisecond
	isolationInterval = 1500 * time.Millisecond
	// isolationPoll is the interval at which a suspect checks whether it is alone.
	isolationPoll = 5 * time.Millisecond
)

// Isolate keeps the target from getting further calls, and waits until the calling one,
// which has a slot, is alone or need not be. The target gets calls again after
// isolationTime, or when the returned function is called.
func (q *Queue) Isolate(ctx context.Context, needed func() bool) (end func()) {
	if !q.beginIsolation() {
		return func() {}
	}
	once := sync.OnceFunc(q.endIsolation)
	timer := time.AfterFunc(isolationTime, once)
	for began := time.Now(); time.Since(began) < isolationWait && ctx.Err() == nil && !q.alone(); time.Sleep(isolationPoll) {
		if !needed() {
			once()
			break
		}
	}
	return func() {
		timer.Stop()
		once()
	}
}

// beginIsolation reports whether an isolation is allowed now.
func (q *Queue) beginIsolation() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if now.Before(q.nextIsolation) {
		return false
	}
	q.isolated, q.nextIsolation = true, now.Add(isolationInterval)
	return true
}

func (q *Queue) endIsolation() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.isolated = false
	q.grantLocked()
}

func (q *Queue) alone() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.busy <= 1
}
