package faulttest

import (
	"time"

	"pinedale/internal/standin/fakebackend"
)

// A run and its server process exchange JSON values over the standard input and output of the server process. The run
// sends a serverSpec, and the process responds with the addresses of the servers in order. The run then sends any
// number of serverCommands, and the process responds to each with a serverResponse. It exits at the end of its input.

// serverSpec describes the servers to start.
type serverSpec struct {
	Servers     []serverIdentity
	Seed        uint64
	ServiceTime time.Duration // of a request
	Faults      fakebackend.Faults
}

// serverIdentity is the name and the pod of a server.
type serverIdentity struct {
	Name string
	Pod  int
}

// serverAction is what a serverCommand requests.
type serverAction string

// The actions that a server process executes.
const (
	actionStopServer  serverAction = "stop"
	actionStartServer serverAction = "start" // at its previous address
	actionReport      serverAction = "report"
)

// serverCommand is a command to the server process.
type serverCommand struct {
	Action serverAction
	Server string // name of the server to stop or start
}

// serverResponse is the response to a serverCommand.
type serverResponse struct {
	Error  string        // why the action failed, or ""
	Report *serverReport // for actionReport
}

// serverReport is what the servers have observed so far.
type serverReport struct {
	Executions       map[string]int // of each effect
	DuplicateEffects []string       // effects executed more often than their class allows
	Stalls           []stall        // of the server process
}
