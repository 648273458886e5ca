package replication

import "time"

// The pace of those who hold stores. What an instance sends and hears does not grow with the
// fleet: the more there are, the more seldom each tells. Each passes each entry on twice, and
// a message has room for some 11 entries: five messages a second carry 27 entries a second,
// twice each. With more tellings than that rumours are dropped for want of room, and the
// comparisons, of which one brings few of a large fleet's origins in line, have to find them
// all (measured at 300 instances with 50 a second: known by all after 7 s in the median, 20 s
// for one of twenty; with 25, 1.5 and 2.8 s).
const (
	GossipInterval         = 200 * time.Millisecond
	Fanout                 = 2                      // others that are told the same rumours
	AntiEntropyInterval    = 500 * time.Millisecond // with one other: all have compared with somebody within a second
	FleetAdvertisementRate = 25                     // entries a second that all instances together write
)

// AdvertisementInterval is the least time between two entries that one of n instances writes.
func AdvertisementInterval(n int) time.Duration {
	return time.Duration(float64(max(1, n)) / FleetAdvertisementRate * float64(time.Second))
}
