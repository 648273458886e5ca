// Command pinedale-register runs beside a server and maintains its ephemeral node: it starts the server, registers it
// once it listens, and on SIGTERM removes the node first, so that clients stop sending requests before the server ends.
package main

import (
	"context"
	"os"

	"pinedale/internal/cli"
)

func main() {
	args := os.Args[1:]
	os.Exit(cli.Execute(context.Background(), rootCommand(args), args, os.Stderr))
}
