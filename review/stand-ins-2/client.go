package main

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// record is the log of a run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// say writes to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// attempt is one attempt of a client.
type attempt struct {
	id      string
	machine *machine
	sent    time.Time
	ended   time.Time // of a connection without an answer
}

var attemptCount atomic.Int64

// clients are the clients of a machine, which send requests at a fixed rate.
type clients struct {
	machine  *machine
	host     string
	path     string
	method   string
	rate     float64 // requests a second
	budget   time.Duration
	retries  int
	attempts *sync.Map // *attempt by ID
	http     http.Client
	onLost   func(*attempt) // called with an attempt whose connection ended without a complete answer
}

func newClients(m *machine, host, path, method string, rate float64, attempts *sync.Map) *clients {
	c := &clients{machine: m, host: host, path: path, method: method, rate: rate, budget: 1500 * time.Millisecond, retries: 1, attempts: attempts}
	c.http.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return c
}

func (c *clients) run() {
	w := c.machine.world
	for !w.stopped() {
		w.sleep(time.Duration(float64(time.Second) / c.rate * (0.5 + rand.Float64())))
		if c.machine.isIn() {
			go c.request()
		}
	}
}

// request sends a request, and once more after a failure or when Retry-After has passed.
func (c *clients) request() {
	end := time.Now().Add(c.budget)
	for try := 0; try <= c.retries && time.Now().Before(end); try++ {
		status, wait := c.send(end)
		if status/100 == 2 || status == 404 || status == 400 || status == 401 {
			return
		}
		if wait > time.Until(end)/3 {
			wait = time.Until(end) / 3
		}
		c.machine.world.sleep(wait)
	}
}

func (c *clients) send(end time.Time) (status int, retryAfter time.Duration) {
	a := &attempt{id: fmt.Sprintf("%08x%08x", rand.Uint32(), attemptCount.Add(1)), machine: c.machine, sent: time.Now()}
	c.attempts.Store(a.id, a)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+address(c.machine.ip, c.machine.world.ports.outbound)+c.path, http.NoBody)
	if err != nil {
		return 0, 0
	}
	r.Host = c.host
	r.Header.Set("Attempt-Id", a.id)
	r.Header.Set("Time-Remaining", strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	response, err := c.http.Do(r)
	if err != nil {
		c.lose(a, err)
		return 0, 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		c.lose(a, err)
		return 0, 0
	}
	c.machine.world.record.log("attempt %s of %s: %d after %d ms", a.id, c.machine.name, response.StatusCode, time.Since(a.sent).Milliseconds())
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

func (c *clients) lose(a *attempt, err error) {
	a.ended = time.Now()
	c.machine.world.record.log("attempt %s of %s: no answer: %v", a.id, c.machine.name, err)
	if c.onLost != nil {
		c.onLost(a)
	}
}
