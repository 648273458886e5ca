// Package plan describes a run of the emulator: a fleet, its clients, a timeline of faults, and the result. It does no
// I/O and has no clock. Package simulation runs a plan on virtual time and package realtime runs it on sockets; both
// generate the same workload and count results in the same way.
package plan

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/model"
	"pinedale/internal/engine"
	"pinedale/internal/subset"
	"pinedale/internal/upstream/handshake"
)

// Time is the time since the start of a run.
type Time = model.Time

// Never is later than every instant of a run.
const Never = model.Never

// Scenario is everything that determines a run.
type Scenario struct {
	Seed                 uint64
	Length               Time
	Sites                []string
	Kinds                []string  // kinds of machines
	Weights              []float64 // work that a machine does in a second after slow start, by kind
	Latencies            Latencies
	Servers              []Server
	Instances            []int // site of each load balancer instance
	Classes              []Class
	Tenants              []Tenant
	Clients              Clients
	Surges               []Surge
	CostSurges           []CostSurge
	Rotations            []Rotation
	Kills                []Kill            // on virtual time only
	Budget               *handshake.Config // of each instance; nil for no limit; on virtual time only
	Subset               *subset.Config    // without the instance's name and site; nil for the whole fleet
	MaxNotificationDelay time.Duration     // longest delay before an instance learns of an endpoint list change
	DrainDuration        time.Duration     // from the start of a drain to the end of the process
	Settings             balancer.Settings // shared by all instances
}

// Latencies are one-way network latencies.
type Latencies struct {
	SameSite  time.Duration
	CrossSite time.Duration
}

// Latency returns the one-way latency from one site to another.
func (s *Scenario) Latency(from, to int) time.Duration {
	if from == to {
		return s.Latencies.SameSite
	}
	return s.Latencies.CrossSite
}

// SettingsFor returns the settings of one instance.
func (s *Scenario) SettingsFor(instance int) balancer.Settings {
	settings := s.Settings
	settings.Balancers = len(s.Instances)
	settings.Position = instance
	settings.Zone = s.Instances[instance]
	settings.Zones = len(s.Sites)
	settings.Kinds = len(s.Kinds)
	settings.PollDiscovery = false
	settings.Classes, settings.Tenants = nil, nil
	for i := range s.Classes {
		settings.Classes = append(settings.Classes, s.Classes[i].Class)
	}
	for i := range s.Tenants {
		settings.Tenants = append(settings.Tenants, s.Tenants[i].Tenant)
	}
	return settings
}

// SubsetFor returns the subset of servers that an instance uses, nil for the whole fleet.
func (s *Scenario) SubsetFor(instance int) (engine.Subset, error) {
	if s.Subset == nil {
		return nil, nil
	}
	config := *s.Subset
	config.Instance = fmt.Sprint("instance-", instance+1)
	config.Site = s.Sites[s.Instances[instance]]
	return subset.New(config)
}

// NewDedupStore returns an empty store of the fleet's idempotency keys.
func (s *Scenario) NewDedupStore() *model.DedupStore {
	classes := make([]model.Class, len(s.Classes))
	for i := range s.Classes {
		classes[i] = s.Classes[i].DedupClass()
	}
	return model.NewDedupStore(classes)
}

// ServerSeed derives the seed of one server from that of the scenario.
func (s *Scenario) ServerSeed(server int) uint64 {
	const goldenRatio = 0x9e3779b97f4a7c15 // spreads consecutive server numbers over all bits
	return s.Seed ^ uint64(server+1)*goldenRatio
}

// HostEntry returns the entry of a server in the endpoint list during one of its incarnations. runStart is the wall
// clock time at the start of the run.
func (s *Scenario) HostEntry(
	server int, incarnation Incarnation, state balancer.State, address string, runStart time.Time,
) engine.Host {
	spec := &s.Servers[server]
	entry := engine.Host{
		Name:    spec.Name,
		Address: address,
		Site:    s.Sites[spec.Site],
		Kind:    s.Kinds[spec.Kind],
		Cell:    uint16(spec.Pod),
		State:   state,
		Weight:  1,
	}
	if incarnation.From > 0 {
		entry.StartedMS = runStart.Add(incarnation.From).UnixMilli()
	}
	return entry
}

// NotificationDelay returns the delay before an instance learns of a change to a server. It is the same for all changes
// to that server, so that notifications arrive in order.
func (s *Scenario) NotificationDelay(server, instance int) time.Duration {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(server+1)<<32|uint64(instance+1)))
	return time.Duration(rng.Float64() * float64(s.MaxNotificationDelay))
}
