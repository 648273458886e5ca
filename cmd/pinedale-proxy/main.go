// Command pinedale-proxy is pinedale for installations of the operator's own: the fronts and the sources of
// membership are those that the operator's TOML file configures.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := rootCommand(os.Stdout).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "pinedale-proxy:", err)
		os.Exit(1)
	}
}
