package cluster

import (
	"log/slog"
	"time"

	"pinedale/balancer"
	"pinedale/internal/keylease"
)

// Agreement says how much a class of requests depends on other instances.
type Agreement uint8

// The levels of agreement.
const (
	AgreeNever  Agreement = iota // each instance decides alone
	AgreeSoon                    // what is known within LeaseTimeout counts, then the request is sent
	AgreeAlways                  // without a majority of voters the request is denied
)

// Class is one class of requests.
type Class struct {
	Name      string // leases are by name: instances may number their classes differently
	Agreement Agreement
}

// Config is the configuration of a Node.
type Config struct {
	Name      string // of this instance, unique in the fleet
	Listen    string // host:port for UDP and TCP
	Advertise string // host:port at which others reach this instance; Listen if empty
	// Join lists other instances as name/host:port. They are contacted until they are alive.
	Join []string
	// Via maps names of instances to the host:port at which they are reached from here, where
	// it differs from what they advertise.
	Via           map[string]string
	Keys          [][]byte // of 16, 24 or 32 bytes: the first encrypts, all decrypt; none: plain text
	Voters        []string // names of the instances that grant leases, the same at all instances
	Classes       []Class  // by number
	LeaseTimeout  time.Duration
	LeaseDuration time.Duration // twice the longest deadline of the classes with agreement
	Site          string
	Build         string
	SlowStartTime time.Duration // for which a server counts as warming up after its start
	// OnDrainAdvisory is called on the engine's goroutine with the servers to hold back: start
	// times in Unix milliseconds by name. Nil if nothing is to be held back.
	OnDrainAdvisory func(now balancer.Micros, draining map[string]int64)
	Log             *slog.Logger
}

const (
	maxLeaseKeys       = 1 << 17
	maxLeaseKeyHolders = 16
)

// leaseLimits bounds the keys that an acceptor remembers.
func (c *Config) leaseLimits() keylease.Limits {
	return keylease.Limits{
		MaxKeys:     maxLeaseKeys,
		MaxHolders:  maxLeaseKeyHolders,
		MaxDuration: max(c.LeaseDuration, time.Millisecond),
	}
}

// agreement returns a class's level of agreement: AgreeNever for an unknown class.
func (c *Config) agreement(class uint8) Agreement {
	if int(class) >= len(c.Classes) {
		return AgreeNever
	}
	return c.Classes[class].Agreement
}
