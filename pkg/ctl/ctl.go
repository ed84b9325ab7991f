// Package ctl implements nutmegctl, the command-line client of the administration
// API: its commands, flags, output formats and exit codes.
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
	exitOK     = 0
	exitFailed = 1 // the request was rejected or failed
	exitUsage  = 2
)

// UsageError reports an invalid command line or an unreadable input file.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message }

// IncompleteError reports a version that was accepted but is not yet in force in
// all failure domains. The response has been printed.
type IncompleteError struct{ Version uint64 }

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("version %d is accepted but not known to be in force everywhere", e.Version)
}

// command is one command of nutmegctl.
type command struct {
	name, arguments, summary string
	// define registers the flags of the command and returns the function that
	// executes the command.
	define func(*flag.FlagSet) func(*invocation, []string) error
	// open commands need no token.
	open bool
}

var commands = []command{
	{"apply", "FILE|DIRECTORY...", "apply operator files as one new version", defineApply, false},
	{"check", "FILE|DIRECTORY...", "check operator files and change nothing", defineCheck, false},
	{"diff", "FILE|DIRECTORY...", "show what an apply would change", defineDiff, false},
	{"get", "", "print the current configuration as an operator file", defineGet, false},
	{"status", "", "show versions in force and the state of the store", defineStatus, false},
	{"moves", "", "show the moves and their states", defineMoves, false},
	{"explain", "HOST PATH", "show where a request would go and why; without a token, at a daemon on the users' platform", defineExplain, true},
	{"fleet", "", "show the daemons and targets that a daemon on the users' platform sees", defineFleet, true},
	{"workspaces", "", "show the workspaces, their limits and numbers of keys", defineWorkspaces, true},
}

// invocation is one execution of a command.
type invocation struct {
	ctx    context.Context
	client *client
	json   bool
	// token is set if a token was given. Without one, the server is the metrics address
	// of a daemon on the users' platform.
	token bool
	// operation is the idempotency key of an apply, for error reports.
	operation string
	stdout    io.Writer
	stderr    io.Writer
}

// Run executes nutmegctl with the arguments that follow the program name and
// returns the exit code.
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
		return exitOK
	}
	fmt.Fprintf(stderr, "nutmegctl: unknown command %q\n", args[0])
	printUsage(stderr)
	return exitUsage
}

func printUsage(w io.Writer) {
	fmt.Fprintln(w, "usage: nutmegctl COMMAND [ARGUMENT...] -server ADDRESS -token-file FILE")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-10s %-20s %s\n", c.name, c.arguments, c.summary)
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
		return exitOK
	}
	if err != nil {
		return exitUsage // the flag package has printed the error
	}
	s := &invocation{ctx: context.Background(), stdout: stdout, stderr: stderr, json: common.output == outputJSON, token: common.tokenFile != ""}
	s.client, err = common.client(c.open)
	if err == nil {
		defer s.client.http.CloseIdleConnections()
		err = execute(s, positional)
	}
	return s.reportError(err)
}

// reportError prints err, if any, and returns the exit code.
func (s *invocation) reportError(err error) int {
	var usage *UsageError
	var incomplete *IncompleteError
	var failure *admin.Failure
	switch {
	case err == nil:
		return exitOK
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

// KindClient is the kind of client-side errors in the JSON output.
const KindClient admin.Kind = "client"

func (s *invocation) printFailure(failure *admin.Failure) {
	if failure.Operation == "" {
		failure.Operation = s.operation
	}
	if s.json {
		_ = s.printJSON(admin.ErrorBody{Error: failure})
		return
	}
	fmt.Fprintln(s.stderr, "nutmegctl:", failure.Message)
	for _, problem := range failure.Problems {
		fmt.Fprintln(s.stderr, "  "+problem.String())
	}
	if failure.Kind == admin.KindOutcomeUnknown {
		fmt.Fprintf(s.stderr, "Run the same apply with -operation %s to learn the outcome; it is not applied twice.\n", failure.Operation)
	}
}

func (s *invocation) printJSON(value any) error {
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// print writes a response as JSON or as text.
func (s *invocation) print(value any, text func(io.Writer)) error {
	if s.json {
		return s.printJSON(value)
	}
	text(s.stdout)
	return nil
}
