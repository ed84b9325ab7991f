package hostile

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"nutmegstand.example/nutmegstand/pkg/node"
	"nutmegstand.example/nutmegstand/test/platform/standin"
	"nutmegstand.example/nutmegstand/test/processes"
)

const (
	// memoryLimit is the memoryLimitBytes of the daemon, and the bound on its peak.
	memoryLimit = 96_000_000
	// connections is the limit of each listener, and ownDescriptors the bound on what
	// the daemon has open besides.
	connections    = 40
	ownDescriptors = 60
	headerBytes    = 16 << 10
	bodyBytes      = 64 << 20
	headerTimeout  = time.Second
	idleTimeout    = 3 * time.Second
	// recovery bounds the wait for an ordinary response under load.
	recovery = 10 * time.Second
	// largeResponse is the size of the responses below /look/large.
	largeResponse = 200 << 10
)

// daemon is a daemon process with its store and its target.
type daemon struct {
	t        *testing.T
	settings *node.Settings
	process  *processes.Process
	target   string
	slots    int // of the target
	sequence int
}

func startDaemon(t *testing.T, limits node.Limits, slots int) *daemon {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "../../../cmd/nutmegnode").CombinedOutput()
	assert.NilError(t, err, string(out))
	store := standin.NewStore(t)
	store.Put("config", "main", configuration())
	target := httptest.NewServer(http.HandlerFunc(serveTarget))
	t.Cleanup(func() { target.CloseClientConnections(); target.Close() })
	d := &daemon{t: t, target: target.Listener.Addr().String(), slots: slots, settings: &node.Settings{
		Name: "vm-0", Domain: "zone-0", Service: "desk", TargetAddress: target.Listener.Addr().String(), Store: store.Address,
		FirstStart: true, Heartbeat: 500, DrainPeriod: 1000, StopGrace: 5000, Limits: limits, GCPercent: 40,
		Retries: node.Retries{Ratio: 0.2, Slack: 60, Window: 10000}, MemoryLimitBytes: memoryLimit,
	}}
	l := &d.settings.Listen
	for _, address := range []*string{&l.Callers, &l.Daemons, &l.Fleet, &l.Announcements, &l.Readiness, &l.Metrics} {
		*address = freeAddress(t)
	}
	content, err := json.Marshal(d.settings)
	assert.NilError(t, err)
	file := filepath.Join(dir, "settings.json")
	assert.NilError(t, os.WriteFile(file, content, 0o600))
	children := &processes.Group{BinDir: dir, LogDir: dir}
	d.process, err = children.Start("vm-0", "nutmegnode", "-settings", file)
	assert.NilError(t, err)
	t.Cleanup(d.process.Kill)
	d.await("an ordinary request", func() bool { return d.heartbeat() == http.StatusOK && d.get("/look/1") == http.StatusOK })
	return d
}

func configuration() any {
	route := map[string]any{
		"host": "fish.example", "path_prefix": "/look/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 600,
		"priority": 1, "service": "desk", "max_attempts": 2,
	}
	limits := map[string]any{
		"max_header_bytes": headerBytes, "max_body_bytes": bodyBytes,
		"header_timeout_ms": headerTimeout.Milliseconds(), "idle_timeout_ms": idleTimeout.Milliseconds(),
	}
	return map[string]any{"version": 1, "resources": []any{
		map[string]any{"resource_type": "routes", "metadata": map[string]string{"name": "look"}, "spec": route},
		map[string]any{"resource_type": "limits", "metadata": map[string]string{"name": "limits"}, "spec": limits},
	}}
}

// serveTarget responds with the size of the request body, or with a large response.
func serveTarget(w http.ResponseWriter, r *http.Request) {
	n, _ := io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Signature", "signed")
	switch path := strings.TrimPrefix(r.URL.Path, "/look/"); {
	case path == "large":
		_, _ = io.WriteString(w, strings.Repeat("x", largeResponse))
	case faultyResponses[path] != nil:
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		faultyResponses[path](conn)
	default:
		_, _ = fmt.Fprint(w, n)
	}
}

// freeAddress returns a loopback address below the range that the kernel assigns to
// outgoing connections.
func freeAddress(t *testing.T) string {
	t.Helper()
	for ; nextPort < 9999; nextPort++ {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if listener, err := net.Listen("tcp", address); err == nil {
			nextPort++
			assert.NilError(t, listener.Close())
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

var nextPort = 8000

func (d *daemon) heartbeat() int {
	d.sequence++
	body := fmt.Sprintf(`{"address":%q,"born":1,"info":{"service":"desk","version":"v1","zone":"z","slots":%d},
		"status":{"state":"ready","sequence":%d,"warmup_left_ms":0}}`, d.target, d.slots, d.sequence)
	return d.send(http.MethodPut, d.settings.Listen.Announcements, "/v1/instances/i-0", body)
}

func (d *daemon) get(path string) int {
	return d.send(http.MethodGet, d.settings.Listen.Callers, path, "")
}

// send sends a request on a connection of its own and returns the status, 0 if there
// is none.
func (d *daemon) send(method, address, path, body string) int {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	assert.NilError(d.t, err)
	r.Host = "fish.example"
	r.Header.Set("Attempt-Id", "a-"+path)
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

func (d *daemon) await(what string, met func() bool) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if met() {
			return poll.Success()
		}
		return poll.Continue("no response to %s", what)
	}, poll.WithTimeout(recovery), poll.WithDelay(50*time.Millisecond))
}

// peakMemory returns the largest resident memory of the process so far in bytes.
func (d *daemon) peakMemory() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.PID()))
	assert.NilError(d.t, err)
	_, rest, _ := strings.Cut(string(content), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest + " 0")[0])
	assert.NilError(d.t, err)
	return kb << 10
}

// descriptors returns the number of open file descriptors of the process.
func (d *daemon) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.PID()))
	assert.NilError(d.t, err)
	return len(entries)
}
