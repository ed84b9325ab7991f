// Package report records the results of measurements. A measurement is a test
// function that calls Emit; "make measure" runs these tests and prints the
// recorded lines.
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

// Line is one measured value. Bound is the bound from docs/design.md, or nil if
// the design has none.
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

// Full reports whether measurements run all seeds and sizes. Otherwise they run
// the fixed small part that CI checks.
func Full() bool { return os.Getenv(fullVariable) != "" }

// Bound returns a pointer to v, for Line.Bound.
func Bound(v float64) *float64 { return &v }

// Emit records a line and fails the test if the line is not OK.
func Emit(t testing.TB, line Line) {
	t.Helper()
	data, err := json.Marshal(line)
	if err != nil {
		t.Fatalf("encode result line: %v", err)
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
		t.Fatalf("open results file: %v", err)
	}
	defer file.Close()
	if _, err := file.Write(append(data, '\n')); err != nil {
		t.Fatalf("write results file: %v", err)
	}
}
