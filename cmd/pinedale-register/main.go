// Command pinedale-register keeps a server's ephemeral node alive beside it: it starts the server, registers it once
// it listens, and on SIGTERM removes the node first, so that no new requests come when the server ends.
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
