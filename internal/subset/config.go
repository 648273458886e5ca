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
	Instance string  // name of the instance, unique among all instances
	Site     string  // site of the instance
	Floor    int     // minimum number of servers
	Spread   float64 // further servers per request in flight
	Pods     bool    // rank pods in place of single servers
}

// Validate returns an error that names the first field out of range.
func (c *Config) Validate() error {
	switch {
	case c.Instance == "":
		return fmt.Errorf("subset: Instance is missing: instances without a name choose alike")
	case c.Floor < minFloor || c.Floor > maxFloor:
		return fmt.Errorf("subset: Floor is %d, not %d to %d: a request must find another server",
			c.Floor, minFloor, maxFloor)
	case !(c.Spread >= 0 && c.Spread <= maxSpread): // also rejects NaN
		return fmt.Errorf("subset: Spread is %v, not 0 to %d", c.Spread, maxSpread)
	}
	return nil
}
