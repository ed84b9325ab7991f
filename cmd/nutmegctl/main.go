// Command nutmegctl is the command-line client of the administration API. It can
// use the API of any daemon.
package main

import (
	"os"

	"nutmegstand.example/nutmegstand/pkg/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
