package engine

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"pinedale/balancer"
)

// List is a snapshot of the endpoint list, or changes to it.
type List struct {
	Version  uint64 // of the list with these changes; the source defines the numbers
	Complete bool   // a snapshot
	Hosts    []Host // in changes also removed ones, with their State
}

// Host is one endpoint of a list.
type Host struct {
	Name      string // the same for as long as the endpoint exists, restarts included
	Address   string // host:port
	Site      string
	Kind      string // of machine
	Cell      uint16
	State     balancer.State
	Weight    float32
	StartedMS int64 // its last start, Unix time in milliseconds; 0 for long ago
}

// Validate returns an error that names the first entry and key by which nothing could be sent to
// an endpoint.
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

// Target is one incarnation of an endpoint at one address. It is closed for good once the
// endpoint drains, is removed, moves or restarts. It may be used from any goroutine.
type Target struct {
	Name      string // Host.Name
	Address   string
	StartedMS int64 // Host.StartedMS
	closed    atomic.Bool
}

// Started returns the start of this incarnation, the zero time for long ago.
func (t *Target) Started() time.Time {
	if t.StartedMS <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(t.StartedMS)
}

// Closed reports that nothing new may be sent to the target.
func (t *Target) Closed() bool { return t.closed.Load() }

// Close closes the target for good.
func (t *Target) Close() { t.closed.Store(true) }
