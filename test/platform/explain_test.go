package platform_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/ctl"
	"nutmegstand.example/nutmegstand/pkg/node"
	"nutmegstand.example/nutmegstand/test/platform/standin"
)

// TestExplainedByProcess guards against an explanation by the daemon's process that is not
// reachable with nutmegctl, that differs from what the process does, that sends the
// request, takes a permit or shows a key.
func TestExplainedByProcess(t *testing.T) {
	const key = "key-of-acme-5e1a"
	t.Parallel()
	d := &deployment{t: t, store: standin.NewStore(t)}
	configureKeys(d.store, 1, map[string][]string{"acme": {key}})
	var received atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Signature", "signed")
	}))
	t.Cleanup(target.Close)
	m := d.newMachine(0)
	m.settings.TargetAddress = target.Listener.Addr().String()
	m.target.Address = m.settings.TargetAddress
	m.settings.WorkspaceLimits = &node.WorkspaceLimits{Window: 5000, Overrun: 0.1, Slack: 20}
	startDaemon(t, m)
	explain := func(args ...string) string {
		var out, errs bytes.Buffer
		code := ctl.Run(append([]string{"explain", "fish.example", "-server", m.settings.Listen.Metrics}, args...), &out, &errs)
		assert.Equal(t, code, 0, errs.String())
		assert.Assert(t, !strings.Contains(out.String(), key))
		return out.String()
	}
	requireText := func(text string, wanted ...string) {
		t.Helper()
		for _, want := range wanted {
			assert.Assert(t, strings.Contains(text, want), "%q is missing in:\n%s", want, text)
		}
	}
	get := func(path, key string) int {
		r, err := http.NewRequest(http.MethodGet, "http://"+m.settings.Listen.Callers+path, nil)
		assert.NilError(t, err)
		r.Host = "fish.example"
		r.Header = http.Header{"Attempt-Id": {"a"}, "Time-Remaining": {"1400"}, "X-Api-Key": {key}}
		return m.send(r)
	}

	eventually(t, "the configuration is in force", 10*time.Second, func() bool { return get("/look/1", "") == http.StatusUnauthorized })
	requireText(explain("/look/1", "-workspace", "acme"), "refused with status 503", "(no_target)")
	go m.sendHeartbeats(t.Context())
	eventually(t, "the daemon serves", 10*time.Second, func() bool { return get("/look/1", key) == http.StatusOK })

	sent := received.Load()
	for range 200 { // more than the limit of acme allows
		requireText(explain("/look/1", "-workspace", "acme", "-remaining", "1s"),
			"sent: ", "(own_domain)", "route /look/ (fish.example/look/)", "workspace acme: 50 requests/s", "target "+m.id, "chosen")
	}
	assert.Equal(t, received.Load(), sent)
	assert.Equal(t, get("/look/1", key), http.StatusOK)
	for args, want := range map[string]string{
		"/look/1":                  "(no_key)",
		"/look/1 -workspace other": "(unknown_key)",
		"/open/1":                  "(own_domain)",
		"/none -workspace acme":    "(no_route)",
	} {
		requireText(explain(strings.Fields(args)...), want)
	}
	requireText(explain("/look/1", "-workspace", "acme", "-o", "json"), `"outcome": "sent"`, `"name": "acme"`)
}
