package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/admin"
	"nutmegstand.example/nutmegstand/pkg/fleetview"
)

// TestExplainRequest guards against an explanation that asks the wrong interface, loses a
// part of the description, or does not show why a target was not chosen.
func TestExplainRequest(t *testing.T) {
	explanation := fleetview.Explanation{
		Daemon: "vm-1", ConfigVersion: 9, Host: "h", Path: "/a", Method: "PUT",
		Outcome: fleetview.OutcomeRefused, Reason: "limited", Detail: "the workspace is over its limit", Status: 429, RetryAfterMS: 1500,
		Route:     &fleetview.ExplainedRoute{Name: "look", Host: "h", Prefix: "/", Kind: "idempotent", ObjectiveMS: 400, Attempts: 2, AgeMS: 70},
		Workspace: &fleetview.ExplainedWorkspace{Name: "acme", Rate: 5, Burst: 6, Enforced: true, Accountant: "vm-2", Demand: 7.25, OverLimit: true},
		Choices: []fleetview.ExplainedChoice{{
			Service: "desk", Share: 0.25, Outcome: fleetview.OutcomeSent, Reason: "own_domain", Target: "t-1",
			Targets: []fleetview.ExplainedTarget{
				{Target: "t-1", Zone: "z", Version: "v1", Chosen: true, States: []string{"cold"}, Evaluated: true, ExpectedMS: 12.34, Load: 0.5, LoadAgeMS: 40},
				{Target: "t-2", Zone: "y", Version: "v1", States: []string{"paused", "full"}, LoadAgeMS: -1, PausedMS: 750},
			},
		}},
	}
	query := ""
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+fleetview.ExplainPath, func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.Query().Encode()
		_ = json.NewEncoder(w).Encode(explanation)
	})
	mux.HandleFunc("GET "+admin.PathExplain, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(admin.Explanation{Version: 3, Reason: "from the administration API"})
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	var out, errs bytes.Buffer
	run := func(args ...string) (int, string) {
		out.Reset()
		errs.Reset()
		code := Run(append([]string{"explain", "-server", strings.TrimPrefix(server.URL, "http://"), "h", "/a"}, args...), &out, &errs)
		return code, out.String() + errs.String()
	}

	code, text := run("-method", "PUT", "-workspace", "acme", "-remaining", "1.5s")
	assert.Equal(t, code, exitOK, text)
	assert.Equal(t, query, "host=h&method=PUT&path=%2Fa&remaining_ms=1500&workspace=acme")
	for _, want := range []string{
		"seen by daemon vm-1: version 9, PUT h/a", "refused with status 429, retry after at least 1.5s: the workspace is over its limit (limited)",
		"route look (h/): idempotent", "70ms ago", "workspace acme: 5 requests/s, burst 6; here 7.2 requests/s, 0 permits in stock, granted by vm-2",
		"25% of requests, service desk: target t-1, sent", "12.3ms", "50%", "40ms", "chosen, cold", "paused 750ms, full",
	} {
		assert.Assert(t, strings.Contains(text, want), "%q is missing in:\n%s", want, text)
	}
	code, text = run("-o", "json")
	assert.Equal(t, code, exitOK, text)
	assert.Equal(t, query, "host=h&method=GET&path=%2Fa")
	var got fleetview.Explanation
	assert.NilError(t, json.Unmarshal(out.Bytes(), &got))
	assert.DeepEqual(t, got, explanation)

	token := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(token, []byte("t"), 0o600))
	code, text = run("-token-file", token)
	assert.Equal(t, code, exitOK, text)
	assert.Assert(t, strings.Contains(text, "from the administration API"), text)
	for _, args := range [][]string{{"-token-file", token, "-workspace", "acme"}, {"-remaining", "-1s"}, {"more"}} {
		code, text = run(args...)
		assert.Equal(t, code, exitUsage, text)
	}
}

// TestExplainWithoutToken guards against an error that does not say what is missing, when
// the server is not the metrics address of a daemon on the users' platform.
func TestExplainWithoutToken(t *testing.T) {
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	for _, c := range []struct {
		address string
		code    int
		message string
	}{
		{startServer(t, nil).address, exitFailed, "a valid bearer token is needed"},
		{strings.TrimPrefix(other.URL, "http://"), exitUsage, "does not explain requests; an administration API needs -token-file"},
	} {
		var out, errs bytes.Buffer
		assert.Equal(t, Run([]string{"explain", "-server", c.address, "h", "/a"}, &out, &errs), c.code)
		assert.Assert(t, strings.Contains(errs.String(), c.message), errs.String())
	}
}
