// Command simhost runs balancers behind the simulator's protocol: it reads batches of events from standard input and
// writes one reply for each batch to standard output. It ends at the end of input, or with an error at a malformed
// frame. If an instance panics or has invalid settings, simhost writes an exception record and keeps the other
// instances running.
package main

import (
	"bufio"
	"fmt"
	"os"
	"runtime/debug"
)

const (
	inputBufferBytes = 1 << 18
	gcPercent        = 400 // the steady state allocates nothing, so the collector may run rarely
)

func main() {
	debug.SetGCPercent(gcPercent)
	input := bufio.NewReaderSize(os.Stdin, inputBufferBytes)
	if err := run(input, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
