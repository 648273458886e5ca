// Command pinedale-bench runs the measurements that are too long for the tests. All of them use only the loopback
// interface, and end by themselves.
//
//	main.go        starts the command that the arguments select, or a process that is measured
//	root.go        the commands, and the code that they share
//	extproc.go     verdicts, fronts, noop
//	membership.go  removal, nodes
//	security.go    rotations, handshakes, tls, reconnect
//	load.go        servers, tenants, newcomer, departures
//	state.go       gossip, properties
package main

import (
	"context"
	"fmt"
	"maps"
	"os"

	"pinedale/internal/cli"
	"pinedale/internal/measure/extproc"
	"pinedale/internal/measure/process"
	"pinedale/internal/measure/tlscost"
	"pinedale/internal/measure/zookeeper"
)

func main() {
	if started, err := process.Main(processKinds()); started {
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(cli.Execute(context.Background(), newRoot(os.Stdout), os.Args[1:], os.Stderr))
}

// processKinds returns the kinds of processes that the measurements start from this program's executable.
func processKinds() process.Kinds {
	kinds := process.Kinds{}
	maps.Copy(kinds, extproc.Kinds)
	maps.Copy(kinds, zookeeper.Kinds)
	maps.Copy(kinds, tlscost.Kinds)
	return kinds
}
