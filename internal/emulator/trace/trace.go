// Package trace records a run of the emulator as lines of JSON: a header with the scenario and its seed, one line for
// each event in order, and an end line with the number of events. A trace without its end line is incomplete.
package trace

// Version is the version of the format.
const Version = 1

// Values of Header.Host: the clock and the network of a run.
const (
	Virtual = "virtual" // virtual time
	Sockets = "sockets" // loopback sockets and the system's clock
)

// Header is the first line of a trace. It holds the text of the scenario file, so that a replay needs only the trace.
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
	KindResponse   Kind = "answer" // the client has the response; Code is 0 if the client disconnected before it
	KindEndpoint   Kind = "member" // an instance learns of a server's state: Code 0 ready, 1 draining, 2 removed
	KindCollapse   Kind = "fall"   // a warming server collapses under overload
)

// Event is one event of a run. Servers, instances and classes are numbered from 1; 0 means none.
type Event struct {
	At       int64  `json:"t"` // microseconds since the start of the run
	Kind     Kind   `json:"k"`
	Number   uint64 `json:"n,omitempty"` // of the request
	Try      int    `json:"y,omitempty"` // number of the client attempt, from 1
	Attempt  int    `json:"a,omitempty"` // number of the attempt within the client attempt, from 1
	Instance int    `json:"i,omitempty"`
	Server   int    `json:"s,omitempty"`
	Class    int    `json:"c,omitempty"`
	Code     int    `json:"r,omitempty"` // of a response, an attempt's result or an endpoint's state
}

// end is the last line of a trace.
type end struct {
	Events *int `json:"events"`
}
