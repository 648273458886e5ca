// Command pinedale-proxy runs pinedale in installations that an operator manages. The operator's TOML file configures
// its fronts and its sources of membership.
package main

import (
	"context"
	"os"

	"pinedale/internal/cli"
)

func main() {
	os.Exit(cli.Execute(context.Background(), rootCommand(os.Stdout), os.Args[1:], os.Stderr))
}
