package app

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"pinedale/internal/certstore"
	"pinedale/internal/config"
)

// stores are the open certificate stores by the name of their [[keys]] entry.
type stores map[string]*certstore.Store

// openStores opens the stores that an enabled front or the upstream uses.
func openStores(file *config.File, log *slog.Logger) (stores, error) {
	open := stores{}
	for _, user := range file.KeyUsers() {
		name := user.Entry
		if name == "" || !user.Enabled || open[name] != nil {
			continue
		}
		for i := range file.Keys {
			if file.Keys[i].Name != name {
				continue
			}
			store, err := certstore.Open(file.Keys[i].StoreOptions(user.Server, log))
			if err != nil {
				return nil, fmt.Errorf("keys %q: %w", name, err)
			}
			open[name] = store
		}
	}
	return open, nil
}

// run watches the files of each store in a goroutine of running, until ctx is cancelled.
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
