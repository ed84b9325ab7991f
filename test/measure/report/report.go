// Package report collects the lines of make measure. A measurement is a test
// function that calls Emit; make measure runs these tests and prints the lines.
package report

import (
	"encoding/json"
	"os"
	"sync"
	"testing"
)

const (
	fileVariable = "NUTMEGSTAND_MEASURE_FILE"
	fullVariable = "NUTMEGSTAND_MEASURE_FULL"
)

// Line is one measured value. Bound is a figure stated in docs/design.md, or
// nil where none is stated.
type Line struct {
	Measure string   `json:"measure"`
	Case    string   `json:"case"`
	Seed    uint64   `json:"seed"`
	Value   float64  `json:"value"`
	Unit    string   `json:"unit"`
	Bound   *float64 `json:"bound"`
	OK      bool     `json:"ok"`
}

var mu sync.Mutex

// Full reports whether all seeds and sizes are to be run. Otherwise a
// measurement runs the fixed small part that CI checks.
func Full() bool { return os.Getenv(fullVariable) != "" }

// Bound returns a pointer to a stated figure.
func Bound(v float64) *float64 { return &v }

// Emit records a line and fails the test when the line is not ok.
func Emit(t testing.TB, line Line) {
	t.Helper()
	data, err := json.Marshal(line)
	if err != nil {
		t.Fatalf("encode line: %v", err)
	}
	if !line.OK {
		t.Errorf("out of bound: %s", data)
	}
	name := os.Getenv(fileVariable)
	if name == "" {
		t.Logf("%s", data)
		return
	}
	mu.Lock()
	defer mu.Unlock()
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatalf("open measure file: %v", err)
	}
	defer file.Close()
	if _, err := file.Write(append(data, '\n')); err != nil {
		t.Fatalf("write measure file: %v", err)
	}
}
