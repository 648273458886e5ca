package app

import (
	"log/slog"
	"time"

	"pinedale/internal/config"
	"pinedale/internal/engine"
	"pinedale/internal/membership/ephemeral"
	"pinedale/internal/membership/multisource"
	"pinedale/internal/membership/reconcile"
	"pinedale/internal/membership/registry"
	"pinedale/internal/membership/static"
	"pinedale/internal/subset"
)

// newSource returns the source of membership. Next to ephemeral nodes, the others are merged with them; without, there
// is only one source.
func newSource(f *config.File, log *slog.Logger) engine.Source {
	if len(f.Ephemeral.Servers) == 0 {
		if f.Discovery.Address != "" {
			return newDiscoverySource(f)
		}
		return static.New(f.Hosts())
	}
	inputs := []multisource.Input{newEphemeralInput(f, log)}
	if f.Discovery.Address != "" {
		inputs = append(inputs, multisource.Input{
			Kind:   reconcile.Discovery,
			Name:   f.Discovery.Address,
			Feeder: multisource.SourceFeeder{Source: newDiscoverySource(f)},
		})
	}
	if len(f.Servers) > 0 {
		inputs = append(inputs, multisource.Input{
			Kind:   reconcile.Static,
			Name:   "of the file",
			Feeder: multisource.SourceFeeder{Source: static.New(f.Hosts())},
		})
	}
	return multisource.New(reconcile.Config{
		MaxShrinkRatio:  f.Membership.MaxShrinkRatio,
		HoldTime:        time.Duration(f.Membership.HoldTime),
		MaxDiscoveryLag: time.Duration(f.Membership.MaxDiscoveryLag),
	}, log, inputs...)
}

// newDiscoverySource returns the source that watches the discovery service.
func newDiscoverySource(f *config.File) engine.Source {
	return registry.New(f.Discovery.Address, registry.PollTiming)
}

// newEphemeralInput returns the source that watches ephemeral nodes.
func newEphemeralInput(f *config.File, log *slog.Logger) multisource.Input {
	e := &f.Ephemeral
	return multisource.Input{
		Kind: reconcile.Ephemeral,
		Name: e.Path,
		Feeder: ephemeral.New(ephemeral.Options{
			Servers:        e.Servers,
			Path:           e.Path,
			SessionTimeout: time.Duration(e.SessionTimeout),
			Digest:         f.EphemeralDigest(),
			Rules:          ephemeral.Rules{Sites: f.Fleet.Sites, Kinds: f.Fleet.Kinds},
			Log:            log,
		}),
	}
}

// newSubset returns the part of the fleet that this instance uses, nil for all of it.
func newSubset(f *config.File) (engine.Subset, error) {
	settings, ok := f.SubsetConfig()
	if !ok {
		return nil, nil
	}
	return subset.New(settings)
}
