package subset

import "fmt"

// Bounds of Config.
const (
	minFloor  = 2 // a retry must find another server
	maxFloor  = 1_000_000
	maxSpread = 1000
)

// Config holds the parameters of one instance's selection.
type Config struct {
	Instance    string  // name of the instance, unique among all instances
	Site        string  // site of the instance
	MinSize     int     // minimum number of servers
	PerInFlight float64 // further servers per request in flight
	RankPods    bool    // rank pods in place of single servers
}

// Validate returns an error that names the first field out of range.
func (c *Config) Validate() error {
	switch {
	case c.Instance == "":
		return fmt.Errorf("subset: Instance is missing: instances without a name choose alike")
	case c.MinSize < minFloor || c.MinSize > maxFloor:
		return fmt.Errorf("subset: Floor is %d, not %d to %d: a request must find another server",
			c.MinSize, minFloor, maxFloor)
	case !(c.PerInFlight >= 0 && c.PerInFlight <= maxSpread): // also rejects NaN
		return fmt.Errorf("subset: Spread is %v, not 0 to %d", c.PerInFlight, maxSpread)
	}
	return nil
}
