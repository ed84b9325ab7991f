// Package cost estimates how long requests run in a target, from the runs that the daemon
// has seen. It keeps a distribution for each class of requests that look alike.
package cost

import (
	"container/list"
	"math/bits"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
)

const (
	// maxClasses bounds the memory of an estimator, to about 0.7 KB a class. The class
	// that was not observed for the longest time is dropped.
	maxClasses = 512
	// minRuns is the number of recent runs from which a class is used. With fewer, one
	// expensive run would decide its mean.
	minRuns = 30
	// maxMethod is the length up to which methods are distinguished. Clients choose them.
	maxMethod = 16
	// unknownSize is the size class of a body whose length is unknown.
	unknownSize = 65
)

// Class is what separates cheap from expensive requests.
type Class struct {
	Route  string
	Method string
	Size   uint8  // number of bits of the length of the body, unknownSize if it is unknown
	Caller string // calling service
}

// ClassOf returns the class of a request.
func ClassOf(request *attempt.Request) Class {
	size := uint8(unknownSize)
	if request.BodyBytes >= 0 {
		size = uint8(bits.Len64(uint64(request.BodyBytes)))
	}
	return Class{Route: request.Route, Method: request.Method[:min(len(request.Method), maxMethod)], Size: size, Caller: request.Caller}
}

// entry is a class or a route with its runs. A route has no method.
type entry struct {
	class        Class
	distribution distribution
}

// Estimator learns the distributions. It is safe for concurrent use. A nil *Estimator
// learns nothing and knows no class.
type Estimator struct {
	mu      sync.Mutex
	entries map[Class]*list.Element // of recent
	recent  *list.List              // of *entry, the last observed one first
}

// NewEstimator returns an estimator without runs.
func NewEstimator() *Estimator {
	return &Estimator{entries: make(map[Class]*list.Element), recent: list.New()}
}

// Observe records that a request of a class ran for the given time.
func (e *Estimator) Observe(class Class, ran time.Duration, now time.Time) {
	if e == nil || ran <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entry(class).observe(ran, now)
	if route := (Class{Route: class.Route}); route != class {
		e.entry(route).observe(ran, now)
	}
}

// entry returns the distribution of a class, which becomes the last observed one.
func (e *Estimator) entry(class Class) *distribution {
	element := e.entries[class]
	if element != nil {
		e.recent.MoveToFront(element)
		return &element.Value.(*entry).distribution
	}
	if len(e.entries) >= maxClasses {
		oldest := e.recent.Back()
		delete(e.entries, oldest.Value.(*entry).class)
		e.recent.Remove(oldest)
	}
	added := &entry{class: class}
	e.entries[class] = e.recent.PushFront(added)
	return &added.distribution
}

// Rest returns the expected rest of a run that has taken the given time, and of a whole
// run if that is 0. It returns false if too few runs of the class and of its route are
// known.
func (e *Estimator) Rest(class Class, elapsed time.Duration, now time.Time) (time.Duration, bool) {
	if e == nil {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if d := e.known(class, now); d != nil {
		return d.rest(elapsed, now), true
	}
	return 0, false
}

// RestQuantiles returns rests of a run that has taken the given time, which are equally
// likely. It returns false in the same cases as Rest.
func (e *Estimator) RestQuantiles(class Class, elapsed time.Duration, now time.Time) ([Quantiles]time.Duration, bool) {
	if e == nil {
		return [Quantiles]time.Duration{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if d := e.known(class, now); d != nil {
		return d.restQuantiles(elapsed, now), true
	}
	return [Quantiles]time.Duration{}, false
}

// known returns the distribution of a class, or of its route if few runs of the class are
// known, or nil if the same holds for the route.
func (e *Estimator) known(class Class, now time.Time) *distribution {
	for _, key := range [...]Class{class, {Route: class.Route}} {
		element := e.entries[key]
		if element == nil {
			continue
		}
		if d := &element.Value.(*entry).distribution; d.runs(now) >= minRuns {
			return d
		}
	}
	return nil
}
