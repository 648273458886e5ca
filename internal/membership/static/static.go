// Package static is a membership source for fleets that do not change. Its endpoints are those
// of the operator's file. It starts no goroutine, and its only state is the list.
package static

import (
	"context"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// listVersion is the version of the only list that a source reports.
const listVersion = 1

// Source reports one list. It implements engine.Source.
type Source struct{ list engine.List }

// New returns a source of these endpoints, which must be valid.
func New(hosts []engine.Host) *Source {
	return &Source{list: engine.List{Version: listVersion, Complete: true, Hosts: hosts}}
}

// Watch passes the list to notify once and waits for ctx to end.
func (s *Source) Watch(
	ctx context.Context, after *uint64, notify func(balancer.ListKind, engine.List),
) (*uint64, error) {
	notify(balancer.ListFull, s.list)
	<-ctx.Done()
	return after, ctx.Err()
}

// Close does nothing: the source uses no resources.
func (s *Source) Close() {}
