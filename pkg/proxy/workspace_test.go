package proxy_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// keyConfig returns a configuration in which the route "bulk" is exempt, with workspaces
// that have one key each.
func keyConfig(version uint64, keys map[string]string) *routing.Config {
	c := &routing.Config{Version: version, Routes: testRoutes()}
	for _, route := range c.Routes {
		route.Exempt = route.Name == "bulk"
	}
	for name, key := range keys {
		c.Workspaces = append(c.Workspaces, &routing.Workspace{Name: name, Keys: []routing.KeyDigest{routing.DigestKey(key)}})
	}
	return c
}

// newKeyMesh starts a mesh in which the key "k1" belongs to the workspace "acme".
func newKeyMesh(t *testing.T, n int) *mesh {
	m := newMesh(t, n)
	m.config.Advance(keyConfig(2, map[string]string{"acme": "k1", "other": "k2"}))
	return m
}

// send sends a request with the given values of the key header and a forged workspace.
func (m *mesh) send(transport *http.Transport, id, path string, keys ...string) result {
	r, err := http.NewRequest(http.MethodGet, m.caller.URL+path, nil)
	assert.NilError(m.t, err)
	r.Host = "fish.example"
	r.Header.Set(proxytest.Names.RequestID, id)
	r.Header.Set(proxytest.Names.TimeLeft, m.timeLeft)
	r.Header.Set(proxytest.Names.Workspace, "forged")
	r.Header[proxytest.Names.Key] = keys
	response, err := transport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return result{response.StatusCode, response.Header, string(content), err}
}

func (m *mesh) sendKeys(path string, keys ...string) result {
	return m.send(&http.Transport{DisableCompression: true, DisableKeepAlives: true}, "id-1", path, keys...)
}

// requireWorkspace checks the headers of the last request that reached the first target.
func (m *mesh) requireWorkspace(want string) {
	m.t.Helper()
	requests := m.targetSides[0].target.Requests()
	last := requests[len(requests)-1]
	assert.Equal(m.t, last.Header.Get(proxytest.Names.Workspace), want)
	assert.Assert(m.t, len(last.Header.Values(proxytest.Names.Key)) == 0, "the key reached the target")
}

// TestKeys guards against requests that run without a valid key or in a forged workspace,
// against a key that reaches a target, and against a refused request that a
// configuration allows.
func TestKeys(t *testing.T) {
	m := newKeyMesh(t, 1)
	for _, keys := range [][]string{
		nil, {""}, {"k"}, {"K1"}, {"k1 k1"}, {"k1, k1"}, {"k1", "k1"}, {"k1", "k2"}, {"k1", ""}, {"Bearer k1"}, {"acme"},
	} {
		assert.Equal(t, m.sendKeys("/look/1", keys...).status, http.StatusUnauthorized, "%q", keys)
		assert.Equal(t, m.sendKeys("/none/1", keys...).status, http.StatusUnauthorized, "%q", keys)
	}
	assert.Equal(t, m.sendKeys("/none/1", "k1").status, http.StatusNotFound)
	restarted := m.send(&http.Transport{}, "parent.1", "/look/1")
	assert.Equal(t, restarted.status, http.StatusServiceUnavailable, "the ID may be that of an inner call")
	assert.Assert(t, restarted.header.Get("Retry-After") != "")
	assert.Equal(t, m.send(&http.Transport{}, ".1", "/look/1").status, http.StatusUnauthorized)
	assert.Equal(t, m.requestCount(), 0)

	for _, c := range []struct {
		path, workspace string
		keys            []string
	}{
		{"/look/1", "acme", []string{"k1"}},
		{"/look/1", "other", []string{"k2"}},
		{"/bulk/1", "acme", []string{"k1"}},
		{"/bulk/1", "", []string{"unknown"}},
		{"/bulk/1", "", []string{"k1", "k2"}},
		{"/bulk/1", "", nil},
	} {
		assert.Equal(t, m.sendKeys(c.path, c.keys...).status, http.StatusOK, "%v", c)
		m.requireWorkspace(c.workspace)
	}
}

// TestNoWorkspaces guards against a workspace that a client can set where none is
// configured.
func TestNoWorkspaces(t *testing.T) {
	m := newMesh(t, 1)
	assert.Equal(t, m.sendKeys("/look/1", "k1").status, http.StatusOK)
	m.requireWorkspace("")
}

// TestInnerCalls guards against calls of a running request that are refused because they
// carry no key, or that count for a workspace.
func TestInnerCalls(t *testing.T) {
	m := newKeyMesh(t, 1)
	inner := make(chan result, 2)
	m.handleAll(func(r *proxytest.Request) bool {
		if r.Header.Get(proxytest.Names.RequestID) == "id-1" {
			inner <- m.send(&http.Transport{}, "id-1.1", "/look/2")
			inner <- m.send(&http.Transport{}, "id-1.2", "/look/2", "unknown")
		}
		return proxytest.OK("done")(r)
	})
	assert.Equal(t, m.sendKeys("/look/1", "k1").status, http.StatusOK)
	assert.Equal(t, (<-inner).status, http.StatusOK)
	assert.Equal(t, (<-inner).status, http.StatusUnauthorized)
	m.requireWorkspace("")
}

