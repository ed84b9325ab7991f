// Command runtests runs the test suite with the race detector. Failures of the tests
// that are listed in KNOWN-RED.txt are printed but do not fail the run; any other
// failure does.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

const knownRedFile = "KNOWN-RED.txt"

// testEvent is one event in the output of go test -json.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

func main() {
	knownRed, err := readKnownRed(knownRedFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	args := append([]string{"test", "-json", "-race", "-count=1"}, os.Args[1:]...)
	cmd := exec.Command("go", append(args, "./...")...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	result := collect(out, knownRed)
	runErr := cmd.Wait()
	os.Exit(result.report(os.Stdout, runErr))
}

// readKnownRed returns the tests that are listed in lines of the form
// "test: PACKAGE NAME".
func readKnownRed(name string) (map[string]bool, error) {
	knownRed := map[string]bool{}
	file, err := os.Open(name)
	if os.IsNotExist(err) {
		return knownRed, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		rest, ok := strings.CutPrefix(scanner.Text(), "test: ")
		if fields := strings.Fields(rest); ok && len(fields) == 2 {
			knownRed[fields[0]+" "+fields[1]] = true
		}
	}
	return knownRed, scanner.Err()
}

// summary is the result of one run of the test suite.
type summary struct {
	passed, skipped, knownRed int
	failed                    []string
	brokenPackages            []string
}

func collect(out io.Reader, knownRed map[string]bool) *summary {
	result := &summary{}
	output := map[string][]string{}
	knownRedInPackage := map[string]bool{}
	failedInPackage := map[string]bool{}
	decoder := json.NewDecoder(out)
	for {
		var event testEvent
		if err := decoder.Decode(&event); err != nil {
			return result
		}
		id := event.Package + " " + event.Test
		switch event.Action {
		case "output", "build-output":
			output[id] = append(output[id], event.Output)
			continue
		case "pass":
			if event.Test != "" {
				result.passed++
			} else {
				fmt.Printf("ok %s\n", event.Package)
			}
		case "skip":
			if event.Test != "" {
				result.skipped++
			}
		case "fail":
			result.addFailure(event, knownRed, knownRedInPackage, failedInPackage)
			fmt.Print(strings.Join(output[id], ""))
			if event.Test == "" {
				printUnfinished(event.Package, output)
			}
		}
		delete(output, id)
	}
}

// printUnfinished prints the output of the tests that were still running when the
// test process of their package exited.
func printUnfinished(pkg string, output map[string][]string) {
	for id, lines := range output {
		if strings.HasPrefix(id, pkg+" ") && id != pkg+" " {
			fmt.Print(strings.Join(lines, ""))
		}
	}
}

func (s *summary) addFailure(event testEvent, knownRed, knownRedInPackage, failedInPackage map[string]bool) {
	root, _, isSubtest := strings.Cut(event.Test, "/")
	id := event.Package + " " + event.Test
	switch {
	case event.Test == "":
		if !knownRedInPackage[event.Package] && !failedInPackage[event.Package] {
			s.brokenPackages = append(s.brokenPackages, event.Package)
		}
	case knownRed[id] || knownRed[event.Package+" "+root]:
		knownRedInPackage[event.Package] = true
		if !isSubtest {
			s.knownRed++
			fmt.Printf("known red: %s\n", id)
		}
	default:
		failedInPackage[event.Package] = true
		s.failed = append(s.failed, id)
	}
}

func (s *summary) report(w io.Writer, runErr error) int {
	for _, id := range s.failed {
		fmt.Fprintln(w, "FAILED:", id)
	}
	for _, pkg := range s.brokenPackages {
		fmt.Fprintln(w, "FAILED to build or run:", pkg)
	}
	failures := len(s.failed) + len(s.brokenPackages)
	if runErr != nil && failures == 0 && s.knownRed == 0 {
		fmt.Fprintln(w, "FAILED:", runErr)
		failures++
	}
	fmt.Fprintf(w, "%d known red\n", s.knownRed)
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", s.passed, failures, s.skipped)
	if failures > 0 || s.passed == 0 {
		return 1
	}
	return 0
}
