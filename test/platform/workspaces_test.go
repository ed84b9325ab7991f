package platform_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
	"nutmegstand.example/nutmegstand/test/platform/standin"
	"nutmegstand.example/nutmegstand/test/processes"
)

// keyTimeout is the time within which the operator requires that added and withdrawn
// keys take effect.
const keyTimeout = 2500 * time.Millisecond

// configureKeys writes a configuration with the routes /look/ and /open/, of which the
// latter is exempt, and the given keys by workspace.
func configureKeys(store *standin.Store, version int, keys map[string][]string) {
	var resources []any
	for _, prefix := range []string{"/look/", "/open/"} {
		resources = append(resources, map[string]any{
			"resource_type": "routes", "metadata": map[string]string{"name": prefix},
			"spec": map[string]any{
				"host": "fish.example", "path_prefix": prefix, "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 600,
				"priority": 1, "service": service, "max_attempts": 2, "auth_exempt": prefix == "/open/",
			},
		})
	}
	for name, list := range keys {
		resources = append(resources, map[string]any{
			"resource_type": "tenants", "metadata": map[string]string{"name": name}, "spec": map[string]any{"api_keys": list, "rate_per_s": 50},
		})
	}
	store.Put("config", "main", map[string]any{"version": version, "resources": resources})
}

// getWithKey sends a request with a key, if it is not empty, and returns the HTTP status
// of the response, or 0 if there is none.
func (m *machine) getWithKey(client *http.Client, path, key string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.settings.Listen.Callers+path, nil)
	assert.NilError(m.t, err)
	r.Host = "fish.example"
	r.Header.Set(proxytest.Names.RequestID, "id")
	r.Header.Set(proxytest.Names.TimeLeft, "1400")
	if key != "" {
		r.Header.Set(proxytest.Names.Key, key)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// lastWorkspace returns the workspace of the last request that reached one of the
// targets with the given path.
func (d *deployment) lastWorkspace(path string) (workspace string) {
	for _, m := range d.machines {
		for _, r := range m.target.Requests() {
			if r.URL.Path == path {
				workspace = r.Header.Get(proxytest.Names.Workspace)
			}
		}
	}
	return workspace
}

// TestKeysAcrossDeployment guards against keys that take effect too late at some daemons
// or on kept connections, against keys that a daemon without a configuration judges, and
// against a key in a log entry.
func TestKeysAcrossDeployment(t *testing.T) {
	const old, moved, added = "key-old-5f1c", "key-moved-77ab", "key-added-09de"
	d := &deployment{t: t, store: standin.NewStore(t)}
	t.Parallel()
	t.Cleanup(d.stop)
	d.configure(1, "/look/", "/open/")
	log := filepath.Join(t.TempDir(), "log")
	file, err := os.Create(log)
	assert.NilError(t, err)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.Lock(file), zapcore.DebugLevel)
	d.prepare = func(m *machine) { m.logger = zap.New(core) }
	d.startMachines(3)
	d.awaitTargets()

	configureKeys(d.store, 2, map[string][]string{"acme": {old, moved}, "zeta": {"key-zeta-1b1b"}})
	clients := make([]*http.Client, len(d.machines))
	for i, m := range d.machines {
		clients[i] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: 3 * time.Second}
		eventually(t, "a key is needed", keyTimeout, func() bool { return m.getWithKey(clients[i], "/look/1", "") == http.StatusUnauthorized })
		assert.Equal(t, m.getWithKey(clients[i], "/look/1", old), http.StatusOK)
		assert.Equal(t, m.getWithKey(clients[i], "/look/1", moved+"x"), http.StatusUnauthorized)
		assert.Equal(t, m.getWithKey(clients[i], "/open/1", ""), http.StatusOK)
	}
	configureKeys(d.store, 3, map[string][]string{"acme": {added}, "zeta": {"key-zeta-1b1b", moved}})
	deadline := time.Now().Add(keyTimeout)
	for i, m := range d.machines {
		eventually(t, "the key is withdrawn", time.Until(deadline), func() bool { return m.getWithKey(clients[i], "/look/2", old) == http.StatusUnauthorized })
		assert.Equal(t, m.getWithKey(clients[i], "/look/2", added), http.StatusOK)
		assert.Equal(t, m.getWithKey(clients[i], "/look/3", moved), http.StatusOK)
		assert.Equal(t, d.lastWorkspace("/look/3"), "zeta")
		m.sendRaw("GET / HTTP/1.1\r\nX-Key " + added + "\r\n\r\n")
	}
	d.store.InjectAll(standin.Unavailable)
	restarted := d.machines[1]
	restarted.stop()
	assert.NilError(t, <-restarted.ended)
	restarted.stop = nil // it has ended, also if the start fails
	restarted.start()
	assert.Equal(t, restarted.getWithKey(&http.Client{}, "/look/1", added), http.StatusServiceUnavailable)
	assert.Equal(t, restarted.getWithKey(&http.Client{}, "/look/1", old), http.StatusServiceUnavailable)
	eventually(t, "the restarted daemon knows the key", recoveryTimeout, func() bool {
		return restarted.getWithKey(&http.Client{}, "/look/1", added) == http.StatusOK
	})
	assert.Equal(t, restarted.getWithKey(&http.Client{}, "/look/1", old), http.StatusUnauthorized)
	requireAbsent(t, log, old, moved, added)
}

