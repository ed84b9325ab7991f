//go:build review

// Command case2 sends long requests in chunks to a small deployment in which some
// upstreams reject long requests before they are in, and compares the bodies that the
// upstreams run with those that the clients sent.
package main

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"nutmegstand.example/nutmegstand/review/harness"
)

const (
	service       = "orderdesk"
	machines      = 10
	earlyMachines = 5    // garble: share 0.5, its default
	earlyShare    = 0.05 // garble: x 0.05 at most
	troubleTime   = 5 * time.Second
	troubles      = 4 // times that the disruption comes
	troublePause  = 3 * time.Second
	workTime      = 100 * time.Millisecond
	bodyBytes     = 120_000
	pauseAt       = 60_000 // bytes that a client sends before it pauses
	pause         = 150 * time.Millisecond
	sendInterval  = 10 * time.Millisecond
	settleTime    = 5 * time.Second
	requestBudget = 2 * time.Second
)

// ledger compares what was run with what was sent.
type ledger struct {
	mu   sync.Mutex
	sent map[string]string // SHA-256 of the body by id
	bad  int
	runs int
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
		Name: "place-order", Prefix: "/pufi791/", Kind: "non_idempotent", Service: service,
		TimeoutMS: 1200, TargetLatencyMS: 800, Priority: 1, MaxAttempts: 2,
	})
	if err := c.StartAll(); err != nil {
		return false, err
	}
	l := &ledger{sent: make(map[string]string)}
	var early atomic.Bool
	for i, m := range c.Machines {
		m.Upstream.SetWork(func(*http.Request) time.Duration { return workTime })
		m.Upstream.SetBegin(l.check(record))
		if i < earlyMachines {
			m.Upstream.SetEarly(func(*http.Request) bool { return early.Load() && rand.Float64() < earlyShare })
		}
	}
	time.Sleep(settleTime)
	var sending sync.WaitGroup
	send := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(sendInterval) {
			m := c.Machines[rand.IntN(len(c.Machines))]
			sending.Go(func() { m.Send(l.request()) })
		}
	}
	for range troubles {
		send(troublePause)
		if harness.Trouble() {
			record.Add("%d of %d upstreams reject %g of the long requests before they are in", earlyMachines, machines, earlyShare)
			early.Store(true)
		}
		send(troubleTime)
		early.Store(false)
	}
	sending.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	record.Add("%d requests sent, %d runs, %d runs with a changed body", len(l.sent), l.runs, l.bad)
	return l.bad == 0, nil
}

func (l *ledger) request() harness.Request {
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	sum := sha256.Sum256(body)
	q := harness.Request{ID: harness.NewID(), Method: http.MethodPost, Path: "/pufi791/2f", Body: body, Chunked: true, Budget: requestBudget, PauseAt: pauseAt, Pause: pause}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[q.ID] = hex.EncodeToString(sum[:])
	return q
}

func (l *ledger) check(record *harness.Record) func(*harness.Upstream, harness.Run) bool {
	return func(_ *harness.Upstream, run harness.Run) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.runs++
		if sum := l.sent[run.ID]; sum != run.Sum {
			l.bad++
			record.Add("UNASKED: %s runs %s with a body of %d bytes, the client sent %d bytes with SHA-256 %s", run.Instance, run.ID, run.Length, bodyBytes, sum[:min(16, len(sum))])
		}
		return true
	}
}
