// Command brasswell is a proxy that balances requests before one tier of a service, and its tools.
package main

import (
	"context"
	"os"

	"brasswell/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}
