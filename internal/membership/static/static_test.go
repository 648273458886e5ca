package static

import (
	"context"
	"errors"
	"testing"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

func TestWatchReportsOneCompleteListUntilContextEnds(t *testing.T) {
	source := New([]engine.Host{{Name: "a", Address: "127.0.0.1:1", Weight: 1}})
	defer source.Close()
	ctx, cancel := context.WithCancel(t.Context())
	reports := 0
	version := uint64(7)
	after, err := source.Watch(ctx, &version, func(kind balancer.ListKind, list engine.List) {
		reports++
		if kind != balancer.ListFull || !list.Complete || len(list.Hosts) != 1 || list.Hosts[0].Name != "a" {
			t.Errorf("reported %v, %+v, want a complete list of endpoint a", kind, list)
		}
		cancel()
	})
	if reports != 1 {
		t.Errorf("%d reports, want 1", reports)
	}
	if after != &version || !errors.Is(err, context.Canceled) {
		t.Errorf("Watch returned %v, %v, want the given version and a cancelled context", after, err)
	}
}
