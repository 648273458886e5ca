package handshake

import (
	"fmt"
	"time"
)

// Config holds the limits that an operator sets. Rates are in handshakes per second of this instance.
type Config struct {
	PerServer          float64       // rate with one server that is past its slow start
	All                float64       // rate with all servers together
	InitialWarmupRatio float64       // ratio of PerServer for a server that has just started; it rises to 1
	WarmWithin         time.Duration // time from a server's start until the ratio is 1
	Burst              float64       // handshakes with one server at once after a pause; All allows one second's worth
}

// maxRate is the largest valid rate or burst.
const maxRate = 1e6

// Validate returns an error that names the first invalid field.
func (c *Config) Validate() error {
	for _, field := range []struct {
		name  string
		value float64
		valid bool
	}{
		{"PerServer", c.PerServer, c.PerServer > 0 && c.PerServer <= maxRate},
		{"All", c.All, c.All >= c.PerServer && c.All <= maxRate},
		{"ColdFrom", c.InitialWarmupRatio, c.InitialWarmupRatio > 0 && c.InitialWarmupRatio <= 1},
		{"WarmWithin", c.WarmWithin.Seconds(), c.WarmWithin >= 0},
		{"Burst", c.Burst, c.Burst >= 1 && c.Burst <= maxRate},
	} {
		if !field.valid {
			return fmt.Errorf("handshake: %s out of range: %v", field.name, field.value)
		}
	}
	return nil
}

// Share returns one instance's share of the limits that hold for all instances together, at least
// minRate handshakes per second with one server. All applies to each instance separately and is
// not divided.
func (c Config) Share(instances int, minRate float64) Config {
	divisor := float64(max(1, instances))
	c.PerServer = max(minRate, c.PerServer/divisor)
	c.All = max(c.PerServer, c.All)
	c.Burst = max(1, c.Burst/divisor)
	return c
}

// warmupRatio returns the ratio of PerServer that applies to a server. startedAt is zero for a
// server that is past its slow start. A start in the future results from unsynchronised clocks and
// counts as a start just now.
func (c *Config) warmupRatio(now, startedAt time.Time) float64 {
	if startedAt.IsZero() || c.WarmWithin <= 0 {
		return 1
	}
	progress := max(0, now.Sub(startedAt).Seconds()/c.WarmWithin.Seconds())
	return min(1, c.InitialWarmupRatio+(1-c.InitialWarmupRatio)*progress)
}
