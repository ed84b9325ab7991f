//go:build review

// Command case5 crashes two upstreams of a small deployment while they run requests for
// the same page, and compares afterwards how often this page and others are served.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/review/harness"
)

const (
	service       = "orderdesk"
	machines      = 15
	crashed       = 2 // srv_crash: share 0.14 at most
	crashTime     = 4500 * time.Millisecond
	workTime      = 220 * time.Millisecond
	settleTime    = 5 * time.Second
	warmupTime    = 5 * time.Second
	calmTime      = 6 * time.Second // from the return of the upstreams to the steady state
	judgedTime    = 15 * time.Second
	pageInterval  = 7 * time.Millisecond
	otherInterval = 25 * time.Millisecond
	minRequests   = 20
	minShare      = 0.25 // of the share that is served on the first routes
	requestBudget = 1500 * time.Millisecond
)

// tally counts the requests of one route.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) add(r harness.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if r.Status == http.StatusOK && r.Err == nil {
		t.served++
	}
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

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
	first := harness.Route{
		Name: "stock-look", Prefix: "/lohu930/", Kind: "idempotent", Service: service,
		TimeoutMS: 1500, TargetLatencyMS: 600, Priority: 2, MaxAttempts: 2,
	}
	added := first
	added.Name, added.Prefix = "season-list", "/neva442/"
	c.PutConfig(7, first)
	if err := c.StartAll(); err != nil {
		return false, err
	}
	for _, m := range c.Machines {
		m.Upstream.SetWork(func(*http.Request) time.Duration { return workTime })
	}
	time.Sleep(settleTime)
	c.PutConfig(9, first, added)
	time.Sleep(settleTime)

	var sending sync.WaitGroup
	play := func(d time.Duration) (page, others *tally) {
		page, others = &tally{}, &tally{}
		end := time.Now().Add(d)
		send := func(interval time.Duration, t *tally, path func() string) {
			for ; time.Now().Before(end); time.Sleep(interval) {
				m := c.Machines[rand.IntN(len(c.Machines))]
				q := harness.Request{ID: harness.NewID(), Method: http.MethodGet, Path: path(), Budget: requestBudget}
				sending.Go(func() { t.add(m.Send(q)) })
			}
		}
		sending.Go(func() { send(pageInterval, page, func() string { return "/neva442/season" }) })
		sending.Go(func() {
			send(otherInterval, others, func() string { return fmt.Sprintf("/lohu930/%08x", rand.Uint32()) })
		})
		sending.Wait()
		return page, others
	}
	if harness.Trouble() {
		time.AfterFunc(warmupTime, func() { crash(record, c.Machines[:crashed]) })
	}
	play(warmupTime + crashTime + calmTime)
	page, others := play(judgedTime)
	record.Add("steady state: the added route is served for %d of %d requests, the first one for %d of %d", page.served, page.sent, others.served, others.sent)
	if page.sent < minRequests || others.share() == 0 {
		return false, fmt.Errorf("too few requests: %d and %d", page.sent, others.sent)
	}
	return page.share() >= minShare*others.share(), nil
}

// crash ends the upstreams of the machines at once, and starts them again later.
func crash(record *harness.Record, machines []*harness.Machine) {
	for _, m := range machines {
		record.Add("%s crashes", m.Upstream.ID)
		m.Upstream.Crash()
		time.AfterFunc(crashTime, func() {
			if err := m.StartUpstream(); err != nil {
				record.Add("the upstream of %s does not start: %v", m.Name, err)
			}
		})
	}
}
