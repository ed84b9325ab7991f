//go:build review

// Command case4 kills all daemons of a small deployment just after one of them has
// confirmed that an upstream leaves, and counts the requests that reach this upstream
// later than the drain time allows.
package main

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"nutmegstand.example/nutmegstand/review/harness"
)

const (
	service       = "orderdesk"
	machines      = 10
	workTime      = 100 * time.Millisecond
	settleTime    = 6 * time.Second
	sendInterval  = 20 * time.Millisecond
	killDelay     = 200 * time.Millisecond // from the confirmation to the kill
	downTime      = 1200 * time.Millisecond
	pingDelay     = 3 * time.Second // by which the last ping arrives late
	stayTime      = 9 * time.Second // from the confirmation until the upstream exits
	stableWindow  = 3 * time.Second // stable_window_ms
	requestBudget = 1500 * time.Millisecond
)

type judge struct {
	mu      sync.Mutex
	leaving string    // upstream that leaves
	from    time.Time // later arrivals break the rule
	late    int
}

func main() { harness.Main(run) }

func run(record *harness.Record) (bool, error) {
	services := make([]string, machines)
	for i := range services {
		services[i] = service
	}
	c, err := harness.NewCluster(record, services...)
	if err != nil {
		return false, err
	}
	defer c.Close()
	c.PutConfig(7, harness.Route{
		Name: "stock-look", Prefix: "/lohu930/", Kind: "idempotent", Service: service,
		TimeoutMS: 1500, TargetLatencyMS: 600, Priority: 2, MaxAttempts: 2,
	})
	if err := c.StartAll(); err != nil {
		return false, err
	}
	j := &judge{}
	for _, m := range c.Machines {
		m.Upstream.SetWork(func(*http.Request) time.Duration { return workTime })
		m.Upstream.SetBegin(j.begin(record))
	}
	time.Sleep(settleTime)
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() { send(c, stop, &sending) })
	defer sending.Wait()
	defer close(stop)
	time.Sleep(time.Second)

	u := c.Machines[0].Upstream
	// The network delays the last ping of the upstream, which it sends before the
	// DELETE.
	late := time.After(pingDelay)
	u.StopPings()
	if !u.Leave() {
		return false, errors.New("the DELETE was not confirmed")
	}
	confirmed := time.Now()
	inTouch := confirmed.Add(harness.DrainPeriod)
	if harness.Trouble() {
		time.Sleep(killDelay)
		started, err := restartAll(c)
		if err != nil {
			return false, err
		}
		inTouch = started.Add(stableWindow)
	}
	j.mu.Lock()
	j.leaving, j.from = u.ID, inTouch
	j.mu.Unlock()
	<-late
	record.Add("the delayed ping arrives")
	u.Ping("ready")
	time.Sleep(time.Until(confirmed.Add(stayTime)))
	u.Crash()
	j.mu.Lock()
	defer j.mu.Unlock()
	record.Add("%d requests of machines in touch reached %s later than %s after its DELETE was confirmed", j.late, u.ID, harness.DrainPeriod)
	return j.late == 0, nil
}

// restartAll kills all daemons at once and starts them again. It returns when the last
// of them was ready.
func restartAll(c *harness.Cluster) (time.Time, error) {
	for _, m := range c.Machines {
		if err := m.Signal(syscall.SIGKILL); err != nil {
			return time.Time{}, err
		}
	}
	for _, m := range c.Machines {
		if !m.AwaitExit(time.Second) {
			return time.Time{}, errors.New("a daemon does not end")
		}
	}
	time.Sleep(downTime)
	for _, m := range c.Machines {
		if err := m.Start(); err != nil {
			return time.Time{}, err
		}
	}
	return time.Now(), nil
}

// send sends requests to random machines until stop is closed.
func send(c *harness.Cluster, stop chan struct{}, sending *sync.WaitGroup) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(sendInterval):
		}
		m := c.Machines[rand.IntN(len(c.Machines))]
		q := harness.Request{ID: harness.NewID(), Method: http.MethodGet, Path: "/lohu930/2f", Budget: requestBudget}
		sending.Go(func() { m.Send(q) })
	}
}

func (j *judge) begin(record *harness.Record) func(*harness.Upstream, harness.Run) bool {
	return func(u *harness.Upstream, run harness.Run) bool {
		j.mu.Lock()
		defer j.mu.Unlock()
		// Requests that were sent before the machines were in touch may still arrive
		// within their time budget.
		if u.ID == j.leaving && time.Since(j.from) > requestBudget {
			j.late++
			record.Add("DRAIN: %s reaches %s", run.ID, u.ID)
		}
		return true
	}
}
