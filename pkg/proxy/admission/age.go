package admission

import (
	"sync"
	"time"
)

const (
	// patienceRetention is the time for which the longest remaining time on a route is
	// remembered after it was stated, at least.
	patienceRetention = 30 * time.Second
	// maxPatience is the longest remaining time that is taken into account.
	maxPatience = 5 * time.Minute
	// maxAgeShare is the largest age, as a share of the longest remaining time, that is
	// believed. A request that seems older comes from a caller with less patience.
	maxAgeShare = 0.5
	// maxAgeRoutes bounds the number of routes that are remembered.
	maxAgeRoutes = 4096
	// minAge is the age from which a request counts as one that returns. Shorter ages
	// are network time.
	minAge = 20 * time.Millisecond
)

// AgeEstimator estimates how long ago callers first sent their requests. A caller
// states only how much longer it waits. The longest such time that was stated lately
// on the same route is taken as the time with which callers start. A caller that
// starts with somewhat less time is taken for one that returns.
type AgeEstimator struct {
	mu     sync.Mutex
	routes map[string]*patience
}

// patience is the longest remaining time stated on a route, in the current and in the
// previous period of patienceRetention.
type patience struct {
	current, previous time.Duration
	since             time.Time
}

// Age returns the estimated age of a request of a route with the given remaining time.
func (e *AgeEstimator) Age(route string, left time.Duration, now time.Time) time.Duration {
	if left <= 0 || left > maxPatience {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.routes == nil || len(e.routes) >= maxAgeRoutes {
		e.routes = make(map[string]*patience)
	}
	p := e.routes[route]
	if p == nil {
		p = &patience{since: now}
		e.routes[route] = p
	}
	return p.age(left, now)
}

// Peek returns what Age would return, and records nothing.
func (e *AgeEstimator) Peek(route string, left time.Duration, now time.Time) time.Duration {
	if left <= 0 || left > maxPatience {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.routes[route]
	if p == nil {
		return 0
	}
	duplicate := *p
	return duplicate.age(left, now)
}

// age adds a remaining time and returns the age of its request.
func (p *patience) age(left time.Duration, now time.Time) time.Duration {
	if passed := now.Sub(p.since); passed > patienceRetention {
		p.previous, p.current, p.since = p.current, 0, now
		if passed > 2*patienceRetention {
			p.previous = 0
		}
	}
	p.current = max(p.current, left)
	longest := max(p.current, p.previous)
	if age := longest - left; age >= minAge && float64(age) <= maxAgeShare*float64(longest) {
		return age
	}
	return 0
}
