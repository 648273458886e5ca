package schedule

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pinedale/internal/tomlfile"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults of processes. Fault.Target names the process.
const (
	Kill      Kind = "kill"  // an instance receives SIGKILL and is restarted at the end of the fault
	Terminate Kind = "term"  // an instance receives SIGTERM and is restarted at the end of the fault
	Suspend   Kind = "stop"  // an instance receives SIGSTOP, and SIGCONT at the end of the fault
	Upgrade   Kind = "build" // an instance receives SIGTERM and is restarted with another build, which it keeps

	// DuplicateInstance suspends an instance and starts a second process with its name at other addresses.
	// Halfway through the fault the first process is resumed, and it is killed at the end.
	DuplicateInstance Kind = "twin"

	StopServer  Kind = "server" // a server loses its connections and its state, and is restarted at the end
	DrainServer Kind = "drain"  // discovery advertises that a server drains; the server is restarted at the end
)

// The kinds of faults of network paths. They affect the path from Fault.Target to Fault.Destination, and the
// opposite path as well if Fault.Bidirectional is set. Loss, Duplicate, Reorder and Corrupt affect datagrams only,
// each with probability Fault.Probability.
const (
	Partition        Kind = "cut"    // nothing is delivered
	Loss             Kind = "loss"   // a datagram is lost
	Duplicate        Kind = "double" // a datagram is delivered twice
	Reorder          Kind = "swap"   // a datagram is delivered after the next one
	Corrupt          Kind = "spoil"  // one bit of a datagram is flipped
	Latency          Kind = "slow"   // delivery of datagrams and streams takes Fault.Delay longer
	ResetConnections Kind = "break"  // established connections are reset when the fault starts
)

var (
	processKinds     = []Kind{Kill, Terminate, Suspend, Upgrade, DuplicateInstance, StopServer, DrainServer}
	pathKinds        = []Kind{Partition, Loss, Duplicate, Reorder, Corrupt, Latency, ResetConnections}
	probabilityKinds = []Kind{Loss, Duplicate, Reorder, Corrupt}
)

// affectsProcess reports whether a fault of this kind has one process as its target.
func (k Kind) affectsProcess() bool { return slices.Contains(processKinds, k) }

// affectsPath reports whether a fault of this kind affects a network path.
func (k Kind) affectsPath() bool { return slices.Contains(pathKinds, k) }

// hasProbability reports whether a fault of this kind affects each datagram with a probability.
func (k Kind) hasProbability() bool { return slices.Contains(probabilityKinds, k) }

// Endpoints of network paths other than instances and servers.
const (
	Clients   = "clients"   // all clients
	Discovery = "discovery" // the discovery service of the instance at the other end of the path
)

// Fault is one fault of a schedule.
type Fault struct {
	Kind          Kind              `toml:"kind" json:"kind"`
	Start         tomlfile.Duration `toml:"at" json:"at"` // after the start of the load
	Duration      tomlfile.Duration `toml:"for" json:"for"`
	Target        string            `toml:"of" json:"of"`                 // the process, or one end of the path
	Destination   string            `toml:"to" json:"to,omitempty"`       // the other end of the path
	Bidirectional bool              `toml:"both" json:"both,omitempty"`   // for faults of paths
	Probability   float64           `toml:"share" json:"share,omitempty"` // for the kinds that affect datagrams
	Delay         tomlfile.Duration `toml:"delay" json:"delay,omitempty"` // for Latency
}

// StartTime returns the time from the start of the load to the start of the fault.
func (f *Fault) StartTime() time.Duration { return time.Duration(f.Start) }

// EndTime returns the time from the start of the load to the end of the fault.
func (f *Fault) EndTime() time.Duration { return time.Duration(f.Start) + time.Duration(f.Duration) }

// String describes the fault in one line.
func (f Fault) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%v to %v %s of %s", f.StartTime(), f.EndTime(), f.Kind, f.Target)
	if f.Destination != "" {
		arrow := "to"
		if f.Bidirectional {
			arrow = "and"
		}
		fmt.Fprintf(&text, " %s %s", arrow, f.Destination)
	}
	if f.Probability > 0 {
		fmt.Fprintf(&text, ", %.0f%%", 100*f.Probability)
	}
	if f.Delay > 0 {
		fmt.Fprintf(&text, ", %v", time.Duration(f.Delay))
	}
	return text.String()
}
