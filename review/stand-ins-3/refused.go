package main

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"
)

// failedRun: an upstream fails a part of the orders with a 503 of its own, after it has run
// them. The answer has no Not-Executed header.
func failedRun(d *deployment, r *recorder, trouble bool) (bool, error) {
	const (
		upstreams = 8 // one of them fails requests: a share of 0.125
		clients   = 2 // on each machine
		length    = 6 * time.Second
		failed    = 0.45 // share of the orders that fail at it
	)
	decide := func(fails bool) func(*http.Request, int) work {
		return func(req *http.Request, n int) work {
			w := work{takes: 50 * time.Millisecond, bytes: 400}
			if fails && req.Method == http.MethodPost && math.Floor(float64(n)*failed) > math.Floor(float64(n-1)*failed) {
				w.status, w.bytes = http.StatusServiceUnavailable, 30
			}
			return w
		}
	}
	var desks []*machine
	for i := range upstreams {
		m, err := d.add("orderdesk", []string{"kgl-a", "kgl-b", "kgl-c"}[i%3], 9, decide(trouble && i == 0))
		if err != nil {
			return false, err
		}
		desks = append(desks, m)
	}
	d.configure(
		route{"orders", "/order/", "non_idempotent", "orderdesk", 2000, 800, 2},
		route{"looks", "/look/", "idempotent", "orderdesk", 1500, 600, 2},
	)
	if err := d.startAll(); err != nil {
		return false, err
	}
	for _, m := range desks {
		if err := awaitService(m, "/look/warm"); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	promised, statuses := 0, make(map[int]int)
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for i := range clients * upstreams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(end) {
				id := newID()
				a := ask(desks[i%upstreams], http.MethodPost, "/order/1", id, 2*time.Second, "two boxes")
				time.Sleep(50 * time.Millisecond)
				mu.Lock()
				statuses[a.status]++
				ran := "nowhere"
				for _, m := range desks {
					for _, x := range m.upstream.find(id) {
						ran = fmt.Sprintf("at %s, for %d ms", m.upstream.id, x.ended.Sub(x.arrived).Milliseconds())
						if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
							promised++
							ran += "; NOT RUN by the status that the client got"
						}
					}
				}
				r.printf("order %s: %s, signature %q; ran %s", id, a, a.signature, ran)
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	r.printf("answers by status: %v; %d orders were answered as not run although they had run", statuses, promised)
	return promised > 0, nil
}
