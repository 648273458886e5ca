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

// newSource returns the source of membership. If the file configures ephemeral nodes, its other sources are merged with
// them; otherwise it has only one source.
func newSource(file *config.File, log *slog.Logger) engine.Source {
	if len(file.Ephemeral.Servers) == 0 {
		if file.Discovery.Address != "" {
			return newDiscoverySource(file)
		}
		return static.New(file.Hosts())
	}
	inputs := []multisource.Input{newEphemeralInput(file, log)}
	if file.Discovery.Address != "" {
		inputs = append(inputs, multisource.Input{
			Kind:   reconcile.Discovery,
			Name:   file.Discovery.Address,
			Feeder: multisource.SourceFeeder{Source: newDiscoverySource(file)},
		})
	}
	if len(file.Servers) > 0 {
		inputs = append(inputs, multisource.Input{
			Kind:   reconcile.Static,
			Name:   "of the file",
			Feeder: multisource.SourceFeeder{Source: static.New(file.Hosts())},
		})
	}
	return multisource.New(reconcile.Config{
		MaxShrinkRatio:  file.Membership.MaxShrinkRatio,
		HoldTime:        time.Duration(file.Membership.HoldTime),
		MaxDiscoveryLag: time.Duration(file.Membership.MaxDiscoveryLag),
	}, log, inputs...)
}

// newDiscoverySource returns the source that watches the discovery service.
func newDiscoverySource(file *config.File) engine.Source {
	return registry.New(file.Discovery.Address, registry.PollTiming(time.Duration(file.Fleet.DrainGrace)))
}

// newEphemeralInput returns the source that watches ephemeral nodes.
func newEphemeralInput(file *config.File, log *slog.Logger) multisource.Input {
	section := &file.Ephemeral
	return multisource.Input{
		Kind: reconcile.Ephemeral,
		Name: section.Path,
		Feeder: ephemeral.New(ephemeral.Options{
			Servers:        section.Servers,
			Path:           section.Path,
			SessionTimeout: time.Duration(section.SessionTimeout),
			Digest:         file.EphemeralDigest(),
			Rules:          ephemeral.Rules{Sites: file.Fleet.Sites, Kinds: file.Fleet.Kinds},
			Log:            log,
		}),
	}
}

// newSubset returns the subset of the fleet that this instance uses, nil for the whole fleet.
func newSubset(file *config.File) (engine.Subset, error) {
	settings, ok := file.SubsetConfig()
	if !ok {
		return nil, nil
	}
	return subset.New(settings)
}
