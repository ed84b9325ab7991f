// Command events prints the event catalogue of the daemon.
package main

import (
	"fmt"

	_ "nutmegstand.example/nutmegstand/pkg/daemon" // registers the events of the product's own interface
	_ "nutmegstand.example/nutmegstand/pkg/node"   // and those of the platform's daemon
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

func main() {
	fmt.Print(telemetry.Catalogue())
}
