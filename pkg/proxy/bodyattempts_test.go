package proxy_test

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"nutmegstand.example/nutmegstand/pkg/link/linktest"
	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/proxy/balance"
	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

const (
	bodyCasesPerFault = 10
	bodyID            = "body-1"
)

// bodyFault makes the first attempt, at target side a, fail.
type bodyFault struct {
	reason string                               // of a's refusal, empty if a's target gets the request or the time is too short to tell
	before func(m *mesh)                        // before the request
	wait   func(m *mesh)                        // while the request waits for a slot at a
	free   bool                                 // a has free slots after wait
	early  bool                                 // a's target responds before it has read the body
	handle func(p *bodyProbe) proxytest.Handler // of a's target, nil if it runs requests
}

// bodyCase is a request with a body.
type bodyCase struct {
	path    string
	size    int
	framing string
	caller  string // whole, stalls, disconnects
	local   bool   // a is the local target of the caller side
}

var (
	bodySizes    = []int{0, 1, 700, 4096, 30_000, 64<<10 - 1, 64 << 10, 64<<10 + 1, 90_000, 200_000, 300_000}
	bodyFramings = []string{"length", "chunks", "trailer", "extension", "length expect", "chunks expect", "length 1.0"}
	bodyCallers  = []string{"whole", "whole", "stalls", "disconnects"}
)

// bodyProbe records the runs of a request.
type bodyProbe struct {
	mu    sync.Mutex
	runs  []string // digest of the body of each run, "early" if the target has not read it
	ended []string // digests of bodies that were read to their end in vain
}

func (p *bodyProbe) add(digest string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, digest)
}

// run is a handler that runs a request after its whole body has been read.
func (p *bodyProbe) run(r *proxytest.Request) bool {
	p.add(digestOf(r.Content))
	return proxytest.OK("ok")(r)
}

func digestOf(content []byte) string {
	return fmt.Sprintf("%d bytes %x", len(content), sha256.Sum256(content))
}

func bodyFaults() map[string]bodyFault {
	notRun := proxytest.NotRun(http.StatusServiceUnavailable)
	return map[string]bodyFault{
		"queue_full":           {reason: proxy.ReasonQueueFull, wait: func(*mesh) {}},
		"leaving":              {reason: proxy.ReasonLeaving, wait: func(m *mesh) { m.targetSides[0].gate.Close() }},
		"stopping":             {reason: proxy.ReasonLeaving, before: func(m *mesh) { m.targetSides[0].gate.Stop() }},
		"no_target":            {reason: proxy.ReasonNoTarget, wait: func(m *mesh) { m.replaceFirst("z") }},
		"stale_config":         {reason: proxy.ReasonStaleConfig, wait: (*mesh).moveRoutes, free: true},
		"version":              {reason: proxy.ReasonVersion, before: func(m *mesh) { m.forbiddenVersion = "v0"; m.replaceFirst("a") }},
		"expired":              {before: func(m *mesh) { m.timeLeft = "9" }},
		"target_down":          {before: func(m *mesh) { m.targetSides[0].target.Crash() }},
		"not run late":         {handle: func(*bodyProbe) proxytest.Handler { return notRun }},
		"not run early":        {early: true, handle: func(p *bodyProbe) proxytest.Handler { return p.respondAfter(0, notRun) }},
		"not run after a part": {early: true, handle: func(p *bodyProbe) proxytest.Handler { return p.respondAfter(70_000, notRun) }},
		"answered early":       {early: true, handle: func(p *bodyProbe) proxytest.Handler { return p.respondAfter(500, p.runEarly(proxytest.OK("ok"))) }},
		"cut":                  {early: true, handle: func(p *bodyProbe) proxytest.Handler { return p.respondAfter(50_000, p.runEarly(resetConn)) }},
	}
}