// TestKeyOnKeptConnection guards against a key that stays valid on a connection after it
// was withdrawn, and against one that stays in its workspace after it was moved.
func TestKeyOnKeptConnection(t *testing.T) {
	m := newKeyMesh(t, 1)
	kept := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	assert.Equal(t, m.send(kept, "id-1", "/look/1", "k1").status, http.StatusOK)
	m.config.Advance(keyConfig(3, map[string]string{"acme": "k3", "other": "k1"}))
	assert.Equal(t, m.send(kept, "id-2", "/look/1", "k1").status, http.StatusOK)
	m.requireWorkspace("other")
	m.config.Advance(keyConfig(4, map[string]string{"acme": "k3"}))
	assert.Equal(t, m.send(kept, "id-3", "/look/1", "k1").status, http.StatusUnauthorized)
	assert.Equal(t, m.send(kept, "id-4", "/look/1", "k3").status, http.StatusOK)
	assert.Equal(t, m.requestCount(), 3)
}

// TestKeyWithdrawnInQueue guards against a request that runs although its key was
// withdrawn while it waited for a slot.
func TestKeyWithdrawnInQueue(t *testing.T) {
	m := newKeyMesh(t, 1)
	release := m.holdAll()
	results := make(chan result, 3)
	for range 2 { // the slots of the target
		go func() { results <- m.sendKeys("/look/1", "k2") }()
	}
	eventually(t, "the slots are in use", func() bool { return m.requestCount() == 2 })
	queued := make(chan result)
	go func() { queued <- m.sendKeys("/look/1", "k1") }()
	eventually(t, "the request waits", func() bool { return m.targetSides[0].gate.Load().Queued == 1 })
	m.config.Advance(keyConfig(3, map[string]string{"other": "k2"}))
	release()
	assert.Equal(t, (<-queued).status, http.StatusUnauthorized)
	assert.Equal(t, (<-results).status, http.StatusOK)
	assert.Equal(t, (<-results).status, http.StatusOK)
	assert.Equal(t, m.requestCount(), 2)
}

// TestKeyAtNewerTargetSide guards against a target side that runs a request whose key its
// newer configuration withdrew or moved, and against a caller side that then refuses it
// with the wrong status.
func TestKeyAtNewerTargetSide(t *testing.T) {
	for name, c := range map[string]struct {
		keys   map[string]string
		arrive bool // the newer configuration reaches the caller side in time
		status int
	}{
		"withdrawn":           {map[string]string{"acme": "k3"}, true, http.StatusUnauthorized},
		"moved":               {map[string]string{"acme": "k3", "other": "k1"}, true, http.StatusOK},
		"withdrawn, not here": {map[string]string{"acme": "k3"}, false, http.StatusServiceUnavailable},
		"moved, not here":     {map[string]string{"acme": "k3", "other": "k1"}, false, http.StatusServiceUnavailable},
	} {
		m := newKeyMesh(t, 1)
		newer := &routing.Current{}
		newer.Advance(keyConfig(3, c.keys))
		m.targetSides[0].gate.Config = newer
		if c.arrive {
			time.AfterFunc(30*time.Millisecond, func() { m.config.Advance(keyConfig(3, c.keys)) })
		}
		assert.Equal(t, m.sendKeys("/look/1", "k1").status, c.status, name)
		if c.status != http.StatusOK {
			assert.Equal(t, m.requestCount(), 0, name)
			continue
		}
		m.requireWorkspace("other")
	}
}

// recordedCall is a target side that only records the last call.
type recordedCall struct{ last *proxy.Call }

// Do implements proxy.TargetSide.
func (r *recordedCall) Do(_ context.Context, call *proxy.Call) *proxy.AttemptResult {
	r.last = call
	return &proxy.AttemptResult{Outcome: proxy.Refused, Reason: proxy.ReasonSuspect}
}

// TestWorkspaceOfCall guards against a call that reaches the target side without its
// workspace and key, or with the priority of the route instead of the workspace's, and
// against a key that is sent between daemons.
func TestWorkspaceOfCall(t *testing.T) {
	m := newMesh(t, 1)
	config := keyConfig(2, map[string]string{"acme": "k1", "other": "k2"})
	priority := 0
	for i := range config.Routes {
		config.Routes[i].Priority = 3
	}
	for _, w := range config.Workspaces {
		if w.Name == "acme" {
			w.Priority = &priority
		}
	}
	recorded := &recordedCall{}
	server := httptest.NewServer(proxy.Inbound{Names: proxytest.Names, Target: recorded})
	defer server.Close()
	m.endpoints[0].Address = server.Listener.Addr().String()

	m.sendKeys("/look/1", "k1")
	assert.Assert(t, recorded.last.KeyDigest.IsZero(), "no workspaces are configured")
	m.config.Advance(config)
	m.sendKeys("/look/1", "k1")
	assert.Equal(t, recorded.last.Workspace, "acme")
	assert.Equal(t, recorded.last.KeyDigest, routing.DigestKey("k1"))
	assert.Equal(t, recorded.last.Priority, 0)
	assert.Assert(t, len(recorded.last.Header.Values(proxytest.Names.Key)) == 0)
	m.sendKeys("/look/1", "k2")
	assert.Equal(t, recorded.last.Priority, 3)
	m.sendKeys("/bulk/1", "unknown")
	assert.Equal(t, recorded.last.Workspace, "")
	assert.Equal(t, recorded.last.KeyDigest, routing.DigestKey("unknown"))
}
