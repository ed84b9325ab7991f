package main

import (
	"net/http"
	"sync"
	"time"
)

// pipelineCut: clients send a download and behind it, before the download is answered, a
// lookup that another, sound upstream answers. One of three upstreams of the downloads
// breaks off one in fifty of its answers.
func pipelineCut(d *deployment, r *recorder, trouble bool) (bool, error) {
	const (
		clients     = 24
		length      = 5500 * time.Millisecond
		brokenEvery = 50
		sheetBytes  = 300_000
		cutAfter    = 280_000
		allowed     = 3
	)
	look := func(*http.Request, int) work { return work{takes: 20 * time.Millisecond, bytes: 4000} }
	front, err := d.add("orderdesk", "kgl-a", 9, look)
	if err != nil {
		return false, err
	}
	for i := range 3 {
		_, err := d.add("catalogue", "kgl-a", 9, func(_ *http.Request, n int) work {
			w := work{takes: 40 * time.Millisecond, bytes: sheetBytes}
			if trouble && i == 0 && n%brokenEvery == 0 {
				w.cutAfter = cutAfter
			}
			return w
		})
		if err != nil {
			return false, err
		}
	}
	d.configure(
		route{"sheets", "/sheet/", "download", "catalogue", 3000, 1500, 1},
		route{"looks", "/look/", "idempotent", "orderdesk", 3000, 1200, 1},
	)
	if err := d.startAll(); err != nil {
		return false, err
	}
	for _, path := range []string{"/look/warm", "/sheet/warm"} {
		if err := awaitService(front, path); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	var mu sync.Mutex
	lost, cut, whole := 0, 0, 0 // lookups lost, downloads broken off, lookups answered
	pair := func(c *client) bool {
		first, second := newID(), newID()
		if c.send(request(http.MethodGet, "/sheet/1", first, 3*time.Second, ""), request(http.MethodGet, "/look/1", second, 3*time.Second, "")) != nil {
			return false
		}
		a := c.receive(http.MethodGet, 4*time.Second)
		var b answer
		if b.err = a.err; a.err == nil {
			b = c.receive(http.MethodGet, 4*time.Second)
		}
		mu.Lock()
		defer mu.Unlock()
		if a.err != nil {
			cut++
		}
		runs := front.upstream.find(second)
		if b.err == nil {
			whole++
			r.printf("download %s: %s; lookup %s behind it: %s, run %d times", first, a, second, b, len(runs))
			return true
		}
		if len(runs) == 0 {
			r.printf("lookup %s behind download %s: never passed on; download: %s", second, first, a)
			return false
		}
		lost++
		r.printf("download %s: %s; lookup %s behind it reached the sound upstream %s, which answered it whole (%t) in %d ms; the client got no answer, the connection was closed",
			first, a, second, front.upstream.id, runs[0].answered, runs[0].ended.Sub(runs[0].arrived).Milliseconds())
		return false
	}
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var c *client
			for time.Now().Before(end) {
				if c == nil {
					var err error
					if c, err = dialClient(front); err != nil {
						return
					}
					// The connection is kept: it has carried a request before.
					id := newID()
					if c.send(request(http.MethodGet, "/look/1", id, 3*time.Second, "")) != nil || c.receive(http.MethodGet, 4*time.Second).err != nil {
						r.printf("the first lookup on a connection was not answered")
					}
				}
				if !pair(c) {
					c.close()
					c = nil
				}
			}
		}()
	}
	wait.Wait()
	r.printf("%d downloads broken off by their upstream; %d lookups behind downloads answered, %d passed on to the sound upstream and lost; allowed: %d", cut, whole, lost, allowed)
	return lost > allowed, nil
}
