package site

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"pinedale/internal/certstore"
	"pinedale/internal/certstore/validate"
)

// paths returns the names of the files.
func (k *Keys) paths() certstore.Paths {
	return certstore.Paths{Cert: k.CertFile, Key: k.KeyFile, Roots: k.RootsFile, Revoked: k.RevokedFile}
}

// storeOptions returns the options of a store for the keys, used by a server or a client.
func (k *Keys) storeOptions(server bool, log *slog.Logger) certstore.Options {
	options := certstore.Options{
		Paths: k.paths(),
		Want: validate.Requirements{
			Names:           k.Names,
			Server:          server,
			MinRSABits:      max(k.MinRSABits, minRSABits),
			AllowExpired:    k.AllowExpired,
			PeerExpiryGrace: time.Duration(k.PeerExpiryGrace),
		},
		ReplacementTime: time.Duration(k.ReplacementTime),
		MinTLSVersion:   tlsVersions[k.MinTLSVersion],
		Log:             log.With("keys", k.Name),
	}
	if options.ReplacementTime == 0 {
		options.ReplacementTime = defaultReplacementTime
	}
	return options
}

// stores are the open certificate stores by the name of their [[keys]] entry.
type stores map[string]*certstore.Store

// openStores opens the stores that an enabled front or the upstream uses.
func (f *File) openStores(log *slog.Logger) (stores, error) {
	open := stores{}
	for _, user := range f.keyUsers() {
		name := user.keysName
		if name == "" || !user.enabled || open[name] != nil {
			continue
		}
		for i := range f.Keys {
			if f.Keys[i].Name != name {
				continue
			}
			store, err := certstore.Open(f.Keys[i].storeOptions(user.server, log))
			if err != nil {
				return nil, fmt.Errorf("keys %q: %w", name, err)
			}
			open[name] = store
		}
	}
	return open, nil
}

// run watches the files of all stores in goroutines of running until ctx is cancelled.
func (s stores) run(ctx context.Context, running *sync.WaitGroup) {
	for _, store := range s {
		running.Go(func() { store.Run(ctx) })
	}
}

// reload reads the files of all stores now.
func (s stores) reload() {
	for _, store := range s {
		store.Reload()
	}
}
