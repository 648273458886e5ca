package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/subset"
	"pinedale/internal/upstream/handshake"
)

// Settings of the instances that are not part of a scenario file.
const (
	maxOpenRequests     = 20_000
	maxRetryAfter       = 1500 * time.Millisecond
	connectionKeepAlive = 5 * time.Second
	drainGrace          = 2 * time.Second
	pollInterval        = 10 * time.Second
	crossZonePrice      = 0.03
	probePrice          = 0.05
	lateWeightRatio     = 0.3 // value of a late response, relative to one in time
)

// scoreGoal weights the parts of a run's score.
var scoreGoal = balancer.Goal{Overall: 0.45, WorstWindow: 0.35, WorstClass: 0.2}

// faultSeedStream is the stream of random numbers that selects the servers and instances affected by faults.
const faultSeedStream = 99

// Plan returns the scenario described by the file. A seed other than 0 replaces the seed of the file.
func (f *File) Plan(seed uint64) *plan.Scenario {
	if seed == 0 {
		seed = f.Seed
	}
	s := &plan.Scenario{
		Seed:                 seed,
		Length:               time.Duration(f.Length),
		Sites:                f.Sites,
		Latencies:            f.Latency.plan(),
		MaxNotificationDelay: time.Duration(f.Membership.MaxNotificationDelay),
		DrainDuration:        time.Duration(f.Membership.DrainDuration),
		Clients:              f.Clients.plan(),
		Settings:             f.settings(),
		Subset:               f.subsetConfig(),
	}
	for _, group := range f.Instances {
		site := slices.Index(f.Sites, group.Site)
		s.Instances = append(s.Instances, slices.Repeat([]int{site}, group.Count)...)
	}
	for i := range f.Classes {
		s.Classes = append(s.Classes, f.Classes[i].plan())
	}
	for _, tenant := range f.Tenants {
		s.Tenants = append(s.Tenants, plan.Tenant{
			Tenant: balancer.Tenant{Name: tenant.Name, Quota: tenant.Quota, Share: tenant.LoadShare},
			Load:   tenant.LoadShare,
		})
	}
	f.addServers(s)
	rng := rand.New(rand.NewPCG(seed, faultSeedStream))
	for i := range f.Faults {
		f.addFault(s, rng, &f.Faults[i])
	}
	s.Budget = f.handshakeShare(s)
	return s
}

func (l *Latency) plan() plan.Latencies {
	return plan.Latencies{SameSite: time.Duration(l.SameSite), CrossSite: time.Duration(l.CrossSite)}
}

func (c *Clients) plan() plan.Clients {
	return plan.Clients{
		Rate:               c.Rate,
		RateVariation:      c.RateVariation,
		Retries:            c.Retries,
		TimeoutRatio:       c.TimeoutRatio,
		AffinityKeys:       c.AffinityKeys,
		PopularityExponent: c.PopularityExponent,
		AbandonAfter:       time.Duration(c.AbandonAfter),
		RetryDelay:         time.Duration(c.RetryDelay),
	}
}

func (c *Class) plan() plan.Class {
	class := plan.Class{
		Class: balancer.Class{
			Name:             c.Name,
			DedupWindow:      c.DedupWindow.Microseconds(),
			LatencyObjective: c.LatencyObjective.Microseconds(),
			ClientTimeout:    c.Deadline.Microseconds(),
			PriorityWeight:   c.PriorityWeight,
			LateWeightRatio:  lateWeightRatio,
		},
		Share: c.Share,
		Work:  time.Duration(c.Work),
		CV:    c.WorkVariation,
	}
	switch c.Idempotency {
	case IdempotentWithKey:
		class.Idempotency = balancer.IdempotentWithKey
		if c.DedupScope == DedupPod {
			class.Group = balancer.GroupCell
		}
	case NotIdempotent:
		class.Idempotency = balancer.NotIdempotent
	}
	return class
}

// settings returns the settings shared by all instances. addServers adds the slow start terms of the contract.
func (f *File) settings() balancer.Settings {
	return balancer.Settings{
		Fields: []balancer.Field{balancer.FieldErrors, balancer.FieldQueue},
		Limits: balancer.Limits{
			Cancel:        true,
			Probes:        true,
			Hedging:       !f.Limits.NoHedging,
			RetryAfter:    true,
			MaxAttempts:   f.Limits.MaxAttempts,
			MaxOpen:       maxOpenRequests,
			MaxRetryAfter: maxRetryAfter.Microseconds(),
			KeepAlive:     connectionKeepAlive.Microseconds(),
		},
		Contract: balancer.Contract{
			DrainGrace:       drainGrace.Microseconds(),
			SlowStartRatio:   1,
			OverloadMultiple: overloadMultiple,
			OverloadTime:     overloadWindow.Microseconds(),
			PollInterval:     pollInterval.Microseconds(),
		},
		Prices:       balancer.Prices{CrossZone: crossZonePrice, Probe: probePrice},
		Goal:         scoreGoal,
		WeightByWork: true,
		KeyAffinity:  f.Clients.AffinityKeys > 0,
	}
}

// addServers adds the machine kinds and the servers. The instances' contract has the lowest slow start ratio and the
// longest slow start time of the machine kinds in the fleet.
func (f *File) addServers(s *plan.Scenario) {
	for i := range f.Machines {
		machine := &f.Machines[i]
		s.Kinds = append(s.Kinds, machine.Name)
		s.Weights = append(s.Weights, float64(machine.Cores)*machine.Speed)
	}
	contract := &s.Settings.Contract
	for _, group := range f.Servers {
		kind := slices.Index(s.Kinds, group.Machine)
		machine := &f.Machines[kind]
		if machine.SlowStartTime > 0 {
			contract.SlowStartRatio = min(contract.SlowStartRatio, machine.SlowStartRatio)
			contract.SlowStartTime = max(contract.SlowStartTime, machine.SlowStartTime.Microseconds())
		}
		for range group.Count {
			n := len(s.Servers)
			s.Servers = append(s.Servers, plan.Server{
				Name:         fmt.Sprintf("%s-%d", group.Machine, n+1),
				Site:         slices.Index(f.Sites, group.Site),
				Kind:         kind,
				Pod:          n / f.PodSize,
				Config:       machine.config(),
				Incarnations: plan.AlwaysRunning,
			})
		}
	}
}

// subsetConfig returns the subset configuration of all instances, nil if each of them uses the whole fleet.
func (f *File) subsetConfig() *subset.Config {
	if f.Subset.MinSize == 0 {
		return nil
	}
	return &subset.Config{
		MinSize:     f.Subset.MinSize,
		PerInFlight: f.Subset.PerInFlight,
		RankPods:    slices.ContainsFunc(f.Classes, func(c Class) bool { return c.DedupScope == DedupPod }),
	}
}

// handshakeShare returns one instance's share of the handshake budget, nil if there is no limit.
func (f *File) handshakeShare(s *plan.Scenario) *handshake.Config {
	if f.Handshakes.PerServer == 0 {
		return nil
	}
	contract := &s.Settings.Contract
	total := handshake.Config{
		PerServer:          f.Handshakes.PerServer,
		All:                f.Handshakes.Total,
		Burst:              f.Handshakes.Burst,
		InitialWarmupRatio: contract.SlowStartRatio,
		WarmWithin:         time.Duration(contract.SlowStartTime) * time.Microsecond,
	}
	share := total.Share(len(s.Instances), 0)
	return &share
}
