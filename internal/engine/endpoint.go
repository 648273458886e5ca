package engine

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"pinedale/balancer"
)

// List is a snapshot of the endpoint list, or a set of changes to it.
type List struct {
	Version  uint64 // of the list after these changes; numbered by the source
	Complete bool   // whether the list is a snapshot
	Hosts    []Host // changes include removed endpoints, with State Removed
}

// Host is one endpoint of a list.
type Host struct {
	Name      string // constant for the lifetime of the endpoint, including restarts
	Address   string // host:port
	Site      string
	Kind      string // of the machine
	Cell      uint16
	State     balancer.State
	Weight    float32
	StartedMS int64 // last start, Unix time in milliseconds; 0 if long ago
}

// Validate returns an error that names the first entry without a name or, among ready endpoints,
// without a valid address, and the key at fault.
func (l *List) Validate() error {
	for i, h := range l.Hosts {
		if h.Name == "" {
			return fmt.Errorf("hosts[%d].host is missing", i)
		}
		if h.State != balancer.Ready {
			continue
		}
		if _, _, err := net.SplitHostPort(h.Address); err != nil {
			return fmt.Errorf("hosts[%d].dial: %q is not host:port", i, h.Address)
		}
	}
	return nil
}

// Target is one incarnation of an endpoint at one address. It is closed permanently once the
// endpoint drains, is removed, moves or restarts. It is safe for concurrent use.
type Target struct {
	Name      string // Host.Name
	Address   string
	StartedMS int64 // Host.StartedMS
	closed    atomic.Bool
}

// Started returns the start time of this incarnation, or the zero time if it started long ago.
func (t *Target) Started() time.Time {
	if t.StartedMS <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(t.StartedMS)
}

// Closed reports whether the target takes no new requests.
func (t *Target) Closed() bool { return t.closed.Load() }

// Close closes the target permanently.
func (t *Target) Close() { t.closed.Store(true) }
