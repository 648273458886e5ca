package config

import (
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/policy"
	"pinedale/internal/requestmeta"
	"pinedale/internal/subset"
)

// Settings returns the settings of the balancer.
func (f *File) Settings() balancer.Settings {
	settings := balancer.Settings{
		Balancers:     f.Fleet.Instances,
		Zone:          slices.Index(f.Fleet.Sites, f.Site),
		Zones:         len(f.Fleet.Sites),
		Kinds:         len(f.Fleet.Kinds),
		PollDiscovery: f.Discovery.Address != "" && len(f.Ephemeral.Servers) == 0,
		Limits:        f.balancerLimits(),
		Contract:      f.balancerContract(),
		// How users weigh failures, and what probes and requests to other zones cost the operator.
		Goal:   balancer.Goal{Overall: 0.45, WorstWindow: 0.35, WorstClass: 0.2},
		Prices: balancer.Prices{CrossZone: 0.03, Probe: 0.05, Waste: 0.05, LateFail: 0.05},
	}
	for _, field := range f.Fleet.LoadFields {
		settings.Fields = append(settings.Fields, loadFields[field])
	}
	if f.table != nil {
		settings.Classes, settings.Budgets = f.table.Classes(), f.table.Budgets()
	}
	return settings
}

// balancerLimits returns the limits of the balancer.
func (f *File) balancerLimits() balancer.Limits {
	limits := &f.Limits
	return balancer.Limits{
		Cancel:        true,
		Probes:        limits.LoadProbes,
		Hedging:       limits.Hedging,
		RetryAfter:    limits.MaxRetryAfter > 0,
		MaxAttempts:   limits.MaxAttempts,
		MaxOpen:       limits.OpenRequests,
		MaxRetryAfter: limits.MaxRetryAfter.Microseconds(),
		DialTimeout:   limits.DialTimeout.Microseconds(),
	}
}

// balancerContract returns the behaviour of servers and clients that the balancer relies on.
func (f *File) balancerContract() balancer.Contract {
	return balancer.Contract{
		DrainGrace:       f.Fleet.DrainGrace.Microseconds(),
		SlowStartRatio:   f.Fleet.SlowStartRatio,
		SlowStartTime:    f.Fleet.SlowStartTime.Microseconds(),
		OverloadMultiple: f.Fleet.OverloadMultiple,
		OverloadTime:     f.Fleet.OverloadTime.Microseconds(),
		PollInterval:     f.Discovery.PollInterval.Microseconds(),
		AnswerSlack:      requestmeta.ResponseMargin.Microseconds(),
	}
}

// policyConfig returns the classes, routes, pools and tenants for the policy compiler.
func (f *File) policyConfig() *policy.Config {
	config := &policy.Config{
		Version: f.version(),
		Limits: policy.Limits{
			MaxAttempts:  f.Limits.MaxAttempts,
			Hedging:      f.Limits.Hedging,
			MaxDeadline:  requestmeta.MaxRequestTime,
			DialTimeout:  time.Duration(f.Limits.DialTimeout),
			TimerSlack:   time.Duration(f.Limits.TimerSlack),
			ClockError:   f.Limits.ClockDrift,
			DrainGrace:   time.Duration(f.Fleet.DrainGrace),
			DrainTimeout: time.Duration(f.Fleet.DrainTime),
		},
	}
	for i := range f.Classes {
		config.Classes = append(config.Classes, f.Classes[i].policyClass())
	}
	for i := range f.Routes {
		config.Routes = append(config.Routes, f.Routes[i].policyRoute())
	}
	for _, pool := range f.Pools {
		config.Pools = append(config.Pools, policy.Pool(pool))
	}
	for _, tenant := range f.Tenants {
		config.Tenants = append(config.Tenants, policy.Tenant(tenant))
	}
	return config
}

// policyTiming returns the timing for the policy compiler.
func (t *Timing) policyTiming() policy.Timing {
	return policy.Timing{
		Deadline:       time.Duration(t.Deadline),
		AttemptTimeout: time.Duration(t.AttemptTimeout),
		MaxAttempts:    t.MaxAttempts,
		HedgeDelay:     time.Duration(t.HedgeDelay),
		Hedging:        t.Hedging,
		RetryRatio:     t.RetryRatio,
		RetryBurst:     t.RetryBurst,
	}
}

// policyClass returns the class for the policy compiler.
func (c *Class) policyClass() policy.Class {
	return policy.Class{
		Timing:           c.policyTiming(),
		Name:             c.Name,
		Idempotency:      idempotencies[c.Idempotency],
		Group:            groups[c.Group],
		DedupWindow:      time.Duration(c.DedupWindow),
		LatencyObjective: time.Duration(c.LatencyObjective),
		PriorityWeight:   valueOr(c.PriorityWeight, defaultWeight),
		LateWeightRatio:  c.LateWeightRatio,
		HedgeQuantile:    c.HedgeQuantile,
		TypicalWork:      time.Duration(c.TypicalWork),
		Clients:          c.Clients,
		MaxInFlight:      c.MaxInFlight,
		BrownoutLevel:    c.BrownOut,
	}
}

// policyRoute returns the route for the policy compiler.
func (r *Route) policyRoute() policy.Route {
	return policy.Route{
		Timing:  r.policyTiming(),
		Name:    r.Name,
		Host:    r.Host,
		Path:    r.Path,
		Prefix:  r.Prefix,
		Method:  r.Method,
		Headers: r.Headers,
		Class:   r.Class,
		Pool:    r.Pool,
	}
}

// Hosts returns the servers that the file lists.
func (f *File) Hosts() []engine.Host {
	hosts := make([]engine.Host, len(f.Servers))
	for i := range f.Servers {
		server := &f.Servers[i]
		hosts[i] = engine.Host{
			Name:    server.Name,
			Address: server.Address,
			Site:    server.Site,
			Kind:    server.Kind,
			Cell:    uint16(server.Cell),
			State:   balancer.Ready,
			Weight:  float32(valueOr(server.Weight, defaultWeight)),
		}
	}
	return hosts
}

// SubsetConfig returns how this instance chooses its subset of the fleet; ok is false if it uses all of it.
func (f *File) SubsetConfig() (config subset.Config, ok bool) {
	if f.Fleet.MinSubset == 0 {
		return config, false
	}
	config = subset.Config{
		Instance:    f.Name,
		Site:        f.Site,
		MinSize:     f.Fleet.MinSubset,
		PerInFlight: f.Fleet.SubsetSpread,
	}
	for i := range f.Classes {
		config.RankPods = config.RankPods || f.Classes[i].Group == "pod"
	}
	return config, true
}

// valueOr returns the value of an optional key, or fallback if the file does not set it.
func valueOr(value *float64, fallback float64) float64 {
	if value == nil {
		return fallback
	}
	return *value
}
