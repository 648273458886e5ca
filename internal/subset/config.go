package subset

import "fmt"

// Bounds of the fields of Config.
const (
	lowestMinSize      = 2 // a retry needs a second server
	highestMinSize     = 1_000_000
	highestPerInFlight = 1000
)

// Config holds the parameters of one instance's selection.
type Config struct {
	Instance    string  // name of the instance, unique among all instances
	Site        string  // site of the instance
	MinSize     int     // minimum number of servers
	PerInFlight float64 // further servers per request in flight
	RankPods    bool    // rank pods instead of single servers
}

// ConfigError reports a field of Config that is missing or out of range.
type ConfigError struct {
	Field  string // name of the field of Config
	Reason string
}

// Error names the field and the reason.
func (e *ConfigError) Error() string { return "subset: " + e.Field + " " + e.Reason }

// Validate returns a *ConfigError for the first field that is missing or out of range.
func (c *Config) Validate() error {
	switch {
	case c.Instance == "":
		return &ConfigError{
			Field:  "Instance",
			Reason: "is missing: instances without a name would select the same servers",
		}
	case c.MinSize < lowestMinSize || c.MinSize > highestMinSize:
		return &ConfigError{
			Field:  "MinSize",
			Reason: fmt.Sprintf("is %d, want %d to %d", c.MinSize, lowestMinSize, highestMinSize),
		}
	case !(c.PerInFlight >= 0 && c.PerInFlight <= highestPerInFlight): // also rejects NaN
		return &ConfigError{
			Field:  "PerInFlight",
			Reason: fmt.Sprintf("is %v, want 0 to %d", c.PerInFlight, highestPerInFlight),
		}
	}
	return nil
}
