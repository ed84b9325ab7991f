//go:build review

package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// Trouble reports whether the disruption of the case takes place.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// Main runs a case whose folder is the first argument of the program, and exits. The
// case returns whether the rule held.
func Main(run func(r *Record) (held bool, err error)) {
	os.Exit(runCase(run))
}

func runCase(run func(r *Record) (held bool, err error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		return exitNoRun
	}
	file, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer file.Close()
	r := &Record{file: file, started: time.Now()}
	held, err := run(r)
	switch {
	case err != nil:
		r.Add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNoRun
	case held:
		r.Add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	r.Add("the rule was broken")
	fmt.Println("the rule was broken")
	return exitBroken
}
