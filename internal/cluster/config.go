package cluster

import (
	"log/slog"
	"time"

	"pinedale/balancer"
	"pinedale/internal/keylease"
)

// Agreement is whether requests of a class need a lease from a majority of voters.
type Agreement uint8

// Levels of agreement.
const (
	AgreeNever  Agreement = iota // requests are sent without a lease
	AgreeSoon                    // the request is sent after LeaseTimeout even without a majority of voters
	AgreeAlways                  // the request is denied without a majority of voters
)

// Class is one class of requests.
type Class struct {
	Name      string // identifies the class in leases: instances may number their classes differently
	Agreement Agreement
}

// PostFunc posts an event to the engine's goroutine, and returns once the event is queued or the
// engine has ended. The node calls it from its own goroutines, never from the engine's.
type PostFunc func(event func(now balancer.Micros))

// Config is the configuration of a Node.
type Config struct {
	Name      string // of this instance, unique in the fleet
	Listen    string // host:port for UDP and TCP
	Advertise string // host:port at which others reach this instance; Listen if empty
	// Join lists other instances as name/host:port. The node contacts those not known to be alive.
	Join []string
	// AddressMap maps names of instances to the host:port at which this instance reaches them, if
	// that differs from the address that they advertise.
	AddressMap map[string]string
	// Keys encrypt messages. Each has 16, 24 or 32 bytes. The first key encrypts, all keys
	// decrypt. Without keys, messages are sent in plain text.
	Keys          [][]byte
	Voters        []string // names of the instances that grant leases, the same at all instances
	Classes       []Class  // by number
	LeaseTimeout  time.Duration
	LeaseDuration time.Duration // twice the longest deadline of the classes that need leases
	Site          string
	Build         string
	SlowStartTime time.Duration // how long a server counts as warming up after its start
	// OnDrainAdvisory is called on the engine's goroutine with the servers that get no new
	// requests: their start times in Unix milliseconds by name. If it is nil, there are no advisories.
	OnDrainAdvisory func(now balancer.Micros, draining map[string]int64)
	Log             *slog.Logger
}

// Bounds on the state of an acceptor.
const (
	maxLeaseKeys       = 1 << 17
	maxLeaseKeyHolders = 16
)

func (c *Config) leaseLimits() keylease.Limits {
	return keylease.Limits{
		MaxKeys:     maxLeaseKeys,
		MaxHolders:  maxLeaseKeyHolders,
		MaxDuration: max(c.LeaseDuration, time.Millisecond),
	}
}

// agreement returns the level of agreement of a class, AgreeNever for an unknown class.
func (c *Config) agreement(class uint8) Agreement {
	if int(class) >= len(c.Classes) {
		return AgreeNever
	}
	return c.Classes[class].Agreement
}
