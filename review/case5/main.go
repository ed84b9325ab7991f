//go:build review

// Command case5 sends a request that crashes each upstream that begins to run it again
// and again, and counts how often it still reaches upstreams after its third crash.
package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/review/harness"
)

const (
	service       = "orderdesk"
	machines      = 10
	workTime      = 100 * time.Millisecond
	settleTime    = 5 * time.Second
	playTime      = 30 * time.Second
	sendInterval  = 50 * time.Millisecond
	poisonPause   = time.Second     // between two sendings of the request that crashes upstreams
	restartDelay  = 3 * time.Second // the upstream is back after some seconds
	stableWindow  = 3 * time.Second // stable_window_ms
	crashes       = 3               // crashes that the rule allows before the count starts
	maxRetries    = 3               // retries that the rule allows after that
	requestBudget = 1500 * time.Millisecond
	poisonPath    = "/lohu930/poison"
)

// poison is the body of the request that crashes upstreams.
var poison = []byte(`{"species":"discus","boxes":"\u0000"}`)

type judge struct {
	mu        sync.Mutex
	crashed   int
	thirdAt   time.Time
	late      map[string]bool // attempts that reached an upstream later than allowed
	lateRuns  int
	poisonSum string
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
	sum := sha256.Sum256(poison)
	j := &judge{late: make(map[string]bool), poisonSum: hex.EncodeToString(sum[:])}
	for _, m := range c.Machines {
		m.Upstream.SetWork(func(*http.Request) time.Duration { return workTime })
		m.Upstream.SetBegin(j.begin(record))
	}
	time.Sleep(settleTime)
	// LENGTH=1 sends the same body with a length in place of chunks.
	chunked := os.Getenv("LENGTH") != "1"
	var sending sync.WaitGroup
	nextPoison := time.Now()
	for end := time.Now().Add(playTime); time.Now().Before(end); time.Sleep(sendInterval) {
		m := c.Machines[rand.IntN(len(c.Machines))]
		q := harness.Request{ID: harness.NewID(), Method: http.MethodPost, Path: "/lohu930/2f", Budget: requestBudget}
		if time.Now().After(nextPoison) {
			q.Path, q.Body, q.Chunked = poisonPath, poison, chunked
			nextPoison = time.Now().Add(poisonPause)
		} else {
			q.Body, q.Chunked = []byte(fmt.Sprintf(`{"query":%d}`, rand.Uint32())), chunked
		}
		sending.Go(func() { m.Send(q) })
	}
	sending.Wait()
	j.mu.Lock()
	defer j.mu.Unlock()
	record.Add("%d crashes; later than %s after the third crash %d attempts of the request reached upstreams, in %d runs", j.crashed, stableWindow, len(j.late), j.lateRuns)
	return len(j.late) <= maxRetries, nil
}

// begin crashes the upstream if it begins to run the poison request.
func (j *judge) begin(record *harness.Record) func(*harness.Upstream, harness.Run) bool {
	return func(u *harness.Upstream, run harness.Run) bool {
		if run.Path != poisonPath || run.Sum != j.poisonSum {
			return true
		}
		j.mu.Lock()
		defer j.mu.Unlock()
		if !j.thirdAt.IsZero() && time.Since(j.thirdAt) > stableWindow {
			j.late[run.ID] = true
			j.lateRuns++
			record.Add("BUDGET: %s reaches %s %.1f s after the third crash", run.ID, run.Instance, time.Since(j.thirdAt).Seconds())
		}
		if !harness.Trouble() {
			return true
		}
		j.crashed++
		if j.crashed == crashes {
			j.thirdAt = time.Now()
		}
		record.Add("%s crashes at %s, crash %d", run.Instance, run.ID, j.crashed)
		go u.Crash()
		time.AfterFunc(restartDelay, func() {
			if err := u.Machine().StartUpstream(); err != nil {
				record.Add("upstream of %s does not start: %v", u.Machine().Name, err)
			}
		})
		return false
	}
}
