package scenario

import (
	"fmt"
	"slices"
	"time"

	"pinedale/internal/tomlfile"
)

// Limits of the values in a scenario file.
const (
	maxLength           = time.Hour
	maxSites            = 254
	maxMachineKinds     = 254
	maxServers          = 10_000
	maxInstances        = 10_000
	maxRate             = 1e6 // requests or handshakes a second
	maxAffinityKeys     = 1_000_000
	maxVariation        = 10 // limits coefficients of variation and exponents
	maxClientRetries    = 10
	maxAttempts         = 100
	maxCores            = 1024
	maxSpeed            = 1000
	maxSubsetPerRequest = 1000

	// shareTolerance is the rounding error allowed in the sum of shares, which must be 1.
	shareTolerance = 0.001
)

// validator checks a decoded scenario and records an error for each invalid key.
type validator struct {
	*tomlfile.File
	scenario *File
}

// validate checks all values of the scenario and records an error for each invalid one.
func (v *validator) validate() {
	file := v.scenario
	v.Require(file.Version == fileVersion, "version", "unsupported version %d; this program reads version %d",
		file.Version, fileVersion)
	v.Require(file.Length > 0 && time.Duration(file.Length) <= maxLength, "length",
		"%v is out of range, must be greater than 0 and at most %v", time.Duration(file.Length), maxLength)
	v.Require(len(file.Sites) >= 1 && len(file.Sites) <= maxSites, "sites", "%d sites, must be 1 to %d",
		len(file.Sites), maxSites)
	v.Require(file.Limits.MaxAttempts >= 1 && file.Limits.MaxAttempts <= maxAttempts, "limits.attempts",
		"%d is not in the range 1 to %d", file.Limits.MaxAttempts, maxAttempts)
	v.Require(file.PodSize >= 1, "pod_size", "%d is not positive", file.PodSize)
	v.requireNotNegative("way.same", file.Latency.SameSite)
	v.requireNotNegative("way.other", file.Latency.CrossSite)
	v.requireNotNegative("list.notice", file.Membership.MaxNotificationDelay)
	v.requireNotNegative("list.drain_for", file.Membership.DrainDuration)
	v.validateClients()
	v.validateInstances()
	v.validateClasses()
	v.validateTenants()
	v.validateMachines()
	v.validateServers()
	v.validateSubset()
	v.validateHandshakes()
	for i := range file.Faults {
		v.validateFault(fmt.Sprintf("trouble[%d].", i), &file.Faults[i])
	}
}

// requireRange records an error unless a value is in the range lowest to highest.
func (v *validator) requireRange(key string, value, lowest, highest float64) {
	v.Require(value >= lowest && value <= highest, key, "%v is not in the range %v to %v", value, lowest, highest)
}

// requirePositive records an error unless a value is greater than 0 and at most highest.
func (v *validator) requirePositive(key string, value, highest float64) {
	v.Require(value > 0 && value <= highest, key, "%v is out of range, must be greater than 0 and at most %v",
		value, highest)
}

// requireNotNegative records an error if a duration is negative.
func (v *validator) requireNotNegative(key string, value Duration) {
	v.Require(value >= 0, key, "%v is negative", time.Duration(value))
}

// requireSite records an error unless the scenario has a site of this name.
func (v *validator) requireSite(key, name string) {
	v.Require(slices.Contains(v.scenario.Sites, name), key, "%q is not one of the sites of this file", name)
}

// requireSharesSumToOne records an error unless the sum of shares is 1 within shareTolerance.
func (v *validator) requireSharesSumToOne(key, name string, sum float64) {
	sumsToOne := sum > 1-shareTolerance && sum < 1+shareTolerance
	v.Require(sumsToOne, key, "the %s sum to %v, must be 1", name, sum)
}

