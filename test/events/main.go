// Command events prints the event catalogue of the daemon.
package main

import (
	"fmt"

	_ "nutmegstand.example/nutmegstand/pkg/daemon" // registers the events of every package
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

func main() {
	fmt.Print(telemetry.Catalogue())
}