// respondAfter returns a handler that responds after it has read n bytes of the body,
// and reads the rest. A body that ends without an error is recorded.
func (p *bodyProbe) respondAfter(n int64, respond proxytest.Handler) proxytest.Handler {
	return func(r *proxytest.Request) bool {
		var content bytes.Buffer
		if _, err := io.CopyN(&content, r.Body, n); err != nil && !errors.Is(err, io.EOF) {
			return false
		}
		keep := respond(r)
		if _, err := io.Copy(&content, r.Body); err != nil {
			return false
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ended = append(p.ended, digestOf(content.Bytes()))
		return keep
	}
}

// runEarly returns a handler that runs a request before its body has been read.
func (p *bodyProbe) runEarly(respond proxytest.Handler) proxytest.Handler {
	return func(r *proxytest.Request) bool {
		p.add("early")
		return respond(r)
	}
}

// replaceFirst replaces the target of the first target side by one with another ID or
// version at the same machine.
func (m *mesh) replaceFirst(id string) {
	target := localTarget(0, m.targetSides[0])
	target.ID, target.Version = id, "v0"
	m.targetSides[0].gate.SetTarget(proxy.LocalTarget{ID: "none", Service: testService, Address: linktest.ClosedAddress(m.t)})
	m.targetSides[0].gate.SetTarget(target)
}

// moveRoutes applies a configuration in which the last target serves all routes.
func (m *mesh) moveRoutes() {
	routes := testRoutes()
	for _, route := range routes {
		route.Split = []routing.Share{{Service: otherService, Weight: 1}}
	}
	last := len(m.targetSides) - 1
	target := localTarget(last, m.targetSides[last])
	target.ID, target.Service = "y", otherService
	m.targetSides[last].gate.SetTarget(target)
	m.config.Advance(&routing.Config{Version: 2, Routes: routes, Limits: routing.Limits{BodyBytes: 32 << 20}})
}

// TestBodyOverAttempts guards against an order that runs with a part of its body, twice
// or with bytes of another request, when its first attempt fails while the body is being
// sent and a second target is there.
func TestBodyOverAttempts(t *testing.T) {
	for name, fault := range bodyFaults() {
		t.Run(name, func(t *testing.T) {
			for range bodyCasesPerFault {
				c := bodyCase{
					path: pick("/order/1", "/order/1", "/look/1"), size: pick(bodySizes...), framing: pick(bodyFramings...),
					caller: pick(bodyCallers...), local: pick(true, false),
				}
				t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) { fault.check(t, c) })
			}
		})
	}
}

func pick[T any](values ...T) T { return values[rand.IntN(len(values))] }

func (f bodyFault) check(t *testing.T, c bodyCase) {
	m, probe := newMesh(t, 2), &bodyProbe{}
	m.otherEndpoints = []*balance.Endpoint{{
		Daemon: "b", Address: m.endpoints[1].Address, Target: "y", Service: otherService, Version: "v1", Slots: 2, Available: true,
	}}
	m.endpoints[0].Local = c.local
	m.handleAll(probe.run)
	free := func() {}
	if f.wait != nil {
		free = m.fillFirst(probe)
		defer free()
	}
	if f.handle != nil {
		m.targetSides[0].target.Handle(f.handle(probe))
	}
	if f.early {
		m.targetSides[0].target.RespondEarly()
	}
	if f.before != nil {
		f.before(m)
	}
	m.hideLastOnce.Store(true)
	if f.wait != nil {
		var waiting sync.WaitGroup
		defer waiting.Wait()
		ended := make(chan struct{})
		defer close(ended)
		waiting.Go(func() {
			m.awaitQueued(ended)
			time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond) // the body is under way
			f.wait(m)
			if f.free {
				free()
			}
		})
	}
	content := make([]byte, c.size)
	for i := range content {
		content[i] = byte(rand.Uint32())
	}
	status := c.send(m, content)
	if status == 0 {
		time.Sleep(50 * time.Millisecond) // a truncated body would run now
	}
	probe.verify(t, c, status, content)
	if f.reason != "" && c.caller == "whole" {
		refusals := m.targetSides[0].gate.Refusals()
		// On a busy machine the queue may time out before wait is done.
		assert.Assert(t, refusals[f.reason]+refusals[proxy.ReasonQueueFull] > 0, "the first attempt was not refused: %v", refusals)
	}
	for _, s := range m.targetSides {
		assert.Equal(t, len(s.target.Malformed()), 0, "%v", s.target.Malformed())
		for _, r := range s.target.Requests() {
			assert.Assert(t, r.URL.Path == c.path && r.Header.Get(proxytest.Names.RequestID) == bodyID || r.URL.Path == "/look/hold", "%s", r.URL)
		}
	}
}

