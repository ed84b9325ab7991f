package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"nutmegstand.example/nutmegstand/platform"
)

const (
	callerHost = "fish.example"
	timeBudget = 1200 * time.Millisecond
	// clientPatience is the time after the budget for which a client still reads.
	clientPatience = 300 * time.Millisecond
	clientPause    = 25 * time.Millisecond
	orderShare     = 0.5
	leaveShare     = 0.05 // of the requests whose client leaves early
	leaveAfter     = 20 * time.Millisecond
)

var requests atomic.Int64

// client sends requests to one daemon and keeps its connection open.
type client struct {
	machine *machine
	ledger  *ledger
	http    http.Client
}

func newClient(m *machine) *client {
	return &client{machine: m, ledger: m.ledger, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		path, order := "/look/1", false
		if rand.Float64() < orderShare {
			path, order = "/order/1", true
		}
		c.request(path, order)
		time.Sleep(clientPause)
	}
}

// request sends one request, checks the answer and returns its status, 0 without one.
func (c *client) request(path string, order bool) int {
	id := fmt.Sprintf("r%d", requests.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget+clientPatience)
	defer cancel()
	if rand.Float64() < leaveShare {
		stop := time.AfterFunc(leaveAfter, cancel)
		defer stop.Stop()
	}
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if order {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.machine.settings.Listen.Callers+path, body)
	if err != nil {
		panic(err)
	}
	names := platform.Headers()
	r.Host = callerHost
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.TimeLeft, strconv.FormatInt(timeBudget.Milliseconds(), 10))
	c.ledger.sent(id, c.machine.name, order)
	// Without GetBody and by one round trip a request is never sent twice.
	answer, err := c.http.Transport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	got, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0
	}
	c.ledger.answered(id, answer.StatusCode)
	if answer.StatusCode == http.StatusOK && (answer.Header.Get(names.Signature) != signature(id) || string(got) != content(id)) {
		c.ledger.breach("mixed: request %s got signature %q and %d bytes", id, answer.Header.Get(names.Signature), len(got))
	}
	return answer.StatusCode
}

// probe checks that the configuration of one daemon process never goes back.
// Each version has a route of its own, and none of the others'.
func (c *client) probe(ctx context.Context, latest func() int) {
	boot, seen := 0, 0
	for ctx.Err() == nil {
		_, _, now := c.machine.current()
		if now != boot {
			boot, seen = now, 0
		}
		version := latest()
		status := c.request(versionPath(version), false)
		_, _, after := c.machine.current()
		if after != boot {
			continue
		}
		if status == http.StatusOK {
			seen = max(seen, version)
		}
		if seen > 1 && c.request(versionPath(seen-1), false) == http.StatusOK {
			if _, _, after = c.machine.current(); after == boot {
				c.ledger.breach("reverted: %s serves version %d after %d", c.machine.name, seen-1, seen)
			}
		}
		time.Sleep(4 * clientPause)
	}
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }
