// Command pinedale-faulttest runs processes of pinedale-proxy with servers and clients on loopback, injects faults
// between them, and checks the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"pinedale/internal/faulttest"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "pinedale-faulttest:", err)
		os.Exit(1)
	}
}

// run executes the command line, or runs the servers in a process that faulttest.Run has started for that.
func run() error {
	if served, err := faulttest.ServeIfServerProcess(); served {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return newRootCommand(os.Stdout).ExecuteContext(ctx)
}
