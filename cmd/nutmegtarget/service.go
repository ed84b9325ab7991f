package main

import (
	"context"
	"crypto/tls"
	"log"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"nutmegstand.example/nutmegstand/pkg/target"
)

const (
	// ordersPath tells how often each key was run.
	ordersPath = "/nutmegtarget/orders"
	// chainPrefix begins the headers that a target copies to the calls it makes.
	chainPrefix = "Nutmegstand-"
	// noRetry is the answer header by which a failed inner call tells that its
	// attempts were spent; it is copied to the own answer.
	noRetry = chainPrefix + "No-Retry"
	// crashStatus is the exit status of a scripted crash.
	crashStatus = 3
	// nextTimeout bounds a call to another service that has no deadline.
	nextTimeout = 10 * time.Second
)

// work is how long calls take.
type work struct {
	latency, jitter time.Duration
	seed            uint64
}

// faults are the scripted faults and when they apply.
type faults struct {
	errorRate  float64
	slowness   time.Duration
	after      time.Duration
	beyondLoad int
	path       string
	crashOn    string
}

// next is the call to another service.
type next struct{ daemon, host, path string }

// service answers the calls.
type service struct {
	options *options
	started time.Time
	active  atomic.Int32
	client  *client.Client

	mu     sync.Mutex
	rng    *rand.Rand
	orders map[string]int // runs by key
}

func newService(o *options) (*service, error) {
	c, err := client.NewClient(client.WithDialer(daemonDialer{Dialer: standard.NewDialer(), address: o.next.daemon}))
	if err != nil {
		return nil, err
	}
	return &service{
		options: o, started: time.Now(), client: c,
		rng: rand.New(rand.NewPCG(o.work.seed, 0)), orders: map[string]int{},
	}, nil
}

// daemonDialer connects to the daemon whatever host is called.
type daemonDialer struct {
	network.Dialer
	address string
}

// DialConnection implements network.Dialer.
func (d daemonDialer) DialConnection(n, _ string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	return d.Dialer.DialConnection(n, d.address, timeout, config)
}

// answer is the body of a call's answer.
type answer struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Next    string `json:"next,omitempty"`
}

// handle serves one call: the scripted crash, the work, the scripted faults,
// and the call to another service.
func (s *service) handle(ctx context.Context, c *app.RequestContext) {
	load := int(s.active.Add(1))
	defer s.active.Add(-1)
	path := string(c.Path())
	key := string(c.GetHeader("Idempotency-Key"))
	s.count(key)
	f := s.options.faults
	if f.crashOn != "" && (strings.Contains(path, f.crashOn) || strings.Contains(string(c.Request.Body()), f.crashOn)) {
		log.Printf("crashing on request %q as scripted", path)
		os.Exit(crashStatus)
	}
	duration, failing := s.draw(s.faulty(path, load))
	if left := untilDeadline(c); left < duration {
		time.Sleep(left)
		c.JSON(consts.StatusGatewayTimeout, answer{Service: s.options.announcement.Service, Path: path})
		return
	}
	time.Sleep(duration)
	if failing {
		c.JSON(consts.StatusInternalServerError, answer{Service: s.options.announcement.Service, Path: path})
		return
	}
	a := answer{Service: s.options.announcement.Service, Version: s.options.announcement.Version, Path: path, Key: key}
	status := consts.StatusOK
	if s.options.next.host != "" {
		status, a.Next = s.callNext(ctx, c)
	}
	c.JSON(status, a)
}

// untilDeadline returns the time left of a call, at most nextTimeout.
func untilDeadline(c *app.RequestContext) time.Duration {
	ms, err := strconv.ParseInt(string(c.GetHeader(target.HeaderDeadlineAt)), 10, 64)
	if err != nil {
		return nextTimeout
	}
	return min(time.Until(time.UnixMilli(ms)), nextTimeout)
}

func (s *service) count(key string) {
	if key == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders[key]++
}

// faulty reports whether the scripted faults apply to a call.
func (s *service) faulty(path string, load int) bool {
	f := s.options.faults
	return time.Since(s.started) >= f.after && load > f.beyondLoad && strings.HasPrefix(path, f.path)
}

// draw returns the time that a call takes, and whether it fails.
func (s *service) draw(faulty bool) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, f := s.options.work, s.options.faults
	duration := w.latency + time.Duration(s.rng.ExpFloat64()*float64(w.jitter))
	if !faulty {
		return duration, false
	}
	return duration + f.slowness, s.rng.Float64() < f.errorRate
}

// callNext calls the other service through the daemon, with the headers of the
// call chain.
func (s *service) callNext(ctx context.Context, c *app.RequestContext) (int, string) {
	n := s.options.next
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetRequestURI("http://" + n.host + n.path)
	c.Request.Header.VisitAll(func(name, value []byte) {
		if strings.HasPrefix(string(name), chainPrefix) {
			req.Header.Set(string(name), string(value))
		}
	})
	if err := s.client.DoTimeout(ctx, req, resp, nextTimeout); err != nil {
		return consts.StatusBadGateway, err.Error()
	}
	if value := resp.Header.Get(noRetry); value != "" {
		c.Response.Header.Set(noRetry, value)
	}
	if resp.StatusCode() >= consts.StatusInternalServerError {
		return resp.StatusCode(), string(resp.Body())
	}
	return consts.StatusOK, string(resp.Body())
}

// handleOrders tells how often each key was run.
func (s *service) handleOrders(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.JSON(consts.StatusOK, s.orders)
}
