package replica

import "time"

// The pace of those who hold stores. At it each hears each entry about four times, and what an
// instance sends and hears does not grow with the fleet: the more there are, the more seldom
// each tells.
const (
	RumourEvery  = 200 * time.Millisecond
	Fanout       = 2                      // others that are told the same rumours
	CompareEvery = 500 * time.Millisecond // with one other: all have compared with somebody within a second
	Tellings     = 50                     // entries a second that all instances together write
)

// TellEvery is the least time between two entries that one of n instances writes.
func TellEvery(n int) time.Duration {
	return time.Duration(float64(max(1, n)) / Tellings * float64(time.Second))
}
