package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/admission"
	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
	"nutmegstand.example/nutmegstand/pkg/proxy/cost"
)

// trial is open load from several caller sides on targets of different speed. 3% of the
// requests take seven times the usual time.
type trial struct {
	estimates bool // the target sides estimate from the distributions, else from the average
	backlog   bool // the caller sides use the reported outstanding work
	load      float64
	seed      uint64

	mu      sync.Mutex
	sent    int
	inTime  int
	refused int
	took    []time.Duration // of the answered requests
}

const (
	trialDuration  = 10 * time.Second
	trialSlots     = 4
	trialObjective = 500 * time.Millisecond
	trialRun       = 100 * time.Millisecond
	trialMean      = 1.18 // expected run time relative to trialRun
	trialAttempts  = 3
)

var trialSpeeds = []float64{0.6, 0.8, 1, 1, 1.3, 1.6} // run time relative to trialRun

func (r *trial) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(r.seed, 2))
		all, queues, capacity := endpoints(len(trialSpeeds)), map[string]*admission.Queue{}, 0.0
		speeds := map[string]float64{}
		for i, e := range all {
			var costs *cost.Estimator
			if r.estimates {
				costs = cost.NewEstimator()
			}
			queues[e.Target], speeds[e.Target] = admission.NewQueueWithCosts(trialSlots, costs), trialSpeeds[i]
			capacity += trialSlots / (trialSpeeds[i] * trialMean * trialRun.Seconds())
		}
		callers := []*Balancer{New(nil), New(nil), New(nil), New(nil), New(nil), New(nil)}
		for end := time.Now().Add(trialDuration); time.Now().Before(end); r.sent++ {
			work := float64(trialRun) * (0.8 + 0.4*random.Float64())
			if random.Float64() < 0.03 {
				work *= 7
			}
			b := callers[random.IntN(len(callers))]
			go func() {
				started := time.Now()
				answered := r.request(t, b, all, queues, speeds, work)
				r.record(answered, time.Since(started))
			}()
			time.Sleep(time.Duration(random.ExpFloat64() / capacity / r.load * float64(time.Second)))
		}
		time.Sleep(time.Minute)
	})
}

func (r *trial) request(t *testing.T, b *Balancer, all []*Endpoint, queues map[string]*admission.Queue, speeds map[string]float64, work float64) bool {
	attempted := map[string]bool{}
	request := &attempt.Request{Route: "r", Objective: trialObjective, Deadline: time.Now().Add(2500 * time.Millisecond)}
	for range trialAttempts {
		e := b.Choose(request, all, attempted)
		attempted[e.Target] = true
		started, q := time.Now(), queues[e.Target]
		time.Sleep(time.Millisecond) // network
		reason := q.Acquire(t.Context(), request)
		result := &Result{Refused: true, QueueFull: true, Neutral: true, Waited: time.Since(started)}
		if reason == "" {
			ran := time.Duration(work * speeds[e.Target])
			time.Sleep(ran)
			result = &Result{Answered: true, Ran: ran, Waited: result.Waited}
		}
		result.Load = q.Load()
		if reason == "" {
			q.Finish(request, result.Ran)
		}
		if !r.backlog {
			result.Load.Backlog = 0
		}
		time.Sleep(time.Millisecond)
		result.Took = time.Since(started)
		b.Done(e, request, result)
		if reason == "" {
			return true
		}
	}
	return false
}

func (r *trial) record(answered bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !answered {
		r.refused++
		return
	}
	r.took = append(r.took, took)
	if took <= trialObjective {
		r.inTime++
	}
}

func (r *trial) percentile(p float64) time.Duration {
	slices.Sort(r.took)
	return r.took[int(p*float64(len(r.took)-1))]
}

// TestOutstandingWork guards against a choice by outstanding work that answers fewer
// requests in time than one by the count in flight and the average service time.
func TestOutstandingWork(t *testing.T) {
	for _, load := range []float64{0.7, 0.9, 1.3} {
		shares := map[string]float64{}
		for _, mode := range []struct{ estimates, backlog bool }{{false, false}, {true, false}, {true, true}} {
			var all trial
			for seed := range uint64(3) {
				r := trial{estimates: mode.estimates, backlog: mode.backlog, load: load, seed: seed}
				r.run(t)
				all.sent, all.inTime, all.refused, all.took = all.sent+r.sent, all.inTime+r.inTime, all.refused+r.refused, append(all.took, r.took...)
			}
			share := float64(all.inTime) / float64(all.sent)
			shares[fmt.Sprint(mode.estimates, mode.backlog)] = share
			t.Logf("load %.1f, estimates %v, backlog %v: in time %.4f, refused %.4f, 99th percentile %v, 90th %v", load, mode.estimates, mode.backlog,
				share, float64(all.refused)/float64(all.sent), all.percentile(0.99).Round(time.Millisecond), all.percentile(0.9).Round(time.Millisecond))
		}
		assert.Assert(t, shares["true true"] >= 0.98*shares["false false"], "load %.1f: %v", load, shares)
	}
}

// TestLongRunsAreAvoided guards against a call to a target whose slots are taken by long
// runs, against work that a caller side has sent since the report and forgets, and against
// a report that counts after it is old.
func TestLongRunsAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, all := New(nil), endpoints(2)
		call := &attempt.Request{Route: "r", Objective: 10 * time.Second}
		report := func(target string, backlog time.Duration) {
			b.statsFor(target).load = attempt.Load{Busy: 4, Slots: 4, ServiceTime: 100 * time.Millisecond, Backlog: backlog, At: time.Now()}
		}
		report("a", 2*time.Second)
		report("b", 300*time.Millisecond)
		assert.Equal(t, b.Choose(call, all, nil).Target, "b")
		assert.Equal(t, b.statsFor("b").workSinceLoad, attempt.DefaultRunTime)
		b.Done(all[1], call, &Result{Refused: true, Neutral: true})
		assert.Equal(t, b.statsFor("b").workSinceLoad, time.Duration(0))
		time.Sleep(loadMaxAge)
		b.statsFor("b").inFlight = 4 // all slots of b are in use; the report of a is old
		assert.Equal(t, b.Choose(call, all, nil).Target, "a")
	})
}
