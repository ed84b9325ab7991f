package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/fleetview"
)

// serveView serves a view at a path like the metrics address of a daemon, and returns the
// address.
func serveView(t *testing.T, path string, view any) (address string) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(view) })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestFleet guards against a fleet view that needs a token, or that does not show a
// silent daemon or an evacuation in force.
func TestFleet(t *testing.T) {
	view := fleetview.View{Daemon: "vm-1", ConfigVersion: 9, Refusals: map[string]int{"queue_full": 3}, Members: []fleetview.Member{
		{
			Name: "vm-1", Zone: "z", State: fleetview.DaemonLive, ConfigVersion: 9,
			Target: &fleetview.Target{ID: "t-1", Service: "desk", Version: "v1", State: fleetview.TargetReady, Slots: 8, Busy: 2, LoadAgeMS: 40},
		},
		{Name: "vm-2", Zone: "z", State: fleetview.DaemonSilent, SilentMS: 4200},
	}}
	view.Evacuations = []fleetview.Evacuation{{Zone: "z", Since: time.Date(2030, 4, 5, 6, 7, 8, 0, time.UTC)}}
	view.Zones = fleetview.Summarize(view.Members)
	address := serveView(t, fleetview.Path, view)
	var out, errs bytes.Buffer
	assert.Equal(t, Run([]string{"fleet", "-server", address, "-members"}, &out, &errs), exitOK, errs.String())
	for _, want := range []string{"2 daemons; refused at its target: queue_full 3", "4.2s", "vm-2", "t-1", "40ms", "zone z is evacuated since 2030-04-05T06:07:08Z"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q is missing in:\n%s", want, out.String())
	}
	out.Reset()
	assert.Equal(t, Run([]string{"fleet", "-server", address, "-o", "json"}, &out, &errs), exitOK, errs.String())
	var got fleetview.View
	assert.NilError(t, json.Unmarshal(out.Bytes(), &got))
	assert.DeepEqual(t, got, view)
	assert.Equal(t, Run([]string{"status", "-server", address}, &out, &errs), exitUsage, "other commands need a token")
}
