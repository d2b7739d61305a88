// Command wirehost hosts balancer instances for a simulator, using the protocol of internal/wire on standard input and
// output.
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
