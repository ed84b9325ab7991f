package ctl

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"

	"nutmegstand.example/nutmegstand/pkg/admin"
	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/fleetview"
)

func defineApply(flags *flag.FlagSet) func(*invocation, []string) error {
	operation := flags.String("operation", "", "operation `number`; give the number of an earlier apply to repeat it safely")
	base := flags.Uint64("base-version", 0, "`version` that the files build on; refused if a later one changed the same services")
	wait := flags.Bool("wait", false, "end when the version is in force everywhere, and say where it is not")
	waitTimeout := flags.Duration("wait-timeout", admin.MaxWait, "longest wait of -wait, at most 60s")
	return func(s *invocation, args []string) error {
		if *waitTimeout <= 0 || *waitTimeout > admin.MaxWait {
			return &UsageError{Message: fmt.Sprintf("-wait-timeout must be more than 0 and at most %v", admin.MaxWait)}
		}
		files, err := readFiles(args)
		if err != nil {
			return err
		}
		request := admin.FilesRequest{Operation: *operation, BaseVersion: *base, Files: files}
		if *wait {
			request.WaitMS = waitTimeout.Milliseconds()
		}
		if request.Operation == "" {
			id, err := uuid.NewV7()
			if err != nil {
				return err
			}
			request.Operation = id.String()
		}
		return s.apply(request)
	}
}

func (s *invocation) apply(request admin.FilesRequest) error {
	s.operation = request.Operation
	if !s.json {
		// Printed before the request, so that the operator has the key if the
		// response is lost.
		fmt.Fprintln(s.stdout, "operation", request.Operation)
	}
	var result admin.ApplyResult
	if err := s.client.post(s.ctx, admin.PathApply, request, &result); err != nil {
		return err
	}
	if err := s.print(result, func(w io.Writer) { writeApply(w, result) }); err != nil {
		return err
	}
	if result.Wait != nil && !result.Wait.Complete {
		return &IncompleteError{Version: result.Version}
	}
	return nil
}

// readOnlyCommand defines a command that sends files to path without changing the
// configuration, and prints the response with write.
func readOnlyCommand[T any](path string, write func(io.Writer, T)) func(*flag.FlagSet) func(*invocation, []string) error {
	return func(flags *flag.FlagSet) func(*invocation, []string) error {
		base := flags.Uint64("base-version", 0, "`version` that the files build on")
		return func(s *invocation, args []string) error {
			files, err := readFiles(args)
			if err != nil {
				return err
			}
			var result T
			if err := s.client.post(s.ctx, path, admin.FilesRequest{BaseVersion: *base, Files: files}, &result); err != nil {
				return err
			}
			return s.print(result, func(w io.Writer) { write(w, result) })
		}
	}
}

var defineCheck = readOnlyCommand(admin.PathCheck, func(w io.Writer, result admin.CheckResult) {
	if result.Changes {
		fmt.Fprintf(w, "accepted on version %d, an apply would change it\n", result.BaseVersion)
		return
	}
	fmt.Fprintf(w, "accepted on version %d, an apply would change nothing\n", result.BaseVersion)
})

var defineDiff = readOnlyCommand(admin.PathDiff, func(w io.Writer, diff config.Diff) {
	fmt.Fprint(w, diff.Text())
})

func defineGet(flags *flag.FlagSet) func(*invocation, []string) error {
	service := flags.String("service", "", "print this `service` only")
	return func(s *invocation, args []string) error {
		if err := rejectArguments(args); err != nil {
			return err
		}
		var result admin.ConfigResult
		if err := s.client.get(s.ctx, admin.PathConfig, map[string]string{"service": *service}, &result); err != nil {
			return err
		}
		if s.json {
			return s.printJSON(result)
		}
		return s.printJSON(result.Configuration) // valid as an operator file
	}
}

func defineStatus(*flag.FlagSet) func(*invocation, []string) error {
	return func(s *invocation, args []string) error {
		if err := rejectArguments(args); err != nil {
			return err
		}
		var status admin.Status
		if err := s.client.get(s.ctx, admin.PathStatus, nil, &status); err != nil {
			return err
		}
		return s.print(status, func(w io.Writer) { writeStatus(w, status, time.Now()) })
	}
}

func defineFleet(flags *flag.FlagSet) func(*invocation, []string) error {
	members := flags.Bool("members", false, "show each daemon, not only the sums by zone")
	return func(s *invocation, args []string) error {
		if err := rejectArguments(args); err != nil {
			return err
		}
		var view fleetview.View
		if err := s.client.get(s.ctx, fleetview.Path, nil, &view); err != nil {
			return err
		}
		return s.print(view, func(w io.Writer) { writeFleet(w, view, *members) })
	}
}

func defineMoves(flags *flag.FlagSet) func(*invocation, []string) error {
	service := flags.String("service", "", "show the moves of this `service` only")
	return func(s *invocation, args []string) error {
		if err := rejectArguments(args); err != nil {
			return err
		}
		var moves []admin.MoveStatus
		if err := s.client.get(s.ctx, admin.PathMoves, map[string]string{"service": *service}, &moves); err != nil {
			return err
		}
		return s.print(moves, func(w io.Writer) { writeMoves(w, moves) })
	}
}

func rejectArguments(args []string) error {
	if len(args) > 0 {
		data, _ := json.Marshal(args[0]) // a string always encodes
		return &UsageError{Message: fmt.Sprintf("argument %s is not expected", data)}
	}
	return nil
}
