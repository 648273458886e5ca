// Package testengine runs an engine for a test.
package testengine

import (
	"context"
	"testing"

	"pinedale/internal/engine"
)

// Run starts an engine, which is stopped when the test ends.
func Run(t testing.TB, o engine.Options) *engine.Engine {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	e, err := engine.New(ctx, o)
	if err != nil {
		stop()
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.Run()
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return e
}
