package replication

import "time"

// Intervals at which the owners of stores send messages. The traffic of one instance does not grow
// with the fleet: the more instances there are, the less often each one writes an entry.
//
// Each instance forwards each entry twice, and a message has capacity for about 11 entries: five
// messages per second carry about 27 entries per second, twice each. If the fleet writes more,
// rumours are discarded for lack of capacity. Anti-entropy then has to repair all of them, but it
// repairs only a few origins of a large fleet at a time. Measured at 300 instances: with 50 entries
// per second, an entry is known by all instances after 7 s in the median and 20 s at the 95th
// percentile; with 25, after 1.5 s and 2.8 s.
const (
	// GossipInterval is the time between two messages of rumours.
	GossipInterval = 200 * time.Millisecond
	// Fanout is the number of other instances that each message of rumours is sent to.
	Fanout = 2
	// AntiEntropyInterval is the time between two comparisons that an instance starts, each with
	// one other instance.
	AntiEntropyInterval = 500 * time.Millisecond
	// FleetAdvertisementRate is the number of entries that all instances together write each second.
	FleetAdvertisementRate = 25
)

// AdvertisementInterval returns the minimum time between two entries of one instance in a fleet of
// the given size.
func AdvertisementInterval(fleetSize int) time.Duration {
	seconds := float64(max(1, fleetSize)) / FleetAdvertisementRate
	return time.Duration(seconds * float64(time.Second))
}
