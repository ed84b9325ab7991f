package soak

import (
	"bytes"
	"context"
	"crypto/sha256"
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
	routeHost  = "fish.example"
	timeBudget = 1200 * time.Millisecond
	// clientTimeoutSlack is how long a client waits for a response after the time
	// budget of the request.
	clientTimeoutSlack = 300 * time.Millisecond
	requestInterval    = 25 * time.Millisecond
	orderShare         = 0.5
	cancelShare        = 0.05 // share of the requests that the client cancels early
	cancelDelay        = 20 * time.Millisecond
	// Sizes of the bodies of orders in bytes, and the shares of the orders that have them.
	// The others have no body.
	longBodyShare  = 0.15
	minLongBody    = 50_000
	maxLongBody    = 250_000
	shortBodyShare = 0.4
	maxShortBody   = 2000
	chunkedShare   = 0.6 // share of the bodies that are sent in chunks
)

var requestCount atomic.Int64

// client sends requests to one daemon over persistent connections.
type client struct {
	machine *machine
	history *history
	http    http.Client
}

func newClient(m *machine) *client {
	return &client{machine: m, history: m.history, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		path, order := "/look/1", false
		if rand.Float64() < orderShare {
			path, order = "/order/1", true
		}
		c.request(path, order)
		time.Sleep(requestInterval)
	}
}

// request sends one request, checks the response and returns its status, or 0 if
// there is no response.
func (c *client) request(path string, order bool) int {
	id := fmt.Sprintf("r%d", requestCount.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget+clientTimeoutSlack)
	defer cancel()
	if rand.Float64() < cancelShare {
		stop := time.AfterFunc(cancelDelay, cancel)
		defer stop.Stop()
	}
	method, sent := http.MethodGet, []byte(nil)
	if order {
		method, sent = http.MethodPost, randomBody()
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.machine.settings.Listen.Callers+path, bytes.NewReader(sent))
	if err != nil {
		panic(err)
	}
	r.GetBody = nil // the request must not be sent again
	if len(sent) > 0 && rand.Float64() < chunkedShare {
		r.ContentLength = -1
	}
	names := platform.Headers()
	r.Host = routeHost
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.TimeLeft, strconv.FormatInt(timeBudget.Milliseconds(), 10))
	c.history.addRequest(id, c.machine.name, order, sha256.Sum256(sent))
	// An order is never sent twice: RoundTrip resends a POST request without GetBody
	// and Idempotency-Key only if nothing of it was written to the connection.
	response, err := c.http.Transport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	c.history.addResponse(id, response.StatusCode)
	if response.StatusCode == http.StatusOK && (response.Header.Get(names.Signature) != signature(id) || string(got) != content(id)) {
		c.history.addViolation("response mismatch: request %s got signature %q and %d bytes", id, response.Header.Get(names.Signature), len(got))
	}
	return response.StatusCode
}

// randomBody returns no body, a short one, or one that is longer than daemons buffer.
func randomBody() []byte {
	size := 0
	switch share := rand.Float64(); {
	case share < longBodyShare:
		size = minLongBody + rand.IntN(maxLongBody-minLongBody)
	case share < longBodyShare+shortBodyShare:
		size = 1 + rand.IntN(maxShortBody)
	}
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	return body
}

// probe checks that one daemon process never reverts to an earlier configuration.
// Each configuration version has a route that exists in no other version.
func (c *client) probe(ctx context.Context, latestConfigVersion func() int) {
	daemonStarts, newest := 0, 0
	for ctx.Err() == nil {
		_, _, current := c.machine.current()
		if current != daemonStarts {
			daemonStarts, newest = current, 0
		}
		version := latestConfigVersion()
		status := c.request(configVersionPath(version), false)
		_, _, after := c.machine.current()
		if after != daemonStarts {
			continue
		}
		if status == http.StatusOK {
			newest = max(newest, version)
		}
		if newest > 1 && c.request(configVersionPath(newest-1), false) == http.StatusOK {
			if _, _, after = c.machine.current(); after == daemonStarts {
				c.history.addViolation("configuration rollback: %s serves version %d after version %d", c.machine.name, newest-1, newest)
			}
		}
		time.Sleep(4 * requestInterval)
	}
}

func configVersionPath(version int) string { return fmt.Sprintf("/v%d/", version) }
