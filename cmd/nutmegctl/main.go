// Command nutmegctl is the operators' tool: it talks to the administration API
// of any daemon.
package main

import (
	"os"

	"nutmegstand.example/nutmegstand/pkg/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
