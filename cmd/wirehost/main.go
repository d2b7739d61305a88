// Command wirehost hosts balancer instances for a simulator that speaks internal/wire on the standard streams.
package main

import (
	"fmt"
	"os"

	"brasswell/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