// awaitQueued waits until a call is queued at the first target, or until ended.
func (m *mesh) awaitQueued(ended <-chan struct{}) {
	for {
		if load := m.targetSides[0].gate.Load(); load != nil && load.Queued > 0 {
			return
		}
		select {
		case <-ended:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// fillFirst occupies the slots of the first target until the returned function is
// called.
func (m *mesh) fillFirst(probe *bodyProbe) (release func()) {
	held, first := make(chan struct{}), m.targetSides[0].target
	first.Handle(func(r *proxytest.Request) bool {
		if r.URL.Path != "/look/hold" {
			return probe.run(r)
		}
		<-held
		return proxytest.OK("ok")(r)
	})
	m.hideLast.Store(true)
	var requests sync.WaitGroup
	for range 2 {
		requests.Go(func() { m.get("/look/hold") })
	}
	poll.WaitOn(m.t, func(poll.LogT) poll.Result { return await(len(first.Requests()) == 2, "the slots are in use") })
	m.hideLast.Store(false)
	return sync.OnceFunc(func() {
		close(held)
		requests.Wait()
	})
}

// send sends the request and returns the status of its response, 0 without one.
func (c bodyCase) send(m *mesh, content []byte) int {
	client := m.caller.dial(m.t)
	head, body := c.encode(m.timeLeft, content)
	continued, ended := make(chan struct{}), make(chan struct{})
	var writing sync.WaitGroup
	defer writing.Wait()
	defer close(ended)
	writing.Go(func() {
		_, _ = client.Write(head)
		if strings.HasSuffix(c.framing, "expect") {
			select {
			case <-continued:
			case <-ended:
				return
			}
		}
		half := len(body) / 2
		_, _ = io.Copy(client, bytes.NewReader(body[:half])) // the daemon may close the connection
		switch c.caller {
		case "disconnects":
			time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			_ = client.Close()
			return
		case "stalls":
			time.Sleep(time.Duration(rand.IntN(250)) * time.Millisecond)
		}
		_, _ = io.Copy(client, bytes.NewReader(body[half:]))
	})
	for {
		response, _, err := client.receive()
		if err != nil {
			return 0
		}
		if response.StatusCode != http.StatusContinue {
			return response.StatusCode
		}
		close(continued)
	}
}

// encode returns the head and the body as they are sent.
func (c bodyCase) encode(timeLeft string, content []byte) (head, body []byte) {
	version := "1.1"
	if strings.HasSuffix(c.framing, "1.0") {
		version = "1.0"
	}
	var h, b bytes.Buffer
	fmt.Fprintf(&h, "POST %s HTTP/%s\r\nHost: fish.example\r\n%s: %s\r\n%s: %s\r\n",
		c.path, version, proxytest.Names.RequestID, bodyID, proxytest.Names.TimeLeft, timeLeft)
	if strings.HasSuffix(c.framing, "expect") {
		h.WriteString("Expect: 100-continue\r\n")
	}
	if strings.HasPrefix(c.framing, "length") {
		fmt.Fprintf(&h, "Content-Length: %d\r\n\r\n", len(content))
		return h.Bytes(), content
	}
	h.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for rest := content; len(rest) > 0; {
		n := 1 + rand.IntN(min(len(rest), 20_000))
		extension := ""
		if c.framing == "extension" {
			extension = `;note="0"`
		}
		fmt.Fprintf(&b, "%x%s\r\n%s\r\n", n, extension, rest[:n])
		rest = rest[n:]
	}
	b.WriteString("0\r\n")
	if c.framing == "trailer" {
		b.WriteString("X-Sum: 5\r\n")
	}
	b.WriteString("\r\n")
	return h.Bytes(), b.Bytes()
}

// verify checks the runs of a request that got a status, 0 for none.
func (p *bodyProbe) verify(t *testing.T, c bodyCase, status int, content []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	whole := c.caller != "disconnects" || c.size == 0 && strings.HasPrefix(c.framing, "length")
	for _, digest := range append(p.ended, p.runs...) {
		if digest != "early" {
			assert.Equal(t, digest, digestOf(content))
			assert.Assert(t, whole, "a truncated body looks complete")
		}
	}
	if c.path == "/order/1" {
		assert.Assert(t, len(p.runs) <= 1, "ran %d times", len(p.runs))
	}
	switch status {
	case http.StatusOK:
		assert.Assert(t, len(p.runs) >= 1)
	case http.StatusServiceUnavailable:
		assert.Equal(t, len(p.runs), 0)
	}
	t.Logf("status %d, %d runs", status, len(p.runs))
}