// sendRaw sends bytes to the address for callers and waits for the end of the connection.
func (m *machine) sendRaw(text string) {
	conn, err := net.Dial("tcp", m.settings.Listen.Callers)
	assert.NilError(m.t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	assert.NilError(m.t, err)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
}

// requireAbsent checks that a log has entries of requests and contains none of the keys.
func requireAbsent(t *testing.T, log string, keys ...string) {
	t.Helper()
	content, err := os.ReadFile(log)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(content), "no_key") || strings.Contains(string(content), "unknown_key"), "the log has no entries")
	for _, key := range keys {
		assert.Assert(t, !strings.Contains(string(content), key), "the log contains a key")
	}
}

// TestKeysOfProcess guards against other header names than those of the platform, and
// against a key in the output or the metrics of the daemon's process.
func TestKeysOfProcess(t *testing.T) {
	const key, unknown = "key-of-acme-61ce", "key-of-nobody-88aa"
	t.Parallel()
	received := make(chan http.Header, 8)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Signature", "signed")
	}))
	t.Cleanup(target.Close)
	d := &deployment{t: t, store: standin.NewStore(t)}
	configureKeys(d.store, 1, map[string][]string{"acme": {key}})
	m := d.newMachine(0)
	m.settings.TargetAddress = target.Listener.Addr().String()
	m.target.Address = m.settings.TargetAddress
	process := startDaemon(t, m)
	go m.sendHeartbeats(t.Context())

	get := func(path, id, key string) int {
		r, err := http.NewRequest(http.MethodGet, "http://"+m.settings.Listen.Callers+path, nil)
		assert.NilError(t, err)
		r.Host = "fish.example"
		r.Header = http.Header{"Attempt-Id": {id}, "Time-Remaining": {"1400"}, "Tenant-Name": {"forged"}, "X-Api-Key": {key}}
		return m.send(r)
	}
	eventually(t, "the daemon serves", 10*time.Second, func() bool { return get("/look/1", "a", key) == http.StatusOK })
	h := <-received
	assert.DeepEqual(t, h.Values("Tenant-Name"), []string{"acme"})
	assert.Equal(t, len(h.Values("X-Api-Key")), 0)
	assert.Equal(t, get("/look/1", "a", unknown), http.StatusUnauthorized)
	assert.Equal(t, get("/look/1", "a.b", ""), http.StatusServiceUnavailable)
	assert.Equal(t, get("/open/1", "a", unknown), http.StatusOK)
	assert.Equal(t, len((<-received).Values("Tenant-Name")), 0)
	m.sendRaw("GET / HTTP/1.1\r\nX-Api-Key " + key + "\r\n\r\n")
	metrics, err := http.Get("http://" + m.settings.Listen.Metrics + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = metrics.Body.Close() }()
	found := false
	for lines := bufio.NewScanner(metrics.Body); lines.Scan(); {
		found = found || strings.Contains(lines.Text(), `result="unknown_key"`)
		assert.Assert(t, !strings.Contains(lines.Text(), key) && !strings.Contains(lines.Text(), unknown))
	}
	assert.Assert(t, found, "refused requests are not counted by reason")
	assert.NilError(t, process.Stop()) // writes the rest of the log
	requireAbsent(t, process.Log, key, unknown)
}

// startDaemon builds and starts the daemon of a machine as a process.
func startDaemon(t *testing.T, m *machine) *processes.Process {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "../../cmd/nutmegnode")
	output, err := build.CombinedOutput()
	assert.NilError(t, err, string(output))
	content, err := json.Marshal(m.settings)
	assert.NilError(t, err)
	settings := filepath.Join(dir, "settings.json")
	assert.NilError(t, os.WriteFile(settings, content, 0o600))
	group := &processes.Group{BinDir: dir, LogDir: dir}
	t.Cleanup(group.StopAll)
	process, err := group.Start(m.settings.Name, "nutmegnode", "-settings", settings)
	assert.NilError(t, err)
	return process
}
