// Command review2 runs the cases of a review: a small deployment of the project's own
// daemons on loopback addresses, with stand-ins for the platform's store, the upstreams
// and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER trouble|calm")
		return failed
	}
	r, err := newRecord(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	t, err := newTrial(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() { <-interrupted; t.close(); os.Exit(failed) }()
	defer t.close()
	trouble := os.Args[3] != "calm"
	cases := map[string]func(*trial, bool) (bool, error){"stuck": stuck, "fraction": fraction, "heads": heads, "departed": departed}
	f := cases[os.Args[1]]
	if f == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		return failed
	}
	isBroken, err := f(t, trouble)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return failed
	case isBroken:
		return broken
	}
	return held
}