func (v *validator) validateClients() {
	clients := &v.scenario.Clients
	v.requirePositive("clients.rate", clients.Rate, maxRate)
	v.requireRange("clients.uneven", clients.RateVariation, 0, maxVariation)
	v.requireRange("clients.retries", float64(clients.Retries), 0, maxClientRetries)
	v.requirePositive("clients.try_share", clients.TimeoutRatio, 1)
	v.requireRange("clients.subjects", float64(clients.AffinityKeys), 0, maxAffinityKeys)
	v.requireRange("clients.skew", clients.PopularityExponent, 0, maxVariation)
	v.requireNotNegative("clients.give_up", clients.AbandonAfter)
	v.requireNotNegative("clients.pause", clients.RetryDelay)
}

func (v *validator) validateInstances() {
	total := 0
	for i, group := range v.scenario.Instances {
		prefix := fmt.Sprintf("instances[%d].", i)
		v.requireSite(prefix+"site", group.Site)
		v.Require(group.Count >= 1, prefix+"count", "%d is not positive", group.Count)
		total += group.Count
	}
	v.Require(total >= 1 && total <= maxInstances, "instances", "%d instances in total, must be 1 to %d",
		total, maxInstances)
}

func (v *validator) validateClasses() {
	classes := v.scenario.Classes
	sum := 0.0
	for i := range classes {
		v.validateClass(fmt.Sprintf("class[%d].", i), &classes[i])
		sum += classes[i].Share
	}
	v.Require(len(classes) > 0, "class", "at least one class is required")
	if len(classes) > 0 {
		v.requireSharesSumToOne("class", "shares", sum)
	}
}

func (v *validator) validateClass(prefix string, class *Class) {
	v.Require(class.Name != "", prefix+"name", "is missing")
	switch class.Idempotency {
	case Idempotent, NotIdempotent:
	case IdempotentWithKey:
		v.Require(class.DedupScope == DedupFleet || class.DedupScope == DedupPod, prefix+"group",
			"%q is neither all nor pod", class.DedupScope)
		v.Require(class.DedupWindow > 0, prefix+"window", "%v is not positive; a keyed class requires a window",
			time.Duration(class.DedupWindow))
	default:
		v.Require(false, prefix+"repeat", "%q is not one of safe, keyed, unsafe", class.Idempotency)
	}
	v.Positive(prefix+"aim", class.LatencyObjective)
	v.Require(class.Deadline >= class.LatencyObjective, prefix+"deadline", "%v is less than the aim of %v",
		time.Duration(class.Deadline), time.Duration(class.LatencyObjective))
	v.Positive(prefix+"work", class.Work)
	v.requireRange(prefix+"cv", class.WorkVariation, 0, maxVariation)
	v.Require(class.PriorityWeight >= 0, prefix+"worth", "%v is negative", class.PriorityWeight)
	v.Require(class.Share >= 0, prefix+"share", "%v is negative", class.Share)
}

func (v *validator) validateTenants() {
	sum := 0.0
	for i, tenant := range v.scenario.Tenants {
		prefix := fmt.Sprintf("tenant[%d].", i)
		v.Require(tenant.Name != "", prefix+"name", "is missing")
		v.Require(tenant.LoadShare >= 0, prefix+"load", "%v is negative", tenant.LoadShare)
		v.Require(tenant.Quota > 0, prefix+"allowance", "%v is not positive", tenant.Quota)
		sum += tenant.LoadShare
	}
	if len(v.scenario.Tenants) > 0 {
		v.requireSharesSumToOne("tenant", "loads", sum)
	}
}

func (v *validator) validateMachines() {
	machines := v.scenario.Machines
	v.Require(len(machines) <= maxMachineKinds, "machine", "%d kinds of machines, must be at most %d",
		len(machines), maxMachineKinds)
	names := map[string]bool{}
	for i := range machines {
		prefix := fmt.Sprintf("machine[%d].", i)
		name := machines[i].Name
		v.Require(name != "" && !names[name], prefix+"name", "%q is empty or a duplicate", name)
		names[name] = true
		v.validateMachine(prefix, &machines[i])
	}
}

