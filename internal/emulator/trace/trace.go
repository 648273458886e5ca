// Package trace records a run of the emulator as lines of JSON: a header with the scenario and its seed, one line for
// each event in order, and an end with the number of events, without which a trace is incomplete.
package trace

// Version is the version of the format.
const Version = 1

// Hosts of a run.
const (
	Virtual = "virtual" // virtual time
	Sockets = "sockets" // loopback sockets and the system's clock
)

// Header is the first line of a trace. It holds the text of the scenario file, so that the trace is all that a replay
// needs.
type Header struct {
	FormatVersion int    `json:"pinedale_trace"`
	Host          string `json:"host"`
	Policy        string `json:"policy"`
	Seed          uint64 `json:"seed"`
	Scenario      string `json:"scenario"`
}

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	KindRequest    Kind = "ask"    // a client sends an attempt to an instance
	KindAttempt    Kind = "send"   // the instance sends an attempt to a server
	KindAttemptEnd Kind = "end"    // the instance has the result of an attempt; Code is its balancer.Status
	KindResponse   Kind = "answer" // the client has the response; Code is 0 if the client disconnected before
	KindEndpoint   Kind = "member" // an instance learns of a server's state: Code 0 ready, 1 draining, 2 removed
	KindCollapse   Kind = "fall"   // a server collapses
)

// Event is one event of a run. Servers, instances and classes count from 1; 0 stands for none.
type Event struct {
	At       int64  `json:"t"` // microseconds since the start
	Kind     Kind   `json:"k"`
	Number   uint64 `json:"n,omitempty"` // of the request
	Try      int    `json:"y,omitempty"` // number of the client attempt, from 1
	Attempt  int    `json:"a,omitempty"` // number of the attempt for this client attempt, from 1
	Instance int    `json:"i,omitempty"`
	Server   int    `json:"s,omitempty"`
	Class    int    `json:"c,omitempty"`
	Code     int    `json:"r,omitempty"` // of a response, an attempt's end or an endpoint
}

// end is the last line of a trace.
type end struct {
	Events *int `json:"events"`
}
