package ctl

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/fleetview"
)

// TestWorkspaces guards against a list that needs a token, or that shows priority 0 as
// none or a missing limit as a limit of 0.
func TestWorkspaces(t *testing.T) {
	highest := 0
	view := fleetview.Workspaces{Daemon: "vm-1", ConfigVersion: 9, Workspaces: []fleetview.Workspace{
		{Name: "acme", Rate: 12.5, Burst: 30, Priority: &highest, Keys: 3}, {Name: "zeta", Keys: 1},
	}}
	address := serveView(t, fleetview.WorkspacesPath, view)
	var out, errs bytes.Buffer
	assert.Equal(t, Run([]string{"workspaces", "-server", address}, &out, &errs), exitOK, errs.String())
	var rows [][]string
	for line := range strings.Lines(out.String()) {
		rows = append(rows, strings.Fields(line))
	}
	assert.DeepEqual(t, rows[1:], [][]string{
		{"workspace", "rate/s", "burst", "priority", "keys"},
		{"acme", "12.5", "30", "0", "3"},
		{"zeta", "no", "limit", "0", "of", "the", "route", "1"},
	})
	out.Reset()
	assert.Equal(t, Run([]string{"workspaces", "-server", address, "-o", "json"}, &out, &errs), exitOK, errs.String())
	var got fleetview.Workspaces
	assert.NilError(t, json.Unmarshal(out.Bytes(), &got))
	assert.DeepEqual(t, got, view)
}