func (v *validator) validateMachine(prefix string, machine *Machine) {
	v.requireRange(prefix+"cores", float64(machine.Cores), 1, maxCores)
	v.requirePositive(prefix+"speed", machine.Speed, maxSpeed)
	v.Require(machine.SlotsPerCore >= 0 && machine.QueuePerCore >= 0, prefix+"slots_per_core",
		"slots_per_core %d and queue_per_core %d must not be negative", machine.SlotsPerCore, machine.QueuePerCore)
	v.Require(machine.ThrashRatio >= 0 && machine.ThrashThreshold >= 0, prefix+"thrash",
		"thrash %v and thrash_at %v must not be negative", machine.ThrashRatio, machine.ThrashThreshold)
	if machine.SlowStartTime != 0 {
		v.requirePositive(prefix+"cold_from", machine.SlowStartRatio, 1)
	}
	v.requireNotNegative(prefix+"cold_for", machine.SlowStartTime)
	v.requireNotNegative(prefix+"pause_every", machine.PauseInterval)
	v.requireNotNegative(prefix+"pause_for", machine.PauseDuration)
	v.requireNotNegative(prefix+"report_every", machine.ReportInterval)
	v.requireNotNegative(prefix+"report_delay", machine.ReportDelay)
	v.requireNotNegative(prefix+"handshake", machine.HandshakeWork)
	v.requireNotNegative(prefix+"probe_work", machine.ProbeWork)
	v.requireNotNegative(prefix+"subject_for", machine.KeyCacheTTL)
	v.Require(machine.MaxConnections >= 0, prefix+"connections", "%d is negative", machine.MaxConnections)
	v.Require(machine.KeyCacheSize >= 0, prefix+"subjects", "%d is negative", machine.KeyCacheSize)
	v.Require(machine.KeyCacheSavings >= 0 && machine.KeyCacheSavings < 1, prefix+"subject_saves",
		"%v is not at least 0 and less than 1", machine.KeyCacheSavings)
	v.Require(machine.ReportNoise >= 0 && machine.ReportNoise < 1, prefix+"report_noise",
		"%v is not at least 0 and less than 1", machine.ReportNoise)
}

func (v *validator) validateServers() {
	total := 0
	for i, group := range v.scenario.Servers {
		prefix := fmt.Sprintf("servers[%d].", i)
		hasName := func(m Machine) bool { return m.Name == group.Machine }
		known := slices.ContainsFunc(v.scenario.Machines, hasName)
		v.Require(known, prefix+"machine", "%q is not a machine of this file", group.Machine)
		v.requireSite(prefix+"site", group.Site)
		v.Require(group.Count >= 1, prefix+"count", "%d is not positive", group.Count)
		total += group.Count
	}
	v.Require(total >= 1 && total <= maxServers, "servers", "%d servers in total, must be 1 to %d", total, maxServers)
}

func (v *validator) validateSubset() {
	subset := &v.scenario.Subset
	v.Require(subset.MinSize == 0 || subset.MinSize >= 2 && subset.MinSize <= maxServers, "subset.floor",
		"%d is neither 0 nor in the range 2 to %d", subset.MinSize, maxServers)
	v.requireRange("subset.spread", subset.PerInFlight, 0, maxSubsetPerRequest)
	v.Require(subset.MinSize > 0 || subset.PerInFlight == 0, "subset.floor", "is required with subset.spread")
}

func (v *validator) validateHandshakes() {
	budget := &v.scenario.Handshakes
	v.requireRange("handshakes.per_server", budget.PerServer, 0, maxRate)
	v.requireRange("handshakes.all", budget.Total, 0, maxRate)
	v.requireRange("handshakes.burst", budget.Burst, 0, maxRate)
	unlimited := budget.Total == 0 && budget.Burst == 0
	v.Require(budget.PerServer > 0 || unlimited, "handshakes.per_server",
		"is required with handshakes.all or handshakes.burst")
}
