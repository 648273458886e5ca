package scenario

import "pinedale/internal/tomlfile"

// Duration is a duration that is written with its unit.
type Duration = tomlfile.Duration

// File is a decoded scenario file. The keys are part of the file format; their names are independent of those of the
// fields.
type File struct {
	Version    int             `toml:"version"`
	Name       string          `toml:"name"`
	Seed       uint64          `toml:"seed"`
	Length     Duration        `toml:"length"`
	Sites      []string        `toml:"sites"`
	Latency    Latency         `toml:"way"`
	Clients    Clients         `toml:"clients"`
	Limits     Limits          `toml:"limits"`
	Tenants    []Tenant        `toml:"tenant"`
	Membership Membership      `toml:"list"`
	Subset     Subset          `toml:"subset"`
	Handshakes HandshakeBudget `toml:"handshakes"`
	Instances  []Instances     `toml:"instances"`
	Classes    []Class         `toml:"class"`
	Machines   []Machine       `toml:"machine"`
	Servers    []Servers       `toml:"servers"`
	PodSize    int             `toml:"pod_size"`
	Faults     []Fault         `toml:"trouble"`
}

// Latency is the one-way network latency between an instance and a server.
type Latency struct {
	SameSite  Duration `toml:"same"`
	CrossSite Duration `toml:"other"`
}

// Clients describes the load and how clients retry.
type Clients struct {
	Rate               float64  `toml:"rate"`      // new requests a second, without retries
	RateVariation      float64  `toml:"uneven"`    // coefficient of variation of the rate over instances
	Retries            int      `toml:"retries"`   // maximum number of client retries for one request
	TimeoutRatio       float64  `toml:"try_share"` // timeout of one client attempt, relative to the deadline
	AbandonAfter       Duration `toml:"give_up"`   // when clients disconnect before their timeout; 0 for never
	AffinityKeys       int      `toml:"subjects"`  // distinct affinity keys of requests; 0 for none
	PopularityExponent float64  `toml:"skew"`      // exponent of the Zipf distribution of affinity keys
	RetryDelay         Duration `toml:"pause"`     // before a retry, unless the response asks for a longer one
}

// Limits restricts what an instance may do for one request.
type Limits struct {
	MaxAttempts int  `toml:"attempts"`
	NoHedging   bool `toml:"no_copies"`
}

// Tenant is one tenant and its share of the load.
type Tenant struct {
	Name      string  `toml:"name"`
	LoadShare float64 `toml:"load"`      // share of new requests
	Quota     float64 `toml:"allowance"` // requests a second
}

// Membership describes how instances learn of changes to the endpoint list.
type Membership struct {
	MaxNotificationDelay Duration `toml:"notice"`
	DrainDuration        Duration `toml:"drain_for"` // time from the start of a drain to the end of the process
}

// Subset describes the part of the fleet that each instance connects to. Without MinSize an instance uses every server.
type Subset struct {
	MinSize     int     `toml:"floor"`
	PerInFlight float64 `toml:"spread"` // additional servers for each request in flight
}

// HandshakeBudget limits the rate of new connections over all instances. Without PerServer there is no limit.
type HandshakeBudget struct {
	PerServer float64 `toml:"per_server"` // handshakes a second with one server
	Total     float64 `toml:"all"`        // handshakes a second of one instance with all servers
	Burst     float64 `toml:"burst"`      // concurrent handshakes with one server
}

// Instances is a group of load balancer instances on one site.
type Instances struct {
	Site  string `toml:"site"`
	Count int    `toml:"count"`
}

// Servers is a group of servers of one machine kind on one site.
type Servers struct {
	Machine string `toml:"machine"`
	Site    string `toml:"site"`
	Count   int    `toml:"count"`
}

// Class is one class of requests.
type Class struct {
	Name             string      `toml:"name"`
	Idempotency      Idempotency `toml:"repeat"`
	DedupScope       DedupScope  `toml:"group"`
	DedupWindow      Duration    `toml:"window"`
	LatencyObjective Duration    `toml:"aim"`
	Deadline         Duration    `toml:"deadline"`
	PriorityWeight   float64     `toml:"worth"`
	Share            float64     `toml:"share"`
	Work             Duration    `toml:"work"` // mean, on a core of speed 1
	WorkVariation    float64     `toml:"cv"`   // coefficient of variation of the work
}

// Idempotency states whether a second run of a request is harmless.
type Idempotency string

// The values of Idempotency in a file.
const (
	Idempotent        Idempotency = "safe"
	IdempotentWithKey Idempotency = "keyed"
	NotIdempotent     Idempotency = "unsafe"
)

// DedupScope states which servers share a record of idempotency keys.
type DedupScope string

// The values of DedupScope in a file.
const (
	DedupFleet DedupScope = "all"
	DedupPod   DedupScope = "pod"
)

// Machine is one kind of machine.
type Machine struct {
	Name            string   `toml:"name"`
	Cores           int      `toml:"cores"`
	Speed           float64  `toml:"speed"`
	SlotsPerCore    int      `toml:"slots_per_core"`
	QueuePerCore    int      `toml:"queue_per_core"`
	ThrashRatio     float64  `toml:"thrash"`
	ThrashThreshold float64  `toml:"thrash_at"`
	SlowStartRatio  float64  `toml:"cold_from"`
	SlowStartTime   Duration `toml:"cold_for"`
	WarmByWork      bool     `toml:"warm_by_work"`
	PauseInterval   Duration `toml:"pause_every"`
	PauseDuration   Duration `toml:"pause_for"`
	ReportInterval  Duration `toml:"report_every"`
	ReportDelay     Duration `toml:"report_delay"`
	ReportNoise     float64  `toml:"report_noise"`
	MaxConnections  int      `toml:"connections"` // 0 for no limit
	HandshakeWork   Duration `toml:"handshake"`
	ProbeWork       Duration `toml:"probe_work"`
	KeyCacheSize    int      `toml:"subjects"`
	KeyCacheSavings float64  `toml:"subject_saves"` // ratio of a request's work that a cache hit saves
	KeyCacheTTL     Duration `toml:"subject_for"`
}

// Fault is one fault of the timeline. Its kind determines which other keys it uses.
type Fault struct {
	Kind          FaultKind `toml:"kind"`
	From          Duration  `toml:"from"`
	Until         Duration  `toml:"until"`
	AffectedRatio float64   `toml:"part"`   // ratio of servers or instances affected, which are drawn from the seed
	RequestRatio  float64   `toml:"share"`  // ratio of requests affected
	Factor        float64   `toml:"factor"` // multiple of the rate, the work or the service time
	Class         string    `toml:"class"`
	Site          string    `toml:"site"`
	Tenant        string    `toml:"tenant"` // tenant of a surge; empty for all tenants
	RestartDelay  Duration  `toml:"gap"`    // time from the end of a process to its restart
}
