// Command pinedale-faulttest runs processes of pinedale-proxy with servers and clients on loopback, injects faults
// between them, and checks the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"pinedale/internal/cli"
	"pinedale/internal/faulttest"
)

const programName = "pinedale-faulttest"

func main() { os.Exit(run()) }

// run executes the command line, or runs the servers if faulttest.Run has started this process as its server process.
// It returns the exit code.
func run() int {
	if served, err := faulttest.ServeIfServerProcess(); served {
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
			return 1
		}
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cli.Execute(ctx, newRootCommand(os.Stdout), os.Args[1:], os.Stderr)
}
