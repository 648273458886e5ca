package model

import "time"

// Config describes the machine of a server.
type Config struct {
	Cores        int
	Speed        float64 // of a core: work done in a unit of time
	SlotsPerCore int     // requests processed at once
	QueuePerCore int     // requests that wait; the server rejects further ones

	// Each request that a core holds beyond ThrashThreshold costs ThrashRatio of the core's efficiency.
	ThrashRatio     float64
	ThrashThreshold float64

	SlowStartRatio float64       // ratio of its capacity that a server has when it starts
	SlowStartTime  time.Duration // time from a server's start until it has its full capacity
	WarmByWork     bool          // work done can end slow start before SlowStartTime

	// A warming server collapses when the work that it is sent within OverloadWindow exceeds OverloadMultiple times
	// its capacity at that moment. It never collapses if OverloadMultiple is 0.
	OverloadMultiple float64
	OverloadWindow   time.Duration

	PauseInterval time.Duration // mean time between two pauses; 0 for no pauses
	PauseDuration time.Duration // mean

	ReportInterval time.Duration // time between two load reports; 0 for no reports
	ReportDelay    time.Duration // age of a load report when it is sent
	ReportNoise    float64       // highest relative error of a load report

	MaxConnections int           // open at once; 0 for no limit
	HandshakeWork  time.Duration // work of a core for a new connection
	ProbeWork      time.Duration // work of a core for a load probe

	// The server caches data by affinity key. A hit saves a ratio of a request's work.
	KeyCacheSize    int // least recently used keys are evicted; 0 for no cache
	KeyCacheSavings float64
	KeyCacheTTL     time.Duration
}

// capacity returns the work that the machine does in a second after slow start.
func (c *Config) capacity() float64 { return float64(c.Cores) * c.Speed }

// slots returns how many requests the machine processes at once.
func (c *Config) slots() int { return c.Cores * c.SlotsPerCore }

// queueSize returns how many requests can wait.
func (c *Config) queueSize() int { return c.Cores * c.QueuePerCore }
