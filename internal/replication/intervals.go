package replication

import "time"

// How often the owners of stores send messages. The traffic of one instance does not grow with
// the fleet: the more instances there are, the less often each one writes an entry.
//
// Each instance passes each entry on twice, and a message has capacity for about 11 entries:
// five messages a second carry about 27 entries a second, twice each. If the fleet writes more,
// rumours are discarded for lack of capacity and anti-entropy has to find them all, which
// repairs only a few origins of a large fleet at a time. Measured at 300 instances: at 50
// entries a second, an entry is known by all instances after 7 s in the median and 20 s at the
// 95th percentile; at 25, after 1.5 s and 2.8 s.
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

// AdvertisementInterval returns the least time between two entries that one of instances writes.
func AdvertisementInterval(instances int) time.Duration {
	return time.Duration(float64(max(1, instances)) / FleetAdvertisementRate * float64(time.Second))
}
