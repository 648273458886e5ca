package site

import (
	"log/slog"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/membership/ephemeral"
	"pinedale/internal/membership/multisource"
	"pinedale/internal/membership/reconcile"
	"pinedale/internal/membership/registry"
	"pinedale/internal/membership/static"
	"pinedale/internal/subset"
)

// source returns the source of membership. Next to ephemeral nodes, the others are merged with them; without, there
// is only one source.
func (f *File) source(log *slog.Logger) engine.Source {
	if len(f.Ephemeral.Servers) == 0 {
		if f.Discovery.Address != "" {
			return f.discoverySource()
		}
		return static.New(f.hosts())
	}
	inputs := []multisource.Input{f.ephemeralInput(log)}
	if f.Discovery.Address != "" {
		inputs = append(inputs, multisource.Input{
			Kind:   reconcile.Discovery,
			Name:   f.Discovery.Address,
			Feeder: multisource.SourceFeeder{Source: f.discoverySource()},
		})
	}
	if len(f.Servers) > 0 {
		inputs = append(inputs, multisource.Input{
			Kind:   reconcile.Static,
			Name:   "of the file",
			Feeder: multisource.SourceFeeder{Source: static.New(f.hosts())},
		})
	}
	return multisource.New(reconcile.Config{
		MaxShrinkRatio:  f.Membership.MaxShrinkRatio,
		HoldTime:        time.Duration(f.Membership.HoldTime),
		MaxDiscoveryLag: time.Duration(f.Membership.MaxDiscoveryLag),
	}, log, inputs...)
}

// discoverySource returns the source that watches the discovery service.
func (f *File) discoverySource() engine.Source {
	return registry.New(f.Discovery.Address, registry.PollTiming)
}

// ephemeralInput returns the source that watches ephemeral nodes.
func (f *File) ephemeralInput(log *slog.Logger) multisource.Input {
	e := &f.Ephemeral
	return multisource.Input{
		Kind: reconcile.Ephemeral,
		Name: e.Path,
		Feeder: ephemeral.New(ephemeral.Options{
			Servers:        e.Servers,
			Path:           e.Path,
			SessionTimeout: time.Duration(e.SessionTimeout),
			Digest:         f.digest,
			Rules:          ephemeral.Rules{Sites: f.Fleet.Sites, Kinds: f.Fleet.Kinds},
			Log:            log,
		}),
	}
}

// hosts returns the servers that the file lists.
func (f *File) hosts() []engine.Host {
	hosts := make([]engine.Host, len(f.Servers))
	for i, s := range f.Servers {
		hosts[i] = engine.Host{
			Name:    s.Name,
			Address: s.Address,
			Site:    s.Site,
			Kind:    s.Kind,
			Cell:    uint16(s.Cell),
			State:   balancer.Ready,
			Weight:  float32(valueOr(s.Weight, 1)),
		}
	}
	return hosts
}

// subset returns the part of the fleet that this instance uses, nil for all of it.
func (f *File) subset() (engine.Subset, error) {
	if f.Fleet.MinSubset == 0 {
		return nil, nil
	}
	config := subset.Config{
		Instance:    f.Name,
		Site:        f.Site,
		MinSize:     f.Fleet.MinSubset,
		PerInFlight: f.Fleet.SubsetSpread,
	}
	for i := range f.Classes {
		config.RankPods = config.RankPods || f.Classes[i].Group == "pod"
	}
	return subset.New(config)
}

// valueOr returns the value of a key that the file need not set.
func valueOr(value *float64, fallback float64) float64 {
	if value == nil {
		return fallback
	}
	return *value
}
