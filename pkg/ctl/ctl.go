// Package ctl implements nutmegctl.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"

	"nutmegstand.example/nutmegstand/pkg/admin"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1 // refused or failed
	exitUsage  = 2
)

// UsageError reports a command line that is not understood.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message }

// IncompleteError reports a version that was accepted but is not yet in force
// everywhere. The answer has been printed.
type IncompleteError struct{ Version uint64 }

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("version %d is accepted but not known to be in force everywhere", e.Version)
}

// command is one command of nutmegctl.
type command struct {
	name, arguments, summary string
	// define adds the command's own flags and returns what runs it.
	define func(*flag.FlagSet) func(*session, []string) error
}

var commands = []command{
	{"apply", "FILE|DIRECTORY...", "apply operator files as one new version", defineApply},
	{"check", "FILE|DIRECTORY...", "check operator files and change nothing", defineCheck},
	{"diff", "FILE|DIRECTORY...", "show what an apply would change", defineDiff},
	{"get", "", "print the current configuration as an operator file", defineGet},
	{"status", "", "show versions in force and the state of the store", defineStatus},
	{"moves", "", "show the moves and their states", defineMoves},
	{"explain", "HOST PATH", "show what the daemon would do with a call", defineExplain},
}

// session is one run of a command.
type session struct {
	ctx    context.Context
	client *client
	json   bool
	// operation is the operation number of an apply, for its error.
	operation string
	stdout    io.Writer
	stderr    io.Writer
}

// Run runs nutmegctl with the arguments after the program's name and returns
// its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		printUsage(stderr)
		return exitUsage
	}
	for _, c := range commands {
		if c.name == args[0] {
			return c.run(args[1:], stdout, stderr)
		}
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" {
		printUsage(stdout)
		return exitDone
	}
	fmt.Fprintf(stderr, "nutmegctl: unknown command %q\n", args[0])
	printUsage(stderr)
	return exitUsage
}

func printUsage(w io.Writer) {
	fmt.Fprintln(w, "usage: nutmegctl COMMAND [ARGUMENT...] -server ADDRESS -token-file FILE")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-8s %-20s %s\n", c.name, c.arguments, c.summary)
	}
	fmt.Fprintln(w, "nutmegctl COMMAND -h lists the flags of a command.")
}

func (c *command) run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("nutmegctl "+c.name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: nutmegctl %s [FLAG...] %s\n%s\n", c.name, c.arguments, c.summary)
		flags.PrintDefaults()
	}
	common := defineCommon(flags)
	execute := c.define(flags)
	positional, err := parseInterspersed(flags, args)
	if errors.Is(err, flag.ErrHelp) {
		return exitDone
	}
	if err != nil {
		return exitUsage // the flag package has printed it
	}
	s := &session{ctx: context.Background(), stdout: stdout, stderr: stderr, json: common.output == outputJSON}
	s.client, err = common.client()
	if err == nil {
		defer s.client.http.CloseIdleConnections()
		err = execute(s, positional)
	}
	return s.finish(err)
}

// finish prints an error and returns the exit code.
func (s *session) finish(err error) int {
	var usage *UsageError
	var incomplete *IncompleteError
	var failure *admin.Failure
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usage):
		fmt.Fprintln(s.stderr, "nutmegctl:", err)
		return exitUsage
	case errors.As(err, &incomplete):
		if !s.json {
			fmt.Fprintln(s.stderr, "nutmegctl:", err)
		}
		return exitFailed
	case errors.As(err, &failure):
		s.printFailure(failure)
		return exitFailed
	}
	s.printFailure(&admin.Failure{Kind: KindClient, Message: err.Error()})
	return exitFailed
}

// KindClient is the kind of errors of nutmegctl itself in its JSON output.
const KindClient admin.Kind = "client"

func (s *session) printFailure(f *admin.Failure) {
	if f.Operation == "" {
		f.Operation = s.operation
	}
	if s.json {
		_ = s.printJSON(admin.ErrorBody{Error: f})
		return
	}
	fmt.Fprintln(s.stderr, "nutmegctl:", f.Message)
	for _, problem := range f.Problems {
		fmt.Fprintln(s.stderr, "  "+problem.String())
	}
	if f.Kind == admin.KindOutcomeUnknown {
		fmt.Fprintf(s.stderr, "Run the same apply with -operation %s to learn the outcome; it is not applied twice.\n", f.Operation)
	}
}

func (s *session) printJSON(value any) error {
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// print writes an answer as JSON or as text.
func (s *session) print(value any, text func(io.Writer)) error {
	if s.json {
		return s.printJSON(value)
	}
	text(s.stdout)
	return nil
}
