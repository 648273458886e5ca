package faulttest

import (
	"time"

	"pinedale/internal/standin/fakebackend"
)

// A run and the process of its servers exchange JSON values over that process's standard input and output. The run
// sends a serverSpec, which is answered with the addresses of the servers in order, and then any number of
// serverCommands, each of which is answered with a serverResponse. The process exits at the end of its input.

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

// The actions.
const (
	actionStopServer  serverAction = "stop"
	actionStartServer serverAction = "start" // at the address that the server had before
	actionReport      serverAction = "report"
)

// serverCommand requests an action.
type serverCommand struct {
	Action serverAction
	Server string // name, of the server to stop or start
}

// serverResponse answers a serverCommand.
type serverResponse struct {
	Error  string        // why the action failed, "" if it did not
	Report *serverReport // for actionReport
}

// serverReport is what the servers have observed so far.
type serverReport struct {
	Executions       map[string]int // of each effect
	DuplicateEffects []string       // effects that must be executed at most once and were not
	Stalls           []stall        // of the servers' process
}
