package handshake

import (
	"fmt"
	"time"
)

// Config is what an operator allows. Rates are in handshakes per second of this instance.
type Config struct {
	PerServer          float64       // rate with one server that is not warming up
	All                float64       // rate with all servers together
	InitialWarmupRatio float64       // ratio of PerServer for a server that has just started; it rises to 1
	WarmWithin         time.Duration // time from a server's start until the ratio is 1
	Burst              float64       // handshakes with one server at once after a pause; All allows one second's worth
}

// maxRate is the largest valid rate and burst.
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
			return fmt.Errorf("handshake: %s is %v", field.name, field.value)
		}
	}
	return nil
}

// Share returns one instance's part of what all instances together may use of a server, at least
// minRate handshakes per second. All applies to each instance by itself and is not divided.
func (c Config) Share(instances int, minRate float64) Config {
	divisor := float64(max(1, instances))
	c.PerServer = max(minRate, c.PerServer/divisor)
	c.All = max(c.PerServer, c.All)
	c.Burst = max(1, c.Burst/divisor)
	return c
}

// warmupRatio returns the ratio of its rate that a server may be given. startedAt is zero for a
// server that has long been running. A start in the future is the effect of unsynchronised
// clocks: the server has just started.
func (c *Config) warmupRatio(now, startedAt time.Time) float64 {
	if startedAt.IsZero() || c.WarmWithin <= 0 {
		return 1
	}
	progress := max(0, now.Sub(startedAt).Seconds()/c.WarmWithin.Seconds())
	return min(1, c.InitialWarmupRatio+(1-c.InitialWarmupRatio)*progress)
}
