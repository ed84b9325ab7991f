// Command events prints the event catalogue of the daemons.
package main

import (
	"fmt"

	_ "nutmegstand.example/nutmegstand/pkg/daemon" // registers the events of the daemon with the native interface
	_ "nutmegstand.example/nutmegstand/pkg/node"   // registers the events of the daemon for the platform
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

func main() {
	fmt.Print(telemetry.Catalogue())
}
