package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// leftInUse: an upstream says that it is draining, and the confirmation comes. It goes on
// serving for some seconds. A ping of another writer, which has no start time, and a late
// ping of the upstream, sent before it was draining, arrive meanwhile.
func leftInUse(d *deployment, r *recorder, trouble bool) (bool, error) {
	const drain = 2 * time.Second
	decide := func(*http.Request, int) work { return work{takes: 30 * time.Millisecond, bytes: 400} }
	var machines []*machine
	for _, zone := range []string{"kgl-a", "kgl-b", "kgl-c"} {
		m, err := d.add("orderdesk", zone, 9, decide)
		if err != nil {
			return false, err
		}
		machines = append(machines, m)
	}
	d.configure(
		route{"orders", "/order/", "non_idempotent", "orderdesk", 2000, 800, 2},
		route{"looks", "/look/", "idempotent", "orderdesk", 1500, 600, 2},
	)
	if err := d.startAll(); err != nil {
		return false, err
	}
	for _, m := range machines {
		if err := awaitService(m, "/look/warm"); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, m := range machines {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					go ask(m, http.MethodPost, "/order/1", newID(), 2*time.Second, "two boxes")
				}
			}
		}()
	}
	time.Sleep(time.Second)
	leaving := machines[0].upstream
	leaving.mu.Lock()
	late := leaving.body("ready") // sent now, arrives seconds later
	leaving.state = "draining"
	leaving.mu.Unlock()
	status := leaving.beat()
	confirmed := time.Now()
	r.printf("upstream %s says that it is draining: status %d", leaving.id, status)
	if status/100 != 2 {
		return false, fmt.Errorf("the ping was not confirmed")
	}
	if trouble {
		time.Sleep(2500 * time.Millisecond)
		<-leaving.beaten // the next regular ping comes after a heartbeat interval
		time.Sleep(50 * time.Millisecond)
		odd := fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":"kgl-a","slots":9},"status":{"state":"ready","sequence":1,"warmup_left_ms":0}}`,
			leaving.address, leaving.service)
		r.printf("ping of another writer, without a start time: status %d", put(machines[0], "i-other", odd))
		r.printf("late ping of %s, sent %d ms ago: status %d", leaving.id, time.Since(confirmed).Milliseconds(), put(machines[0], leaving.id, late))
	}
	time.Sleep(time.Until(confirmed.Add(8 * time.Second)))
	close(stop)
	wait.Wait()
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	after := 0
	for _, x := range leaving.runs {
		if since := x.arrived.Sub(confirmed); since > drain {
			after++
			if after <= 20 {
				r.printf("request %s reached %s %d ms after the confirmation", x.id, leaving.id, since.Milliseconds())
			}
		}
	}
	r.printf("%d requests reached the upstream later than %v after the confirmation", after, drain)
	return after > 0, nil
}

// put sends a ping and returns the status of its answer.
func put(m *machine, id, body string) int {
	r, err := http.NewRequest(http.MethodPut, "http://"+m.at("control")+"/v1/instances/"+id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
