package model

import "time"

// Config is one server's machine.
type Config struct {
	Cores           int
	Speed           float64 // of a core: work done in a unit of time
	SlotsPerCore    int     // requests in work
	QueuePerCore    int     // requests that wait; more are turned away
	ThrashRatio     float64 // share of its efficiency lost for each request a core holds beyond ThrashAt
	ThrashThreshold float64

	SlowStartRatio   float64       // share of its capacity at a start
	SlowStartTime    time.Duration // until it is warm
	WarmByWork       bool          // it warms with the work done, at the latest by SlowStartTime
	OverloadMultiple float64       // work sent beyond this multiple of what it can do just now,
	OverloadWindow   time.Duration // counted over any window of this length, makes a cold server fall over

	PauseInterval time.Duration // mean time between two pauses, 0 for none
	PauseDuration time.Duration // mean length

	ReportInterval time.Duration // a load report is taken so often,
	ReportDelay    time.Duration // and is so old when it is given
	ReportNoise    float64       // share by which its figures are off, at most

	MaxConnections int           // open at once, 0 for any number
	HandshakeWork  time.Duration // work of a core for a new connection
	ProbeWork      time.Duration // and for a probe

	KeyCacheSize    int           // it remembers so many, the latest met; 0 for none
	KeyCacheSavings float64       // share of its work that a request saves about one that is remembered,
	KeyCacheTTL     time.Duration // for so long after it was met
}

// Request is one request as a server gets it.
type Request struct {
	Number    uint64        // of the attempt: unique in a play
	FaultSeed uint64        // that faults are drawn by; 0 for Number
	Work      time.Duration // on a core of speed 1
	Class     int
	Key       string // of the effect, "" where the class has none

	AffinityKey uint64 // what it is about, 0 for nothing that a server could remember
}

// Outcome is how a request ended.
type Outcome uint8

// The ways a request may end at a server.
const (
	Served           Outcome = iota
	Failed                   // an error at once
	Rejected                 // turned away unseen
	ConnectionFailed         // no connection, or it breaks: the server is down, or falls with it
	Unanswered               // swallowed: there is no answer, though it has run
	Deduplicated             // served from memory: the effect was there already
)

// Completion is a request that ended.
type Completion struct {
	Number  uint64
	Outcome Outcome
	At      Time
}

// Fault is a scripted misbehaviour of a server, while it lasts.
type Fault struct {
	From, Until     Time
	FailFastRatio   float64 // share of requests that fail at once, with a healthy face
	UnansweredRatio float64 // share that is never answered
	RejectRatio     float64 // share that is turned away unseen
	FailLateRatio   float64 // share that fails once its work is done
	ResetRatio      float64 // share whose connection breaks once its work is done
	Unresponsive    bool    // nothing is answered, nothing refused: the machine has vanished
	SlowdownFactor  float64 // work takes so many times as long; probes are answered as ever
}
