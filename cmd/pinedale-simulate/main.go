// Command pinedale-simulate runs scenarios of load and faults: the real engine and decision module against emulated
// servers, on virtual time or on loopback sockets.
package main

import (
	"context"
	"os"

	"pinedale/internal/cli"
)

func main() {
	root := rootCommand(os.Stdout, terminalProgress(os.Stderr))
	os.Exit(cli.Execute(context.Background(), root, os.Args[1:], os.Stderr))
}
