// Command pinedale-proxy is pinedale for installations of the operator's own: the fronts and the sources of
// membership are those that the operator's TOML file configures.
package main

import (
	"context"
	"os"

	"pinedale/internal/cli"
)

func main() {
	os.Exit(cli.Execute(context.Background(), rootCommand(os.Stdout), os.Args[1:], os.Stderr))
}
