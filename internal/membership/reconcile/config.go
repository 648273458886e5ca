package reconcile

import "time"

// Kind is the type of a source. If sources differ on the address, site, pod or share of the same
// incarnation of an endpoint, the lower kind takes precedence.
type Kind uint8

// The kinds of source, in order of precedence.
const (
	Ephemeral Kind = iota // the endpoint's own node, which exists until its session ends
	Discovery             // a service that reports whether the process runs, with a delay of seconds
	Static                // the operator's list
)

// String returns the kind as log lines name it.
func (k Kind) String() string {
	return [...]string{"ephemeral", "discovery", "static"}[k]
}

// Config holds the operator's settings.
type Config struct {
	// MaxShrinkRatio is the fraction of a source's endpoints that may be missing from its first
	// list after an outage or from a list with a lower version than the previous one. If more are
	// missing, or the list is empty, they are retained: it is more likely that the source lost
	// them than that they ended.
	MaxShrinkRatio float64
	// HoldTime is how long endpoints are retained, so that they can register again. After that
	// they are evicted, MaxShrinkRatio at a time, once per HoldTime. While the list is empty,
	// none are evicted.
	HoldTime time.Duration
	// MaxDiscoveryLag is the maximum delay of discovery. If an endpoint's node vanished without
	// a drain, and discovery still lists the endpoint after this delay, it is running.
	MaxDiscoveryLag time.Duration
}

// DefaultConfig holds the default settings.
var DefaultConfig = Config{
	MaxShrinkRatio:  0.34,             // a third of a fleet
	HoldTime:        30 * time.Second, // twice the usual session timeout of 15 s
	MaxDiscoveryLag: 15 * time.Second, // discovery's usual lag of 5 s, and time for it to catch up
}

const (
	// minEvictable is how many endpoints may be missing regardless of MaxShrinkRatio, so that one
	// endpoint of a fleet of two may be missing.
	minEvictable = 1

	// removalLinger is how long a vanished endpoint is listed as draining. If it returns in the
	// same incarnation within that time, it keeps its history and needs no slow start.
	removalLinger = time.Minute

	// An endpoint that returns flapThreshold times, each time within flapWindow of the previous
	// return, counts as up only after it has stayed up for a backoff: flapBackoff, doubled by each
	// further return up to maxFlapBackoff.
	flapThreshold  = 3
	flapWindow     = 10 * time.Second
	flapBackoff    = time.Second
	maxFlapBackoff = 30 * time.Second

	// maxFlapDoublings prevents an overflow when flapBackoff is doubled.
	maxFlapDoublings = 10

	// minListInterval is the minimum time between two lists. It combines a burst of changes into
	// one list.
	minListInterval = 20 * time.Millisecond

	// discoveryPollInterval is the interval at which an endpoint is decided on again while the
	// decision depends on discovery's next report.
	discoveryPollInterval = time.Second
)
