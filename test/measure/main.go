// Command measure runs the full part of every measurement and prints one JSON
// object per line. It exits with a non-zero status if a line is not OK or a
// measurement fails.
package main

import (
	"fmt"
	"os"
	"os/exec"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run() error {
	file, err := os.CreateTemp("", "measure-*.jsonl")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name())
	defer file.Close()
	cmd := exec.Command("go", "test", "-count=1", "-timeout=290s", "-p=1", "./test/measure/...")
	cmd.Env = append(os.Environ(), "NUTMEGSTAND_MEASURE_FULL=1", "NUTMEGSTAND_MEASURE_FILE="+file.Name())
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	runErr := cmd.Run()
	if _, err := file.WriteTo(os.Stdout); err != nil {
		return err
	}
	return runErr
}
