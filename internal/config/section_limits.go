package config

import "time"

const (
	// maxAttempts bounds the attempts of a request; the protocol allows no more.
	maxAttempts = 3
	// bytesPerMB converts limits.memory_mb.
	bytesPerMB = 1 << 20
)

// Limits is the section of limits of the whole instance. It is part of the file's version: see versionText
// before any change.
type Limits struct {
	MemoryMB            int      `toml:"memory_mb" json:"MemoryMB"`
	ClientConnections   int      `toml:"client_connections" json:"ClientConnections"`
	UpstreamConnections int      `toml:"upstream_connections" json:"UpstreamConnections"`
	OpenRequests        int      `toml:"open_requests" json:"OpenRequests"` // max requests in flight
	MaxAttempts         int      `toml:"attempts" json:"Attempts"`          // max attempts of one request
	Hedging             bool     `toml:"second_copies" json:"SecondCopies"`
	LoadProbes          bool     `toml:"probes" json:"Probes"`
	MaxRetryAfter       Duration `toml:"retry_after_most" json:"RetryAfterMost"` // 0 to send no Retry-After
	DialTimeout         Duration `toml:"dial_timeout" json:"DialTimeout"`
	IdleTimeout         Duration `toml:"idle_timeout" json:"IdleTimeout"` // of connections to servers
	TimerSlack          Duration `toml:"timer_slack" json:"TimerSlack"`   // max delay of a timer
	ClockDrift          float64  `toml:"clock_error" json:"ClockError"`   // max relative difference of two clocks' rates
	AdmitRate           float64  `toml:"admit_rate" json:"AdmitRate"`     // requests a second, 0 for no limit
}

// MemoryBytes returns the memory that the process may use.
func (l *Limits) MemoryBytes() int64 { return int64(l.MemoryMB) * bytesPerMB }

func defaultLimits() Limits {
	return Limits{
		MemoryMB:            256,
		ClientConnections:   1024,
		UpstreamConnections: 1024,
		OpenRequests:        20_000,
		MaxAttempts:         3,
		Hedging:             true,
		LoadProbes:          true,
		MaxRetryAfter:       Duration(1500 * time.Millisecond),
		DialTimeout:         Duration(250 * time.Millisecond),
		IdleTimeout:         Duration(5 * time.Second),
		TimerSlack:          Duration(10 * time.Millisecond),
		ClockDrift:          0.0005, // 500 ppm: an ordinary quartz oscillator is within 100
	}
}

// checkLimits checks the [limits] section. checkPolicy checks limits.admit_rate.
func (c *checker) checkLimits() {
	limits := &c.file.Limits
	for _, limit := range [...]struct {
		key   string
		value int
	}{
		{"limits.memory_mb", limits.MemoryMB},
		{"limits.client_connections", limits.ClientConnections},
		{"limits.upstream_connections", limits.UpstreamConnections},
		{"limits.open_requests", limits.OpenRequests},
	} {
		c.Require(limit.value >= 1, limit.key, "%d is not positive", limit.value)
	}
	c.Require(limits.MaxAttempts >= 1 && limits.MaxAttempts <= maxAttempts, "limits.attempts",
		"%d is not in the range 1 to %d: no request may be sent more often", limits.MaxAttempts, maxAttempts)
	c.Require(limits.MaxRetryAfter >= 0, "limits.retry_after_most",
		"%v is negative", time.Duration(limits.MaxRetryAfter))
	c.Positive("limits.dial_timeout", limits.DialTimeout)
	c.Positive("limits.idle_timeout", limits.IdleTimeout)
}
