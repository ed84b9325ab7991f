// Command review-3 runs the cases of the third review against the programs of the deploy
// file. It is started from the project's root: review-3 CASE RECORD.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// recorder writes the record of a case.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(d *deployment, r *recorder, trouble bool) (bool, error){
	"era-zero":     eraZero,
	"failed-run":   failedRun,
	"left-in-use":  leftInUse,
	"pipeline-cut": pipelineCut,
	"stale-leader": staleController,
}

// The daemons end with the thread that started them, so that none outlives this process.
func init() { runtime.LockOSThread() }

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		return cannotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer file.Close()
	r := &recorder{file: file, started: time.Now()}
	d, err := newDeployment()
	if err != nil {
		r.printf("cannot run: %v", err)
		return cannotRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-stop:
		case <-time.After(110 * time.Second):
		}
		d.stopAll()
		os.Exit(cannotRun)
	}()
	defer d.stopAll()
	defer func() { // the summary
		for _, m := range d.machines {
			if !m.running() {
				r.printf("daemon %s ended by itself", m.name)
			}
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption: %t", os.Args[1], trouble)
	isBroken, err := cases[os.Args[1]](d, r, trouble)
	switch {
	case err != nil:
		r.printf("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return cannotRun
	case isBroken:
		r.printf("the rule was BROKEN")
		fmt.Println("the rule was broken")
		return broken
	}
	r.printf("the rule held")
	fmt.Println("the rule held")
	return held
}
