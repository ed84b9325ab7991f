// Package route measures the caller side: the time that it adds to a call, the
// CPU time and memory per call, goodput with failing or slow targets, and retries
// over long chains. The tests call the measure functions.
package route

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
	"nutmegstand.example/nutmegstand/pkg/route/chain"
	"nutmegstand.example/nutmegstand/pkg/route/routetest"
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

const (
	host         = "hop.example"
	hopsHeader   = "X-Hops" // remaining hops, including the one to the receiving target
	responseSize = 512
	// maxTasks bounds the connections of one path.
	maxTasks = 4096
	// callDeadline is long, so that no measured call expires on a loaded machine.
	callDeadline = 10 * time.Second
)

// httpTarget simulates a target. It answers with responseSize bytes, after a call
// to the next hop if hopsHeader requests one, and copies the chain headers to that
// call.
type httpTarget struct {
	client *http.Client
	next   string // address of the daemon's local listener, the next hop of calls through the daemon
	self   string // address of this target, the next hop of direct calls
}

// chainHeaders are the headers that a target copies to its outgoing calls.
var chainHeaders = []string{chain.Member, chain.CallID, chain.DeadlineAt, chain.Depth, chain.Attempts}

func (h *httpTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if remaining, _ := strconv.Atoi(r.Header.Get(hopsHeader)); remaining > 1 {
		if err := h.callNext(r, remaining-1); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	_, _ = w.Write(bytes.Repeat([]byte{'a'}, responseSize))
}

func (h *httpTarget) callNext(r *http.Request, remaining int) error {
	address := h.self
	if h.next != "" && r.Header.Get(chain.CallID) != "" {
		address = h.next
	}
	header := http.Header{hopsHeader: {strconv.Itoa(remaining)}}
	for _, name := range chainHeaders {
		if values := r.Header[name]; address == h.next && len(values) > 0 {
			header[name] = values
		}
	}
	return call(r.Context(), h.client, address, header)
}

// call makes one GET call and reads the complete response.
func call(ctx context.Context, client *http.Client, address string, header http.Header) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/x", nil)
	if err != nil {
		return err
	}
	request.Host, request.Header = host, header
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	if err == nil && (response.StatusCode != http.StatusOK || n != responseSize) {
		err = &unexpectedResponseError{status: response.StatusCode, bytes: n}
	}
	return err
}

type unexpectedResponseError struct {
	status int
	bytes  int64
}

func (e *unexpectedResponseError) Error() string {
	return "unexpected response: status " + strconv.Itoa(e.status) + " and " + strconv.FormatInt(e.bytes, 10) + " bytes"
}

// path is the caller's daemon, a target side and a target, connected over
// loopback.
type path struct {
	routetest.Fakes
	entry  string // address of the entry for outside callers
	target string // address of the target itself
	client *http.Client
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

// hopService returns the service that all hops of a chain belong to.
func hopService() config.Service {
	return config.Service{Name: "hop", Version: "v1", Slots: 1000, Routes: []config.Route{
		{Name: "get", Host: host, Path: "/", Idempotent: true, Deadline: config.Duration(callDeadline)},
	}}
}

// newPath starts a path. If logged is set, decisions are logged to a file.
func newPath(tb testing.TB, logged bool) *path {
	tb.Helper()
	p := &path{client: newClient()}
	tasks, err := ants.NewPool(maxTasks)
	if err != nil {
		tb.Fatalf("create task pool: %v", err)
	}
	tb.Cleanup(tasks.Release)
	target := &httpTarget{client: p.client}
	p.target = serveHTTP(tb, target)
	target.self = p.target
	targetSide := routetest.ServeTCP(tb, tasks, forward(p.client, p.target))

	p.Config.Snapshot.Store(routetest.Snapshot(tb, []string{"hop"}, hopService()))
	endpoint := routetest.ReadyEndpoints("hop", "v1", "a", 1, 1000)[0]
	endpoint.Address = targetSide
	p.Endpoints.Set("hop", endpoint)
	peers := link.NewPeers(link.DialTCP)
	tb.Cleanup(func() { _ = peers.Close() })
	options := p.Options(route.NewMeshSender(peers), "a")
	options.Logger = fileLogger(tb, logged)
	options.Versions = discardAttempts{&p.Versions}
	router, err := route.New(options)
	if err != nil {
		tb.Fatalf("create router: %v", err)
	}
	p.entry = serveEntry(tb, router, false)
	target.next = serveEntry(tb, router, true)
	return p
}

// fileLogger returns a logger to a file, or one that discards all lines.
func fileLogger(tb testing.TB, logged bool) *zap.Logger {
	tb.Helper()
	if !logged {
		return zap.NewNop()
	}
	file, err := os.CreateTemp(tb.TempDir(), "decisions")
	if err != nil {
		tb.Fatalf("create log file: %v", err)
	}
	logger, stop := telemetry.NewLogger(file, zapcore.InfoLevel)
	tb.Cleanup(func() { stop(); _ = file.Close() })
	return logger
}

func serveHTTP(tb testing.TB, handler http.Handler) string {
	tb.Helper()
	listener := listen(tb)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	tb.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func listen(tb testing.TB) net.Listener {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("listen: %v", err)
	}
	return listener
}

func serveEntry(tb testing.TB, router *route.Router, local bool) string {
	tb.Helper()
	listener := listen(tb)
	entry := route.NewEntry(route.EntryOptions{
		Listener: listener, Router: router, Logger: zap.NewNop(), Local: local, Linger: time.Millisecond,
	})
	done := make(chan struct{})
	go func() { defer close(done); _ = entry.Serve() }()
	tb.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		entry.Drain(ctx)
		<-done
	})
	return listener.Addr().String()
}

// forward is a minimal target side. It sends the HTTP request to the target, with
// the chain headers, and returns the complete response.
func forward(client *http.Client, target string) routetest.Handler {
	return func(ctx context.Context, head *pb.CallHead, body []byte) routetest.Result {
		request, err := http.NewRequestWithContext(ctx, head.GetMethod(), "http://"+target+head.GetPath(), bytes.NewReader(body))
		if err != nil {
			return routetest.Result{Drop: true}
		}
		request.Host = head.GetHost()
		for _, h := range append(chain.FromHead(head, time.Now()).Headers(), head.GetHeaders()...) {
			request.Header[h.GetName()] = append(request.Header[h.GetName()], h.GetValue())
		}
		response, err := client.Do(request)
		if err != nil {
			return routetest.Result{Drop: true}
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		if err != nil {
			return routetest.Result{Drop: true}
		}
		result := routetest.Answer(response.StatusCode, data)
		result.Head.Load = &pb.Load{Slots: 1000, InUse: 1}
		for name, values := range response.Header {
			result.Head.Headers = append(result.Head.Headers, &pb.Header{Name: name, Value: strings.Join(values, ", ")})
		}
		return result
	}
}
