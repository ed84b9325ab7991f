package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// eraZero: an upstream leaves without a word before and is confirmed. The store, whose era
// is 0, returns from a copy of the second before, in era 1. Three seconds later all daemons
// are killed and started again. The upstream's last ping before its leaving arrives late.
func eraZero(d *deployment, r *recorder, trouble bool) (bool, error) {
	const (
		drain  = 2 * time.Second
		touch  = 3 * time.Second // stable_window_ms
		budget = 1500 * time.Millisecond
	)
	d.store.era = 0
	if text := os.Getenv("FIRST_ERA"); text != "" { // for comparison
		d.store.era, _ = strconv.Atoi(text)
	}
	decide := func(*http.Request, int) work { return work{takes: 30 * time.Millisecond, bytes: 400} }
	var machines []*machine
	for _, zone := range []string{"kgl-a", "kgl-b", "kgl-c"} {
		m, err := d.add("orderdesk", zone, 9, decide)
		if err != nil {
			return false, err
		}
		machines = append(machines, m)
	}
	routes := []route{
		{"orders", "/order/", "non_idempotent", "orderdesk", 2000, 800, 2},
		{"looks", "/look/", "idempotent", "orderdesk", 1500, 600, 2},
	}
	d.configure(routes...)
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
					go ask(m, http.MethodGet, "/look/1", newID(), budget, "")
				}
			}
		}()
	}
	leaving := machines[0].upstream
	<-leaving.beaten
	older := d.store.copy()
	r.printf("a copy of the store is made, in era %d", d.store.era)
	time.Sleep(time.Second)
	leaving.mu.Lock()
	late := leaving.body("ready")
	leaving.silent = true // an upstream that has left sends no pings
	leaving.mu.Unlock()
	status := leaving.call(http.MethodDelete, "")
	confirmed := time.Now()
	r.printf("upstream %s leaves: status %d", leaving.id, status)
	if status/100 != 2 {
		return false, fmt.Errorf("the leaving was not confirmed")
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		d.store.leave()
		time.Sleep(500 * time.Millisecond)
		d.store.returnFrom(older)
		d.version -= 3
		d.configure(routes...) // what the operator wrote is written again
		r.printf("the store was away for 0.5 s and is back from the copy, in era %d", d.store.era)
	}
	time.Sleep(3 * time.Second)
	entry, _ := d.store.spec("nutmegstand-daemons", machines[0].name)
	r.printf("entry of the daemon beside it 3 s later: %s", entry)
	for _, m := range machines {
		m.kill()
	}
	r.printf("all daemons are killed")
	time.Sleep(1200 * time.Millisecond)
	for _, m := range machines {
		if err := m.startDaemon(); err != nil {
			return false, err
		}
	}
	started := time.Now()
	time.Sleep(time.Second)
	r.printf("the last ping of %s before its leaving arrives, %d ms late: status %d", leaving.id, time.Since(confirmed).Milliseconds(), put(machines[0], leaving.id, late))
	time.Sleep(time.Until(started.Add(touch + budget + 4*time.Second)))
	close(stop)
	wait.Wait()
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	after, all := 0, 0
	for _, x := range leaving.runs {
		if x.arrived.Sub(confirmed) > drain {
			all++
			if x.arrived.Sub(started) > touch+budget {
				after++
				if after <= 20 {
					r.printf("request %s reached %s %d ms after the confirmation", x.id, leaving.id, x.arrived.Sub(confirmed).Milliseconds())
				}
			}
		}
	}
	for _, m := range machines[1:] {
		m.upstream.mu.Lock()
		r.printf("%s ran %d requests", m.upstream.id, len(m.upstream.runs))
		m.upstream.mu.Unlock()
	}
	r.printf("%d requests reached the upstream later than %v after the confirmation, %d of them from clients of machines in touch", all, drain, after)
	return after > 0, nil
}
