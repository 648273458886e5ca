package reconcile

import "time"

// Kind is the type of a source. Where sources differ on an endpoint's address, site,
// pod or share, the lower kind is believed.
type Kind uint8

// The kinds of source, in order of precedence.
const (
	Ephemeral Kind = iota // the endpoint's own node, which exists while its session lives
	Discovery             // a service that knows whether the process runs, seconds late
	Static                // the operator's list
)

// String returns the kind as log lines name it.
func (k Kind) String() string {
	return [...]string{"ephemeral", "discovery", "static"}[k]
}

// Config holds the operator's settings.
type Config struct {
	// MaxShrinkRatio is the share of a source's endpoints that may be missing from its
	// first list after an outage, from an older list or from an empty one. If more are
	// missing, they are retained: the source has more likely lost them than they ended.
	MaxShrinkRatio float64
	// HoldTime is how long endpoints are retained, so that they can register anew.
	// After it they are evicted, MaxShrinkRatio at a time, each HoldTime. An empty list
	// evicts nobody.
	HoldTime time.Duration
	// MaxDiscoveryLag bounds how far discovery runs behind. An endpoint whose node
	// vanished without a drain, and that discovery still lists so long after, is running.
	MaxDiscoveryLag time.Duration
}

// DefaultConfig holds the defaults: a third of a fleet; twice the usual session timeout
// of 15 s; discovery's 5 s and 9 s more for when it falls behind.
var DefaultConfig = Config{MaxShrinkRatio: 0.34, HoldTime: 30 * time.Second, MaxDiscoveryLag: 15 * time.Second}

const (
	// minEvictable is how many endpoints may be missing in any case: in a fleet of two,
	// one is half.
	minEvictable = 1

	// removalLinger is how long a vanished endpoint is listed as draining, so that one
	// that returns in the same incarnation keeps its history and needs no new slow start.
	removalLinger = time.Minute

	// flapThreshold is the number of returns within flapWindow from which on an endpoint
	// must stay up before it is believed: for flapBackoff, doubled by each further
	// return up to maxFlapBackoff.
	flapThreshold  = 3
	flapWindow     = 10 * time.Second
	flapBackoff    = time.Second
	maxFlapBackoff = 30 * time.Second

	// maxFlapDoublings keeps the shift of flapBackoff from overflowing.
	maxFlapDoublings = 10

	// minListInterval is the least time between two lists: a burst of changes is one.
	minListInterval = 20 * time.Millisecond

	// discoveryPollInterval is how often an endpoint is looked at again that waits for
	// discovery's next report.
	discoveryPollInterval = time.Second
)
