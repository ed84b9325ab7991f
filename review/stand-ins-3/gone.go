package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// pipelineLeft: clients send an idempotent request with a body and another idempotent one
// behind it. A part of the clients closes the connection after 0.3 s, before the first
// request has been answered.
func pipelineLeft(d *deployment, r *recorder, trouble bool) (bool, error) {
	const (
		clients    = 20
		leaveEvery = 4 // a quarter of the clients leaves
		rounds     = 4
		slack      = 500 * time.Millisecond
	)
	decide := func(req *http.Request, _ int) work {
		if strings.HasSuffix(req.URL.Path, "/warm") {
			return work{takes: 10 * time.Millisecond, bytes: 100}
		}
		return work{takes: 1400 * time.Millisecond, bytes: 4000}
	}
	front, err := d.add("timetables", "bg-a", 20, decide)
	if err != nil {
		return false, err
	}
	other, err := d.add("calendars", "bg-b", 20, decide)
	if err != nil {
		return false, err
	}
	d.configure(
		route{"timetables", "/timetable/", "idempotent", "timetables", 3000, 2000, 1},
		route{"calendars", "/calendar/", "idempotent", "calendars", 3000, 2000, 1},
	)
	if err := d.startAll(); err != nil {
		return false, err
	}
	paths := []string{"/timetable/", "/calendar/"}
	for _, path := range paths {
		if err := awaitService(front, path+"warm"); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	type left struct {
		id     string
		closed time.Time
	}
	var mu sync.Mutex
	var all []left
	stayed := make(map[int]int)
	for range rounds {
		var wait sync.WaitGroup
		for i := range clients {
			wait.Add(1)
			go func() {
				defer wait.Done()
				c, err := dialClient(front)
				if err != nil {
					return
				}
				defer c.close()
				path := paths[i/leaveEvery%2] + "1"
				first, second := newID(), newID()
				if c.send(request(http.MethodPut, path, first, 4*time.Second, "class 7b"), request(http.MethodGet, path, second, 4*time.Second, "")) != nil {
					return
				}
				if trouble && i%leaveEvery == 0 {
					time.Sleep(300 * time.Millisecond)
					c.close()
					mu.Lock()
					all = append(all, left{first, time.Now()})
					mu.Unlock()
					return
				}
				for _, method := range []string{http.MethodPut, http.MethodGet} {
					a := c.receive(method, 4*time.Second)
					mu.Lock()
					stayed[a.status]++
					mu.Unlock()
				}
			}()
		}
		wait.Wait()
	}
	time.Sleep(2 * time.Second)
	working, lasting := 0, 0
	for _, l := range all {
		for _, m := range []*machine{front, other} {
			for _, x := range m.upstream.find(l.id) {
				since := x.ended.Sub(l.closed)
				lasting++ // each of them takes 1.4 s, and its client left after 0.3 s
				if since > slack {
					working++
				}
				r.printf("request %s at %s: its client left after %d ms, the upstream worked on it for %d ms after that", l.id, m.upstream.id,
					l.closed.Sub(x.arrived).Milliseconds(), since.Milliseconds())
			}
		}
	}
	r.printf("answers to the clients that stayed, by status: %v", stayed)
	r.printf("%d requests whose clients left would have lasted over half a second longer; upstreams were still at work half a second later on %d", lasting, working)
	return 4*working > lasting, nil
}
